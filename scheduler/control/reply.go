package control

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// Parts of the time for a request that are kept for sending the reply to the process
// that the caller is connected to.
const (
	replyMargin  = 100 * clock.Millisecond // with the time to the next tick
	revokeMargin = 50 * time.Millisecond   // if the control goroutine has not taken the request
)

// Request sends a request to the control goroutine of this process and waits
// for the reply. If the message queue is full, the reply has the status
// [StatusRefused]. If ctx is about to end before the control goroutine has taken the
// request, it never takes it, and the reply has the status [StatusNotOwner]. If ctx ends
// later, the error has the verdict MayHaveRun.
func (c *Control) Request(ctx context.Context, request *Request) (Reply, error) {
	reply := make(chan Reply, 1)
	m := requestMessage{request: request, replyTo: reply, settled: new(atomic.Bool)}
	if deadline, ok := ctx.Deadline(); ok {
		m.expiresAt = c.Clock.Now().Add(clock.SpanOf(time.Until(deadline)) - replyMargin)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-revokeMargin))
		defer cancel()
	}
	select {
	case c.messages <- m:
	default:
		return Reply{Status: StatusRefused, Reason: "control queue is full", RetryAfter: clock.Second}, nil
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		if m.settled.CompareAndSwap(false, true) {
			return Reply{Status: StatusNotOwner, Reason: "owner is overloaded", Dropped: true}, nil
		}
		return Reply{}, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "no outcome in time", Err: ctx.Err()}
	}
}

// handleRequest applies a request and replies to it. The reply to an accepted
// submission or cancellation is sent after the append of its changes. The rule for
// other replies is that of answerActions.
func (c *Control) handleRequest(m requestMessage) {
	owned := c.owned[m.request.Shard]
	if owned == nil || !owned.restored {
		m.replyTo <- Reply{Status: StatusNotOwner, Reason: "shard is not served here"}
		return
	}
	if kind := m.request.Kind; kind != KindState && claimOf(kind).action(c.ownershipOf(owned)) == answerRefused {
		c.conclude(owned, m, claimOf(kind), Reply{})
		return
	}
	now, wall := c.Clock.Now(), wallNow()
	switch m.request.Kind {
	case KindProbe:
		c.conclude(owned, m, claimEstimate, Reply{Status: StatusAccepted})
	case KindSubmit:
		if owned.isStalled(now) && !owned.shard.HasJob(m.request.Job) {
			m.replyTo <- storeStalled
			return
		}
		if refusal := c.refuseSubmission(owned, m.request); refusal != nil {
			m.replyTo <- *refusal
			return
		}
		if err := owned.shard.Submit(now, wall, m.request.Spec); err != nil {
			m.replyTo <- refusal(err)
			return
		}
		owned.queuedWaiters = append(owned.queuedWaiters, waiter{job: m.request.Job, changes: owned.shard.QueuedChanges(), replyTo: m.replyTo, reply: Reply{Status: StatusAccepted}, submission: true, expiresAt: m.expiresAt})
	case KindCancel:
		if !owned.shard.Cancel(now, wall, m.request.Job) {
			c.conclude(owned, m, claimAbsence, Reply{Status: StatusNotFound})
			return
		}
		owned.queuedWaiters = append(owned.queuedWaiters, waiter{job: m.request.Job, changes: owned.shard.QueuedChanges(), replyTo: m.replyTo, reply: Reply{Status: StatusAccepted}})
	case KindState:
		c.handleState(owned, m)
	case KindLend:
		c.handleLend(owned, m)
	case KindEvacuate:
		c.handleEvacuate(owned, m)
	case KindPending:
		c.conclude(owned, m, claimEstimate, Reply{Status: StatusAccepted, Count: owned.shard.Pending(m.request.Queue)})
	}
}

// handleState replies with the state of a job. The reply about a job whose state
// changes waits for the append of the change: a successor may have stored it.
func (c *Control) handleState(owned *ownedShard, m requestMessage) {
	r, statement := stateReply(owned.shard, m.request.Job)
	if statement == claimCurrent && owned.shard.StateChanges(m.request.Job) {
		statement = claimChanging
	}
	c.conclude(owned, m, statement, r)
}

// stateReply returns the reply to a [KindState] request and its claim. A job whose
// append has not completed is refused with a retry, since its state is not durable.
func stateReply(s *dispatch.Shard, id unit.Job) (Reply, claim) {
	state, stored := s.State(id)
	switch {
	case stored && state.Ended():
		return Reply{Status: StatusAccepted, State: state}, claimFinal
	case stored:
		return Reply{Status: StatusAccepted, State: state}, claimCurrent
	case s.HasJob(id):
		return Reply{Status: StatusRefused, Reason: "job is being stored", RetryAfter: clock.Second}, claimEstimate
	}
	return Reply{Status: StatusNotFound}, claimAbsence
}

// handleLend applies a request for executors of the shard. The reply is sent after
// the append of its changes.
func (c *Control) handleLend(owned *ownedShard, m requestMessage) {
	if m.request.Loan == nil {
		m.replyTo <- Reply{Status: StatusRefused, Reason: "request has no loan"}
		return
	}
	loans, ok := owned.shard.HandleLoanRequest(c.Clock.Now(), m.request.Loan)
	if !ok {
		m.replyTo <- Reply{Status: StatusRefused, Reason: "a later request was handled before"}
		return
	}
	owned.queuedWaiters = append(owned.queuedWaiters, waiter{changes: owned.shard.QueuedChanges(), replyTo: m.replyTo, reply: Reply{Status: StatusAccepted, Loans: &loans}})
}

// handleEvacuate applies a request to move the runs of an executor elsewhere.
func (c *Control) handleEvacuate(owned *ownedShard, m requestMessage) {
	if borrower, lent := owned.shard.Borrower(m.request.Executor); lent {
		m.replyTo <- Reply{Status: StatusLent, Borrower: borrower}
		return
	}
	remaining, blocking, ok := owned.shard.Evacuate(c.Clock.Now(), m.request.Executor)
	switch {
	case !ok:
		c.conclude(owned, m, claimAbsence, Reply{Status: StatusNotFound})
	case blocking == 0:
		c.conclude(owned, m, claimAbsence, Reply{Status: StatusAccepted, Count: remaining})
	default:
		c.conclude(owned, m, claimEstimate, Reply{Status: StatusAccepted, Count: remaining, Held: blocking})
	}
}

// storeStalled is the reply to requests that can't be handled without the store.
var storeStalled = Reply{Status: StatusRefused, Reason: "store does not answer", RetryAfter: clock.Second}

// isStalled reports whether the append in flight has had no answer for too long.
func (owned *ownedShard) isStalled(now clock.Millis) bool {
	return owned.appending && now.Sub(owned.lastAppendAt) > storeStallTimeout
}

// isExpired reports whether the reply comes too late.
func (w *waiter) isExpired(now clock.Millis) bool { return w.expiresAt > 0 && now >= w.expiresAt }

// refuseExpired refuses the requests that wait for the append in flight to end, and
// whose replies would come too late. A submission is withdrawn, as no append has it: it
// never runs, and its caller may try again. Otherwise the caller would not know whether
// it was accepted. The other requests that are refused change nothing.
func (owned *ownedShard) refuseExpired(now clock.Millis) {
	if !owned.appending {
		return
	}
	withdrawn := make(map[unit.Job]bool)
	for i := range owned.queuedWaiters {
		if w := &owned.queuedWaiters[i]; w.submission && w.isExpired(now) && !withdrawn[w.job] {
			withdrawn[w.job] = owned.shard.Withdraw(w.job)
		}
	}
	owned.queuedWaiters = slices.DeleteFunc(owned.queuedWaiters, func(w waiter) bool {
		// Other requests for a withdrawn job were made before its withdrawal.
		if !withdrawn[w.job] && !(w.provesOwnership && w.isExpired(now)) {
			return false
		}
		w.replyTo <- storeStalled
		return true
	})
}

// replyIfOwner sends a reply once an append that starts later has shown that no
// other owner has served the shard before the request came. The store can assign the
// shard to another member at once, so that a confirmed membership proves less: the
// next owner may have accepted the job or placed runs on the executor. While the
// store does not answer, the request is refused.
func (owned *ownedShard) replyIfOwner(now clock.Millis, m requestMessage, r Reply) {
	if owned.isStalled(now) {
		m.replyTo <- storeStalled
		return
	}
	var state unit.Job
	if m.request.Kind == KindState {
		state = m.request.Job
	}
	owned.queuedWaiters = append(owned.queuedWaiters, waiter{changes: owned.shard.QueuedChanges(), replyTo: m.replyTo, reply: r, state: state, provesOwnership: true, expiresAt: m.expiresAt})
}

// refusal returns the reply for a submission that the shard refused with err.
func refusal(err error) Reply {
	r := Reply{Status: StatusRefused, Reason: err.Error(), RetryAfter: clock.Second}
	var v *verdict.Error
	if errors.As(err, &v) {
		r.RetryAfter = v.RetryAfter
	}
	return r
}
