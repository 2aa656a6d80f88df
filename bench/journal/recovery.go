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

// groupRecords is how many records an owner has for one append: those of the
// starts and ends of a data centre in 100 ms at the target scale.
const groupRecords = 6

// recoverTimeout ends a recovery that doesn't succeed.
const recoverTimeout = time.Minute

var errNotReady = errors.New("journal: process did not become ready")

// Recovery is what one recovery costs.
type Recovery struct {
	Workload Workload
	Tail     unit.Bytes // behind the snapshots
	Records  int        // in the tail
	CPU      time.Duration
	Heap     unit.Bytes // most that was in use, beyond the journal itself
}

// Fill returns a journal with the snapshots of the workload and the longest
// tail that the limits allow, and the number of records in the tail. The tail
// has the changes of the configuration that the limits allow.
func (w Workload) Fill(limits snapshot.Limits) (*standin.Memory, int, error) {
	m, o := new(standin.Memory), &record.Origin{Writer: "0191a1c2-owner-of-a-data-centre-0000"}
	var r config.Register
	r.Attach(0)
	first, err := config.NewChange(0, "morag", 1, w.text(0))
	if err != nil {
		return nil, 0, err
	}
	r.Apply(0, o.NextID(), first)
	records, err := w.snapshots(o, &r, 0)
	if err != nil {
		return nil, 0, err
	}
	a := appender{journal: m}
	for _, rec := range records {
		a.add(rec)
	}
	a.flush()
	tail, n := m.Counts().Bytes, 0
	size := limits.TailBytes / unit.Bytes(Target.Starts) * unit.Bytes(w.Starts)
	for change := 1; m.Counts().Bytes-tail < size && a.err == nil; n++ {
		rec, err := w.record(o, n, n%2 == 1)
		a.err = errors.Join(a.err, err)
		a.add(rec)
		if n%groupRecords == groupRecords-1 {
			a.flush()
		}
		if int(m.Counts().Bytes-tail)*limits.Changes/int(size) >= change && change < limits.Changes {
			c, err := config.NewChange(unit.Revision(change), "morag", 1, w.text(change))
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

// appender groups records into entries.
type appender struct {
	journal *standin.Memory
	group   record.Group
	err     error
}

func (a *appender) add(r record.Record) {
	ok, err := a.group.Add(r)
	if err == nil && !ok {
		a.flush()
		_, err = a.group.Add(r)
	}
	a.err = errors.Join(a.err, err)
}

func (a *appender) flush() {
	if a.group.Len() > 0 {
		_, err := a.journal.Append(context.Background(), a.group.Entry())
		a.err = errors.Join(a.err, err)
	}
	a.group.Reset()
}

// Recover starts a process on the journal and returns what it took until it
// was ready.
func Recover(j journal.Follower) (cpu time.Duration, heap unit.Bytes, err error) {
	loop := control.New(clock.System{}, control.Self{Instance: "measured"}, control.RouteSystem)
	var tasks table.Table[unit.Task, Attempt]
	keep := func(_ *control.State, it record.Item, _ clock.Millis) {
		if a, err := record.Decode[Attempt](it.Record); err == nil {
			tasks.Put(unit.Task(string(a.Job)+"/"+string(a.Task)), a)
		}
	}
	drop := func(_ *control.State, it record.Item, _ clock.Millis) {
		if a, err := record.Decode[Attempt](it.Record); err == nil {
			tasks.Delete(unit.Task(string(a.Job) + "/" + string(a.Task)))
		}
	}
	loop.OnRecord(record.Started, keep)
	loop.OnRecord(record.Finished, drop)
	loop.AddSection(control.Section{Name: tasksSection, Restore: func(_ *control.State, _ snapshot.Scope, _ unit.Offset, data []byte) error {
		rows, err := record.Unmarshal[[]Attempt](data)
		for _, a := range rows {
			tasks.Put(unit.Task(string(a.Job)+"/"+string(a.Task)), a)
		}
		return err
	}})
	base := heapInUse()
	before := processorTime()
	var g group.Group
	var most atomic.Uint64
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
		most.Store(max(most.Load(), s.HeapInuse))
	}
	cpu = processorTime() - before
	g.Stop()
	return cpu, unit.Bytes(most.Load()) - base, g.Wait()
}

func heapInUse() unit.Bytes {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return unit.Bytes(s.HeapInuse)
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Measure returns what recoveries cost at a quarter, a half and the whole of
// the target.
func Measure() ([]Recovery, error) {
	var out []Recovery
	for _, n := range []int{4, 2, 1} {
		w := Target.Scale(n)
		m, records, err := w.Fill(snapshot.DefaultLimits)
		if err != nil {
			return nil, err
		}
		r := Recovery{Workload: w, Tail: m.Counts().Bytes, Records: records}
		if r.CPU, r.Heap, err = Recover(m); err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}
