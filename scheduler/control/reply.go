package control

import (
	"context"
	"errors"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// Request sends a request to the control goroutine of this process and waits
// for the reply. If the message queue is full, the reply has the status
// [StatusRefused]. If ctx ends first, the error has the verdict MayHaveRun.
func (c *Control) Request(ctx context.Context, request *Request) (Reply, error) {
	reply := make(chan Reply, 1)
	select {
	case c.messages <- requestMessage{request, reply}:
	default:
		return Reply{Status: StatusRefused, Reason: "control queue is full", RetryAfter: clock.Second}, nil
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return Reply{}, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "no outcome in time", Err: ctx.Err()}
	}
}

// handleRequest applies a request and replies to it. The reply to an accepted
// submission or cancellation is sent after the append of its changes. The reply that
// a job is unknown, or that no run keeps an executor from being shut down, is sent
// after an append that proves the ownership.
func (c *Control) handleRequest(m requestMessage) {
	owned := c.owned[m.request.Shard]
	if owned == nil || !owned.restored {
		m.replyTo <- Reply{Status: StatusNotOwner, Reason: "shard is not served here"}
		return
	}
	if !c.isCurrent(owned, m.request) {
		m.replyTo <- Reply{Status: StatusNotOwner, Reason: "membership is not confirmed"}
		return
	}
	now, wall := c.Clock.Now(), wallNow()
	switch m.request.Kind {
	case KindProbe:
		m.replyTo <- Reply{Status: StatusAccepted}
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
		owned.queuedWaiters = append(owned.queuedWaiters, waiter{job: m.request.Job, changes: owned.shard.QueuedChanges(), replyTo: m.replyTo, reply: Reply{Status: StatusAccepted}})
	case KindCancel:
		if !owned.shard.Cancel(now, wall, m.request.Job) {
			owned.replyIfOwner(now, m.replyTo, Reply{Status: StatusNotFound})
			return
		}
		owned.queuedWaiters = append(owned.queuedWaiters, waiter{job: m.request.Job, changes: owned.shard.QueuedChanges(), replyTo: m.replyTo, reply: Reply{Status: StatusAccepted}})
	case KindState:
		r := stateReply(owned.shard, m.request.Job)
		if r.Status == StatusNotFound {
			owned.replyIfOwner(now, m.replyTo, r)
			return
		}
		m.replyTo <- r
	case KindLend:
		if m.request.Loan == nil {
			m.replyTo <- Reply{Status: StatusRefused, Reason: "request has no loan"}
			return
		}
		loans, ok := owned.shard.HandleLoanRequest(now, m.request.Loan)
		if !ok {
			m.replyTo <- Reply{Status: StatusRefused, Reason: "a later request was handled before"}
			return
		}
		owned.queuedWaiters = append(owned.queuedWaiters, waiter{changes: owned.shard.QueuedChanges(), replyTo: m.replyTo, reply: Reply{Status: StatusAccepted, Loans: &loans}})
	case KindEvacuate:
		if borrower, lent := owned.shard.Borrower(m.request.Executor); lent {
			m.replyTo <- Reply{Status: StatusLent, Borrower: borrower}
			return
		}
		remaining, blocking, ok := owned.shard.Evacuate(now, m.request.Executor)
		if !ok {
			owned.replyIfOwner(now, m.replyTo, Reply{Status: StatusNotFound})
			return
		}
		r := Reply{Status: StatusAccepted, Count: remaining, Held: blocking}
		if blocking == 0 {
			owned.replyIfOwner(now, m.replyTo, r)
			return
		}
		m.replyTo <- r
	case KindPending:
		m.replyTo <- Reply{Status: StatusAccepted, Count: owned.shard.Pending(m.request.Queue)}
	}
}

// storeStalled is the reply to requests that can't be handled without the store.
var storeStalled = Reply{Status: StatusRefused, Reason: "store does not answer", RetryAfter: clock.Second}

// isStalled reports whether the append in flight has had no answer for too long.
func (owned *ownedShard) isStalled(now clock.Millis) bool {
	return owned.appending && now.Sub(owned.lastAppendAt) > storeStallTimeout
}

// replyIfOwner sends a reply once an append that starts later has shown that no
// other owner has served the shard before the request came. The store can assign the
// shard to another member at once, so that a confirmed membership proves less: the
// next owner may have accepted the job or placed runs on the executor. While the
// store does not answer, the request is refused.
func (owned *ownedShard) replyIfOwner(now clock.Millis, replyTo chan<- Reply, r Reply) {
	if owned.isStalled(now) {
		replyTo <- storeStalled
		return
	}
	owned.queuedWaiters = append(owned.queuedWaiters, waiter{changes: owned.shard.QueuedChanges(), replyTo: replyTo, reply: r, provesOwnership: true})
}

// isCurrent reports whether a request may be handled here. If the membership is not
// confirmed, a successor is likely to own the shard and to have jobs that this
// process does not have. The state of a job that this process has stored is
// reported also during an outage of the store.
func (c *Control) isCurrent(owned *ownedShard, request *Request) bool {
	if c.membership.isConfirmed(c.BootClock(), c.Settings.TTL) {
		return true
	}
	if request.Kind != KindState {
		return false
	}
	_, stored := owned.shard.State(request.Job)
	return stored
}

// stateReply returns the reply to a [KindState] request. A job whose append has
// not completed is refused with a retry, since its state is not durable.
func stateReply(s *dispatch.Shard, id unit.Job) Reply {
	if state, ok := s.State(id); ok {
		return Reply{Status: StatusAccepted, State: state}
	}
	if s.HasJob(id) {
		return Reply{Status: StatusRefused, Reason: "job is being stored", RetryAfter: clock.Second}
	}
	return Reply{Status: StatusNotFound}
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
