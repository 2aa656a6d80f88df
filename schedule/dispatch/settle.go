package dispatch

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// suspectStreak failed runs in a row make an executor suspect. Jobs that can't
// be done fail everywhere, so a lower figure would suspect sound executors.
const suspectStreak = 3

// suspectFor is how long a suspect executor gets no new runs.
const suspectFor = 4 * clock.Second

// Register notes an executor's entry in the platform's list.
func (s *Shard) Register(now clock.Millis, r Registration) {
	e := s.executors.Get(r.Executor)
	if e == nil {
		e = s.executors.Put(r.Executor, Executor{})
	}
	if r.Draining && !e.Draining {
		e.drainAt = now
		s.report(Event{What: "draining", Executor: r.Executor})
	}
	old := e.Born
	e.Registration, e.listed = r, true
	if e.Born == 0 {
		e.Born = old
	}
	if old != 0 && e.Born != old {
		s.reborn(now, e)
	}
}

// Update takes changes of the platform's list of executors. mine tells which
// executors belong to the shard.
func (s *Shard) Update(now clock.Millis, r Registrations, mine func(unit.Executor) bool) {
	listed := make(map[unit.Executor]bool, len(r.Entries))
	for i := range r.Entries {
		if mine(r.Entries[i].Executor) {
			listed[r.Entries[i].Executor] = true
			s.Register(now, r.Entries[i])
		}
	}
	for _, id := range r.Removed {
		s.unregister(now, id)
	}
	if r.Whole {
		for _, id := range s.registered() {
			if !listed[id] {
				s.unregister(now, id)
			}
		}
	}
}

// unregister notes that an executor's entry is gone. Its runs stay until their
// lease has ended.
func (s *Shard) unregister(now clock.Millis, id unit.Executor) {
	if e := s.executors.Get(id); e != nil && e.listed {
		e.listed, e.goneAt = false, now
	}
}

// forget drops the rows of executors that are gone and run nothing.
func (s *Shard) forget(now clock.Millis) {
	s.executors.DeleteFunc(func(_ unit.Executor, e *Executor) bool {
		return !e.listed && len(e.tasks) == 0 && !e.holding && now >= e.goneAt.Add(returnGrace)
	})
}

// registered returns the ids of the listed executors.
func (s *Shard) registered() []unit.Executor {
	var ids []unit.Executor
	for id, e := range s.executors.All() {
		if e.listed {
			ids = append(ids, id)
		}
	}
	return ids
}

// reborn begins another life of an executor. Its runs count as running until
// the new life has answered a hold with a higher token.
func (s *Shard) reborn(now clock.Millis, e *Executor) {
	e.lives++
	e.synced, e.clockAt, e.lastSeen, e.noted, e.noting, e.told = false, 0, 0, 0, 0, 0
	e.streak, e.suspect, e.retryAt, e.retries = 0, 0, now, 0
	s.report(Event{What: "executorRestarted", Executor: e.Executor})
}

// Answered takes the answer to an order, or its absence if err is not nil.
func (s *Shard) Answered(now clock.Millis, wall unit.UnixMillis, o *Order, a *Answer, err error) {
	e := s.executors.Get(o.To.Executor)
	if e == nil {
		return
	}
	if o.Hold != nil {
		e.holding = false
	}
	if err != nil {
		s.unanswered(now, e, o)
		return
	}
	if a.Outcome == OutcomeFenced {
		s.fenced = true
		s.report(Event{What: "fenced", Executor: e.Executor})
		return
	}
	e.failing, e.retries = false, 0
	if a.Outcome == OutcomeOtherLife {
		s.over(now, e)
		return
	}
	if a.Born != 0 && a.Born != e.Born {
		restarted := e.Born != 0
		e.Born = a.Born
		if restarted {
			s.reborn(now, e)
			return
		}
	}
	e.readClock(now, a)
	switch {
	case o.Hold != nil:
		s.listed(now, wall, e, o.Hold, a)
	case o.Start != nil:
		s.started(now, e, o.Start, a.Outcome)
	case o.Stop != nil:
		s.stopped(now, o.Stop, a.Outcome)
	}
}

// over gives up the runs of an executor whose life has ended: another one
// answers at its address.
func (s *Shard) over(now clock.Millis, e *Executor) {
	s.report(Event{What: "executorGone", Executor: e.Executor})
	for id := range e.tasks {
		j, st, t := s.find(id)
		if t == nil {
			delete(e.tasks, id)
			continue
		}
		if t.State != TaskPlaced {
			s.requeue(now, id, j, st, t, e)
		}
	}
	e.synced, e.leaseEnd, e.retryAt = false, 0, now.Add(clock.Second)
	if e.listed {
		e.listed, e.goneAt = false, now
	}
}

// unanswered notes that an order may or may not have been carried out.
func (s *Shard) unanswered(now clock.Millis, e *Executor, o *Order) {
	if !e.failing {
		e.failing = true
		s.report(Event{What: "executorSilent", Executor: e.Executor})
	}
	switch {
	case o.Hold != nil:
		e.retries++
		e.retryAt = now.Add(min(clock.Second, 100*clock.Millisecond*clock.Span(e.retries)))
	case o.Start != nil:
		if _, _, t := s.find(o.Start.Task); t != nil && t.Run == o.Start.Run {
			t.inFlight, t.unanswered = false, true
		}
	case o.Stop != nil:
		if _, _, t := s.find(o.Stop.Task); t != nil && t.Run == o.Stop.Run {
			t.inFlight = false
		}
	}
}

// started settles a start order.
func (s *Shard) started(now clock.Millis, e *Executor, o *StartOrder, outcome Outcome) {
	j, st, t := s.find(o.Task)
	if t == nil || t.Run != o.Run || t.State != TaskStarting {
		return
	}
	t.inFlight = false
	switch outcome {
	case OutcomeDone:
		s.runs(now, o.Task, j, t)
	case OutcomeNoRoom, OutcomeNoTicket, OutcomeBusy, OutcomeLate, OutcomeInvalid:
		s.report(Event{What: "startRefused", Task: o.Task, Run: o.Run, Executor: e.Executor, Reason: outcome.String()})
		if outcome == OutcomeNoRoom {
			e.suspect = max(e.suspect, now.Add(300*clock.Millisecond))
		}
		if outcome == OutcomeNoTicket {
			s.refuseTicket(o.Task, e)
		}
		if outcome == OutcomeBusy {
			e.suspect = now.Add(clock.Second)
		}
		if t.unanswered {
			// An earlier copy of the order may still be carried out; a stop
			// keeps it from starting.
			t.State = TaskStopping
			return
		}
		s.requeue(now, o.Task, j, st, t, e)
	case OutcomeOld:
		// The run was here and has ended; the list of ends tells how.
		t.answered, t.unanswered = now, false
		t.State = TaskRunning
	case OutcomeUnknown, OutcomeFenced, OutcomeOtherLife:
		t.unanswered = true
	}
}

func (s *Shard) runs(now clock.Millis, id TaskID, j *Job, t *Task) {
	t.State, t.answered, t.unanswered, t.recovered = TaskRunning, now, false, false
	t.progressAt, t.runningAt = now, now
	if j.State == JobQueued {
		j.State = JobRunning
		s.mark(id.Job, j)
	}
}

// stopped settles a stop order: the end, if the run was there, comes with the
// next list; otherwise the run can never start.
func (s *Shard) stopped(now clock.Millis, o *StopOrder, outcome Outcome) {
	_, _, t := s.find(o.Task)
	if t == nil || t.Run != o.Run || t.State != TaskStopping {
		return
	}
	t.inFlight = false
	if outcome == OutcomeDone || outcome == OutcomeOld {
		t.answered = now
	}
}

// requeue gives up the run of a task. The caller has made sure that the run
// can't start or go on.
func (s *Shard) requeue(now clock.Millis, id TaskID, j *Job, st *Step, t *Task, e *Executor) {
	if e != nil {
		e.remove(id, st)
	}
	t.inFlight, t.unanswered, t.recovered, t.paced, t.wantPace = false, false, false, fullPace, fullPace
	s.mark(id.Job, j)
	if j.State.Ended() {
		t.State = TaskEnded
		return
	}
	t.State = TaskReady
	s.markReady(now, id.Job, id.Occurrence, id.Step)
}

// end takes the end of a run.
func (s *Shard) end(now clock.Millis, wall unit.UnixMillis, e *Executor, f *FinishedRun) {
	j, st, t := s.find(f.Task)
	if t == nil || t.Run != f.Run || t.Executor != e.Executor || !t.State.assigned() {
		return
	}
	s.report(Event{What: "runEnded", Task: f.Task, Run: f.Run, Executor: e.Executor, Reason: f.How.String()})
	if f.Checkpoint != "" {
		t.Checkpoint = f.Checkpoint
	}
	if f.How == EndDone && !st.Perpetual {
		s.done(now, wall, f.Task, j, st, t, e)
		return
	}
	if f.How == EndFailed {
		s.failed(now, wall, f.Task, j, st, t, e)
		return
	}
	s.requeue(now, f.Task, j, st, t, e)
}

func (s *Shard) done(now clock.Millis, wall unit.UnixMillis, id TaskID, j *Job, st *Step, t *Task, e *Executor) {
	e.streak = 0
	o := &j.Occurrences[id.Occurrence]
	if st.Gang {
		s.gangDone(id, o, st)
	} else {
		e.remove(id, st)
		t.State = TaskDone
		o.Steps[id.Step].left--
	}
	s.mark(id.Job, j)
	if j.State.Ended() {
		return
	}
	if o.Steps[id.Step].left == 0 {
		s.openSteps(now, id.Job, j, id.Occurrence)
	}
	if len(j.Occurrences) < j.Spec.occurrences() {
		return
	}
	for k := range j.Occurrences {
		if !j.Occurrences[k].done() {
			return
		}
	}
	s.finish(wall, id.Job, j, JobCompleted)
}

// gangDone ends all members: they end together, and one end stands for all.
func (s *Shard) gangDone(id TaskID, o *Occurrence, st *Step) {
	for i := range o.Steps[id.Step].Tasks {
		m := &o.Steps[id.Step].Tasks[i]
		mid := id
		mid.Index = i
		if e := s.executors.Get(m.Executor); e != nil {
			e.remove(mid, st)
		}
		m.State = TaskDone
	}
	o.Steps[id.Step].left = 0
}

func (s *Shard) failed(now clock.Millis, wall unit.UnixMillis, id TaskID, j *Job, st *Step, t *Task, e *Executor) {
	t.Failures++
	t.avoid = e.Executor
	e.streak++
	if e.streak >= suspectStreak && now >= e.suspect {
		e.suspect = now.Add(suspectFor)
		e.streak = suspectStreak - 1 // one more failure makes it suspect again
		s.report(Event{What: "executorSuspect", Executor: e.Executor, Reason: "runs fail"})
	}
	failures := t.Failures
	if st.Gang {
		failures = 0
		for i := range j.Occurrences[id.Occurrence].Steps[id.Step].Tasks {
			failures += j.Occurrences[id.Occurrence].Steps[id.Step].Tasks[i].Failures
		}
	}
	s.requeue(now, id, j, st, t, e)
	if !st.Perpetual && !j.State.Ended() && failures >= max(1, s.queue(j).MaxAttempts) {
		t.State = TaskEnded
		s.finish(wall, id.Job, j, JobFailed)
	}
}
