package dispatch

import (
	"errors"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// answeredBy returns the start time of the incarnation that gave an answer to an
// order to t. It returns false if that is another one than t, whose start time the
// answer does not tell.
func (t *Target) answeredBy(a *Answer) (unit.UnixMillis, bool) {
	switch {
	case a.Incarnation != 0:
		return a.Incarnation, true
	case a.Clock > 0 && a.Clock < t.Clock:
		return 0, false
	}
	return t.Incarnation, true
}

// maxFormerIncarnations is the number of ended incarnations of an executor that are
// remembered. Answers and entries of theirs are seconds late at most.
const maxFormerIncarnations = 8

// handleRestart records that an executor has restarted, and that its former
// incarnation has ended. The runs of that one stay assigned until the new one has
// answered a hold, which carries a higher fencing token.
func (s *Shard) handleRestart(now clock.Millis, e *Executor, former unit.UnixMillis) {
	e.restarts++
	e.formerIncarnations = slices.DeleteFunc(e.formerIncarnations, func(i unit.UnixMillis) bool { return i == e.Incarnation })
	e.formerIncarnations = append(e.formerIncarnations, former)
	if n := len(e.formerIncarnations) - maxFormerIncarnations; n > 0 {
		e.formerIncarnations = slices.Delete(e.formerIncarnations, 0, n)
	}
	e.reconciled, e.clockReadAt, e.storedEndNumber, e.processedEndNumber, e.storingEndNumber, e.acknowledgedEndNumber = false, 0, 0, 0, 0, 0
	e.consecutiveFailures, e.suspectUntil, e.slowUntil, e.holdRetryAt, e.unansweredHolds = 0, 0, 0, now, 0
	e.referenceSentAt, e.speed = 0, speedMeter{}
	s.report(Event{Kind: "executorRestarted", Executor: e.Executor})
}

// isMeantFor reports whether an order was made for the current incarnation of e and
// answered by it. An answer of another incarnation says nothing about the order,
// only that e has restarted, unless it is late. A later incarnation that answers an
// order made for the current one is not late: the current one is known from an
// outdated entry.
func (s *Shard) isMeantFor(now clock.Millis, e *Executor, o *Order, a *Answer) bool {
	answered, known := o.To.answeredBy(a)
	switch {
	case !known:
		if o.To.Incarnation == e.Incarnation {
			s.markSilent(now, e) // until a hold tells which incarnation answers
		}
		return false
	case answered == o.To.Incarnation:
		return answered == e.Incarnation
	case answered != e.Incarnation && (!slices.Contains(e.formerIncarnations, answered) || o.To.Incarnation == e.Incarnation && answered > e.Incarnation):
		previous := e.Incarnation
		e.Incarnation = answered
		s.handleRestart(now, e, previous)
	}
	return false
}

// markSilent records that e does not answer, or that it is not known which
// incarnation does.
func (s *Shard) markSilent(now clock.Millis, e *Executor) {
	if !e.unresponsive {
		e.unresponsive, e.silentSince = true, now
		s.report(Event{Kind: "executorSilent", Executor: e.Executor})
	}
}

// handleExecutorGone applies an answer that refuses an order because the
// incarnation that it was sent to has ended: another one answers at its address.
// The ended incarnation can't run anything any more, so its tasks are requeued at
// once. If an answer or the platform's list has a new start time of the executor
// instead, [Shard.handleRestart] applies.
func (s *Shard) handleExecutorGone(now clock.Millis, e *Executor) {
	s.report(Event{Kind: "executorGone", Executor: e.Executor})
	for i := len(e.runs) - 1; i >= 0; i-- {
		a := e.runs[i]
		if !a.isCurrent() {
			s.removeRun(e, a.id)
			continue
		}
		if a.task.State != TaskPlaced {
			s.requeueTask(now, a.id, a.job, a.task, e)
		}
	}
	e.reconciled, e.leaseExpiresBy, e.holdRetryAt = false, 0, now.Add(clock.Second)
	if e.registered {
		e.registered, e.unregisteredAt = false, now
	}
}

// handleNoAnswer records that an order may or may not have been carried out.
func (s *Shard) handleNoAnswer(now clock.Millis, e *Executor, o *Order, err error) {
	if o.To.Incarnation != e.Incarnation {
		s.orderUndetermined(o)
		return
	}
	// A hold has a connection of its own, so that it waits for an unreachable executor
	// only.
	if o.Hold != nil || !errors.Is(err, ErrNoConnection) {
		s.markSilent(now, e)
	}
	if o.Start != nil && verdict.Of(err) != verdict.DidNotRun {
		e.leaseExpiresBy = max(e.leaseExpiresBy, now.Add(s.longestLeaseAfterRestart())) // another incarnation may have carried it out
	}
	if o.Hold != nil {
		e.unansweredHolds++
		e.holdRetryAt = now.Add(min(clock.Second, 100*clock.Millisecond*clock.Span(e.unansweredHolds)))
	}
	s.orderUndetermined(o)
}

// orderUndetermined lets a later tick repeat an order, that of a pace after the next
// run list.
func (s *Shard) orderUndetermined(o *Order) {
	switch {
	case o.Start != nil:
		if _, _, t := s.findTask(o.Start.Task); t != nil && t.Run == o.Start.Run {
			t.inFlight, t.startUncertain = false, true
			s.markUnsettled(o.Start.Task)
		}
	case o.Stop != nil:
		if _, _, t := s.findTask(o.Stop.Task); t != nil && t.Run == o.Stop.Run {
			t.inFlight = false
			s.markUnsettled(o.Stop.Task)
		}
	case o.Pace != nil:
		if _, _, t := s.findTask(o.Pace.Task); t != nil && t.Run == o.Pace.Run {
			t.paceUncertain = true
		}
	}
}
