package control

import (
	"errors"

	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// maxOrdersInFlight bounds the orders to one executor that are sent at a time, apart
// from holds. Each takes a goroutine of some 15 KB, and a job may have thousands of
// tasks to start or to stop at once. An owner has no more connections to an executor.
const maxOrdersInFlight = 8

// orderQueue has the orders to one executor, apart from holds, which have a connection
// of their own. Stops go first: runs of a cancelled job have to end in a few seconds,
// and a stop also keeps a run from starting whose start still waits. The zero value is
// empty.
type orderQueue struct {
	inFlight int
	stops    []dispatch.Order
	waiting  []dispatch.Order        // starts and paces
	taken    int                     // orders that have left waiting
	paces    map[dispatch.TaskID]int // number of the waiting pace of each task, counted from the first order that waited
}

// add adds an order and reports whether it may be sent at once. A pace replaces one
// of the same task that waits.
func (q *orderQueue) add(o dispatch.Order) bool {
	if q.inFlight < maxOrdersInFlight && len(q.stops)+len(q.waiting) == 0 {
		q.inFlight++
		return true
	}
	if o.Stop != nil {
		q.stops = append(q.stops, o)
		return false
	}
	if o.Pace != nil {
		if n, ok := q.paces[o.Pace.Task]; ok && n >= q.taken {
			q.waiting[n-q.taken] = o
			return false
		}
		if q.paces == nil {
			q.paces = make(map[dispatch.TaskID]int)
		}
		q.paces[o.Pace.Task] = q.taken + len(q.waiting)
	}
	q.waiting = append(q.waiting, o)
	return false
}

// next takes the next order that may be sent.
func (q *orderQueue) next() (dispatch.Order, bool) {
	if q.inFlight >= maxOrdersInFlight || len(q.stops)+len(q.waiting) == 0 {
		return dispatch.Order{}, false
	}
	q.inFlight++
	if len(q.stops) > 0 {
		return takeFirst(&q.stops), true
	}
	o := takeFirst(&q.waiting)
	q.taken++
	if o.Pace != nil {
		delete(q.paces, o.Pace.Task)
	}
	return o, true
}

// takeFirst removes and returns the first order of a list that is not empty.
func takeFirst(orders *[]dispatch.Order) dispatch.Order {
	o := (*orders)[0]
	(*orders)[0] = dispatch.Order{}
	*orders = (*orders)[1:]
	return o
}

// drop takes all orders that wait.
func (q *orderQueue) drop() []dispatch.Order {
	dropped := append(q.stops, q.waiting...)
	q.taken += len(q.waiting)
	q.stops, q.waiting, q.paces = nil, nil, nil
	return dropped
}

// errNotSent is the result of an order that waits for an executor which does not
// answer.
var errNotSent = &verdict.Error{Verdict: verdict.DidNotRun, Reason: "executor does not answer", Err: dispatch.ErrNoConnection}

// queueFor returns the queue of an executor.
func (owned *ownedShard) queueFor(id unit.Executor) *orderQueue {
	q := owned.orders[id]
	if q == nil {
		if owned.orders == nil {
			owned.orders = make(map[unit.Executor]*orderQueue)
		}
		q = new(orderQueue)
		owned.orders[id] = q
	}
	return q
}

// handleOrderResult applies the result of an order and sends those that wait for the
// executor. If it did not answer, they would only time out as well, so that the shard
// is told at once that they were not sent.
func (c *Control) handleOrderResult(owned *ownedShard, m *orderResultMessage) {
	now, wall := c.Clock.Now(), wallNow()
	owned.shard.HandleAnswer(now, wall, &m.order, &m.answer, m.err)
	id := m.order.To.Executor
	q := owned.orders[id]
	if q == nil {
		return
	}
	if m.order.Hold == nil {
		q.inFlight--
	}
	if m.err != nil && !errors.Is(m.err, dispatch.ErrNoConnection) {
		for _, o := range q.drop() {
			owned.shard.HandleAnswer(now, wall, &o, new(dispatch.Answer), errNotSent)
		}
	}
	for o, ok := q.next(); ok; o, ok = q.next() {
		c.startOrder(owned, o)
	}
	if q.inFlight == 0 {
		delete(owned.orders, id)
	}
}
