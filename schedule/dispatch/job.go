package dispatch

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// JobState is the state of a job as reported to callers. Values are stored and
// must keep their numbers.
type JobState int

// The states of a job.
const (
	JobUnknown   JobState = iota // unknown
	JobQueued                    // queued
	JobRunning                   // running
	JobCompleted                 // completed
	JobFailed                    // failed
	JobCancelled                 // cancelled
)

// Ended reports whether s is final: completed, failed or cancelled. Runs of an
// ended job may still have to be stopped.
func (s JobState) Ended() bool { return s >= JobCompleted }

// Job is a row of the table of jobs.
type Job struct {
	Spec        *Spec // nil once the job has ended and no run of it is left
	Queue       unit.Queue
	State       JobState
	AcceptedAt  unit.UnixMillis
	EndedAt     unit.UnixMillis
	Occurrences []Occurrence

	chains         []clock.Span // see Job.chainFrom; nil until it is needed
	objective      clock.Span   // see Job.latencyObjective
	objectiveKnown bool
	restoredAfter  clock.Span   // from its acceptance until this owner restored it, 0 if this owner accepted it
	dueAt          clock.Millis // when the current occurrence should be completed; orders the ready steps
	stored         bool         // the store has a record of the job
	appendingState JobState     // state in the append in flight
	storedState    JobState     // state in the store, reported to callers
	stepQueues     []stepQueue  // by step; nil until one is used
	openTasks      int          // tasks of the occurrences that have started and are not done
	assignedRuns   int          // assignments of its tasks on all executors
	scheduled      bool         // in Shard.scheduledJobs
	idlePlacements int          // times in a row that startScheduledOccurrences found no task of it assigned
	stopsCheckedAt clock.Millis // last time that stopEndedJobs went through the tasks
	dirty          bool         // differs from the store
	hasRunsToStop  bool         // the job has ended and its tasks are still to be stopped
	bytes          unit.Bytes   // counted in the shard's JobBytes
	stopsSince     clock.Millis // when the runs of the ended job were first to be stopped, 0 if none was
}

// Occurrence is one execution of all steps of a job. A repeated job has
// several.
type Occurrence struct {
	Steps []StepState // nil once all are done, if the job is repeated
}

// StepState holds the tasks of a step.
type StepState struct {
	Tasks []Task
	Gang  GangFailures // of a step whose tasks are a gang

	unblocked bool      // all steps that it depends on are done
	wait      *rackWait // for room on a rack; nil if none was weighed
	remaining int       // tasks that are not done
	times     stepTimes
}

// GangFailures counts the failed runs of a gang. The members share the number of a
// run, which fails once however many of them fail in it.
type GangFailures struct {
	Failed  int      // runs in which a member failed
	LastRun unit.Run // last run in which a member failed, 0 if there is none
}

// add counts a failure of a member in a run.
func (g *GangFailures) add(run unit.Run) {
	if run > g.LastRun {
		g.Failed, g.LastRun = g.Failed+1, run
	}
}

// restoreGang counts the failed runs of a gang whose record is that of a version
// without the count. A member failed at most once in each of them.
func (s *StepState) restoreGang() {
	for i := range s.Tasks {
		t := &s.Tasks[i]
		if t.Failures <= s.Gang.Failed {
			continue
		}
		s.Gang = GangFailures{Failed: t.Failures, LastRun: t.Run}
		if t.State.assigned() {
			s.Gang.LastRun-- // the current run has not failed
		}
	}
}

// ranBefore reports whether a task of the step was assigned before.
func (s *StepState) ranBefore() bool {
	return slices.ContainsFunc(s.Tasks, func(t Task) bool { return t.Run > 0 })
}

// done reports whether all tasks of o are done.
func (o *Occurrence) done() bool {
	for i := range o.Steps {
		if o.Steps[i].remaining > 0 {
			return false
		}
	}
	return true
}

// newOccurrence returns an occurrence of a job whose tasks are all blocked.
func newOccurrence(s *Spec) Occurrence {
	o := Occurrence{Steps: make([]StepState, len(s.Steps))}
	for i := range s.Steps {
		o.Steps[i].Tasks = make([]Task, s.Steps[i].Count)
		o.Steps[i].remaining = s.Steps[i].Count
	}
	return o
}

// task returns the row of a task, or nil if the job has no such task.
func (j *Job) task(id TaskID) *Task {
	if id.Occurrence >= len(j.Occurrences) {
		return nil
	}
	o := &j.Occurrences[id.Occurrence]
	if id.Step >= len(o.Steps) || id.Index >= len(o.Steps[id.Step].Tasks) {
		return nil
	}
	return &o.Steps[id.Step].Tasks[id.Index]
}

// occurrenceCount returns how many times the job runs.
func (s *Spec) occurrenceCount() int { return max(s.Repeat, 1) }

// TotalTasks returns the number of tasks in all occurrences.
func (s *Spec) TotalTasks() int { return s.tasksPerOccurrence() * s.occurrenceCount() }

// tasksPerOccurrence returns the number of tasks in one occurrence.
func (s *Spec) tasksPerOccurrence() int {
	total := 0
	for i := range s.Steps {
		total += s.Steps[i].Count
	}
	return total
}

// occurrenceStart returns the earliest start of occurrence k, or 0 if it may
// start at once.
func (s *Spec) occurrenceStart(k int) unit.UnixMillis {
	if s.Repeat == 0 {
		return 0
	}
	return s.StartAt + unit.UnixMillis(k)*unit.UnixMillis(s.Interval)
}

// criticalPath returns the length of the longest path through the steps, by
// their estimates.
func (s *Spec) criticalPath() clock.Span {
	var longest clock.Span
	finishTimes := make([]clock.Span, len(s.Steps))
	for i := range s.Steps {
		for _, predecessor := range s.Steps[i].After {
			finishTimes[i] = max(finishTimes[i], finishTimes[predecessor])
		}
		finishTimes[i] += s.Steps[i].Estimate
		longest = max(longest, finishTimes[i])
	}
	return longest
}
