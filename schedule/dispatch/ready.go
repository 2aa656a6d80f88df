package dispatch

import (
	"slices"

	"mimosadock/schedule/clock"
)

const (
	// maxReadySteps bounds the steps of a job, over all its occurrences, that the
	// systems consider in a tick. A job may have [MaxSteps] steps in one occurrence,
	// and thousands of occurrences that are due at once.
	maxReadySteps = MaxSteps
	// maxOpenTasks bounds the tasks of the occurrences of a job that have started and
	// are not done, unless no task of the job is assigned. The tables hold all of
	// them, and each change of the job stores all of them.
	maxOpenTasks = maxTasks
)

// stepQueue has the occurrences of one step of a job that wait to be placed. The
// tasks of a step need the same in each occurrence: if those that are ready find no
// executor, those in the backlog would find none either. The zero value is empty.
type stepQueue struct {
	ready   int   // occurrences in Shard.readySteps
	backlog []int // further occurrences, in the order in which they were unblocked
}

// readyLimit returns the number of occurrences of a step that are ready at a time.
func (s *Spec) readyLimit() int { return max(1, maxReadySteps/len(s.Steps)) }

// stepQueue returns the queue of a step.
func (j *Job) stepQueue(step int) *stepQueue {
	if j.stepQueues == nil {
		j.stepQueues = make([]stepQueue, len(j.Spec.Steps))
	}
	return &j.stepQueues[step]
}

// enqueueStep makes an unblocked step ready, or adds it to the backlog of the step.
func (s *Shard) enqueueStep(now clock.Millis, k stepKey, j *Job) {
	if q := j.stepQueue(k.step); q.ready >= j.Spec.readyLimit() {
		q.backlog = append(q.backlog, k.occurrence)
		return
	}
	s.markReady(now, k, j)
}

// markReady adds a step to the ready steps. A step that is there keeps its time.
func (s *Shard) markReady(now clock.Millis, k stepKey, j *Job) {
	if _, ok := s.readySteps[k]; ok {
		return
	}
	if s.readySteps == nil {
		s.readySteps = make(map[stepKey]*readyStep)
	}
	s.readySteps[k] = &readyStep{since: now}
	j.stepQueue(k.step).ready++
}

// dropReady removes a step from the ready steps and makes the next occurrence of its
// backlog ready.
func (s *Shard) dropReady(now clock.Millis, k stepKey) {
	delete(s.readySteps, k)
	j := s.jobs.Get(k.job)
	if j == nil || j.Spec == nil || j.State.Ended() {
		return
	}
	q := j.stepQueue(k.step)
	q.ready--
	for q.ready < j.Spec.readyLimit() && len(q.backlog) > 0 {
		k.occurrence, q.backlog = q.backlog[0], q.backlog[1:]
		s.markReady(now, k, j)
	}
}

// mayStartOccurrence reports whether the next occurrence of a job may start once it is
// due. It waits until a step without predecessors has fewer occurrences ready than
// readyLimit, so that a job has no more rows than it can use. Above maxOpenTasks, one
// occurrence starts at a time, when a placement has left the job without an assigned
// task, and none of such a step is ready: the started occurrences may wait for
// executors that a further one doesn't need.
func (j *Job) mayStartOccurrence() bool {
	limit := j.Spec.readyLimit()
	if j.openTasks > 0 && j.openTasks+j.Spec.tasksPerOccurrence() > maxOpenTasks {
		if j.idlePlacements < 2 {
			return false
		}
		limit = 1
	}
	for i := range j.Spec.Steps {
		if len(j.Spec.Steps[i].After) == 0 && j.stepQueue(i).ready < limit {
			return true
		}
	}
	return false
}

// openOccurrence counts the tasks of an occurrence that starts.
func (s *Shard) openOccurrence(j *Job) {
	j.openTasks += j.Spec.tasksPerOccurrence()
	if b := j.Spec.jobBytes(j.openTasks); b > j.bytes {
		s.jobBytes += b - j.bytes
		j.bytes = b
	}
}

// closeOccurrence drops the rows of an occurrence that is done. The job keeps them if
// it has no other occurrence.
func (j *Job) closeOccurrence(k int) {
	j.openTasks -= j.Spec.tasksPerOccurrence()
	if j.Spec.occurrenceCount() > 1 {
		j.Occurrences[k].Steps = nil
	}
}

// OpenTasks returns the number of tasks of the occurrences that have started and are
// not done.
func (j *Job) OpenTasks() int { return j.openTasks }

// tasks returns the tasks of a step, or nil if its occurrence is done.
func (j *Job) tasks(k stepKey) []Task {
	if o := &j.Occurrences[k.occurrence]; k.step < len(o.Steps) {
		return o.Steps[k.step].Tasks
	}
	return nil
}

// runningJobs is the set of jobs with a run that is known to run on an executor that
// answers, as of one placement. The zero value is of none.
type runningJobs struct {
	placement int64
	jobs      map[*Job]struct{}
}

// hasRunningTask reports whether a run of the job is known to run on an executor that
// answers. Placements assign runs but start none, so that the answer holds for all of
// a placement.
func (s *Shard) hasRunningTask(j *Job) bool {
	if s.running.placement != s.placements || s.running.jobs == nil {
		s.running = runningJobs{s.placements, make(map[*Job]struct{})}
		for _, e := range s.executors.All() {
			for i := range e.runs {
				if a := &e.runs[i]; !e.unresponsive && a.isCurrent() && a.task.State == TaskRunning {
					s.running.jobs[a.job] = struct{}{}
				}
			}
		}
	}
	_, ok := s.running.jobs[j]
	return ok
}

// rotation continues a loop over the ready steps, which a budget has ended early, in
// the next tick. The zero value starts with the first step.
type rotation struct {
	next stepKey // first step that was left out, if any was
}

// order returns steps with those first that the last loop left out.
func (r *rotation) order(steps []stepKey) []stepKey {
	if r.next == (stepKey{}) {
		return steps
	}
	n := max(0, slices.Index(steps, r.next))
	r.next = stepKey{}
	return append(slices.Clone(steps[n:]), steps[:n]...)
}
