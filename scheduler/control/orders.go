package control

import (
	"context"

	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/verdict"
)

// send carries an order in a goroutine of its own.
func (c *Control) send(t *tenure, o dispatch.Order) {
	id, epoch, ctx := t.shard.ID, t.epoch, t.ctx
	if o.Advise != nil {
		c.Counters.AdviceCalls.Add(1)
		c.group.Go("advice", func(context.Context) error {
			a, err := c.Advisor.Advise(ctx, *o.Advise)
			c.post(ctx, advisedMessage{id, epoch, *o.Advise, a, err})
			return nil
		})
		return
	}
	c.group.Go("order", func(context.Context) error {
		a, err := c.carry(ctx, o)
		if ctx.Err() == nil {
			c.post(ctx, answeredMessage{id, epoch, o, a, err})
		}
		return nil
	})
}

// errStale keeps a start from being sent by a process that may have been
// replaced without knowing it.
var errStale = &verdict.Error{Verdict: verdict.DidNotRun, Reason: "membership is not confirmed"}

func (c *Control) carry(ctx context.Context, o dispatch.Order) (dispatch.Answer, error) {
	switch {
	case o.Start != nil:
		if !c.members.fresh(c.Boot(), c.Settings.TTL) {
			return dispatch.Answer{}, errStale
		}
		c.Counters.Starts.Add(1)
		return c.Executors.Start(ctx, o.To, *o.Start)
	case o.Stop != nil:
		c.Counters.Stops.Add(1)
		return c.Executors.Stop(ctx, o.To, *o.Stop)
	case o.Pace != nil:
		c.Counters.Paces.Add(1)
		return c.Executors.Pace(ctx, o.To, *o.Pace)
	default:
		c.Counters.Holds.Add(1)
		return c.Executors.Hold(ctx, o.To, *o.Hold)
	}
}
