package dispatch

import "mimosadock/schedule/clock"

// resendInterval is the interval between two copies of an order that has no
// answer.
const resendInterval = 150 * clock.Millisecond

// resendCheckInterval is the interval between two checks for orders to send again.
const resendCheckInterval = 20 * clock.Millisecond

// startRun orders the start of a run whose assignment is stored. If the job
// has ended since, the executor was removed, has restarted, does not answer or takes
// no starts any more, or its lease may not be renewed, it requeues the task instead.
func (s *Shard) startRun(now clock.Millis, id TaskID) {
	j, st, t := s.findTask(id)
	if t == nil || t.State != TaskPlaced {
		return
	}
	e := s.executors.Get(t.Executor)
	if e == nil || j.State.Ended() || e.Incarnation != t.Incarnation || e.clockReadAt == 0 || e.unresponsive || !s.mayRenew(e) {
		s.requeueTask(now, id, j, t, e)
		return
	}
	if !e.takesStarts() || !s.gangTakesStarts(id, j, st) {
		s.report(Event{Kind: "startWithheld", Task: id, Run: t.Run, Executor: e.Executor})
		s.requeueTask(now, id, j, t, e)
		return
	}
	t.State = TaskStarting
	t.deadline = e.extendLease(now, s.Limits.Lease)
	s.sendStart(now, id, j, t, e)
	s.report(Event{Kind: "started", Task: id, Run: t.Run, Executor: e.Executor, Age: now.Sub(e.clockReadAt)})
}

// sendStart sends the start order of a run. All copies have the same deadline.
func (s *Shard) sendStart(now clock.Millis, id TaskID, j *Job, t *Task, e *Executor) {
	t.lastActionAt, t.inFlight = now, true
	s.pendingOrders = append(s.pendingOrders, Order{To: e.target(), Start: &StartOrder{
		Task: id, Run: t.Run, Payload: j.Spec.Payload, Deadline: t.deadline,
		Token: s.token(e), Checkpoint: t.Checkpoint, Ticket: s.ticketOf(now, stepKey{id.Job, id.Occurrence, id.Step}, e),
	}})
}

// resendOrders sends the stop orders of runs that are to be stopped, and
// repeats start and stop orders that had no answer, a start only once the executor
// answers again and while it takes starts; otherwise its run is stopped. A start keeps
// its deadline, after which the run can't start any more.
func (s *Shard) resendOrders(now clock.Millis) {
	if now < s.resentAt.Add(resendCheckInterval) {
		return
	}
	s.resentAt = now
	for id := range s.unsettled {
		j, st, t := s.findTask(id)
		isStart, isStop := t != nil && t.State == TaskStarting && !t.recovered, t != nil && t.State == TaskStopping && t.confirmedAt == 0
		if !isStart && !isStop || t.inFlight {
			delete(s.unsettled, id) // settled, or added again if the order has no answer
			continue
		}
		e := s.executors.Get(t.Executor)
		if e == nil || e.Address == "" || now < t.lastActionAt.Add(resendInterval) || t.Incarnation != e.Incarnation && e.Incarnation != 0 {
			continue
		}
		if isStart {
			// A silent executor may have restarted. The next incarnation would carry
			// out the start, whose deadline is no bound on its clock.
			switch {
			case e.unresponsive:
			case e.takesStarts():
				s.sendStart(now, id, j, t, e)
			default:
				s.withdrawStart(id, j, st, t, e)
			}
			continue
		}
		t.lastActionAt, t.inFlight = now, true
		s.pendingOrders = append(s.pendingOrders, Order{To: e.target(), Stop: &StopOrder{id, t.Run, s.token(e)}})
	}
}

// markUnsettled adds a task to those for which a stop order, or another start
// order, has to be sent.
func (s *Shard) markUnsettled(id TaskID) {
	if s.unsettled == nil {
		s.unsettled = make(map[TaskID]struct{})
	}
	s.unsettled[id] = struct{}{}
}
