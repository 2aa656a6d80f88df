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

// TaskProfile is the actual behaviour of a task, which can differ from the
// declared one.
type TaskProfile struct {
	Usage   unit.Resources
	RunTime clock.Span // run time at full speed without other attempts; 0 runs until stopped
	Fails   bool       // fails on every worker, at half its progress
}

// Simulation holds the clock, the task profiles, the settings and the checkpoint
// store that the workers of a simulation share.
type Simulation struct {
	Clock clock.Clock
	// Profile returns the actual behaviour of a task. It must be set.
	Profile func(unit.Task, unit.Kind) TaskProfile
	// Slowdown returns the fraction by which an attempt of kind neighbour on the
	// same worker extends the run time of an attempt of kind k. The load is the
	// used processor time relative to the capacity of the worker. Nil means no
	// slowdown.
	Slowdown       func(k, neighbour unit.Kind, load float64) float64
	UsageLag       clock.Span // age of the usage and progress in reports
	CheckpointTime clock.Span // duration of a checkpoint
	Store          Store
}

// Store holds checkpoints by name. The zero value is empty. It is safe for
// concurrent use.
type Store struct {
	mu    sync.Mutex
	saved map[string]SavedCheckpoint
}

// SavedCheckpoint is a stored checkpoint. It is complete only after its writing
// has ended.
type SavedCheckpoint struct {
	Task     unit.Task
	Progress float64
	Complete bool
}

// Put stores a checkpoint, in place of a previous one with the same name.
func (s *Store) Put(name string, c SavedCheckpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.saved == nil {
		s.saved = make(map[string]SavedCheckpoint)
	}
	s.saved[name] = c
}

// Get returns the checkpoint with the given name, and false if there is none.
func (s *Store) Get(name string) (SavedCheckpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.saved[name]
	return c, ok
}

// Faults makes a worker violate rules or fail. The zero value is a worker
// without faults.
type Faults struct {
	FailAll                  bool // every attempt fails
	IgnoreLeaseEnd           bool // attempts continue after their lease has ended
	AcceptAnyEpoch           bool // commands with lower epochs are accepted
	IgnoreStampAndInstance   bool // leases count from receipt instead of the stamp; starts for any instance are accepted
	ReportPartialCheckpoints bool // checkpoints are reported before they are complete
}

// Worker simulates one worker: its attempts, their leases and its clock. Its
// methods are safe for concurrent use. Use [New].
type Worker struct {
	ID       unit.Worker
	Capacity unit.Resources
	Faults   Faults

	sim        *Simulation
	mu         sync.Mutex
	epoch      unit.Epoch
	attempts   map[worker.AttemptID]*attempt
	byArrival  []*attempt
	advancedTo clock.Millis // time up to which the attempts have run
	clockSkew  clock.Span   // worker's clock minus the clock of the simulation; set by each restart
	restarts   int
	dead       bool
	frozen     bool
}

// attempt is the state of one attempt. Times are on the clock of the simulation.
type attempt struct {
	worker.AttemptID
	kind              unit.Kind
	limit             unit.Resources
	share             float64 // of the processor limit; 1 without throttling
	profile           TaskProfile
	phase             worker.Phase
	reason            string
	startedAt         clock.Millis
	endedAt           clock.Millis
	leaseEnd          clock.Millis
	progress          float64 // from 0 to 1
	speed             float64 // progress per millisecond
	checkpoint        string  // last reported checkpoint, at first the one that it resumed from
	savedProgress     float64 // progress of that checkpoint
	checkpointEnd     clock.Millis
	pendingCheckpoint string  // name of the checkpoint that is being written
	pendingProgress   float64 // progress of the checkpoint that is being written
	checkpointCount   int
}

// New returns a worker without attempts.
func New(sim *Simulation, id unit.Worker, capacity unit.Resources) *Worker {
	return &Worker{ID: id, Capacity: capacity, sim: sim, attempts: make(map[worker.AttemptID]*attempt), advancedTo: sim.Clock.Now()}
}

var (
	errLeaseEnded        = verdict.Refuse("the lease would have ended already")
	errOtherInstance     = verdict.Refuse("the worker has restarted")
	errUnknownAttempt    = verdict.Refuse("unknown attempt")
	errStopped           = verdict.Refuse("the attempt was stopped before")
	errUnknownCheckpoint = verdict.Refuse("unknown checkpoint")
)

// admit advances the attempts to the current time and checks the epoch of a
// command. It returns an error for a lower epoch than that of a previous
// command.
func (w *Worker) admit(e unit.Epoch) error {
	w.advance(w.sim.Clock.Now())
	if e < w.epoch && !w.Faults.AcceptAnyEpoch {
		return &verdict.Error{Verdict: verdict.DidNotRun, Reason: "a later owner commands this worker", Err: worker.ErrFenced}
	}
	w.epoch = max(w.epoch, e)
	return nil
}

// instance returns the id of the current instance, which changes with each
// restart.
func (w *Worker) instance() unit.Instance {
	return unit.Instance(fmt.Sprintf("%s#%d", w.ID, w.restarts))
}

// leaseEndOf returns the end of a lease that counts from the stamp, which is a
// time on the worker's clock. The result is on the clock of the simulation.
func (w *Worker) leaseEndOf(stamp clock.Millis, lease clock.Span) clock.Millis {
	if w.Faults.IgnoreStampAndInstance {
		return w.advancedTo.Add(lease)
	}
	return stamp.Add(-w.clockSkew).Add(lease)
}

// Start starts an attempt. A start that is repeated changes nothing. Start
// returns an error if the epoch is lower than before, the attempt was stopped,
// the worker has restarted, the lease would have ended or the checkpoint is
// unknown.
func (w *Worker) Start(s worker.Start) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.admit(s.Epoch); err != nil {
		return err
	}
	ref := worker.AttemptID{Task: s.Task, Attempt: s.Attempt}
	if a := w.attempts[ref]; a != nil {
		if a.phase == worker.PhaseStopped {
			return errStopped
		}
		return nil
	}
	if s.Instance != w.instance() && !w.Faults.IgnoreStampAndInstance {
		return errOtherInstance
	}
	end := w.leaseEndOf(s.Stamp, s.Lease)
	if end <= w.advancedTo {
		return errLeaseEnded
	}
	a := &attempt{
		AttemptID: ref, kind: s.Kind, limit: s.Limit, share: 1, profile: w.sim.Profile(s.Task, s.Kind),
		phase: worker.PhaseRunning, startedAt: w.advancedTo, leaseEnd: end,
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

// Renew extends the leases of the running attempts in r, unless r is for another
// instance, and reports all attempts. It returns an error if the epoch is lower
// than before.
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
		if a := w.attempts[worker.AttemptID{Task: c.Task, Attempt: c.Attempt}]; a != nil && a.phase.Live() {
			a.leaseEnd = max(a.leaseEnd, w.leaseEndOf(r.Stamp, r.Lease))
		}
	}
	report := worker.Report{Epoch: w.epoch, Instance: w.instance(), Stamp: w.advancedTo.Add(w.clockSkew), Capacity: w.Capacity}
	for _, a := range w.byArrival {
		report.Statuses = append(report.Statuses, w.statusOf(a))
	}
	return report, nil
}

// statusOf returns the reported status of an attempt. The usage and the progress
// of a running attempt are as old as the lag.
func (w *Worker) statusOf(a *attempt) worker.Status {
	s := worker.Status{
		Task: a.Task, Attempt: a.Attempt, Kind: a.kind, Limit: a.limit, Phase: a.phase, Age: w.sim.UsageLag,
		Progress: a.progress, Checkpoint: a.checkpoint, Saved: a.savedProgress, Reason: a.reason,
	}
	end := w.advancedTo
	if !a.phase.Live() {
		end = a.endedAt
	}
	s.RunTime = end.Sub(a.startedAt)
	if a.phase.Live() {
		s.Progress = max(a.savedProgress, a.progress-a.speed*float64(w.sim.UsageLag))
	}
	if s.RunTime >= w.sim.UsageLag {
		s.Usage = a.profile.Usage
		s.Usage.CPU = min(s.Usage.CPU, unit.MilliCPU(float64(a.limit.CPU)*a.share))
	}
	if a.phase == worker.PhaseFinished {
		s.Result = fmt.Appendf(nil, "result of %s", a.Task)
	}
	return s
}

// Checkpoint starts a checkpoint of a running attempt. It is complete after the
// checkpoint time of the simulation. An attempt in another phase is left
// unchanged.
func (w *Worker) Checkpoint(c worker.Command) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, err := w.find(c)
	if err != nil || a.phase != worker.PhaseRunning {
		return err
	}
	a.checkpointCount++
	a.phase, a.pendingProgress = worker.PhaseCheckpointing, a.progress
	a.checkpointEnd = w.advancedTo.Add(w.sim.CheckpointTime)
	a.pendingCheckpoint = fmt.Sprintf("%s.%d.%d", a.Task, a.Attempt, a.checkpointCount)
	w.sim.Store.Put(a.pendingCheckpoint, SavedCheckpoint{Task: a.Task, Progress: a.pendingProgress})
	if w.Faults.ReportPartialCheckpoints {
		a.checkpoint, a.savedProgress = a.pendingCheckpoint, a.pendingProgress
	}
	return nil
}

// Throttle limits an attempt to a share of its processor limit, from 0 to 1.
func (w *Worker) Throttle(c worker.Command, share float64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, err := w.find(c)
	if err == nil {
		a.share = share
	}
	return err
}

// Stop ends a running attempt. An unknown attempt is recorded as stopped, so
// that a later start of it is refused.
func (w *Worker) Stop(c worker.Command) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, err := w.find(c)
	switch {
	case err == errUnknownAttempt:
		ref := worker.AttemptID{Task: c.Task, Attempt: c.Attempt}
		w.add(&attempt{AttemptID: ref, phase: worker.PhaseStopped, reason: "stopped before it started", startedAt: w.advancedTo, endedAt: w.advancedTo})
		return nil
	case err != nil:
		return err
	}
	if a.phase.Live() {
		w.end(a, worker.PhaseStopped, "stopped")
	}
	return nil
}

// Release removes the status of an attempt that has ended.
func (w *Worker) Release(c worker.Command) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.admit(c.Epoch); err != nil {
		return err
	}
	ref := worker.AttemptID{Task: c.Task, Attempt: c.Attempt}
	if a := w.attempts[ref]; a != nil && !a.phase.Live() {
		delete(w.attempts, ref)
		w.byArrival = slices.DeleteFunc(w.byArrival, func(o *attempt) bool { return o == a })
	}
	return nil
}

func (w *Worker) add(a *attempt) {
	w.attempts[a.AttemptID] = a
	w.byArrival = append(w.byArrival, a)
}

func (w *Worker) find(c worker.Command) (*attempt, error) {
	if err := w.admit(c.Epoch); err != nil {
		return nil, err
	}
	a := w.attempts[worker.AttemptID{Task: c.Task, Attempt: c.Attempt}]
	if a == nil {
		return nil, errUnknownAttempt
	}
	return a, nil
}

func (w *Worker) end(a *attempt, p worker.Phase, reason string) {
	a.phase, a.reason, a.endedAt, a.speed = p, reason, w.advancedTo, 0
}
