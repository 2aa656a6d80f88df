package dispatch

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// JobState is what callers are told of a job. Values are stored and must keep
// their numbers.
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

// Ended reports whether nothing of the job runs any more.
func (s JobState) Ended() bool { return s >= JobCompleted }

// Job is a row of the table of jobs.
type Job struct {
	Spec        *Spec // nil once the job has ended
	Queue       unit.Queue
	State       JobState
	AcceptedAt  unit.UnixMillis
	EndedAt     unit.UnixMillis
	Occurrences []Occurrence

	dueAt          clock.Millis // when the job should be done, orders the ready steps
	stored         bool         // a record is in the store
	appendingState JobState     // state in the append in flight
	storedState    JobState     // state in the store, which callers are told
	dirty          bool         // differs from the store
	hasRunsToStop  bool         // runs of an ended job are still to be stopped
}

// Occurrence is one time of a job.
type Occurrence struct {
	Steps []StepState
}

// StepState holds the tasks of a step.
type StepState struct {
	Tasks []Task

	unblocked bool // all steps before it are done
	remaining int  // tasks that are not done
}

func (o *Occurrence) done() bool {
	for i := range o.Steps {
		if o.Steps[i].remaining > 0 {
			return false
		}
	}
	return true
}

func newOccurrence(s *Spec) Occurrence {
	o := Occurrence{Steps: make([]StepState, len(s.Steps))}
	for i := range s.Steps {
		o.Steps[i].Tasks = make([]Task, s.Steps[i].Count)
		o.Steps[i].remaining = s.Steps[i].Count
	}
	return o
}

// task returns the row of a task, or nil.
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

// occurrenceStart returns when an occurrence may begin, or 0 for at once.
func (s *Spec) occurrenceStart(k int) unit.UnixMillis {
	if s.Repeat == 0 {
		return 0
	}
	return s.StartAt + unit.UnixMillis(k)*unit.UnixMillis(s.Interval)
}

// criticalPath returns the length of the longest chain of steps by their estimates.
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
