package worker

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/estimate"
	"mimosadock/schedule/service"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// Row is one worker in the table of workers. Use the methods of [Tables] to
// change its allocations.
type Row struct {
	ID             unit.Worker
	Host           unit.Host
	Rack           unit.Rack
	Capacity       unit.Resources
	Allocated      unit.Resources // sum of the limits of the allocations
	Reserved       unit.Resources // capacity that is being freed for waiting tasks
	BatchAllocated unit.Resources // part of Allocated that batch work holds
	Attempts       int            // number of allocations
	AttemptIDs     []AttemptID    // ids of the allocated attempts
	rackIndex      int            // see [Row.RackIndex]
	// ThrottledAttempts is the number of attempts that get less processor than
	// their size. Batch work must not use the capacity that this frees.
	ThrottledAttempts int
	Leaving           bool

	Epoch            unit.Epoch    // epoch of the owner at the last report; 0 before the first report to this owner
	Instance         unit.Instance // instance of the worker process that sent the last report; changes when the worker restarts
	ReportWrittenAt  clock.Millis  // when the worker wrote its last report, on the clock of the worker
	ReportReceivedAt clock.Millis  // when the last report was received, on the clock of this process
	RenewedAt        clock.Millis  // when the last renewal was built; 0 if there is none
	CommandsInFlight bool          // a command batch waits for its result
	CommandBatchID   uint64        // id of the last command batch
	BackoffUntil     clock.Millis  // no starts before this instant, because the worker refused one
	PollSoon         bool          // a report of a stop or a checkpoint is awaited
	CommandsPending  bool          // there may be commands to send
	PendingReleases  []AttemptID   // results that the journal holds and the worker still keeps
	Health           Health

	MeasuredUsage unit.Resources // usage of the last report
	History       estimate.History
}

// Ready reports whether the worker accepts starts of the given epoch now.
func (r *Row) Ready(e unit.Epoch, now clock.Millis) bool {
	return !r.Leaving && r.Epoch == e && now >= r.BackoffUntil && now.Sub(r.ReportReceivedAt) <= MaxReportAge
}

// Free returns the capacity that is neither allocated nor reserved. A
// quarantined worker with an allocation has no free capacity.
func (r *Row) Free() unit.Resources {
	if r.Health.Quarantined && r.Attempts > 0 {
		return unit.Resources{}
	}
	return r.Capacity.Sub(r.Allocated).Sub(r.Reserved)
}

// AttemptID identifies an attempt of a task.
type AttemptID struct {
	Task    unit.Task
	Attempt unit.Attempt
}

// StartState is the state of the start command of an attempt.
type StartState int

// The states of a start command.
const (
	StartPending  StartState = iota // not sent, or without a result yet
	StartAccepted                   // accepted by the worker
	StartUnknown                    // may or may not have run
)

// Allocation is an attempt that may run at a worker. It uses capacity of the
// worker until the worker reports its end or its lease has certainly ended.
type Allocation struct {
	AttemptID
	Job              unit.Job
	Worker           unit.Worker
	Kind             unit.Kind
	Team             unit.Team
	Class            service.WorkClass
	Size             unit.Resources // limit before throttling
	Share            float64        // of the processor limit that the attempt gets, in (0, 1]
	Start            StartState
	Speculative      bool
	LeaseEnd         clock.Millis // the lease has certainly ended from this instant on
	PlacedAt         clock.Millis
	RunningSince     clock.Millis // first report as running; 0 before it
	StopReason       StopReason
	StopBy           clock.Millis // latest instant of the stop of a migration, even without a checkpoint
	Phase            Phase
	PeakUsage        unit.Resources // maximum of the reported usage
	UsageSampled     bool           // PeakUsage was added to the estimates
	ReportedProgress float64        // of the last report, in [0, 1]
	ProgressAt       clock.Millis
	InitialProgress  float64 // progress at the checkpoint that the attempt started from
	Saved            float64 // progress at the last complete checkpoint
	// CheckpointPending and PendingShare describe commands that have not
	// succeeded yet.
	CheckpointPending bool
	PendingShare      float64      // new value of Share; 0 if there is none
	LastCheckpointAt  clock.Millis // last time a checkpoint was requested or completed; 0 if there was none
}

// StopReason is the reason for which the owner ends an attempt.
type StopReason int

// The reasons for ending an attempt.
const (
	StopNone         StopReason = iota // the attempt continues
	StopPreempted                      // evicted for other work, or because the memory usage of the worker exceeds its capacity; counts against the eviction budget
	StopForMigration                   // continued on another worker, because it is a straggler or its team exceeds its quota; stops after a checkpoint or at StopBy
	StopEnded                          // its job has ended, or another attempt of its task has finished
	StopUnknownStart                   // its start may or may not have run
)

// Limit returns the resources that a may use after throttling.
func (a *Allocation) Limit() unit.Resources {
	l := a.Size
	l.CPU = unit.MilliCPU(float64(l.CPU) * a.Share)
	return l
}

// Tables holds the workers of a data centre and their allocations. The zero
// value is empty. One goroutine owns it.
type Tables struct {
	Workers        table.Table[unit.Worker, Row]
	Allocations    table.Table[AttemptID, Allocation]
	racks          table.Table[unit.Rack, int]
	attemptsByRack table.Table[unit.Job, []int] // attempts by rack index, without batch work
}

// Put adds a worker, or updates the host and the rack of a known one. The
// capacity of a known worker is left unchanged.
func (t *Tables) Put(id unit.Worker, host unit.Host, rack unit.Rack, capacity unit.Resources) *Row {
	r := t.Workers.Get(id)
	if r == nil {
		r = t.Workers.Put(id, Row{ID: id, Capacity: capacity})
	}
	n := t.racks.Get(rack)
	if n == nil {
		n = t.racks.Put(rack, t.racks.Len())
	}
	r.Host, r.Rack, r.rackIndex = host, rack, *n
	return r
}

// AttemptsByRack returns the number of attempts of a job in each rack, indexed by
// [Row.RackIndex]. Racks beyond its length have none. Batch work is not
// counted.
func (t *Tables) AttemptsByRack(j unit.Job) []int {
	if c := t.attemptsByRack.Get(j); c != nil {
		return *c
	}
	return nil
}

// RackIndex returns the index of the rack of r in the result of
// [Tables.AttemptsByRack].
func (r *Row) RackIndex() int { return r.rackIndex }

// updateAllocated adds n times a, where n is 1 or -1, to the sums of r and to
// the attempts of its job by rack.
func (t *Tables) updateAllocated(a *Allocation, r *Row, n int) {
	l := a.Limit()
	if n < 0 {
		l = unit.Resources{}.Sub(l)
	}
	r.Allocated = r.Allocated.Add(l)
	r.Attempts += n
	if a.Share < 1 {
		r.ThrottledAttempts += n
	}
	if a.Class == service.Batch {
		r.BatchAllocated = r.BatchAllocated.Add(l)
		return
	}
	c := t.attemptsByRack.Ensure(a.Job)
	for len(*c) <= r.rackIndex {
		*c = append(*c, 0)
	}
	(*c)[r.rackIndex] += n
	if n < 0 && !slices.ContainsFunc(*c, func(v int) bool { return v > 0 }) {
		t.attemptsByRack.Delete(a.Job)
	}
}

// Allocate adds an allocation and returns its row. A zero share means 1.
func (t *Tables) Allocate(a Allocation) *Allocation {
	if a.Share == 0 {
		a.Share = 1
	}
	if r := t.Workers.Get(a.Worker); r != nil {
		t.updateAllocated(&a, r, 1)
		r.AttemptIDs = append(r.AttemptIDs, a.AttemptID)
	}
	return t.Allocations.Put(a.AttemptID, a)
}

// Deallocate removes an attempt that has certainly ended. It reports false
// for an unknown one.
func (t *Tables) Deallocate(ref AttemptID) bool {
	a := t.Allocations.Get(ref)
	if a == nil {
		return false
	}
	if r := t.Workers.Get(a.Worker); r != nil {
		t.updateAllocated(a, r, -1)
		r.AttemptIDs = slices.DeleteFunc(r.AttemptIDs, func(o AttemptID) bool { return o == ref })
	}
	return t.Allocations.Delete(ref)
}

// Grow raises the size of a to its measured usage, so that the capacity
// which it uses is not allocated a second time. It reports whether the size
// changed.
func (t *Tables) Grow(a *Allocation, measured unit.Resources) bool {
	if measured.CPU <= a.Size.CPU && measured.Memory <= a.Size.Memory {
		return false
	}
	r := t.Workers.Get(a.Worker)
	if r != nil {
		t.updateAllocated(a, r, -1)
	}
	a.Size.CPU, a.Size.Memory = max(a.Size.CPU, measured.CPU), max(a.Size.Memory, measured.Memory)
	if r != nil {
		t.updateAllocated(a, r, 1)
	}
	return true
}

// SetShare sets the share to which the worker throttles a.
func (t *Tables) SetShare(a *Allocation, share float64) {
	r := t.Workers.Get(a.Worker)
	if r != nil {
		t.updateAllocated(a, r, -1)
	}
	a.Share = share
	if r != nil {
		t.updateAllocated(a, r, 1)
	}
}

// Kinds returns the kinds of the attempts on r.
func (t *Tables) Kinds(r *Row) []unit.Kind {
	kinds := make([]unit.Kind, 0, len(r.AttemptIDs))
	for _, ref := range r.AttemptIDs {
		kinds = append(kinds, t.Allocations.Get(ref).Kind)
	}
	return kinds
}

// Capacities appends the distinct capacities of the workers to dst.
func (t *Tables) Capacities(dst []unit.Resources) []unit.Resources {
	for _, r := range t.Workers.All() {
		if !slices.Contains(dst, r.Capacity) {
			dst = append(dst, r.Capacity)
		}
	}
	return dst
}
