package work

import (
	"fmt"

	"mimosadock/replay/invariant"
	"mimosadock/replay/trace"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/worker"
)

// tickInterval is the time between two runs of the systems.
const tickInterval = 50 * clock.Millisecond

// TaskStatus is the status of a task according to a scheme.
type TaskStatus int

// The statuses of a task.
const (
	StatusUnknown  TaskStatus = iota // the scheme has no record of the task
	StatusActive                     // the task waits or is placed
	StatusFinished                   // the scheme recorded the task as finished
	StatusFailed                     // the task failed permanently
)

// Scheme decides where tasks run. It reaches the workers through the simulation,
// which implements worker.Agent.
type Scheme interface {
	// Submit offers a job to the scheme and reports whether the scheme accepted
	// it.
	Submit(now clock.Millis, j *trace.Job) bool
	// Cancel ends all tasks of a job.
	Cancel(now clock.Millis, id unit.Job)
	// StatusOf returns the status that the scheme has recorded for a task that
	// has not finished in the simulation.
	StatusOf(id unit.Task) TaskStatus
	// Tick runs the systems of the scheme once.
	Tick(now clock.Millis)
}

// taskRow is the actual progress of one task of the trace.
type taskRow struct {
	invariant.Resumption
	job             *trace.Job
	runTime         clock.Span // actual run time, 0 runs until cancelled
	submittedAt     clock.Millis
	startedAt       clock.Millis // first start, clock.Never until then
	finishedAt      clock.Millis // clock.Never until the task finishes
	savedProgress   float64      // progress of the last checkpoint, in ms of run time
	lostProgress    float64      // progress that later attempts repeat, in ms of run time
	runningAttempts int
	lastStop        clock.Millis // end of the last attempt
	longestGap      clock.Span   // longest time without a running attempt after the first start
	gapCount        int
	lastAttempt     unit.Attempt // highest number of an attempt that started
	evicted         bool         // stopped by the scheme and not started since
	cancelled       bool
}

// workerRow is one simulated worker.
type workerRow struct {
	trace.Worker
	up          bool
	failing     bool
	epoch       unit.Epoch
	noiseFactor float64
	noiseUntil  clock.Millis
	attempts    table.Table[worker.AttemptID, attemptRow]
	incarnation int // number of restarts
}

// instance returns the id of the current incarnation of the worker.
func (r *workerRow) instance() unit.Instance {
	return unit.Instance(fmt.Sprintf("%s#%d", r.Address, r.incarnation))
}

// Sample is the state of the simulation at one instant. The report plots it.
type Sample struct {
	At        clock.Millis
	Running   [service.Batch + 1]int // attempts by class
	Waiting   int                    // unfinished tasks without a running attempt
	Evictions int
	CPUUsage  float64 // fraction of the processors of all workers
}

// Simulation is the state of one replay. Use [New].
type Simulation struct {
	Ledger invariant.Ledger

	header            *trace.Header
	events            []trace.Event
	now               clock.Millis
	workers           table.Table[unit.Worker, workerRow]
	tasks             table.Table[unit.Task, taskRow]
	jobs              table.Table[unit.Job, *trace.Job]
	capacity          table.Table[unit.Worker, unit.Resources]
	refusedJobs       []*trace.Job // offered again when the journal is back
	scheme            Scheme
	journalDown       bool
	evictions         int // last running attempts of tasks that the scheme stopped
	impossibleRefused int // impossible jobs that the scheme refused on submission
	failedTasks       int // tasks that the scheme reported as permanently failed
	samples           []Sample
	attemptsChanged   bool // an attempt has started or ended since the last check
	blockedSeconds    int  // see countBlocked
}

// SchemeFunc returns a new scheme for a simulation.
type SchemeFunc func(sim *Simulation) Scheme

// Replay replays t with the scheme that newScheme returns.
func Replay(t *trace.Trace, newScheme SchemeFunc) *Simulation {
	sim := New(t, newScheme)
	sim.Run(t.Events)
	return sim
}

// New returns a simulation of the workers of t with the scheme that newScheme
// returns.
func New(t *trace.Trace, newScheme SchemeFunc) *Simulation {
	sim := &Simulation{header: &t.Header, events: t.Events}
	for _, k := range t.Header.Deployment.Workers {
		sim.workers.Put(k.Address, workerRow{Worker: k, up: true, noiseFactor: 1})
		sim.capacity.Put(k.Address, k.Capacity)
	}
	sim.scheme = newScheme(sim)
	return sim
}

// Run replays the events until the end of the trace and then checks that
// interrupted tasks were resumed.
func (sim *Simulation) Run(events []trace.Event) {
	for ; sim.now < clock.Millis(sim.header.Length); sim.now = sim.now.Add(tickInterval) {
		for ; len(events) > 0 && events[0].At <= sim.now; events = events[1:] {
			sim.apply(&events[0])
		}
		sim.advanceWorkers()
		sim.scheme.Tick(sim.now)
		sim.observe()
	}
	invariant.CheckFinalResumptions(&sim.Ledger, sim.now, sim.resumptions())
}

func (sim *Simulation) apply(e *trace.Event) {
	switch e.Type {
	case trace.Submit:
		sim.submitJob(e.Job)
	case trace.Cancel:
		sim.cancelJob(e.Cancel)
	case trace.Noise:
		r := sim.workers.Get(e.Worker)
		r.noiseFactor, r.noiseUntil = e.NoiseFactor, sim.now.Add(e.NoiseLength)
	case trace.WorkerDown:
		sim.stopWorker(sim.workers.Get(e.Worker))
	case trace.WorkerUp:
		sim.workers.Get(e.Worker).up = true
	case trace.WorkerFails, trace.WorkerRecovers:
		sim.workers.Get(e.Worker).failing = e.Type == trace.WorkerFails
	case trace.JournalDown:
		sim.journalDown = true
	case trace.JournalUp:
		sim.journalDown = false
		for _, j := range sim.refusedJobs {
			sim.offerJob(j)
		}
		sim.refusedJobs = nil
	}
}

// submitJob offers a job to the scheme. While the journal is down, the job is
// refused and the caller submits it again when the journal is back.
func (sim *Simulation) submitJob(j *trace.Job) {
	if sim.journalDown {
		sim.refusedJobs = append(sim.refusedJobs, j)
		return
	}
	sim.offerJob(j)
}

// TaskID returns the id of the nth task of a job.
func TaskID(j unit.Job, n int) unit.Task { return unit.Task(fmt.Sprintf("%s/%d", j, n)) }

func (sim *Simulation) offerJob(j *trace.Job) {
	sim.jobs.Put(j.ID, j)
	for n := range j.Tasks {
		runTime := j.RunTime
		if j.StragglerFactor > 0 && n == j.Tasks-1 {
			runTime *= clock.Span(j.StragglerFactor)
		}
		sim.tasks.Put(TaskID(j.ID, n), taskRow{job: j, runTime: runTime, submittedAt: sim.now, startedAt: clock.Never, finishedAt: clock.Never})
	}
	if sim.scheme.Submit(sim.now, j) {
		return
	}
	for n := range j.Tasks {
		sim.tasks.Get(TaskID(j.ID, n)).Exempt = true
	}
	if j.Impossible {
		sim.impossibleRefused++
	}
}

func (sim *Simulation) cancelJob(id unit.Job) {
	job := sim.jobs.Get(id)
	if job == nil {
		return
	}
	for n := range (*job).Tasks {
		if t := sim.tasks.Get(TaskID(id, n)); t.finishedAt == clock.Never {
			t.cancelled, t.Exempt = true, true
		}
	}
	sim.scheme.Cancel(sim.now, id)
}

// stopWorker stops a worker and ends all attempts on it.
func (sim *Simulation) stopWorker(r *workerRow) {
	r.up = false
	r.incarnation++
	for ref, a := range r.attempts.All() {
		t := sim.tasks.Get(ref.Task)
		switch {
		case a.active():
			sim.addLostProgress(t, a)
			sim.recordAttemptEnd(t)
		case a.phase == worker.PhaseFinished && t.FinishCount == 1:
			// The scheme has not read the result yet. The result is lost, and
			// the task runs again.
			t.FinishCount, t.lastStop = 0, sim.now
			t.Interruptions++
		}
	}
	r.attempts = table.Table[worker.AttemptID, attemptRow]{}
}

// recordAttemptEnd records the end of an attempt of t.
func (sim *Simulation) recordAttemptEnd(t *taskRow) {
	sim.attemptsChanged = true
	t.runningAttempts--
	t.lastStop = sim.now
	if t.finishedAt == clock.Never && t.runningAttempts == 0 {
		t.Interruptions++
	}
}

func (sim *Simulation) addLostProgress(t *taskRow, a *attemptRow) {
	t.lostProgress += max(0, a.progress-t.savedProgress)
}

// observe checks the invariants if an attempt started or ended in this tick, and
// takes one sample per second.
func (sim *Simulation) observe() {
	if sim.attemptsChanged {
		sim.attemptsChanged = false
		sim.checkWorkers()
	}
	if sim.now%clock.Millis(clock.Second) == 0 {
		sim.countBlocked()
		sim.sample()
	}
}

func (sim *Simulation) checkWorkers() {
	var running []invariant.RunningAttempt
	for address, r := range sim.workers.All() {
		for ref, a := range r.attempts.All() {
			if a.active() {
				task := ref.Task
				running = append(running, invariant.RunningAttempt{
					Task: task, Attempt: a.attempt, Worker: address, Granted: a.granted(),
					Speculative: a.job.SafeToRepeat && a.attempt == sim.tasks.Get(task).lastAttempt,
				})
			}
		}
	}
	invariant.CheckWorkers(&sim.Ledger, sim.now, &sim.capacity, running)
}

// maxCriticalWait is the longest permitted time from the submission of a
// latency-critical task to its start.
const maxCriticalWait = 2300 * clock.Millisecond

// countBlocked counts one blocked second if a latency-critical task has waited
// longer than maxCriticalWait while a batch attempt runs.
func (sim *Simulation) countBlocked() {
	firstSubmission := clock.Never
	for _, t := range sim.tasks.All() {
		if t.job.Class == service.LatencyCritical && t.startedAt == clock.Never && !t.Exempt && sim.now.Sub(t.submittedAt) > maxCriticalWait {
			firstSubmission = min(firstSubmission, t.submittedAt)
		}
	}
	if firstSubmission == clock.Never {
		return
	}
	for _, r := range sim.workers.All() {
		for _, a := range r.attempts.All() {
			if a.active() && a.job.Class == service.Batch {
				sim.blockedSeconds++
				return
			}
		}
	}
}

func (sim *Simulation) sample() {
	s := Sample{At: sim.now, Evictions: sim.evictions}
	used, total := 0.0, 0.0
	for _, r := range sim.workers.All() {
		total += float64(r.Capacity.CPU)
		cpu := 0.0
		for _, a := range r.attempts.All() {
			if a.active() {
				s.Running[a.job.Class]++
				cpu += float64(a.job.Actual.CPU)
			}
		}
		used += min(cpu, float64(r.Capacity.CPU))
	}
	for _, t := range sim.tasks.All() {
		if t.runningAttempts == 0 && t.finishedAt == clock.Never && !t.Exempt {
			s.Waiting++
		}
	}
	s.CPUUsage = used / total
	sim.samples = append(sim.samples, s)
}

// resumptions returns the resumptions of all tasks for the final check. A task
// that still waits is not lost while the scheme has a record of it. The
// throughput figures show how long tasks wait.
func (sim *Simulation) resumptions() *table.Table[unit.Task, invariant.Resumption] {
	var out table.Table[unit.Task, invariant.Resumption]
	for id, t := range sim.tasks.All() {
		r := t.Resumption
		if r.FinishCount == 0 && !r.Exempt {
			status := sim.scheme.StatusOf(id)
			if status == StatusFailed {
				sim.failedTasks++
			}
			r.Exempt = status == StatusActive || status == StatusFailed || status == StatusFinished && t.finishedAt < clock.Never
		}
		out.Put(id, r)
	}
	return &out
}
