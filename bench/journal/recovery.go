package journal

import (
	"context"
	"errors"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"mimosadock/entry/control"
	"mimosadock/entry/stream"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/config"
	"mimosadock/schedule/group"
	"mimosadock/schedule/journal"
	"mimosadock/schedule/record"
	"mimosadock/schedule/snapshot"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
	standin "mimosadock/standin/journal"
)

// recordsPerAppend is the number of records that an owner appends at once. A
// data centre produces this many records of starts and ends in 100 ms at the
// target scale.
const recordsPerAppend = 6

// recoverTimeout is the time after which a recovery is stopped as failed.
const recoverTimeout = time.Minute

var errNotReady = errors.New("journal: process did not become ready")

// Recovery is the cost of one recovery.
type Recovery struct {
	Workload     Workload
	JournalBytes unit.Bytes // of the snapshots and of the records after them
	TailRecords  int        // after the snapshots, without configuration changes
	CPU          time.Duration
	MaxHeap      unit.Bytes // highest use during the recovery, without the journal itself
}

// Fill returns a journal with the snapshots of the workload and the longest
// tail that the limits allow, and the number of attempt records in the tail. The
// tail is the part of the journal after the snapshots. It also contains as many
// configuration changes as the limits allow.
func (w Workload) Fill(limits snapshot.Limits) (*standin.Memory, int, error) {
	m, o := new(standin.Memory), &record.IDSource{Writer: "0191a1c2-owner-of-a-data-centre-0000"}
	var r config.Register
	r.Attach(0)
	initial, err := config.NewChange(0, "morag", 1, w.servicesText(0))
	if err != nil {
		return nil, 0, err
	}
	r.Apply(0, o.NextID(), initial)
	records, err := w.encodeSnapshots(o, &r, 0)
	if err != nil {
		return nil, 0, err
	}
	a := appender{journal: m}
	for _, rec := range records {
		a.add(rec)
	}
	a.flush()
	tailStart, n := m.Counts().Bytes, 0
	tailSize := limits.TailBytes / unit.Bytes(Target.StartsPerSecond) * unit.Bytes(w.StartsPerSecond)
	for change := 1; m.Counts().Bytes-tailStart < tailSize && a.err == nil; n++ {
		rec, err := w.record(o, n, n%2 == 1)
		a.err = errors.Join(a.err, err)
		a.add(rec)
		if n%recordsPerAppend == recordsPerAppend-1 {
			a.flush()
		}
		if int(m.Counts().Bytes-tailStart)*limits.Changes/int(tailSize) >= change && change < limits.Changes {
			c, err := config.NewChange(unit.Revision(change), "morag", 1, w.servicesText(change))
			a.err = errors.Join(a.err, err)
			rec, err := record.Encode(o, record.Change, c.Change)
			a.err = errors.Join(a.err, err)
			a.add(rec)
			change++
		}
	}
	a.flush()
	return m, n, a.err
}

// appender groups records into entries and appends them to a journal. It joins
// all errors in err.
type appender struct {
	journal *standin.Memory
	builder record.EntryBuilder
	err     error
}

func (a *appender) add(r record.Record) {
	ok, err := a.builder.Add(r)
	if err == nil && !ok {
		a.flush()
		_, err = a.builder.Add(r)
	}
	a.err = errors.Join(a.err, err)
}

func (a *appender) flush() {
	if a.builder.Len() > 0 {
		_, err := a.journal.Append(context.Background(), a.builder.Entry())
		a.err = errors.Join(a.err, err)
	}
	a.builder.Reset()
}

// Recover starts the control loop and the journal reader of a process on j and
// waits until the process is ready. It returns the processor time used until
// then and the highest use of the heap above the use at the start. It returns an
// error if the process is not ready after recoverTimeout.
func Recover(j journal.Follower) (cpu time.Duration, heap unit.Bytes, err error) {
	loop := control.New(clock.System{}, control.Self{Instance: "measured"}, control.RouteSystem)
	var tasks table.Table[unit.Task, Attempt]
	putTask := func(_ *control.State, it record.DecodedRecord, _ clock.Millis) {
		if a, err := record.Decode[Attempt](it.Record); err == nil {
			tasks.Put(unit.Task(string(a.Job)+"/"+string(a.Task)), a)
		}
	}
	deleteTask := func(_ *control.State, it record.DecodedRecord, _ clock.Millis) {
		if a, err := record.Decode[Attempt](it.Record); err == nil {
			tasks.Delete(unit.Task(string(a.Job) + "/" + string(a.Task)))
		}
	}
	loop.OnRecord(record.Started, putTask)
	loop.OnRecord(record.Finished, deleteTask)
	loop.AddSection(control.Section{Name: tasksSection, Restore: func(_ *control.State, _ snapshot.Scope, _ unit.Offset, data []byte) error {
		rows, err := record.Unmarshal[[]Attempt](data)
		for _, a := range rows {
			tasks.Put(unit.Task(string(a.Job)+"/"+string(a.Task)), a)
		}
		return err
	}})
	heapBefore := heapInUse()
	cpuBefore := processorTime()
	var g group.Group
	var maxHeap atomic.Uint64
	reader := &stream.Reader{Journal: j, Clock: clock.System{}, Deliver: control.DeliverTo(loop)}
	g.Go("control", loop.Run)
	g.Go("reader", reader.Run)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for started := time.Now(); !loop.View().Ready; <-ticker.C {
		if time.Since(started) > recoverTimeout {
			g.Stop()
			return 0, 0, errors.Join(errNotReady, g.Wait())
		}
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		maxHeap.Store(max(maxHeap.Load(), s.HeapInuse))
	}
	cpu = processorTime() - cpuBefore
	g.Stop()
	return cpu, unit.Bytes(maxHeap.Load()) - heapBefore, g.Wait()
}

func heapInUse() unit.Bytes {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return unit.Bytes(s.HeapInuse)
}

// processorTime returns the user and system time of this process, or 0 if the
// system does not report it.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// MeasureRecoveries returns the costs of recoveries at a quarter, a half and the
// whole of the target workload.
func MeasureRecoveries() ([]Recovery, error) {
	var out []Recovery
	for _, n := range []int{4, 2, 1} {
		w := Target.Scale(n)
		m, records, err := w.Fill(snapshot.DefaultLimits)
		if err != nil {
			return nil, err
		}
		r := Recovery{Workload: w, JournalBytes: m.Counts().Bytes, TailRecords: records}
		if r.CPU, r.MaxHeap, err = Recover(m); err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}
