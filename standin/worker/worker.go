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
	saved map[string]SavedCheckpoint
}

// SavedCheckpoint is a checkpoint. One whose writing was cut short is not whole.
type SavedCheckpoint struct {
	Task     unit.Task
	Progress float64
	Complete bool
}

// Put stores a checkpoint.
func (s *Store) Put(name string, c SavedCheckpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.saved == nil {
		s.saved = make(map[string]SavedCheckpoint)
	}
	s.saved[name] = c
}

// Get returns a checkpoint.
func (s *Store) Get(name string) (SavedCheckpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.saved[name]
	return c, ok
}

// Faults switch rules of a worker off or make it misbehave. The zero value is a
// worker that works.
type Faults struct {
	FailAll                  bool // fails all that it starts
	IgnoreLeaseEnd           bool // breaks the rule that an attempt stops with its lease
	AcceptAnyEpoch           bool // breaks the rule that lower epochs are refused
	IgnoreStamp              bool // breaks the rule that leases count from the stamp
	ReportPartialCheckpoints bool // breaks the rule that only whole checkpoints are reported
}

// Worker is one worker. Use [New].
type Worker struct {
	ID       unit.Worker
	Capacity unit.Resources
	Faults   Faults

	sim        *World
	mu         sync.Mutex
	epoch      unit.Epoch
	attempts   map[worker.Ref]*attempt
	byArrival  []*attempt   // as they arrived
	advancedTo clock.Millis // attempts are advanced to this instant
	clockSkew  clock.Span   // of the own clock, grows with restarts
	restarts   int
	dead       bool
	frozen     bool
}

type attempt struct {
	worker.Ref
	kind              unit.Kind
	limit             unit.Resources
	share             float64
	profile           Truth
	phase             worker.Phase
	reason            string
	startedAt         clock.Millis
	endedAt           clock.Millis
	leaseExpiry       clock.Millis // end
	progress          float64
	speed             float64
	checkpoint        string
	savedProgress     float64
	checkpointEnd     clock.Millis
	pendingCheckpoint string
	pendingProgress   float64
	checkpointCount   int
}

// New returns a worker of a world.
func New(sim *World, id unit.Worker, capacity unit.Resources) *Worker {
	return &Worker{ID: id, Capacity: capacity, sim: sim, attempts: make(map[worker.Ref]*attempt), advancedTo: sim.Clock.Now()}
}

var (
	errLeaseEnded        = verdict.Refuse("the lease would have ended already")
	errOtherInstance     = verdict.Refuse("the worker has restarted")
	errUnknownAttempt    = verdict.Refuse("unknown attempt")
	errStopped           = verdict.Refuse("the attempt was stopped before")
	errUnknownCheckpoint = verdict.Refuse("unknown checkpoint")
)

// admit catches up and checks the epoch of a command.
func (w *Worker) admit(e unit.Epoch) error {
	w.advance(w.sim.Clock.Now())
	if e < w.epoch && !w.Faults.AcceptAnyEpoch {
		return &verdict.Error{Verdict: verdict.DidNotRun, Reason: "a later owner commands this worker", Err: worker.ErrFenced}
	}
	w.epoch = max(w.epoch, e)
	return nil
}

func (w *Worker) instance() unit.Instance {
	return unit.Instance(fmt.Sprintf("%s#%d", w.ID, w.restarts))
}

// leaseEnd returns when a lease ends that counts from the given stamp.
func (w *Worker) leaseEnd(stamp clock.Millis, lease clock.Span) clock.Millis {
	if w.Faults.IgnoreStamp {
		return w.advancedTo.Add(lease)
	}
	return stamp.Add(-w.clockSkew).Add(lease)
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
		return errOtherInstance
	}
	end := w.leaseEnd(s.Stamp, s.Lease)
	if end <= w.advancedTo {
		return errLeaseEnded
	}
	a := &attempt{
		Ref: ref, kind: s.Kind, limit: s.Limit, share: 1, profile: w.sim.Truth(s.Task, s.Kind),
		phase: worker.Running, startedAt: w.advancedTo, leaseExpiry: end,
	}
	if s.Checkpoint != "" {
		c, ok := w.sim.Store.Get(s.Checkpoint)
		if !ok || c.Task != s.Task {
			return errUnknownCheckpoint
		}
		a.progress, a.savedProgress, a.checkpoint = c.Progress, c.Progress, s.Checkpoint
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
			a.leaseExpiry = max(a.leaseExpiry, w.leaseEnd(r.Stamp, r.Lease))
		}
	}
	report := worker.Report{Epoch: w.epoch, Instance: w.instance(), Stamp: w.advancedTo.Add(w.clockSkew), Capacity: w.Capacity}
	for _, a := range w.byArrival {
		report.Statuses = append(report.Statuses, w.statusOf(a))
	}
	return report, nil
}

func (w *Worker) statusOf(a *attempt) worker.Status {
	s := worker.Status{
		Task: a.Task, Attempt: a.Attempt, Kind: a.kind, Limit: a.limit, Phase: a.phase, Age: w.sim.Lag,
		Progress: a.progress, Checkpoint: a.checkpoint, Saved: a.savedProgress, Reason: a.reason,
	}
	end := w.advancedTo
	if !a.phase.Live() {
		end = a.endedAt
	}
	s.Ran = end.Sub(a.startedAt)
	if a.phase.Live() {
		s.Progress = max(a.savedProgress, a.progress-a.speed*float64(w.sim.Lag))
	}
	if s.Ran >= w.sim.Lag {
		s.Usage = a.profile.Usage
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
	a.checkpointCount++
	a.phase, a.pendingProgress = worker.Checkpointing, a.progress
	a.checkpointEnd = w.advancedTo.Add(w.sim.SaveTime)
	a.pendingCheckpoint = fmt.Sprintf("%s.%d.%d", a.Task, a.Attempt, a.checkpointCount)
	w.sim.Store.Put(a.pendingCheckpoint, SavedCheckpoint{Task: a.Task, Progress: a.pendingProgress})
	if w.Faults.ReportPartialCheckpoints {
		a.checkpoint, a.savedProgress = a.pendingCheckpoint, a.pendingProgress
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
	case err == errUnknownAttempt:
		ref := worker.Ref{Task: c.Task, Attempt: c.Attempt}
		w.add(&attempt{Ref: ref, phase: worker.Stopped, reason: "stopped before it started", startedAt: w.advancedTo, endedAt: w.advancedTo})
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
		w.byArrival = slices.DeleteFunc(w.byArrival, func(o *attempt) bool { return o == a })
	}
	return nil
}

func (w *Worker) add(a *attempt) {
	w.attempts[a.Ref] = a
	w.byArrival = append(w.byArrival, a)
}

func (w *Worker) find(c worker.Command) (*attempt, error) {
	if err := w.admit(c.Epoch); err != nil {
		return nil, err
	}
	a := w.attempts[worker.Ref{Task: c.Task, Attempt: c.Attempt}]
	if a == nil {
		return nil, errUnknownAttempt
	}
	return a, nil
}

func (w *Worker) end(a *attempt, p worker.Phase, reason string) {
	a.phase, a.reason, a.endedAt, a.speed = p, reason, w.advancedTo, 0
}
