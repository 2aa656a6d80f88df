package control

import (
	"context"
	"errors"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// Ask puts a call to the control goroutine of this process and waits for the
// answer.
func (c *Control) Ask(ctx context.Context, a *Ask) (Reply, error) {
	reply := make(chan Reply, 1)
	select {
	case c.messages <- askMessage{a, reply}:
	default:
		return Reply{Status: Refused, Reason: "control queue is full", RetryAfter: clock.Second}, nil
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return Reply{}, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "no outcome in time", Err: ctx.Err()}
	}
}

// answer answers a call, or has it answered after the next append.
func (c *Control) answer(m askMessage) {
	t := c.tenures[m.ask.Shard]
	if t == nil || !t.serving {
		m.reply <- Reply{Status: NotOwner, Reason: "shard is not served here"}
		return
	}
	if !c.current(t, m.ask) {
		m.reply <- Reply{Status: NotOwner, Reason: "membership is not confirmed"}
		return
	}
	now, wall := c.Clock.Now(), wallNow()
	switch m.ask.Kind {
	case Probe:
		m.reply <- Reply{Status: Accepted}
	case Submit:
		if t.storing && now.Sub(t.cutAt) > storeStalled && !t.shard.Known(m.ask.Job) {
			m.reply <- Reply{Status: Refused, Reason: "store does not answer", RetryAfter: clock.Second}
			return
		}
		if err := t.shard.Submit(now, wall, m.ask.Spec); err != nil {
			m.reply <- refusal(err)
			return
		}
		t.next = append(t.next, waiter{m.reply, Reply{Status: Accepted}})
	case Cancel:
		if !t.shard.Cancel(now, wall, m.ask.Job) {
			m.reply <- Reply{Status: Unknown}
			return
		}
		t.next = append(t.next, waiter{m.reply, Reply{Status: Accepted}})
	case State:
		m.reply <- stateReply(t.shard, m.ask.Job)
	case Evacuate:
		left, held, ok := t.shard.Evacuate(now, m.ask.Executor)
		if !ok {
			m.reply <- Reply{Status: Unknown}
			return
		}
		m.reply <- Reply{Status: Accepted, Count: left, Held: held}
	case Pending:
		m.reply <- Reply{Status: Accepted, Count: t.shard.Pending(m.ask.Queue)}
	}
}

// current reports whether the answer to a call can't be out of date. A process
// that may have been replaced does not know the jobs that its successor has
// taken in; what it knows to be stored stands, also in an outage of the store.
func (c *Control) current(t *tenure, a *Ask) bool {
	if c.members.fresh(c.Boot(), c.Settings.TTL) {
		return true
	}
	if a.Kind != State {
		return false
	}
	_, stored := t.shard.State(a.Job)
	return stored
}

func stateReply(s *dispatch.Shard, id unit.Job) Reply {
	if state, ok := s.State(id); ok {
		return Reply{Status: Accepted, State: state}
	}
	if s.Known(id) {
		return Reply{Status: Refused, Reason: "job is being stored", RetryAfter: clock.Second}
	}
	return Reply{Status: Unknown}
}

func refusal(err error) Reply {
	r := Reply{Status: Refused, Reason: err.Error(), RetryAfter: clock.Second}
	var v *verdict.Error
	if errors.As(err, &v) {
		r.RetryAfter = v.RetryAfter
	}
	return r
}
