package dispatch

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// retrySoon is when a refused caller may come again.
const retrySoon = 500 * clock.Millisecond

// Submit takes a job in. The caller may be told so once the changes of the
// next turn are stored. A job that is known already is taken in once. The
// error has the verdict DidNotRun: the job will never run on this call.
func (s *Shard) Submit(now clock.Millis, wall unit.UnixMillis, spec *Spec) error {
	if j := s.jobs.Get(spec.ID); j != nil {
		s.mark(spec.ID, j)
		return nil
	}
	if s.open >= s.Limits.MaxJobs {
		return &verdict.Error{Verdict: verdict.DidNotRun, Reason: "too many open jobs", RetryAfter: retrySoon}
	}
	j := s.jobs.Put(spec.ID, Job{Spec: spec, Queue: spec.Queue.Name, State: JobQueued, AcceptedAt: wall})
	j.due = now.Add(dueSpan(spec))
	s.open++
	s.noteAdvice(&spec.Queue)
	s.mark(spec.ID, j)
	s.begin(now, wall, spec.ID, j)
	s.report(Event{What: "accepted", Task: TaskID{Job: spec.ID}, Reason: string(spec.Queue.Name)})
	return nil
}

// dueSpan returns the latency objective of a job.
func dueSpan(spec *Spec) clock.Span {
	return spec.Queue.TargetLatency + clock.Span(spec.Queue.SlackFactor*float64(spec.chain()))
}

// Cancel cancels a job. It returns false if there is no such job. The caller
// may be told so once the changes of the next turn are stored.
func (s *Shard) Cancel(_ clock.Millis, wall unit.UnixMillis, id unit.Job) bool {
	j := s.jobs.Get(id)
	if j == nil {
		return false
	}
	s.mark(id, j)
	if !j.State.Ended() {
		s.finish(wall, id, j, JobCancelled)
	}
	return true
}

// Known reports whether the shard has a job, stored or not.
func (s *Shard) Known(id unit.Job) bool { return s.jobs.Get(id) != nil }

// begin opens the occurrences whose time has come. It reports whether there
// are more.
func (s *Shard) begin(now clock.Millis, wall unit.UnixMillis, id unit.Job, j *Job) {
	for len(j.Occurrences) < j.Spec.occurrences() {
		k := len(j.Occurrences)
		if at := j.Spec.dueAt(k); at > wall {
			if k == 0 || len(s.timed) == 0 || s.timed[len(s.timed)-1] != id {
				s.addTimed(id)
			}
			return
		}
		j.Occurrences = append(j.Occurrences, newOccurrence(j.Spec))
		s.mark(id, j)
		s.openSteps(now, id, j, k)
		if k > 0 {
			j.due = now.Add(dueSpan(j.Spec))
		}
	}
}

func (s *Shard) addTimed(id unit.Job) {
	for _, t := range s.timed {
		if t == id {
			return
		}
	}
	s.timed = append(s.timed, id)
}

// occur opens occurrences whose time has come.
func (s *Shard) occur(now clock.Millis, wall unit.UnixMillis) {
	timed := s.timed
	s.timed = nil
	for _, id := range timed {
		if j := s.jobs.Get(id); j != nil && !j.State.Ended() {
			s.begin(now, wall, id, j)
		}
	}
}

// openSteps makes the tasks of steps ready whose earlier steps are done.
func (s *Shard) openSteps(now clock.Millis, id unit.Job, j *Job, k int) {
	o := &j.Occurrences[k]
	for i := range o.Steps {
		st := &o.Steps[i]
		if st.open {
			continue
		}
		done := true
		for _, a := range j.Spec.Steps[i].After {
			done = done && o.Steps[a].left == 0
		}
		if !done {
			continue
		}
		st.open = true
		for t := range st.Tasks {
			if st.Tasks[t].State == TaskBlocked {
				st.Tasks[t].State = TaskReady
			}
		}
		s.markReady(now, id, k, i)
	}
}

func (s *Shard) markReady(now clock.Millis, id unit.Job, k, step int) {
	if s.ready == nil {
		s.ready = make(map[stepKey]clock.Millis)
	}
	if _, ok := s.ready[stepKey{id, k, step}]; !ok {
		s.ready[stepKey{id, k, step}] = now
	}
}

// finish ends a job. Runs that are left are stopped by a later turn, once the
// end is stored.
func (s *Shard) finish(wall unit.UnixMillis, id unit.Job, j *Job, state JobState) {
	j.State, j.EndedAt = state, wall
	j.stops = true
	s.open--
	s.ended = append(s.ended, id)
	s.stopping = append(s.stopping, id)
	s.mark(id, j)
	s.report(Event{What: "ended", Task: TaskID{Job: id}, Reason: state.String()})
}

// expireEvery is the span between two looks for states to drop.
const expireEvery = clock.Second

// expire drops the states of jobs that ended long ago.
func (s *Shard) expire(now clock.Millis, wall unit.UnixMillis) {
	if now < s.nextEnded {
		return
	}
	s.nextEnded = now.Add(expireEvery)
	s.forget(now)
	s.forgetAdvice()
	for len(s.ended) > 0 {
		id := s.ended[0]
		j := s.jobs.Get(id)
		if j != nil && (wall-j.EndedAt < unit.UnixMillis(s.Limits.StatusFor) || j.stops) {
			return
		}
		s.ended = s.ended[1:]
		if j != nil && s.jobs.Delete(id) {
			s.changed = append(s.changed, id)
		}
	}
}
