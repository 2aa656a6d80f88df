package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"mimosadock/standin/fleet"
)

// maxStartAfterCancel bounds the time from the confirmation of a cancellation to
// the arrival of the last order to start a task of the job.
const maxStartAfterCancel = 3 * time.Second

// maxStartAfterEvacuation bounds the time from the request to evacuate a data centre to
// the arrival of the last order to start a task there.
const maxStartAfterEvacuation = 5 * time.Second

// Bounds for the tasks of perpetual and cancelled jobs. They hold in calm times,
// in which no fault is active.
const (
	maxRestart        = 9 * time.Second                      // from the end of a run of a perpetual task to its next run
	minCalmToRestart  = 7 * time.Second                      // of maxRestart, calm and with room
	maxRunAfterCancel = 3*time.Second + 200*time.Millisecond // the bounds to cancel a job and to stop a task
	// maxLateRunAfterCancel is maxRunAfterCancel for runs that started after the
	// confirmation of the cancellation, which the owner has to find first.
	maxLateRunAfterCancel = 4*time.Second + 200*time.Millisecond
)

// Checker checks the guarantees of the scheduler against the events that callers
// and executors observe. The zero value is ready to use. Checker is safe for
// concurrent use.
//
// Each violation begins with its kind:
//
//	TWICE    A run of a task started during another run of the task, or after a
//	         run whose end as done was acknowledged. The acknowledgement may be
//	         later than the start.
//	LOST     An accepted job is reported as unknown, or a job is reported as
//	         failed, or as cancelled without a cancellation. Or the first
//	         cancellation of an accepted job is answered as that of an unknown
//	         one. Or a task of a perpetual job does not run again within
//	         maxRestart of its last run, of which the last minCalmToRestart were
//	         calm and an executor had room for two such tasks.
//	MIXED    A job is reported as completed before all its tasks are done, or,
//	         without a cancellation, in another known state after that report.
//	ORDER    A task of a later step started before the first step was done.
//	UNASKED  A task ran of a job that no caller submitted, or was ordered to start
//	         later than maxStartAfterCancel after the cancellation, or still runs
//	         after maxRunAfterCancel of calm since the cancellation,
//	         maxLateRunAfterCancel if it started after the cancellation.
//	REFUSED  A task ran of a job whose submissions were all refused.
//	EVAC     A task was ordered to start on an executor later than
//	         maxStartAfterEvacuation after the request to evacuate its data centre,
//	         which had not ended.
//
// The scenarios also report LOST for accepted batch jobs that are not completed
// in time.
//
// The name of a task has the form <job>.<occurrence>.<step>.<index>, with numbers
// from 0. The tasks of the first step are those of step 0 of occurrence 0.
type Checker struct {
	mu         sync.Mutex
	jobs       map[string]*job
	tasks      map[string]*task
	executors  map[string]*occupancy
	evacuated  map[string]time.Time // data centres under evacuation, with the time of the request
	faults     int                  // number of active faults
	calmSince  time.Time            // end of the last fault
	violations []string
}

// occupancy holds the number of runs on an executor.
type occupancy struct {
	dataCentre    string
	runs, maxRuns int
	roomSince     time.Time // since when there is room for two more runs, zero if there is none
}

// add adds n to the number of runs at the given time.
func (o *occupancy) add(n int, at time.Time) {
	o.runs += n
	switch {
	case o.runs+2 > o.maxRuns:
		o.roomSince = time.Time{}
	case o.roomSince.IsZero():
		o.roomSince = at
	}
}

// job holds the events of a job that callers observed.
type job struct {
	tasks          int // number of tasks in all steps
	firstStepTasks int // number of tasks in step 0, which must end before all others start
	perpetual      bool
	accepted       bool
	refused        bool      // every submission was refused, so that none can have been accepted
	cancelledAt    time.Time // zero if the job was not cancelled
	completed      bool      // a caller received the state "completed"
}

// task holds the events of a task that executors observed.
type task struct {
	running       map[string]fleet.Run // the current run, by executor
	completedRuns map[string]int       // number of the run that ended as done, by executor, until the executor or its lease ends
	restarted     bool                 // another run started while completedRuns was not empty
	acknowledged  bool                 // an end as done was acknowledged
	completions   int                  // number of runs that ended as done
	endedAt       time.Time            // end of the last run
	overdue       bool                 // a violation of a bound has been added since the last start
}

var _ fleet.Observer = (*Checker)(nil)

// addViolation adds a violation. The lock must be held.
func (c *Checker) addViolation(format string, a ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, a...))
}

// Violations returns the violations of guarantees so far.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// task returns the named task and adds it if it is new. The lock must be held.
func (c *Checker) task(name string) *task {
	if c.tasks == nil {
		c.tasks = make(map[string]*task)
	}
	t := c.tasks[name]
	if t == nil {
		t = &task{running: make(map[string]fleet.Run), completedRuns: make(map[string]int)}
		c.tasks[name] = t
	}
	return t
}

// RecordSubmission adds a job with the given number of tasks in its first step
// and in all steps. It must be called before the job is submitted for the first
// time.
func (c *Checker) RecordSubmission(id string, first, tasks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs == nil {
		c.jobs = make(map[string]*job)
	}
	c.jobs[id] = &job{firstStepTasks: first, tasks: tasks}
}

// RecordPerpetualSubmission is [Checker.RecordSubmission] for a job with one step
// of perpetual tasks.
func (c *Checker) RecordPerpetualSubmission(id string, tasks int) {
	c.RecordSubmission(id, tasks, tasks)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].perpetual = true
}

// IsPerpetual reports whether a task belongs to a perpetual job.
func (c *Checker) IsPerpetual(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobOf(task)
	return j != nil && j.perpetual
}

// RecordExecutor adds an executor in a data centre that starts now and executes at
// most maxRuns runs at a time.
func (c *Checker) RecordExecutor(id, dataCentre string, maxRuns int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.executors == nil {
		c.executors = make(map[string]*occupancy)
	}
	c.executors[id] = &occupancy{dataCentre: dataCentre, maxRuns: maxRuns}
	c.executors[id].add(0, now)
}

// RecordEvacuation records that the store has taken the request to evacuate a data
// centre.
func (c *Checker) RecordEvacuation(dataCentre string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evacuated == nil {
		c.evacuated = make(map[string]time.Time)
	}
	c.evacuated[dataCentre] = at
}

// RecordEvacuationEnd records that the request to evacuate a data centre is about to
// be removed.
func (c *Checker) RecordEvacuationEnd(dataCentre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evacuated, dataCentre)
}

// checkDataCentre checks that a run may be started where it is. The lock must be held.
func (c *Checker) checkDataCentre(r fleet.Run) {
	o := c.executors[r.Executor]
	if o == nil {
		return
	}
	if at, ok := c.evacuated[o.dataCentre]; ok && r.OrderedAt.Sub(at) > maxStartAfterEvacuation {
		c.addViolation("EVAC: %s was ordered to start on %s %v after the request to evacuate its data centre", r.Task, r.Executor, r.OrderedAt.Sub(at))
	}
}

// RecordFault records the start of a fault. [Checker.RecordFaultEnd] must be
// called at its end.
func (c *Checker) RecordFault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults++
}

// RecordFaultEnd records the end of a fault.
func (c *Checker) RecordFaultEnd(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults--
	c.calmSince = now
}

// CheckStops checks that no task of a cancelled job runs after maxRunAfterCancel
// of calm, or maxLateRunAfterCancel if it started late. It adds at most one
// violation for each run.
func (c *Checker) CheckStops(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults > 0 {
		return
	}
	calm := now.Sub(c.calmSince)
	for name, t := range c.tasks {
		j := c.jobOf(name)
		if j == nil || t.overdue || len(t.running) == 0 || j.cancelledAt.IsZero() {
			continue
		}
		cancelled := now.Sub(j.cancelledAt)
		for x, run := range t.running {
			limit := maxRunAfterCancel
			if run.At.After(j.cancelledAt) {
				limit = maxLateRunAfterCancel
			}
			if !t.overdue && min(calm, cancelled) > limit {
				t.overdue = true
				c.addViolation("UNASKED: run %d of %s on %s still runs %v after its cancellation, calm for %v, started %v before now", run.Number, name, x, cancelled, calm, now.Sub(run.At))
			}
		}
	}
}

// CheckRestarts checks that all tasks of perpetual jobs run again within
// maxRestart. It adds at most one violation for each wait.
func (c *Checker) CheckRestarts(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x, room := c.longestRoom(now)
	calm := now.Sub(c.calmSince)
	if c.faults > 0 || min(calm, room) < minCalmToRestart {
		return
	}
	for name, t := range c.tasks {
		j := c.jobOf(name)
		if j == nil || t.overdue || len(t.running) > 0 || !j.perpetual || !j.accepted || !j.cancelledAt.IsZero() {
			continue
		}
		wait := now.Sub(t.endedAt)
		if t.overdue = wait > maxRestart; t.overdue {
			c.addViolation("LOST: %s has not run for %v, calm for %v, and %s has had room for %v", name, wait, calm, x, room)
		}
	}
}

// jobOf returns the job of a task, or nil. The lock must be held.
func (c *Checker) jobOf(task string) *job {
	id, _, _ := strings.Cut(task, ".")
	return c.jobs[id]
}

// longestRoom returns the executor that has had room for two runs for the longest
// time, and that time. The lock must be held.
func (c *Checker) longestRoom(now time.Time) (executor string, d time.Duration) {
	for id, o := range c.executors {
		if !o.roomSince.IsZero() && now.Sub(o.roomSince) > d {
			executor, d = id, now.Sub(o.roomSince)
		}
	}
	return executor, d
}

// RecordAccepted records that a caller received the acceptance of its job, which
// is stored from then on.
func (c *Checker) RecordAccepted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].accepted = true
}

// RecordRefused records that every attempt to submit a job was refused.
func (c *Checker) RecordRefused(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].refused = true
	for name := range c.tasks {
		if strings.HasPrefix(name, id+".") {
			c.addViolation("REFUSED: %s ran although its submission was refused", name)
		}
	}
}

// RecordCancelled records that a caller has cancelled its job, and the time at
// which it received the confirmation. A time in the future stands for a
// cancellation that is not confirmed yet.
func (c *Checker) RecordCancelled(id string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelledAt = at
}

// RecordCancelUnknown records that a caller's cancellation of an accepted job was
// answered as that of an unknown job, which confirms it like any other answer.
// first means that it was the first attempt to cancel the job.
func (c *Checker) RecordCancelUnknown(id string, first bool, at time.Time) {
	c.RecordCancelled(id, at)
	c.mu.Lock()
	defer c.mu.Unlock()
	if first && c.jobs[id].accepted {
		c.addViolation("LOST: %s is accepted but its cancellation was answered as that of an unknown job", id)
	}
}

// RecordState checks and records a state that a caller received for a job. The
// state is empty if the job was unknown.
func (c *Checker) RecordState(id, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	switch {
	case state == "" && j.accepted:
		c.addViolation("LOST: %s is accepted but reported as unknown", id)
	case state == "completed":
		j.completed = true
		if n := c.completedTasks(id); n < j.tasks {
			c.addViolation("MIXED: %s is reported as completed with %d of %d tasks done", id, n, j.tasks)
		}
	case j.completed && j.cancelledAt.IsZero() && state != "":
		c.addViolation("MIXED: %s is reported as %s after it was reported as completed", id, state)
	case state == "failed", state == "cancelled" && j.cancelledAt.IsZero():
		c.addViolation("LOST: %s is reported as %s without a cause", id, state)
	}
}

func (c *Checker) completedTasks(id string) int {
	n := 0
	for name, t := range c.tasks {
		if strings.HasPrefix(name, id+".") && t.completions > 0 {
			n++
		}
	}
	return n
}

// UnfinishedJobs returns the accepted batch jobs that were neither cancelled nor
// reported as completed.
func (c *Checker) UnfinishedJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id, j := range c.jobs {
		if j.accepted && !j.perpetual && !j.completed && j.cancelledAt.IsZero() {
			out = append(out, id)
		}
	}
	return out
}

// RunStarted implements [fleet.Observer].
func (c *Checker) RunStarted(r fleet.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, rest, _ := strings.Cut(r.Task, ".")
	j, t := c.jobs[id], c.task(r.Task)
	c.addRun(r, 1)
	c.checkDataCentre(r)
	switch {
	case j == nil:
		c.addViolation("UNASKED: %s runs although nobody submitted it", r.Task)
		return
	case j.refused:
		c.addViolation("REFUSED: %s runs although its submission was refused", r.Task)
	case !j.cancelledAt.IsZero() && r.OrderedAt.Sub(j.cancelledAt) > maxStartAfterCancel:
		c.addViolation("UNASKED: %s was ordered to start %v after its cancellation", r.Task, r.OrderedAt.Sub(j.cancelledAt))
	}
	for x, other := range t.running {
		c.addViolation("TWICE: run %d of %s on %s started during run %d on %s", r.Number, r.Task, r.Executor, other.Number, x)
	}
	if t.acknowledged {
		c.addViolation("TWICE: run %d of %s on %s started at %s after an acknowledged end, ordered %v before", r.Number, r.Task, r.Executor, r.At.Format("05.000"), r.At.Sub(r.OrderedAt))
	}
	if !strings.HasPrefix(rest, "0.0.") {
		for i := range j.firstStepTasks {
			if c.task(fmt.Sprintf("%s.0.0.%d", id, i)).completions == 0 {
				c.addViolation("ORDER: %s was started before task %d of the first step was done", r.Task, i)
			}
		}
	}
	t.restarted = t.restarted || len(t.completedRuns) > 0
	t.running[r.Executor] = r
	t.overdue = false
}

// addRun adds n to the number of runs on an executor. The lock must be held.
func (c *Checker) addRun(r fleet.Run, n int) {
	if o := c.executors[r.Executor]; o != nil {
		o.add(n, r.At)
	}
}

// RunEnded implements [fleet.Observer].
func (c *Checker) RunEnded(r fleet.Run, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.task(r.Task)
	delete(t.running, r.Executor)
	t.endedAt = r.At
	c.addRun(r, -1)
	if outcome == "done" {
		t.completedRuns[r.Executor] = r.Number
		t.completions++
	}
}

// EndAcknowledged implements [fleet.Observer].
func (c *Checker) EndAcknowledged(r fleet.Run, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.task(r.Task)
	if outcome != "done" || t.completedRuns[r.Executor] != r.Number {
		return // the end does not count: the lease has lapsed since
	}
	t.acknowledged = true
	if t.restarted {
		c.addViolation("TWICE: %s was started again after an end that was acknowledged later", r.Task)
	}
}

// LeaseExpired implements [fleet.Observer].
func (c *Checker) LeaseExpired(executor string) { c.clearExecutor(executor) }

// ExecutorEnded implements [fleet.Observer].
func (c *Checker) ExecutorEnded(executor string) {
	c.clearExecutor(executor)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.executors, executor)
}

// clearExecutor drops the runs and unacknowledged ends of an executor, which
// count only while it holds its lease.
func (c *Checker) clearExecutor(executor string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.tasks {
		if _, ok := t.running[executor]; ok {
			t.endedAt = time.Now() // the end of an executor reports no ends of its runs
		}
		delete(t.running, executor)
		delete(t.completedRuns, executor)
		t.restarted = t.restarted && len(t.completedRuns) > 0
	}
}
