package worker

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/estimate"
	"mimosadock/schedule/service"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// Row is one worker. Use the methods of [Tables] to change what it holds.
type Row struct {
	ID        unit.Worker
	Host      unit.Host
	Rack      unit.Rack
	Capacity  unit.Resources
	Used      unit.Resources // limits of the attempts that may run here
	Reserved  unit.Resources // room being made for a task, see [Tables.Promise]
	BatchUsed unit.Resources // the part of Used that batch work holds
	Attempts  int            // that may run here
	Refs      []Ref          // the attempts that may run here
	rackIndex int            // index of Rack
	// Throttled counts the attempts that get less processor than their size.
	// Their room is for urgent work; batch work must not take it.
	Throttled int
	Leaving   bool

	Epoch           unit.Epoch // under which it last reported
	Instance        unit.Instance
	Stamp           clock.Millis // of its last report, on its own clock
	ReportedAt      clock.Millis // when that report was received
	RenewedAt       clock.Millis // when the last report was asked for
	BatchInFlight   bool         // a batch of calls is under way
	BatchID         uint64       // id of that batch
	BackoffUntil    clock.Millis // takes no starts before, after it refused one
	PollSoon        bool         // a stop or a checkpoint is expected to show soon
	CallsPending    bool         // there are calls to make
	PendingReleases []Ref        // results that the journal holds
	Health          Health

	MeasuredUsage unit.Resources // usage of the last report
	History       estimate.History
}

// Ready reports whether r takes starts of the given epoch.
func (r *Row) Ready(e unit.Epoch, now clock.Millis) bool {
	return !r.Leaving && r.Epoch == e && now >= r.BackoffUntil && now.Sub(r.ReportedAt) <= MaxReportAge
}

// Free returns what is neither used nor promised. A quarantined worker that
// runs something has nothing free.
func (r *Row) Free() unit.Resources {
	if r.Health.Quarantined && r.Attempts > 0 {
		return unit.Resources{}
	}
	return r.Capacity.Sub(r.Used).Sub(r.Reserved)
}

// Ref names an attempt of a task.
type Ref struct {
	Task    unit.Task
	Attempt unit.Attempt
}

// StartState of the start command of an attempt.
type StartState int

// The outcomes of a start command.
const (
	StartPending  StartState = iota // not answered
	StartAnswered                   // accepted by the worker
	StartUnknown                    // may have run
)

// Allocation is an attempt that may run at a worker. It counts against the worker
// until the worker reports that it has ended or its lease has certainly ended.
type Allocation struct {
	Ref
	Job             unit.Job
	Worker          unit.Worker
	Kind            unit.Kind
	Team            unit.Team
	Class           service.WorkClass
	Size            unit.Resources // limit at the worker, before throttling
	Share           float64        // of the processor limit that it gets, in (0, 1]
	Start           StartState
	Spare           bool
	LeaseEnd        clock.Millis // the lease has certainly ended then
	PlacedAt        clock.Millis
	RunningSince    clock.Millis // first report as running; 0 before
	Stop            StopReason
	StopBy          clock.Millis // stop at the latest then, after a checkpoint if possible
	Phase           Phase
	PeakUsage       unit.Resources // greatest usage reported
	UsageSampled    bool           // the usage was added to the estimates
	Progress        float64        // progress of the last report
	ProgressAt      clock.Millis
	InitialProgress float64 // progress that it began with
	SavedProgress   float64 // progress at the last whole checkpoint
	// Asked are calls that have not succeeded yet.
	CheckpointPending bool
	PendingShare      float64 // 0 if none
	CheckpointedAt    clock.Millis
}

// StopReason says why the owner ends an attempt.
type StopReason int

// The reasons for ending an attempt.
const (
	StopNone         StopReason = iota
	StopForRoom                 // evicted for other work; counts against the budget
	StopForMove                 // moved after a checkpoint, because it straggles or its host is overloaded
	StopEnded                   // the job has ended, or another attempt has
	StopUnknownStart            // its start may or may not have run
)

// Limit returns what h may use after throttling.
func (h *Allocation) Limit() unit.Resources {
	l := h.Size
	l.CPU = unit.MilliCPU(float64(l.CPU) * h.Share)
	return l
}

// Tables holds the workers of a data centre and the attempts that may run on
// them. The zero value is empty. It is owned by one goroutine.
type Tables struct {
	Workers    table.Table[unit.Worker, Row]
	Held       table.Table[Ref, Allocation]
	racks      table.Table[unit.Rack, int]
	rackSpread table.Table[unit.Job, []int] // attempts by index of the rack, batch left out
}

// Put adds a worker or changes where it stands.
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

// Spread returns how many attempts of a job each rack holds, by [Row.RackIndex].
// Racks beyond the end hold none. Batch work is not counted.
func (t *Tables) Spread(j unit.Job) []int {
	if c := t.rackSpread.Get(j); c != nil {
		return *c
	}
	return nil
}

// RackIndex returns the index of the rack in the result of [Tables.Spread].
func (r *Row) RackIndex() int { return r.rackIndex }

func (t *Tables) updateUsage(h *Allocation, r *Row, n int) {
	l := h.Limit()
	if n < 0 {
		l = unit.Resources{}.Sub(l)
	}
	r.Used = r.Used.Add(l)
	r.Attempts += n
	if h.Share < 1 {
		r.Throttled += n
	}
	if h.Class == service.Batch {
		r.BatchUsed = r.BatchUsed.Add(l)
		return
	}
	c := t.rackSpread.Ensure(h.Job)
	for len(*c) <= r.rackIndex {
		*c = append(*c, 0)
	}
	(*c)[r.rackIndex] += n
	if n < 0 && !slices.ContainsFunc(*c, func(v int) bool { return v > 0 }) {
		t.rackSpread.Delete(h.Job)
	}
}

// Allocate adds an attempt and returns its row.
func (t *Tables) Allocate(h Allocation) *Allocation {
	if h.Share == 0 {
		h.Share = 1
	}
	if r := t.Workers.Get(h.Worker); r != nil {
		t.updateUsage(&h, r, 1)
		r.Refs = append(r.Refs, h.Ref)
	}
	return t.Held.Put(h.Ref, h)
}

// Deallocate removes an attempt that has certainly ended.
func (t *Tables) Deallocate(ref Ref) bool {
	h := t.Held.Get(ref)
	if h == nil {
		return false
	}
	if r := t.Workers.Get(h.Worker); r != nil {
		t.updateUsage(h, r, -1)
		r.Refs = slices.DeleteFunc(r.Refs, func(o Ref) bool { return o == ref })
	}
	return t.Held.Delete(ref)
}

// Grow raises the size of h to what it was seen to use, so that the room that it
// takes is not given away again.
func (t *Tables) Grow(h *Allocation, measured unit.Resources) bool {
	if measured.CPU <= h.Size.CPU && measured.Memory <= h.Size.Memory {
		return false
	}
	r := t.Workers.Get(h.Worker)
	if r != nil {
		t.updateUsage(h, r, -1)
	}
	h.Size.CPU, h.Size.Memory = max(h.Size.CPU, measured.CPU), max(h.Size.Memory, measured.Memory)
	if r != nil {
		t.updateUsage(h, r, 1)
	}
	return true
}

// SetShare notes that the worker throttles h to the given share.
func (t *Tables) SetShare(h *Allocation, share float64) {
	r := t.Workers.Get(h.Worker)
	if r != nil {
		t.updateUsage(h, r, -1)
	}
	h.Share = share
	if r != nil {
		t.updateUsage(h, r, 1)
	}
}

// Kinds returns the kinds of the attempts on r.
func (t *Tables) Kinds(r *Row) []unit.Kind {
	kinds := make([]unit.Kind, 0, len(r.Refs))
	for _, ref := range r.Refs {
		kinds = append(kinds, t.Held.Get(ref).Kind)
	}
	return kinds
}

// Capacities appends the capacities of the workers to dst, each value once.
func (t *Tables) Capacities(dst []unit.Resources) []unit.Resources {
	for _, r := range t.Workers.All() {
		if !slices.Contains(dst, r.Capacity) {
			dst = append(dst, r.Capacity)
		}
	}
	return dst
}
