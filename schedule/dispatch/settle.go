package dispatch

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// suspectThreshold is the number of failed runs in a row that makes an
// executor suspect. Jobs that can't succeed fail on every executor, so a lower
// number would make healthy executors suspect.
const suspectThreshold = 3

// suspectPeriod is how long a suspect executor gets no new runs.
const suspectPeriod = 4 * clock.Second

// HandleAnswer applies the answer of an executor to an order. If err is not nil,
// there was no answer.
func (s *Shard) HandleAnswer(now clock.Millis, wall unit.UnixMillis, o *Order, a *Answer, err error) {
	e := s.executors.Get(o.To.Executor)
	if e == nil {
		return
	}
	if o.Hold != nil {
		e.holdInFlight = false
	}
	if err != nil {
		s.handleNoAnswer(now, e, o, err)
		return
	}
	if a.Outcome == OutcomeOtherIncarnation && o.To.Incarnation == e.Incarnation {
		s.handleExecutorGone(now, e) // a start time in the answer is that of another executor
		return
	}
	if a.Outcome == OutcomeOtherIncarnation || !s.isMeantFor(now, e, o, a) {
		s.orderUndetermined(o)
		return
	}
	if a.Outcome == OutcomeFenced {
		if o.token() < s.token(e) {
			s.orderUndetermined(o) // sent before the executor restarted or was lent
			return
		}
		s.fenced = true
		s.report(Event{Kind: "fenced", Executor: e.Executor})
		return
	}
	if a.Incarnation != 0 {
		// Only an answer that names its incarnation shows that e still is the one that
		// fell silent.
		e.unresponsive, e.unansweredHolds = false, 0
	}
	if !e.unresponsive {
		e.updateClock(now, a)
		s.leases.readReference(now, e, a)
	}
	switch {
	case o.Hold != nil:
		e.recordReference(now, o.Hold, a)
		s.handleRunLists(now, wall, e, o.Hold, a)
	case o.Start != nil:
		s.handleStartAnswer(now, e, o.Start, a.Outcome)
	case o.Stop != nil:
		s.handleStopAnswer(now, o.Stop, a.Outcome)
	}
}

// handleStartAnswer applies the answer to a start order.
func (s *Shard) handleStartAnswer(now clock.Millis, e *Executor, o *StartOrder, outcome Outcome) {
	j, st, t := s.findTask(o.Task)
	if t == nil || t.Run != o.Run || t.State != TaskStarting {
		return
	}
	t.inFlight = false
	switch outcome {
	case OutcomeDone:
		s.markRunning(now, o.Task, j, t)
		e.bestEffortLoadsKnown = false
	case OutcomeNoRoom, OutcomeNoTicket, OutcomeBusy, OutcomeDeadlinePassed, OutcomeInvalid, OutcomeNotSent:
		s.report(Event{Kind: "startRefused", Task: o.Task, Run: o.Run, Executor: e.Executor, Reason: outcome.String()})
		// After noRoom and busy, new runs go to other executors for a time.
		if outcome == OutcomeNoRoom {
			e.suspectUntil = max(e.suspectUntil, now.Add(300*clock.Millisecond))
		}
		if outcome == OutcomeNoTicket {
			s.dropTicket(o.Task, e)
		}
		if outcome == OutcomeBusy {
			e.suspectUntil = now.Add(clock.Second)
		}
		if outcome == OutcomeNotSent {
			s.stopGang(o.Task, j, st, o.Run)
		}
		if t.startUncertain {
			// An earlier copy of the order may still be carried out. The stop
			// order that a later tick sends keeps the run from starting.
			t.State = TaskStopping
			s.markUnsettled(o.Task)
			return
		}
		s.requeueTask(now, o.Task, j, t, e)
	case OutcomeStaleRun:
		// The run existed and has ended. Its end is in the list of finished
		// runs.
		t.confirmedAt, t.startUncertain = now, false
		t.State = TaskRunning
	case OutcomeUnknown, OutcomeFenced, OutcomeOtherIncarnation:
		t.startUncertain = true
		s.markUnsettled(o.Task)
	}
}

// removeRun removes a task from e, if it is there. Other tasks may then take its
// place.
func (s *Shard) removeRun(e *Executor, id TaskID) {
	e.removeRun(id)
	s.markAvailable(e)
}

// markAvailable records that e may be able to take more tasks than before.
func (s *Shard) markAvailable(e *Executor) {
	s.availability++
	e.availableAt = s.availability
}

// markRunning records that a run exists on its executor.
func (s *Shard) markRunning(now clock.Millis, id TaskID, j *Job, t *Task) {
	t.State, t.confirmedAt, t.startUncertain, t.recovered = TaskRunning, now, false, false
	t.progressChangedAt, t.runningSince = now, now
	t.times.startRunning(now)
	if j.State == JobQueued {
		j.State = JobRunning
		s.markDirty(id.Job, j)
	}
}

// handleStopAnswer applies the answer to a stop order. If the run existed, its
// end is in the next list of finished runs; otherwise the run can never start.
func (s *Shard) handleStopAnswer(now clock.Millis, o *StopOrder, outcome Outcome) {
	_, _, t := s.findTask(o.Task)
	if t == nil || t.Run != o.Run || t.State != TaskStopping {
		return
	}
	t.inFlight = false
	if outcome == OutcomeDone || outcome == OutcomeStaleRun {
		t.confirmedAt = now
		return
	}
	s.markUnsettled(o.Task)
}

// requeueTask releases the run of a task and makes the task ready again, or
// ended if its job has ended. It must be called only if the run can't start or
// continue.
func (s *Shard) requeueTask(now clock.Millis, id TaskID, j *Job, t *Task, e *Executor) {
	if e != nil {
		s.removeRun(e, id)
	}
	t.inFlight, t.startUncertain, t.recovered, t.orderedPace, t.targetPace = false, false, false, fullPace, fullPace
	s.markDirty(id.Job, j)
	if j.State.Ended() {
		t.State = TaskEnded
		return
	}
	t.State = TaskReady
	t.times.requeue(now)
	s.markReady(now, stepKey{id.Job, id.Occurrence, id.Step}, j)
}

// handleRunEnd applies the end of a run. It ignores ends of runs other than
// the current run of the task. A perpetual task starts again after any end. A task
// that was taken from its executor and has not been placed again is done if the
// executor lists its run as done: once the end is acknowledged, it must not start.
func (s *Shard) handleRunEnd(now clock.Millis, wall unit.UnixMillis, e *Executor, f *FinishedRun) {
	j, st, t := s.findTask(f.Task)
	if t != nil && t.Run == f.Run && t.State == TaskReady && f.Kind == EndDone && !st.Perpetual && !st.Gang {
		// The task was taken from e, which has carried out the start late.
		s.report(Event{Kind: "runEnded", Task: f.Task, Run: f.Run, Executor: e.Executor, Reason: f.Kind.String()})
		s.completeTask(now, wall, f.Task, j, st, t, e)
		return
	}
	if t == nil || t.Run != f.Run || t.Executor != e.Executor || !t.State.assigned() {
		return
	}
	s.report(Event{Kind: "runEnded", Task: f.Task, Run: f.Run, Executor: e.Executor, Reason: f.Kind.String()})
	if f.Checkpoint != "" {
		t.Checkpoint = f.Checkpoint
	}
	if f.Kind == EndDone && !st.Perpetual {
		s.completeTask(now, wall, f.Task, j, st, t, e)
		return
	}
	if f.Kind == EndFailed {
		s.failTask(now, wall, f.Task, j, st, t, e)
		return
	}
	s.requeueTask(now, f.Task, j, t, e)
}

// completeTask marks a task done, unblocks the steps that depend on it and ends
// the job after its last task.
func (s *Shard) completeTask(now clock.Millis, wall unit.UnixMillis, id TaskID, j *Job, st *Step, t *Task, e *Executor) {
	e.consecutiveFailures = 0
	s.recordHeld(now, j, st, t)
	s.recordRunTime(now, j, st, t, e)
	o := &j.Occurrences[id.Occurrence]
	if o.Steps[id.Step].remaining == 1 || st.Gang {
		s.finishStep(now, j, id, t)
	}
	if st.Gang {
		s.completeGang(id, o)
	} else {
		s.removeRun(e, id)
		t.State = TaskDone
		o.Steps[id.Step].remaining--
	}
	s.markDirty(id.Job, j)
	if j.State.Ended() {
		return
	}
	if o.Steps[id.Step].remaining == 0 {
		s.unblockSteps(now, id.Job, j, id.Occurrence)
	}
	if !o.done() {
		return
	}
	s.finishOccurrence(now, j, id)
	j.closeOccurrence(id.Occurrence)
	if j.openTasks == 0 && len(j.Occurrences) == j.Spec.occurrenceCount() {
		s.endJob(wall, id.Job, j, JobCompleted)
	}
}

// completeGang marks all tasks of a gang done. They end together, so one end
// counts for all.
func (s *Shard) completeGang(id TaskID, o *Occurrence) {
	for i := range o.Steps[id.Step].Tasks {
		member := &o.Steps[id.Step].Tasks[i]
		memberID := id
		memberID.Index = i
		if e := s.executors.Get(member.Executor); e != nil {
			s.removeRun(e, memberID)
		}
		member.State = TaskDone
	}
	o.Steps[id.Step].remaining = 0
}

// failTask counts a failed run and requeues its task. The job fails if the task or
// its gang reached the maximum number of attempts. Perpetual tasks have no maximum.
func (s *Shard) failTask(now clock.Millis, wall unit.UnixMillis, id TaskID, j *Job, st *Step, t *Task, e *Executor) {
	t.Failures++
	t.avoidedExecutor = e.Executor
	e.consecutiveFailures++
	if e.consecutiveFailures >= suspectThreshold && now >= e.suspectUntil {
		e.suspectUntil = now.Add(suspectPeriod)
		e.consecutiveFailures = suspectThreshold - 1 // one more failure makes it suspect again
		s.report(Event{Kind: "executorSuspect", Executor: e.Executor, Reason: "runs fail"})
	}
	failures := t.Failures
	if st.Gang {
		gang := &j.Occurrences[id.Occurrence].Steps[id.Step].Gang
		gang.add(t.Run)
		failures = gang.Failed
	}
	s.requeueTask(now, id, j, t, e)
	if !st.Perpetual && !j.State.Ended() && failures >= max(1, s.queue(j).MaxAttempts) {
		t.State = TaskEnded
		s.endJob(wall, id.Job, j, JobFailed)
	}
}
