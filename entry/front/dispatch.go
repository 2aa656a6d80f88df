package front

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/queue"
	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// dispatcher assigns the slots of one upstream set to requests. A request takes
// a free slot without a lock. If there is none, it waits in a queue until a
// release or the periodic update grants it a slot.
type dispatcher struct {
	view            func() *route.View
	clock           clock.Clock
	bulkInFlight    atomic.Int64 // bulk requests in flight
	nonBulkInFlight atomic.Int64 // urgent and standard requests in flight
	waiting         atomic.Int64 // length of the queue
	totalSlots      atomic.Int64 // slots that this process holds on the upstreams of the set
	bulkSlots       atomic.Int64 // maximum number of slots for bulk requests

	mu       sync.Mutex
	queue    queue.Queue[*waiter]
	pressure queue.PressureDetector
}

// waiter is a request that waits in the queue.
type waiter struct {
	request *callerRequest
	grant   chan grant // buffered for the one grant, so that sending never blocks
}

// grant is the result of a wait in the queue.
type grant struct {
	upstream *route.Upstream // nil if no slot was granted
	outcome  route.Outcome
}

// dispatcher returns the dispatcher for the upstream set of t and creates it if
// necessary.
func (f *Front) dispatcher(t *route.Target) *dispatcher {
	if d, ok := f.dispatchers.Load(t.Service.UpstreamSet); ok {
		return d.(*dispatcher)
	}
	d := &dispatcher{clock: f.Clock, view: func() *route.View { return f.View().Routes }}
	d.updateSlots(t, false)
	kept, _ := f.dispatchers.LoadOrStore(t.Service.UpstreamSet, d)
	return kept.(*dispatcher)
}

// updateSlots sets the total number of slots and the number of slots for bulk
// requests. The latter is smaller under pressure from urgent and standard
// requests; see [queue.PressureDetector].
func (d *dispatcher) updateSlots(t *route.Target, pressure bool) {
	total := unit.Slots(0)
	for _, u := range t.Upstreams {
		total += u.Slots.Used() + u.Slots.Free()
	}
	d.totalSlots.Store(int64(total))
	d.bulkSlots.Store(int64(queue.BulkSlots(total, pressure)))
}

// update recalculates the slots and serves the queue. It runs every
// queueInterval.
func (d *dispatcher) update(now clock.Millis, t *route.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	nonBulkWaiting := d.queue.LenOf(service.Urgent) + d.queue.LenOf(service.Standard)
	d.updateSlots(t, d.pressure.Update(now, int(d.nonBulkInFlight.Load())+nonBulkWaiting, nonBulkWaiting))
	d.dispatch()
}

// capacity returns the current capacity for the service of cr.
func (d *dispatcher) capacity(cr *callerRequest) queue.Capacity {
	c := queue.Capacity{Slots: unit.Slots(d.totalSlots.Load()), BulkSlots: unit.Slots(d.bulkSlots.Load())}
	if cr.target().Stats != nil {
		c.ServiceTime = cr.target().Stats.P50().Span()
	}
	return c
}

// enterClass counts a request of class c as in flight. It returns false and
// counts nothing if a bulk request would exceed the slots for bulk requests.
func (d *dispatcher) enterClass(c service.Class) bool {
	if c != service.Bulk {
		d.nonBulkInFlight.Add(1)
		return true
	}
	if d.bulkInFlight.Add(1) > d.bulkSlots.Load() {
		d.bulkInFlight.Add(-1)
		return false
	}
	return true
}

// leaveClass reverses a successful enterClass.
func (d *dispatcher) leaveClass(c service.Class) {
	if c == service.Bulk {
		d.bulkInFlight.Add(-1)
	} else {
		d.nonBulkInFlight.Add(-1)
	}
}

// acquire takes a slot for cr and returns its upstream. If no slot is free, it
// waits in the queue.
func (d *dispatcher) acquire(ctx context.Context, cr *callerRequest) (*route.Upstream, route.Outcome, error) {
	if d.waiting.Load() == 0 && d.enterClass(cr.service.Class) {
		u, out := cr.target().Choose(cr.routeQuery(d.clock.Now()))
		if u != nil {
			return u, out, nil
		}
		d.leaveClass(cr.service.Class)
		if out != route.Full {
			return nil, out, nil
		}
	}
	return d.wait(ctx, cr)
}

// tryAcquire takes a slot that matches q without waiting. It returns nil if
// requests are queued or no slot is free.
func (d *dispatcher) tryAcquire(cr *callerRequest, q route.Query) *route.Upstream {
	if d.waiting.Load() > 0 || !d.enterClass(cr.service.Class) {
		return nil
	}
	u, _ := cr.target().Choose(q)
	if u == nil {
		d.leaveClass(cr.service.Class)
	}
	return u
}

// wait queues cr until it is granted a slot, ctx ends, or too little time is
// left to serve cr before its deadline.
func (d *dispatcher) wait(ctx context.Context, cr *callerRequest) (*route.Upstream, route.Outcome, error) {
	c, now := d.capacity(cr), d.clock.Now()
	w := &waiter{request: cr, grant: make(chan grant, 1)}
	item := &queue.Item[*waiter]{Class: cr.service.Class, Deadline: cr.deadline, Value: w}
	d.mu.Lock()
	if err := d.queue.Offer(item, now, c); err != nil {
		d.mu.Unlock()
		countDecision("refusedQueue")
		return nil, route.Full, err
	}
	countDecision("queued")
	d.waiting.Store(int64(d.queue.Len()))
	d.dispatch() // a slot may have become free before the request was queued
	d.mu.Unlock()

	timer := time.NewTimer(max(0, cr.deadline.Sub(now)-c.ServiceTime).Duration())
	defer timer.Stop()
	select {
	case g := <-w.grant:
		return g.upstream, g.outcome, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	d.mu.Lock()
	removed := d.queue.Remove(item)
	d.waiting.Store(int64(d.queue.Len()))
	d.mu.Unlock()
	if !removed {
		g := <-w.grant
		return g.upstream, g.outcome, nil
	}
	countDecision("expiredInQueue")
	e := verdict.Refuse("no slot became free in time")
	e.RetryAfter = max(c.ServiceTime, minQueueRetryAfter)
	return nil, route.Full, e
}

// minQueueRetryAfter is the minimum retry time that is returned to callers that
// got no slot.
const minQueueRetryAfter = 50 * clock.Millisecond

// release releases a slot and grants it to a waiting request.
func (d *dispatcher) release(u *route.Upstream, c service.Class) {
	d.leaveClass(c)
	u.Release()
	if d.waiting.Load() == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatch()
}

// dispatch grants slots to waiting requests until no request or no slot is
// left. The caller must hold d.mu.
func (d *dispatcher) dispatch() {
	for d.queue.Len() > 0 {
		bulkSlots := unit.Slots(d.bulkSlots.Load())
		item := d.queue.Next(unit.Slots(d.bulkInFlight.Load()), queue.Capacity{BulkSlots: bulkSlots})
		if item == nil {
			return
		}
		w := item.Value
		g := grant{outcome: route.NoUpstream}
		// The newest view excludes upstreams that left while the request waited.
		if t := d.view().Targets[w.request.service.Name]; t != nil {
			g.upstream, g.outcome = t.Choose(w.request.routeQuery(d.clock.Now()))
		}
		if g.outcome == route.Full {
			return
		}
		if g.upstream != nil {
			if item.Class == service.Bulk {
				d.bulkInFlight.Add(1)
			} else {
				d.nonBulkInFlight.Add(1)
			}
		}
		d.queue.Remove(item)
		d.waiting.Store(int64(d.queue.Len()))
		w.grant <- g
	}
}

// routeQuery returns the routing query for the next attempt.
func (cr *callerRequest) routeQuery(now clock.Millis) route.Query {
	return route.Query{Now: now, Deadline: cr.deadline, Excluded: cr.excluded}
}
