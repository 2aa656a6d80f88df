package dispatch

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// submitRetryDelay is the retry delay for callers whose submission is refused.
const submitRetryDelay = 500 * clock.Millisecond

// Submit accepts a job. The submission may be confirmed to the caller once the
// changes of the next tick are stored. Submit is idempotent: a job that the
// shard already has keeps its state and is stored again, so that this
// submission too is confirmed only after an append. An error has the verdict
// DidNotRun: the shard did not accept the job.
func (s *Shard) Submit(now clock.Millis, wall unit.UnixMillis, spec *Spec) error {
	if j := s.jobs.Get(spec.ID); j != nil {
		s.markDirty(spec.ID, j)
		return nil
	}
	if s.openJobs >= s.Limits.MaxJobs {
		return &verdict.Error{Verdict: verdict.DidNotRun, Reason: "too many open jobs", RetryAfter: submitRetryDelay}
	}
	j := s.jobs.Put(spec.ID, Job{Spec: spec, Queue: spec.Queue.Name, State: JobQueued, AcceptedAt: wall})
	j.dueAt = now.Add(latencyObjective(spec))
	s.openJobs++
	s.addBytes(j)
	s.enableAdvice(&spec.Queue)
	s.markDirty(spec.ID, j)
	s.startDueOccurrences(now, wall, spec.ID, j)
	s.report(Event{Kind: "accepted", Task: TaskID{Job: spec.ID}, Reason: string(spec.Queue.Name)})
	return nil
}

// latencyObjective returns the time in which a job should complete: the target
// of its queue plus its critical path times the slack factor of the queue.
func latencyObjective(spec *Spec) clock.Span {
	return spec.Queue.TargetLatency + clock.Span(spec.Queue.SlackFactor*float64(spec.criticalPath()))
}

// latencyObjective returns the time in which the job should complete.
func (j *Job) latencyObjective() clock.Span {
	if !j.objectiveKnown {
		j.objective, j.objectiveKnown = latencyObjective(j.Spec), true
	}
	return j.objective
}

// Cancel cancels a job and returns false if there is no such job. A job that
// has ended keeps its state. The cancellation may be confirmed to the caller
// once the changes of the next tick are stored.
func (s *Shard) Cancel(_ clock.Millis, wall unit.UnixMillis, id unit.Job) bool {
	j := s.jobs.Get(id)
	if j == nil {
		return false
	}
	s.markDirty(id, j)
	if !j.State.Ended() {
		s.endJob(wall, id, j, JobCancelled)
	}
	return true
}

// HasJob reports whether the shard has a job, stored or not.
func (s *Shard) HasJob(id unit.Job) bool { return s.jobs.Get(id) != nil }

// startDueOccurrences starts the occurrences of a job whose start time has come, as
// far as [Job.mayStartOccurrence] allows: it creates their tasks and makes the steps
// without predecessors ready. If later occurrences are left, the job stays in the list
// of scheduled jobs.
func (s *Shard) startDueOccurrences(now clock.Millis, wall unit.UnixMillis, id unit.Job, j *Job) {
	for len(j.Occurrences) < j.Spec.occurrenceCount() {
		k := len(j.Occurrences)
		if j.Spec.occurrenceStart(k) > wall || !j.mayStartOccurrence() {
			s.addScheduled(id, j)
			return
		}
		j.Occurrences = append(j.Occurrences, newOccurrence(j.Spec))
		s.openOccurrence(j)
		s.offerOccurrence(j)
		s.markDirty(id, j)
		s.unblockSteps(now, id, j, k)
		if k > 0 {
			j.dueAt = now.Add(j.latencyObjective())
		}
	}
}

// addScheduled adds a job to the list of scheduled jobs unless it is there.
func (s *Shard) addScheduled(id unit.Job, j *Job) {
	if !j.scheduled {
		j.scheduled = true
		s.scheduledJobs = append(s.scheduledJobs, id)
	}
}

// startScheduledOccurrences starts the occurrences of all scheduled jobs whose
// start time has come.
func (s *Shard) startScheduledOccurrences(now clock.Millis, wall unit.UnixMillis) {
	scheduled := s.scheduledJobs
	s.scheduledJobs = nil
	for _, id := range scheduled {
		if j := s.jobs.Get(id); j != nil {
			j.scheduled = false
			if j.idlePlacements++; j.assignedRuns > 0 {
				j.idlePlacements = 0
			}
		}
	}
	for _, id := range scheduled {
		// A job that was dropped and submitted again can be in the list twice.
		if j := s.jobs.Get(id); j != nil && !j.scheduled && !j.State.Ended() {
			s.startDueOccurrences(now, wall, id, j)
		}
	}
}

// unblockSteps makes the tasks of occurrence k ready whose step has no
// predecessors or only predecessors that are done.
func (s *Shard) unblockSteps(now clock.Millis, id unit.Job, j *Job, k int) {
	o := &j.Occurrences[k]
	for i := range o.Steps {
		state := &o.Steps[i]
		if state.unblocked {
			continue
		}
		done := true
		for _, predecessor := range j.Spec.Steps[i].After {
			done = done && o.Steps[predecessor].remaining == 0
		}
		if !done {
			continue
		}
		state.unblocked, state.times.unblockedAt = true, now
		for t := range state.Tasks {
			if state.Tasks[t].State == TaskBlocked {
				state.Tasks[t].State, state.Tasks[t].times.readyAt = TaskReady, now
			}
		}
		if key := (stepKey{id, k, i}); j.Spec.Steps[i].Perpetual && state.ranBefore() {
			s.markReady(now, key, j) // is not to wait behind first runs
		} else {
			s.enqueueStep(now, key, j)
		}
	}
}

// endJob ends a job. Later ticks send stop orders for the runs that are left,
// once the end is stored.
func (s *Shard) endJob(wall unit.UnixMillis, id unit.Job, j *Job, state JobState) {
	j.State, j.EndedAt = state, wall
	j.hasRunsToStop = true
	s.openJobs--
	s.endedJobs = append(s.endedJobs, id)
	s.stoppingJobs = append(s.stoppingJobs, id)
	s.markDirty(id, j)
	s.report(Event{Kind: "ended", Task: TaskID{Job: id}, Reason: state.String()})
}

// expiryInterval is the interval between two runs of expireEndedJobs.
const expiryInterval = clock.Second

// expireEndedJobs deletes the states of jobs that ended longer ago than the
// retention and have no runs to stop. It also drops the rows of unregistered
// executors without runs, the records of loans that are not needed any more, and
// the advisor's responses for ended jobs.
func (s *Shard) expireEndedJobs(now clock.Millis, wall unit.UnixMillis) {
	if now < s.nextExpiryAt {
		return
	}
	s.nextExpiryAt = now.Add(expiryInterval)
	s.removeUnregistered(now)
	s.expireLoans(now)
	s.dropEndedAdvice()
	for len(s.endedJobs) > 0 {
		id := s.endedJobs[0]
		j := s.jobs.Get(id)
		if j != nil && (wall-j.EndedAt < unit.UnixMillis(s.Limits.StatusRetention) || j.hasRunsToStop) {
			return
		}
		s.endedJobs = s.endedJobs[1:]
		if j != nil && s.jobs.Delete(id) {
			s.removeBytes(j)
			s.dirty = append(s.dirty, id)
		}
	}
}
