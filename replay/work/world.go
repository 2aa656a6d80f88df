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

// tick is the time between two runs of the systems.
const tick = 50 * clock.Millisecond

// Finding is what a scheme knows of a task.
type Finding int

// The findings.
const (
	Lost   Finding = iota // unknown
	Held                  // waits or is placed
	Done                  // taken for finished
	Failed                // reported as failed for good
)

// Scheme decides where tasks run. It reaches the workers through the world,
// which is a worker.Agent.
type Scheme interface {
	// Submit takes a job and reports whether it was accepted.
	Submit(now clock.Millis, j *trace.Job) bool
	// Cancel ends a job.
	Cancel(now clock.Millis, id unit.Job)
	// Find tells what the scheme knows of a task that has not finished.
	Find(id unit.Task) Finding
	// Tick runs the systems.
	Tick(now clock.Millis)
}

// taskRow is one task of the trace as it really went.
type taskRow struct {
	invariant.Resumption
	job       *trace.Job
	run       clock.Span // true run time, 0 runs until cancelled
	submitted clock.Millis
	started   clock.Millis // first start, Never before
	finished  clock.Millis // Never before
	saved     float64      // progress of the last checkpoint, in ms of run time
	lost      float64      // progress lost, in ms of run time
	running   int          // attempts
	stopped   clock.Millis // when the last attempt ended
	gap       clock.Span   // longest time without a running attempt after the first start
	gaps      int
	attempts  unit.Attempt // highest seen
	evicted   bool         // stopped by the scheme and not started since
	cancelled bool
}

// workerRow is the fake of one worker.
type workerRow struct {
	trace.Worker
	up         bool
	failing    bool
	epoch      unit.Epoch
	noise      float64
	noiseUntil clock.Millis
	attempts   table.Table[worker.Ref, attemptRow]
	life       int // counts restarts
}

// instance returns the id of the current start of the worker.
func (r *workerRow) instance() unit.Instance {
	return unit.Instance(fmt.Sprintf("%s#%d", r.Address, r.life))
}

// Sample is the state of the world at one instant, for the report.
type Sample struct {
	At        clock.Millis
	Running   [service.Batch + 1]int // attempts by class
	Waiting   int                    // tasks that don't run
	Evictions int
	Used      float64 // share of the processors that is in use
}

// World is the state of one replay. Use [New].
type World struct {
	Ledger invariant.Ledger

	header     *trace.Header
	events     []trace.Event
	now        clock.Millis
	workers    table.Table[unit.Worker, workerRow]
	tasks      table.Table[unit.Task, taskRow]
	jobs       table.Table[unit.Job, *trace.Job]
	capacity   table.Table[unit.Worker, unit.Resources]
	refused    []*trace.Job // wait for the journal
	scheme     Scheme
	down       bool // of the journal
	evictions  int
	impossible int // jobs that were refused at once, as they should be
	failed     int // tasks that were reported as failed for good
	samples    []Sample
	changed    bool // attempts started or ended since the last check
	blocked    int  // seconds in which urgent work waited too long while batch held capacity
}

// Start returns the scheme of a world.
type Start func(w *World) Scheme

// Replay replays t with the scheme that start returns.
func Replay(t *trace.Trace, start Start) *World {
	w := New(t, start)
	w.Run(t.Events)
	return w
}

// New returns a world for the workers of t.
func New(t *trace.Trace, start Start) *World {
	w := &World{header: &t.Header, events: t.Events}
	for _, k := range t.Header.Deployment.Workers {
		w.workers.Put(k.Address, workerRow{Worker: k, up: true, noise: 1})
		w.capacity.Put(k.Address, k.Capacity)
	}
	w.scheme = start(w)
	return w
}

// Run replays the events to the end of the trace.
func (w *World) Run(events []trace.Event) {
	for ; w.now < clock.Millis(w.header.Length); w.now = w.now.Add(tick) {
		for ; len(events) > 0 && events[0].At <= w.now; events = events[1:] {
			w.apply(&events[0])
		}
		w.advance()
		w.scheme.Tick(w.now)
		w.observe()
	}
	invariant.CheckResumed(&w.Ledger, w.now, w.resumptions())
}

func (w *World) apply(e *trace.Event) {
	switch e.What {
	case trace.Submit:
		w.submit(e.Job)
	case trace.Cancel:
		w.cancel(e.Cancel)
	case trace.Noise:
		r := w.workers.Get(e.Worker)
		r.noise, r.noiseUntil = e.Factor, w.now.Add(e.For)
	case trace.WorkerDown:
		w.workerDown(w.workers.Get(e.Worker))
	case trace.WorkerUp:
		w.workers.Get(e.Worker).up = true
	case trace.WorkerFails, trace.WorkerMends:
		w.workers.Get(e.Worker).failing = e.What == trace.WorkerFails
	case trace.JournalDown:
		w.down = true
	case trace.JournalUp:
		w.down = false
		for _, j := range w.refused {
			w.accept(j)
		}
		w.refused = nil
	}
}

// submit offers a job. While the journal is down it is refused, and its caller
// offers it again when the journal is back.
func (w *World) submit(j *trace.Job) {
	if w.down {
		w.refused = append(w.refused, j)
		return
	}
	w.accept(j)
}

// TaskOf returns the id of the nth task of a job.
func TaskOf(j unit.Job, n int) unit.Task { return unit.Task(fmt.Sprintf("%s/%d", j, n)) }

func (w *World) accept(j *trace.Job) {
	w.jobs.Put(j.ID, j)
	for n := range j.Tasks {
		run := j.Run
		if j.Straggler > 0 && n == j.Tasks-1 {
			run *= clock.Span(j.Straggler)
		}
		w.tasks.Put(TaskOf(j.ID, n), taskRow{job: j, run: run, submitted: w.now, started: clock.Never, finished: clock.Never})
	}
	if w.scheme.Submit(w.now, j) {
		return
	}
	for n := range j.Tasks {
		w.tasks.Get(TaskOf(j.ID, n)).Gone = true
	}
	if j.Impossible {
		w.impossible++
	}
}

func (w *World) cancel(id unit.Job) {
	job := w.jobs.Get(id)
	if job == nil {
		return
	}
	for n := range (*job).Tasks {
		if t := w.tasks.Get(TaskOf(id, n)); t.finished == clock.Never {
			t.cancelled, t.Gone = true, true
		}
	}
	w.scheme.Cancel(w.now, id)
}

// workerDown ends everything on a worker.
func (w *World) workerDown(r *workerRow) {
	r.up = false
	r.life++
	for ref, a := range r.attempts.All() {
		t := w.tasks.Get(ref.Task)
		switch {
		case a.live():
			w.loseProgress(t, a)
			w.ended(t)
		case a.phase == worker.Finished && t.Finished == 1:
			// The result is lost if nobody has read it, and the task runs again.
			t.Finished, t.stopped = 0, w.now
			t.Evictions++
		}
	}
	r.attempts = table.Table[worker.Ref, attemptRow]{}
}

// ended notes that an attempt of a task runs no more.
func (w *World) ended(t *taskRow) {
	w.changed = true
	t.running--
	t.stopped = w.now
	if t.finished == clock.Never && t.running == 0 {
		t.Evictions++
	}
}

func (w *World) loseProgress(t *taskRow, a *attemptRow) {
	t.lost += max(0, a.progress-t.saved)
}

// observe checks the invariants after every step that changed what runs, and
// takes a sample a second.
func (w *World) observe() {
	if w.changed {
		w.changed = false
		w.check()
	}
	if w.now%clock.Millis(clock.Second) == 0 {
		w.countBlocked()
		w.sample()
	}
}

func (w *World) check() {
	var running []invariant.Running
	for address, r := range w.workers.All() {
		for ref, a := range r.attempts.All() {
			if a.live() {
				task := ref.Task
				running = append(running, invariant.Running{
					Task: task, Attempt: a.attempt, Worker: address, Granted: a.granted(),
					Spare: a.job.SafeToRepeat && a.attempt == w.tasks.Get(task).attempts,
				})
			}
		}
	}
	invariant.CheckWorkers(&w.Ledger, w.now, &w.capacity, running)
}

// urgentStart is the time within which urgent work must start.
const urgentStart = 2300 * clock.Millisecond

// countBlocked counts a second in which an urgent task waits longer than it may
// while batch attempts that started after its submission run.
func (w *World) countBlocked() {
	since := clock.Never
	for _, t := range w.tasks.All() {
		if t.job.Class == service.LatencyCritical && t.started == clock.Never && !t.Gone && w.now.Sub(t.submitted) > urgentStart {
			since = min(since, t.submitted)
		}
	}
	if since == clock.Never {
		return
	}
	for _, r := range w.workers.All() {
		for _, a := range r.attempts.All() {
			if a.live() && a.job.Class == service.Batch {
				w.blocked++
				return
			}
		}
	}
}

func (w *World) sample() {
	s := Sample{At: w.now, Evictions: w.evictions}
	used, total := 0.0, 0.0
	for _, r := range w.workers.All() {
		total += float64(r.Capacity.CPU)
		cpu := 0.0
		for _, a := range r.attempts.All() {
			if a.live() {
				s.Running[a.job.Class]++
				cpu += float64(a.job.True.CPU)
			}
		}
		used += min(cpu, float64(r.Capacity.CPU))
	}
	for _, t := range w.tasks.All() {
		if t.running == 0 && t.finished == clock.Never && !t.Gone {
			s.Waiting++
		}
	}
	s.Used = used / total
	w.samples = append(w.samples, s)
}

// resumptions returns the tasks for the check at the end. Work that waits is not
// lost as long as the scheme knows of it; how long it waits shows in the
// throughput.
func (w *World) resumptions() *table.Table[unit.Task, invariant.Resumption] {
	var out table.Table[unit.Task, invariant.Resumption]
	for id, t := range w.tasks.All() {
		r := t.Resumption
		if r.Finished == 0 && !r.Gone {
			found := w.scheme.Find(id)
			if found == Failed {
				w.failed++
			}
			r.Gone = found == Held || found == Failed || found == Done && t.finished < clock.Never
		}
		out.Put(id, r)
	}
	return &out
}
