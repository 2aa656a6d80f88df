package dispatch

import (
	"slices"

	"mimosadock/schedule/unit"
)

// HandleRefused records that the changes of a job in the append in flight were left
// out, since the store refuses them for good. It must be called before
// [Shard.HandleStored]. A job that was never stored is dropped: it has not run, as a
// start is ordered after its run is stored. Any other keeps its stored state, and its
// changes are part of the next append.
func (s *Shard) HandleRefused(id unit.Job) {
	j := s.jobs.Get(id)
	if j == nil {
		return
	}
	if j.stored {
		j.appendingState = j.storedState
		s.markDirty(id, j)
		refused := func(t TaskID) bool { return t.Job == id }
		for _, t := range s.storingStarts {
			if refused(t) {
				s.pendingStarts = append(s.pendingStarts, t)
			}
		}
		s.storingStarts = slices.DeleteFunc(s.storingStarts, refused)
		return
	}
	s.dropUnstored(id, j)
	s.report(Event{Kind: "refused", Task: TaskID{Job: id}})
}

// Withdraw drops a job that no append has, so that it never runs. It returns false if
// an append may have stored the job, and true if there is no such job.
func (s *Shard) Withdraw(id unit.Job) bool {
	j := s.jobs.Get(id)
	switch {
	case j == nil:
		return true
	case j.stored || j.appendingState != JobUnknown:
		return false
	}
	if i := slices.Index(s.dirty, id); i >= 0 {
		s.dirty[i] = "" // it still counts as a change, see QueuedChanges
	}
	s.dropUnstored(id, j)
	s.report(Event{Kind: "withdrawn", Task: TaskID{Job: id}})
	return true
}

// dropUnstored drops a job that was never stored. It has not run, as a start is
// ordered after its run is stored.
func (s *Shard) dropUnstored(id unit.Job, j *Job) {
	if !j.State.Ended() {
		s.openJobs--
	}
	s.forEachTask(id, j, func(tid TaskID, _ *Step, t *Task) {
		if e := s.executors.Get(t.Executor); e != nil && t.State.assigned() {
			s.removeRun(e, tid)
		}
	})
	// The same id may be submitted again.
	s.endedJobs = slices.DeleteFunc(s.endedJobs, func(ended unit.Job) bool { return ended == id })
	for k := range j.Occurrences {
		for i := range j.Occurrences[k].Steps {
			delete(s.readySteps, stepKey{id, k, i})
		}
	}
	s.removeBytes(j)
	s.jobs.Delete(id)
}
