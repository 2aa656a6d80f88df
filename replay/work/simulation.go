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

// TaskStatus is what a scheme knows of a task.
type TaskStatus int

// The findings.
const (
	StatusUnknown  TaskStatus = iota // unknown
	StatusActive                     // waits or is placed
	StatusFinished                   // taken for finished
	StatusFailed                     // reported as failed for good
)

// Scheme decides where tasks run. It reaches the workers through the world,
// which is a worker.Agent.
type Scheme interface {
	// Submit takes a job and reports whether it was accepted.
	Submit(now clock.Millis, j *trace.Job) bool
	// Cancel ends a job.
	Cancel(now clock.Millis, id unit.Job)
	// StatusOf tells what the scheme knows of a task that has not finished.
	StatusOf(id unit.Task) TaskStatus
	// Tick runs the systems.
	Tick(now clock.Millis)
}

// taskRow is one task of the trace as it really went.
type taskRow struct {
	invariant.Resumption
	job             *trace.Job
	runTime         clock.Span // true run time, 0 runs until cancelled
	submitted       clock.Millis
	started         clock.Millis // first start, Never before
	finished        clock.Millis // Never before
	savedProgress   float64      // progress of the last checkpoint, in ms of run time
	lostProgress    float64      // progress lost, in ms of run time
	runningAttempts int          // attempts
	lastStop        clock.Millis // when the last attempt ended
	longestGap      clock.Span   // longest time without a running attempt after the first start
	gapCount        int
	lastAttempt     unit.Attempt // highest seen
	evicted         bool         // stopped by the scheme and not started since
	cancelled       bool
}

// workerRow is the fake of one worker.
type workerRow struct {
	trace.Worker
	up          bool
	failing     bool
	epoch       unit.Epoch
	noiseFactor float64
	noiseUntil  clock.Millis
	attempts    table.Table[worker.Ref, attemptRow]
	incarnation int // counts restarts
}

// instance returns the id of the current start of the worker.
func (r *workerRow) instance() unit.Instance {
	return unit.Instance(fmt.Sprintf("%s#%d", r.Address, r.incarnation))
}

// Sample is the state of the world at one instant, for the report.
type Sample struct {
	At        clock.Millis
	Running   [service.Batch + 1]int // attempts by class
	Waiting   int                    // tasks that don't run
	Evictions int
	CPUUsage  float64 // share of the processors that is in use
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
	refusedJobs       []*trace.Job // wait for the journal
	scheme            Scheme
	journalDown       bool // of the journal
	evictions         int
	impossibleRefused int // jobs that were refused at once, as they should be
	failedTasks       int // tasks that were reported as failed for good
	samples           []Sample
	attemptsChanged   bool // attempts started or ended since the last check
	blockedSeconds    int  // seconds in which urgent work waited too long while batch held capacity
}

// SchemeFunc returns the scheme of a world.
type SchemeFunc func(sim *Simulation) Scheme

// Replay replays t with the scheme that start returns.
func Replay(t *trace.Trace, newScheme SchemeFunc) *Simulation {
	sim := New(t, newScheme)
	sim.Run(t.Events)
	return sim
}

// New returns a world for the workers of t.
func New(t *trace.Trace, newScheme SchemeFunc) *Simulation {
	sim := &Simulation{header: &t.Header, events: t.Events}
	for _, k := range t.Header.Deployment.Workers {
		sim.workers.Put(k.Address, workerRow{Worker: k, up: true, noiseFactor: 1})
		sim.capacity.Put(k.Address, k.Capacity)
	}
	sim.scheme = newScheme(sim)
	return sim
}

// Run replays the events to the end of the trace.
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

// submitJob offers a job. While the journal is down it is refused, and its caller
// offers it again when the journal is back.
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
		run := j.RunTime
		if j.StragglerFactor > 0 && n == j.Tasks-1 {
			run *= clock.Span(j.StragglerFactor)
		}
		sim.tasks.Put(TaskID(j.ID, n), taskRow{job: j, runTime: run, submitted: sim.now, started: clock.Never, finished: clock.Never})
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
		if t := sim.tasks.Get(TaskID(id, n)); t.finished == clock.Never {
			t.cancelled, t.Exempt = true, true
		}
	}
	sim.scheme.Cancel(sim.now, id)
}

// stopWorker ends everything on a worker.
func (sim *Simulation) stopWorker(r *workerRow) {
	r.up = false
	r.incarnation++
	for ref, a := range r.attempts.All() {
		t := sim.tasks.Get(ref.Task)
		switch {
		case a.active():
			sim.addLostProgress(t, a)
			sim.attemptEnded(t)
		case a.phase == worker.Finished && t.Finished == 1:
			// The result is lost if nobody has read it, and the task runs again.
			t.Finished, t.lastStop = 0, sim.now
			t.Evictions++
		}
	}
	r.attempts = table.Table[worker.Ref, attemptRow]{}
}

// attemptEnded notes that an attempt of a task runs no more.
func (sim *Simulation) attemptEnded(t *taskRow) {
	sim.attemptsChanged = true
	t.runningAttempts--
	t.lastStop = sim.now
	if t.finished == clock.Never && t.runningAttempts == 0 {
		t.Evictions++
	}
}

func (sim *Simulation) addLostProgress(t *taskRow, a *attemptRow) {
	t.lostProgress += max(0, a.progress-t.savedProgress)
}

// observe checks the invariants after every step that changed what runs, and
// takes a sample a second.
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
					Spare: a.job.SafeToRepeat && a.attempt == sim.tasks.Get(task).lastAttempt,
				})
			}
		}
	}
	invariant.CheckWorkers(&sim.Ledger, sim.now, &sim.capacity, running)
}

// maxUrgentWait is the time within which urgent work must start.
const maxUrgentWait = 2300 * clock.Millisecond

// countBlocked counts a second in which an urgent task waits longer than it may
// while batch attempts that started after its submission run.
func (sim *Simulation) countBlocked() {
	firstSubmission := clock.Never
	for _, t := range sim.tasks.All() {
		if t.job.Class == service.LatencyCritical && t.started == clock.Never && !t.Exempt && sim.now.Sub(t.submitted) > maxUrgentWait {
			firstSubmission = min(firstSubmission, t.submitted)
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
		if t.runningAttempts == 0 && t.finished == clock.Never && !t.Exempt {
			s.Waiting++
		}
	}
	s.CPUUsage = used / total
	sim.samples = append(sim.samples, s)
}

// resumptions returns the tasks for the check at the end. Work that waits is not
// lost as long as the scheme knows of it; how long it waits shows in the
// throughput.
func (sim *Simulation) resumptions() *table.Table[unit.Task, invariant.Resumption] {
	var out table.Table[unit.Task, invariant.Resumption]
	for id, t := range sim.tasks.All() {
		r := t.Resumption
		if r.Finished == 0 && !r.Exempt {
			status := sim.scheme.StatusOf(id)
			if status == StatusFailed {
				sim.failedTasks++
			}
			r.Exempt = status == StatusActive || status == StatusFailed || status == StatusFinished && t.finished < clock.Never
		}
		out.Put(id, r)
	}
	return &out
}
