package worker

import (
	"fmt"
	"slices"
	"sync"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
	"mimosadock/schedule/worker"
)

// Truth is what a task really is, apart from what was declared of it.
type Truth struct {
	Usage unit.Resources
	Time  clock.Span // alone, at full speed; zero runs until it is stopped
	Fails bool       // fails wherever it runs, after half its time
}

// World is what the workers of a platform have in common.
type World struct {
	Clock clock.Clock
	// Truth tells what a task really is. It must be set.
	Truth func(unit.Task, unit.Kind) Truth
	// Slowdown tells how much a kind slows another one down, by the load of
	// the processors. Nil means not at all.
	Slowdown func(k, beside unit.Kind, load float64) float64
	Lag      clock.Span // age of the usage in reports
	SaveTime clock.Span // time that a checkpoint takes
	Store    Store
}

// Store holds checkpoints. The zero value is empty.
type Store struct {
	mu    sync.Mutex
	saved map[string]Saved
}

// Saved is a checkpoint. One whose writing was cut short is not whole.
type Saved struct {
	Task     unit.Task
	Progress float64
	Whole    bool
}

// Put stores a checkpoint.
func (s *Store) Put(name string, c Saved) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.saved == nil {
		s.saved = make(map[string]Saved)
	}
	s.saved[name] = c
}

// Get returns a checkpoint.
func (s *Store) Get(name string) (Saved, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.saved[name]
	return c, ok
}

// Faults switch rules of a worker off or make it misbehave. The zero value is a
// worker that works.
type Faults struct {
	FailAll     bool // fails all that it starts
	KeepLapsed  bool // breaks the rule that an attempt stops with its lease
	AnyEpoch    bool // breaks the rule that lower epochs are refused
	IgnoreStamp bool // breaks the rule that leases count from the stamp
	HalfSaves   bool // breaks the rule that only whole checkpoints are reported
}

// Worker is one worker. Use [New].
type Worker struct {
	ID       unit.Worker
	Capacity unit.Resources
	Faults   Faults

	world    *World
	mu       sync.Mutex
	epoch    unit.Epoch
	attempts map[worker.Ref]*attempt
	order    []*attempt   // as they arrived
	at       clock.Millis // attempts are advanced to this instant
	skew     clock.Span   // of the own clock, grows with restarts
	lives    int
	dead     bool
	frozen   bool
}

type attempt struct {
	worker.Ref
	kind       unit.Kind
	limit      unit.Resources
	share      float64
	truth      Truth
	phase      worker.Phase
	reason     string
	began      clock.Millis
	ended      clock.Millis
	lease      clock.Millis // end
	progress   float64
	speed      float64
	checkpoint string
	saved      float64
	saveEnd    clock.Millis
	saveName   string
	saveAt     float64
	saves      int
}

// New returns a worker of a world.
func New(w *World, id unit.Worker, capacity unit.Resources) *Worker {
	return &Worker{ID: id, Capacity: capacity, world: w, attempts: make(map[worker.Ref]*attempt), at: w.Clock.Now()}
}

var (
	errStamp    = verdict.Refuse("the lease would have ended already")
	errInstance = verdict.Refuse("the worker has restarted")
	errUnknown  = verdict.Refuse("unknown attempt")
	errStopped  = verdict.Refuse("the attempt was stopped before")
	errNoBackup = verdict.Refuse("unknown checkpoint")
)

// admit catches up and checks the epoch of a command.
func (w *Worker) admit(e unit.Epoch) error {
	w.advance(w.world.Clock.Now())
	if e < w.epoch && !w.Faults.AnyEpoch {
		return &verdict.Error{Verdict: verdict.DidNotRun, Reason: "a later owner commands this worker", Err: worker.ErrFenced}
	}
	w.epoch = max(w.epoch, e)
	return nil
}

func (w *Worker) instance() unit.Instance {
	return unit.Instance(fmt.Sprintf("%s#%d", w.ID, w.lives))
}

// leaseEnd returns when a lease ends that counts from the given stamp.
func (w *Worker) leaseEnd(stamp clock.Millis, lease clock.Span) clock.Millis {
	if w.Faults.IgnoreStamp {
		return w.at.Add(lease)
	}
	return stamp.Add(-w.skew).Add(lease)
}

// Start starts an attempt.
func (w *Worker) Start(s worker.Start) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.admit(s.Epoch); err != nil {
		return err
	}
	ref := worker.Ref{Task: s.Task, Attempt: s.Attempt}
	if a := w.attempts[ref]; a != nil {
		if a.phase == worker.Stopped {
			return errStopped
		}
		return nil
	}
	if s.Instance != w.instance() && !w.Faults.IgnoreStamp {
		return errInstance
	}
	end := w.leaseEnd(s.Stamp, s.Lease)
	if end <= w.at {
		return errStamp
	}
	a := &attempt{
		Ref: ref, kind: s.Kind, limit: s.Limit, share: 1, truth: w.world.Truth(s.Task, s.Kind),
		phase: worker.Running, began: w.at, lease: end,
	}
	if s.Checkpoint != "" {
		c, ok := w.world.Store.Get(s.Checkpoint)
		if !ok || c.Task != s.Task {
			return errNoBackup
		}
		a.progress, a.saved, a.checkpoint = c.Progress, c.Progress, s.Checkpoint
	}
	w.add(a)
	return nil
}

// Renew extends leases that have not ended and reports.
func (w *Worker) Renew(r worker.Renewal) (worker.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.admit(r.Epoch); err != nil {
		return worker.Report{}, err
	}
	for _, c := range r.Attempts {
		if r.Instance != w.instance() {
			break
		}
		if a := w.attempts[worker.Ref{Task: c.Task, Attempt: c.Attempt}]; a != nil && a.phase.Live() {
			a.lease = max(a.lease, w.leaseEnd(r.Stamp, r.Lease))
		}
	}
	rep := worker.Report{Epoch: w.epoch, Instance: w.instance(), Stamp: w.at.Add(w.skew), Capacity: w.Capacity}
	for _, a := range w.order {
		rep.Statuses = append(rep.Statuses, w.statusOf(a))
	}
	return rep, nil
}

func (w *Worker) statusOf(a *attempt) worker.Status {
	s := worker.Status{
		Task: a.Task, Attempt: a.Attempt, Kind: a.kind, Limit: a.limit, Phase: a.phase, Age: w.world.Lag,
		Progress: a.progress, Checkpoint: a.checkpoint, Saved: a.saved, Reason: a.reason,
	}
	end := w.at
	if !a.phase.Live() {
		end = a.ended
	}
	s.Ran = end.Sub(a.began)
	if a.phase.Live() {
		s.Progress = max(a.saved, a.progress-a.speed*float64(w.world.Lag))
	}
	if s.Ran >= w.world.Lag {
		s.Usage = a.truth.Usage
		s.Usage.CPU = min(s.Usage.CPU, unit.MilliCPU(float64(a.limit.CPU)*a.share))
	}
	if a.phase == worker.Finished {
		s.Result = fmt.Appendf(nil, "result of %s", a.Task)
	}
	return s
}

// Checkpoint begins a checkpoint. It is whole after the world's SaveTime.
func (w *Worker) Checkpoint(c worker.Command) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, err := w.find(c)
	if err != nil || a.phase != worker.Running {
		return err
	}
	a.saves++
	a.phase, a.saveAt = worker.Checkpointing, a.progress
	a.saveEnd = w.at.Add(w.world.SaveTime)
	a.saveName = fmt.Sprintf("%s.%d.%d", a.Task, a.Attempt, a.saves)
	w.world.Store.Put(a.saveName, Saved{Task: a.Task, Progress: a.saveAt})
	if w.Faults.HalfSaves {
		a.checkpoint, a.saved = a.saveName, a.saveAt
	}
	return nil
}

// Throttle limits an attempt to a share of its processor limit.
func (w *Worker) Throttle(c worker.Command, share float64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, err := w.find(c)
	if err == nil {
		a.share = share
	}
	return err
}

// Stop ends an attempt. An attempt that is not known is kept from starting.
func (w *Worker) Stop(c worker.Command) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, err := w.find(c)
	switch {
	case err == errUnknown:
		ref := worker.Ref{Task: c.Task, Attempt: c.Attempt}
		w.add(&attempt{Ref: ref, phase: worker.Stopped, reason: "stopped before it started", began: w.at, ended: w.at})
		return nil
	case err != nil:
		return err
	}
	if a.phase.Live() {
		w.end(a, worker.Stopped, "stopped")
	}
	return nil
}

// Release drops what is kept of an attempt that has ended.
func (w *Worker) Release(c worker.Command) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.admit(c.Epoch); err != nil {
		return err
	}
	ref := worker.Ref{Task: c.Task, Attempt: c.Attempt}
	if a := w.attempts[ref]; a != nil && !a.phase.Live() {
		delete(w.attempts, ref)
		w.order = slices.DeleteFunc(w.order, func(o *attempt) bool { return o == a })
	}
	return nil
}

func (w *Worker) add(a *attempt) {
	w.attempts[a.Ref] = a
	w.order = append(w.order, a)
}

func (w *Worker) find(c worker.Command) (*attempt, error) {
	if err := w.admit(c.Epoch); err != nil {
		return nil, err
	}
	a := w.attempts[worker.Ref{Task: c.Task, Attempt: c.Attempt}]
	if a == nil {
		return nil, errUnknown
	}
	return a, nil
}

func (w *Worker) end(a *attempt, p worker.Phase, reason string) {
	a.phase, a.reason, a.ended, a.speed = p, reason, w.at, 0
}
