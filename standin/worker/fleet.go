package worker

import (
	"context"

	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
	"mimosadock/schedule/worker"
)

var _ worker.Agent = (*Fleet)(nil)

// Fleet is a set of workers behind the interface of the scheduler. Add workers
// before use. It is safe for concurrent use then.
type Fleet struct {
	Workers map[unit.Worker]*Worker
	// Network decides the fate of each call: whether it is carried out, and
	// whether its answer arrives. Nil carries out and answers all.
	Network func(unit.Worker) Fate
	// DeferCall takes calls to frozen workers, which are carried out when the
	// worker goes on. Nil drops them.
	DeferCall func(unit.Worker, func())
}

// Fate is what happens to a call.
type Fate int

// The fates of calls.
const (
	Delivered   Fate = iota
	RequestLost      // neither carried out nor answered
	AnswerLost       // carried out, but the answer is lost
)

// Add adds workers.
func (f *Fleet) Add(ws ...*Worker) {
	if f.Workers == nil {
		f.Workers = make(map[unit.Worker]*Worker)
	}
	for _, w := range ws {
		f.Workers[w.ID] = w
	}
}

var (
	errRefused  = verdict.Refuse("connection refused")
	errNoAnswer = &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "no answer"}
)

func (f *Fleet) call(id unit.Worker, do func(*Worker) error) error {
	w := f.Workers[id]
	if w == nil || w.Dead() {
		return errRefused
	}
	if !w.Up() {
		if f.DeferCall != nil {
			f.DeferCall(id, func() { _ = do(w) })
		}
		return errNoAnswer
	}
	outcome := Delivered
	if f.Network != nil {
		outcome = f.Network(id)
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

// Start starts an attempt.
func (f *Fleet) Start(_ context.Context, id unit.Worker, s worker.Start) error {
	return f.call(id, func(w *Worker) error { return w.Start(s) })
}

// Renew extends leases and returns a report.
func (f *Fleet) Renew(_ context.Context, id unit.Worker, r worker.Renewal) (report worker.Report, err error) {
	err = f.call(id, func(w *Worker) error {
		var err error
		report, err = w.Renew(r)
		return err
	})
	return report, err
}

// Checkpoint begins a checkpoint.
func (f *Fleet) Checkpoint(_ context.Context, id unit.Worker, c worker.Command) error {
	return f.call(id, func(w *Worker) error { return w.Checkpoint(c) })
}

// Throttle limits an attempt.
func (f *Fleet) Throttle(_ context.Context, id unit.Worker, c worker.Command, share float64) error {
	return f.call(id, func(w *Worker) error { return w.Throttle(c, share) })
}

// Stop ends an attempt.
func (f *Fleet) Stop(_ context.Context, id unit.Worker, c worker.Command) error {
	return f.call(id, func(w *Worker) error { return w.Stop(c) })
}

// Release drops what is kept of an attempt.
func (f *Fleet) Release(_ context.Context, id unit.Worker, c worker.Command) error {
	return f.call(id, func(w *Worker) error { return w.Release(c) })
}
