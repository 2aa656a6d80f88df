package control

import (
	"context"
	"time"

	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/verdict"
)

// sendOrder sends an order in its own goroutine, which posts the result. An order to
// an executor with maxOrdersInFlight others waits for one of them.
func (c *Control) sendOrder(owned *ownedShard, o dispatch.Order) {
	id, epoch, ctx := owned.shard.ID, owned.epoch, owned.ctx
	if o.Advise != nil {
		c.Counters.AdviceCalls.Add(1)
		c.group.Go("advice", func(context.Context) error {
			a, err := c.Advisor.Advise(ctx, *o.Advise)
			c.post(ctx, adviceResultMessage{id, epoch, *o.Advise, a, err})
			return nil
		})
		return
	}
	if o.Loan != nil {
		c.Counters.LoanRequests.Add(1)
		c.group.Go("loan", func(context.Context) error {
			if !c.membership.isConfirmed(c.BootClock(), c.Settings.TTL) {
				// Another owner may have replaced this one and use what it would return.
				sleep(ctx, retryInterval)
				c.post(ctx, loanResultMessage{id, epoch, o.Loan, nil})
				return nil
			}
			callCtx, cancel := context.WithTimeout(ctx, loanTimeout)
			defer cancel()
			r := c.Router.Call(callCtx, &Request{Kind: KindLend, Shard: o.Loan.Lender, Loan: o.Loan})
			c.post(ctx, loanResultMessage{id, epoch, o.Loan, r.Loans})
			return nil
		})
		return
	}
	if o.Hold != nil || owned.queueFor(o.To.Executor).add(o) {
		c.startOrder(owned, o)
	}
}

// startOrder sends an order to its executor.
func (c *Control) startOrder(owned *ownedShard, o dispatch.Order) {
	id, epoch, ctx := owned.shard.ID, owned.epoch, owned.ctx
	c.group.Go("order", func(context.Context) error {
		a, err := c.deliverOrder(ctx, o)
		if ctx.Err() == nil {
			c.post(ctx, orderResultMessage{id, epoch, o, a, err})
		}
		return nil
	})
}

// connectionRetainer is implemented by [Executors] that keep connections.
type connectionRetainer interface {
	// RetainConnections closes the connections to all executors but those with the
	// given addresses.
	RetainConnections(addresses map[string]bool)
}

// closeUnusedConnections closes the connections to executors that no shard of this
// process uses any more, because they were lent or returned, left, or are those of a
// released shard.
func (c *Control) closeUnusedConnections() {
	r, ok := c.Executors.(connectionRetainer)
	if !ok {
		return
	}
	addresses := make(map[string]bool)
	for _, owned := range c.owned {
		owned.shard.AddAddresses(addresses)
	}
	r.RetainConnections(addresses)
}

// loanTimeout bounds a request for executors of another shard.
const loanTimeout = 2 * time.Second

// errUnconfirmed is the result of a start order while the membership is not
// confirmed: another owner may have replaced this process unnoticed.
var errUnconfirmed = &verdict.Error{Verdict: verdict.DidNotRun, Reason: "membership is not confirmed"}

// deliverOrder sends an order to its executor. It returns [errUnconfirmed] for a
// start while the membership is not confirmed, and [dispatch.OutcomeNotSent] for one
// to an executor that takes no starts any more.
func (c *Control) deliverOrder(ctx context.Context, o dispatch.Order) (dispatch.Answer, error) {
	switch {
	case o.Start != nil:
		if !c.membership.isConfirmed(c.BootClock(), c.Settings.TTL) {
			return dispatch.Answer{}, errUnconfirmed
		}
		if !c.takesStarts(o.To.Executor) {
			c.Counters.WithheldStarts.Add(1)
			return dispatch.Answer{Outcome: dispatch.OutcomeNotSent}, nil
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
		hold := *o.Hold
		if !c.membership.isConfirmed(c.BootClock(), c.Settings.Limits.RenewalTimeout) {
			// A successor takes leases for expired that were last renewed this long ago.
			hold.Deadline = 0
		}
		return c.Executors.Hold(ctx, o.To, hold)
	}
}
