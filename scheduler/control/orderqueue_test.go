package control

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/group"
	"mimosadock/schedule/unit"
)

// heldExecutors answer each start only when the test lets them. Holds fail.
type heldExecutors struct {
	countingExecutors
	begun   chan unit.Executor
	answers chan error
}

func (x *heldExecutors) Start(ctx context.Context, to dispatch.Target, _ dispatch.StartOrder) (dispatch.Answer, error) {
	x.begun <- to.Executor
	select {
	case err := <-x.answers:
		return dispatch.Answer{Outcome: dispatch.OutcomeDone}, err
	case <-ctx.Done():
		return dispatch.Answer{}, ctx.Err()
	}
}

// Guards against a goroutine for each of thousands of orders at once, which took more
// memory than a small host has, and against orders that are lost or sent twice.
func TestOrdersInFlightAreBounded(t *testing.T) {
	const orders = 5000
	for name, c := range map[string]struct {
		executors int
		fails     bool // the executors don't answer
	}{
		"one executor":      {executors: 1},
		"several executors": {executors: 5},
		"no answers":        {executors: 5, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := &heldExecutors{begun: make(chan unit.Executor, orders), answers: make(chan error)}
			ctx, cancel := context.WithCancel(context.Background())
			g := group.New(ctx)
			boot := clock.Millis(100_000)
			control := &Control{Settings: Settings{TTL: 1200}, Executors: x, Counters: new(Counters), Clock: new(clock.Manual), BootClock: func() clock.Millis { return boot }}
			control.Init(g)
			control.membership.confirmedBootAt.Store(int64(boot))
			owned := &ownedShard{shard: &dispatch.Shard{Limits: dispatch.DefaultLimits}, ctx: ctx}
			control.owned[0] = owned
			unanswered := make(map[unit.Executor]int)
			for n := range orders {
				to := dispatch.Target{Executor: unit.Executor(fmt.Sprint("x", n%c.executors))}
				unanswered[to.Executor]++
				control.sendOrder(owned, dispatch.Order{To: to, Start: &dispatch.StartOrder{Task: dispatch.TaskID{Index: n}}})
			}
			sent, answered := 0, 0
			inFlight := make(map[unit.Executor]int)
			collect := func() { // all that are to be in flight
				want := 0
				for _, n := range unanswered {
					want += min(n, maxOrdersInFlight)
				}
				for sent-answered < want {
					id := <-x.begun
					sent++
					inFlight[id]++
					is.True(inFlight[id] <= maxOrdersInFlight)
				}
			}
			collect()
			if c.fails {
				for range maxOrdersInFlight * c.executors {
					x.answers <- errors.New("no answer")
				}
				for range maxOrdersInFlight * c.executors {
					control.handleMessage(<-control.messages)
				}
				is.Equal(len(owned.orders), 0) // what waited is not sent
				is.Equal(len(x.begun), 0)
				cancel()
				return
			}
			for ; answered < orders; collect() {
				x.answers <- nil
				m := (<-control.messages).(orderResultMessage)
				inFlight[m.order.To.Executor]--
				unanswered[m.order.To.Executor]--
				answered++
				control.handleMessage(m)
			}
			is.Equal(sent, orders)
			is.Equal(len(owned.orders), 0)
			cancel()
		})
	}
}

// Guards against the stop of a cancelled run behind thousands of starts, an order of
// the queue that is lost, and paces that pile up while an executor is slow.
func TestOrderQueue(t *testing.T) {
	is := is.New(t)
	var q orderQueue
	pace := func(task, percent int) dispatch.Order {
		return dispatch.Order{Pace: &dispatch.PaceOrder{Task: dispatch.TaskID{Index: task}, Percent: unit.Percent(percent)}}
	}
	stop := dispatch.Order{Stop: new(dispatch.StopOrder)}
	for range maxOrdersInFlight {
		is.True(q.add(stop))
	}
	for _, o := range []dispatch.Order{pace(1, 10), stop, pace(2, 20), pace(1, 30)} {
		is.True(!q.add(o))
	}
	_, ok := q.next()
	is.True(!ok) // none was answered
	var order []dispatch.Order
	for range 3 {
		q.inFlight--
		o, ok := q.next()
		is.True(ok)
		order = append(order, o)
		if len(order) == 2 {
			is.True(!q.add(pace(1, 40))) // the earlier one was sent
		}
	}
	is.True(order[0].Stop != nil)
	is.Equal(order[1].Pace.Percent, unit.Percent(30)) // the latest, in its place
	is.Equal(order[2].Pace.Percent, unit.Percent(20))
	is.True(!q.add(stop))
	is.Equal(len(q.drop()), 2)
	is.True(!q.add(pace(1, 50)))
	q.inFlight--
	o, ok := q.next()
	is.True(ok)
	is.Equal(o.Pace.Percent, unit.Percent(50))
}
