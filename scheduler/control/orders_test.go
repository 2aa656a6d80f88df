package control

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/group"
	"mimosadock/schedule/verdict"
)

// countingExecutors counts the orders that are sent.
type countingExecutors struct{ starts, stops, holds, renewals int }

func (x *countingExecutors) Start(context.Context, dispatch.Target, dispatch.StartOrder) (dispatch.Answer, error) {
	x.starts++
	return dispatch.Answer{}, nil
}

func (x *countingExecutors) Stop(context.Context, dispatch.Target, dispatch.StopOrder) (dispatch.Answer, error) {
	x.stops++
	return dispatch.Answer{}, nil
}

func (x *countingExecutors) Pace(context.Context, dispatch.Target, dispatch.PaceOrder) (dispatch.Answer, error) {
	return dispatch.Answer{}, nil
}

func (x *countingExecutors) Hold(_ context.Context, _ dispatch.Target, o dispatch.HoldOrder) (dispatch.Answer, error) {
	x.holds++
	if o.Deadline > 0 {
		x.renewals++
	}
	return dispatch.Answer{}, nil
}

// TestStartsNeedAConfirmedMembership guards against starts by a process that may
// have been replaced. An executor that has just restarted has no fencing token
// and would accept them.
func TestStartsNeedAConfirmedMembership(t *testing.T) {
	for name, c := range map[string]struct {
		age    clock.Span // time since the membership was confirmed, including suspended time
		starts int
	}{
		"confirmed":        {1199, 1},
		"at the TTL":       {1200, 0},
		"after suspension": {9000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := new(countingExecutors)
			boot := clock.Millis(100_000)
			control := &Control{Settings: Settings{TTL: 1200}, Executors: x, Counters: new(Counters), BootClock: func() clock.Millis { return boot }}
			control.membership.confirmedBootAt.Store(int64(boot.Add(-c.age)))
			_, err := control.deliverOrder(context.Background(), dispatch.Order{Start: new(dispatch.StartOrder)})
			is.Equal(x.starts, c.starts)
			if c.starts == 0 {
				var v *verdict.Error
				is.True(errors.As(err, &v))
				is.Equal(v.Verdict, verdict.DidNotRun)
			}
			// Stops and holds are sent all the same: executors reject them by the
			// fencing token.
			_, err = control.deliverOrder(context.Background(), dispatch.Order{Stop: new(dispatch.StopOrder)})
			is.NoErr(err)
			_, err = control.deliverOrder(context.Background(), dispatch.Order{Hold: new(dispatch.HoldOrder)})
			is.NoErr(err)
			is.Equal(x.stops+x.holds, 2)
		})
	}
}

// TestLeasesAreRenewedWhileConfirmed guards against a replaced owner that renews
// the lease of an executor after its successor takes it for expired.
func TestLeasesAreRenewedWhileConfirmed(t *testing.T) {
	limits := dispatch.DefaultLimits
	for name, c := range map[string]struct {
		age     clock.Span // time since the membership was confirmed
		renewed bool
	}{
		"confirmed":         {100, true},
		"store just failed": {limits.RenewalTimeout - 1, true},
		"store away":        {limits.RenewalTimeout, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			boot := clock.Millis(50_000)
			x := new(countingExecutors)
			control := &Control{
				Settings: Settings{TTL: 1200, Limits: limits}, Executors: x, Counters: new(Counters), BootClock: func() clock.Millis { return boot },
			}
			control.membership.confirmedBootAt.Store(int64(boot.Add(-c.age)))
			_, err := control.deliverOrder(context.Background(), dispatch.Order{Hold: &dispatch.HoldOrder{Deadline: 1000}})
			is.NoErr(err)
			is.Equal(x.holds, 1)
			is.Equal(x.renewals == 1, c.renewed)
		})
	}
}

// countingRouter counts the requests to the owners of shards. It has no replies.
type countingRouter struct{ calls int }

// Call implements [ShardRouter].
func (r *countingRouter) Call(context.Context, *Request) Reply {
	r.calls++
	return Reply{}
}

// TestLoanRequestsNeedAConfirmedMembership guards against requests by a process that
// may have been replaced. It would return executors that another owner of the shard
// uses.
func TestLoanRequestsNeedAConfirmedMembership(t *testing.T) {
	for name, c := range map[string]struct {
		age   clock.Span // time since the membership was confirmed, including suspended time
		calls int
	}{
		"confirmed":        {1199, 1},
		"at the TTL":       {1200, 0},
		"after suspension": {9000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			router := new(countingRouter)
			boot := clock.Millis(100_000)
			control := &Control{Settings: Settings{TTL: 1200}, Router: router, Counters: new(Counters), BootClock: func() clock.Millis { return boot }}
			g := group.New(context.Background())
			control.Init(g)
			control.membership.confirmedBootAt.Store(int64(boot.Add(-c.age)))
			owned := &ownedShard{shard: new(dispatch.Shard), ctx: context.Background()}
			request := new(dispatch.LoanRequest)
			control.sendOrder(owned, dispatch.Order{Loan: request})
			// The shard learns that there is no reply, so that it can repeat the request.
			result, ok := (<-control.messages).(loanResultMessage)
			is.True(ok)
			is.Equal(result.request, request)
			is.True(result.reply == nil)
			is.Equal(router.calls, c.calls)
			g.Stop()
			is.NoErr(g.Wait())
		})
	}
}

// retainedConnections is an [Executors] that records the addresses to which it keeps
// connections.
type retainedConnections struct {
	Executors
	addresses map[string]bool
}

// RetainConnections implements connectionRetainer.
func (x *retainedConnections) RetainConnections(addresses map[string]bool) { x.addresses = addresses }

// Guards against connections to executors that the process does not use any more. An
// executor accepts a bounded number, which the next owner needs.
func TestConnectionsFollowTheExecutorsInUse(t *testing.T) {
	for name, c := range map[string]struct {
		released bool
		want     int
	}{
		"owned":    {false, 1},
		"released": {true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newStoringFixture()
			executors := new(retainedConnections)
			f.control.Executors, f.control.EventLog, f.owned.cancel = executors, discardedLog{}, func() {}
			f.control.layout.Store(&dispatch.Layout{Shards: 1})
			f.control.handleMessage(registrationsMessage{dispatch.Registrations{Entries: []dispatch.Registration{{Executor: "x", Address: "a:1"}}}})
			if c.released {
				f.control.release(f.owned, "test")
			}
			is.Equal(len(executors.addresses), c.want)
			f.group.Stop()
			is.NoErr(f.group.Wait())
		})
	}
}
