package worker

import (
	"context"

	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
	"mimosadock/schedule/worker"
)

var _ worker.Agent = (*Agents)(nil)

// Agents implements [worker.Agent], the scheduler's interface to workers, for a
// set of simulated workers. After all workers are added, it is safe for
// concurrent use.
type Agents struct {
	Workers map[unit.Worker]*Worker
	// Network decides the outcome of each call: whether it is executed, and
	// whether its answer arrives. If it is nil, all calls are executed and
	// answered.
	Network func(unit.Worker) CallOutcome
	// DeferCall receives the calls to frozen workers, to execute them when the
	// worker is thawed. If it is nil, these calls are lost.
	DeferCall func(unit.Worker, func())
}

// CallOutcome is the outcome of a call on the network.
type CallOutcome int

// The outcomes of calls.
const (
	Delivered   CallOutcome = iota // executed and answered
	RequestLost                    // neither executed nor answered
	AnswerLost                     // executed, but the answer is lost
)

// Add adds workers under their ids.
func (a *Agents) Add(ws ...*Worker) {
	if a.Workers == nil {
		a.Workers = make(map[unit.Worker]*Worker)
	}
	for _, w := range ws {
		a.Workers[w.ID] = w
	}
}

var (
	errRefused  = verdict.Refuse("connection refused")
	errNoAnswer = &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "no answer"}
)

// call executes do on the named worker, subject to the state of the worker and
// to the network.
func (a *Agents) call(id unit.Worker, do func(*Worker) error) error {
	w := a.Workers[id]
	if w == nil || w.Dead() {
		return errRefused
	}
	if !w.Up() {
		if a.DeferCall != nil {
			a.DeferCall(id, func() { _ = do(w) })
		}
		return errNoAnswer
	}
	outcome := Delivered
	if a.Network != nil {
		outcome = a.Network(id)
	}
	if outcome == RequestLost {
		return errNoAnswer
	}
	err := do(w)
	if outcome == AnswerLost {
		return errNoAnswer
	}
	return err
}

// Start calls [Worker.Start] on the named worker.
func (a *Agents) Start(_ context.Context, id unit.Worker, s worker.Start) error {
	return a.call(id, func(w *Worker) error { return w.Start(s) })
}

// Renew calls [Worker.Renew] on the named worker.
func (a *Agents) Renew(_ context.Context, id unit.Worker, r worker.Renewal) (report worker.Report, err error) {
	err = a.call(id, func(w *Worker) error {
		var err error
		report, err = w.Renew(r)
		return err
	})
	return report, err
}

// Checkpoint calls [Worker.Checkpoint] on the named worker.
func (a *Agents) Checkpoint(_ context.Context, id unit.Worker, c worker.Command) error {
	return a.call(id, func(w *Worker) error { return w.Checkpoint(c) })
}

// Throttle calls [Worker.Throttle] on the named worker.
func (a *Agents) Throttle(_ context.Context, id unit.Worker, c worker.Command, share float64) error {
	return a.call(id, func(w *Worker) error { return w.Throttle(c, share) })
}

// Stop calls [Worker.Stop] on the named worker.
func (a *Agents) Stop(_ context.Context, id unit.Worker, c worker.Command) error {
	return a.call(id, func(w *Worker) error { return w.Stop(c) })
}

// Release calls [Worker.Release] on the named worker.
func (a *Agents) Release(_ context.Context, id unit.Worker, c worker.Command) error {
	return a.call(id, func(w *Worker) error { return w.Release(c) })
}
