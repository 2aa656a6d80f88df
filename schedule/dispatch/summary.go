package dispatch

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Summary counts the jobs and tasks of a shard and lists its executors.
type Summary struct {
	Jobs      map[string]int  `json:"jobs"`  // number of jobs by state
	Tasks     map[string]int  `json:"tasks"` // number of tasks by state, of jobs that have a spec
	Executors []ExecutorState `json:"executors"`
	Ratings   int64           `json:"ratings"` // executors rated for a task since the start of the ownership

	// RackWaits has the steps that wait for room on a rack, by the name of their
	// first task.
	RackWaits map[string]RackWaitState `json:"rackWaits"`

	Lent     map[unit.Executor]unit.Shard `json:"lent"`     // borrower of each executor that is lent to another shard
	Borrowed map[unit.Executor]unit.Shard `json:"borrowed"` // lender of each executor that is borrowed from another shard
}

// RackWaitState is the state of a step that waits for room on a rack. Spans are in
// milliseconds.
type RackWaitState struct {
	Rack     unit.Rack     `json:"rack"`
	Waited   clock.Span    `json:"waitedMs"` // until the last placement
	AtMost   clock.Span    `json:"atMostMs"` // the wait ends by itself after this time, by the last estimate
	Promises []RackPromise `json:"promises"` // one for each task that waits
}

// RackPromise is room that is promised to a task.
type RackPromise struct {
	Executor unit.Executor `json:"executor"`
	Expected clock.Span    `json:"expectedMs"` // from the start of the wait until there is room
}

// ExecutorState is the state of an executor in the tables of the owner.
type ExecutorState struct {
	Executor     unit.Executor  `json:"executor"`
	Service      unit.Service   `json:"service"`
	Runs         int            `json:"runs"`   // runs assigned to it
	Used         unit.Resources `json:"used"`   // resources allocated to tasks
	Reconciled   bool           `json:"known"`  // its run lists have been reconciled with the tables
	Unresponsive bool           `json:"silent"` // the last order had no answer
	Draining     bool           `json:"draining"`
	Reserved     bool           `json:"reserved"` // kept free of first runs of perpetual tasks
	Registered   bool           `json:"listed"`   // it has an entry in the platform's list

	DataCentre unit.DataCentre `json:"dataCentre"`
	Evacuated  bool            `json:"evacuated"` // the operator evacuates its data centre
}

// Summarize counts the rows of s.
func (s *Shard) Summarize() Summary {
	out := Summary{
		Ratings: s.ratings, Jobs: make(map[string]int), Tasks: make(map[string]int),
		RackWaits: make(map[string]RackWaitState),
		Lent:      make(map[unit.Executor]unit.Shard), Borrowed: make(map[unit.Executor]unit.Shard),
	}
	for id, l := range s.loans.All() {
		if l.Lent {
			out.Lent[id] = l.Borrower
		}
	}
	for id, b := range s.borrowed.All() {
		out.Borrowed[id] = b.lender
	}
	for k, w := range s.rackWaits {
		state := RackWaitState{Rack: w.rack, Waited: w.weighed.Sub(w.since), AtMost: w.until.Sub(w.since)}
		for _, p := range w.promises {
			state.Promises = append(state.Promises, RackPromise{p.executor.Executor, p.at.Sub(w.since)})
		}
		out.RackWaits[TaskID{k.job, k.occurrence, k.step, 0}.String()] = state
	}
	for id, j := range s.jobs.All() {
		out.Jobs[j.State.String()]++
		if j.Spec != nil {
			s.forEachTask(id, j, func(_ TaskID, _ *Step, t *Task) { out.Tasks[t.State.String()]++ })
		}
	}
	for _, e := range s.executors.All() {
		out.Executors = append(out.Executors, ExecutorState{
			Executor: e.Executor, Service: e.Service, Runs: len(e.runs), Used: e.allocated, Reconciled: e.reconciled,
			Unresponsive: e.unresponsive, Draining: e.Draining, Reserved: e.reservedForBatch, Registered: e.registered,
			DataCentre: e.DataCentre, Evacuated: e.evacuated,
		})
	}
	return out
}
