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

// dispatcher hands the slots of one upstream set to requests. A request that
// finds a free slot takes it without a lock; the others wait in a queue and are
// woken by whoever releases a slot.
type dispatcher struct {
	view            func() *route.View
	clock           clock.Clock
	bulkInFlight    atomic.Int64 // bulk requests in flight
	nonBulkInFlight atomic.Int64 // urgent and standard ones
	nonBulkWaiting  atomic.Int64
	totalSlots      atomic.Int64 // held in all
	bulkSlots       atomic.Int64 // of these, for bulk requests

	mu     sync.Mutex
	queue  queue.Queue[*waiter]
	demand queue.Demand
}

// waiter is a request in the queue.
type waiter struct {
	request *callerRequest
	grant   chan grant // has room for the only grant
}

// grant is the end of a wait.
type grant struct {
	upstream *route.Upstream // nil if there is none
	outcome  route.Outcome
}

func (f *Front) dispatcher(t *route.Target) *dispatcher {
	if d, ok := f.dispatchers.Load(t.Service.UpstreamSet); ok {
		return d.(*dispatcher)
	}
	d := &dispatcher{clock: f.Clock, view: func() *route.View { return f.View().Routes }}
	d.updateSlots(t, false)
	kept, _ := f.dispatchers.LoadOrStore(t.Service.UpstreamSet, d)
	return kept.(*dispatcher)
}

// updateSlots sums up the slots held and sets the share of bulk requests.
func (d *dispatcher) updateSlots(t *route.Target, pressure bool) {
	total := unit.Slots(0)
	for _, u := range t.Upstreams {
		total += u.Slots.Used() + u.Slots.Free()
	}
	d.totalSlots.Store(int64(total))
	d.bulkSlots.Store(int64(queue.BulkShare(total, pressure)))
}

// update runs once a tick.
func (d *dispatcher) update(now clock.Millis, t *route.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	nonBulkWaiting := d.queue.LenOf(service.Urgent) + d.queue.LenOf(service.Standard)
	d.updateSlots(t, d.demand.Update(now, int(d.nonBulkInFlight.Load())+nonBulkWaiting, nonBulkWaiting))
	d.dispatch()
}

func (d *dispatcher) capacity(cr *callerRequest) queue.Capacity {
	c := queue.Capacity{Slots: unit.Slots(d.totalSlots.Load()), Bulk: unit.Slots(d.bulkSlots.Load())}
	if cr.target().Stats != nil {
		c.Service = cr.target().Stats.P50().Span()
	}
	return c
}

// enterClass counts a request of class c as in flight unless it is beyond the share
// of its class.
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

func (d *dispatcher) leaveClass(c service.Class) {
	if c == service.Bulk {
		d.bulkInFlight.Add(-1)
	} else {
		d.nonBulkInFlight.Add(-1)
	}
}

// acquire returns an upstream on which a slot was taken for j. It waits in the
// queue if there is none now.
func (d *dispatcher) acquire(ctx context.Context, cr *callerRequest) (*route.Upstream, route.Outcome, error) {
	if d.nonBulkWaiting.Load() == 0 && d.enterClass(cr.service.Class) {
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

// tryAcquire is acquire without waiting.
func (d *dispatcher) tryAcquire(cr *callerRequest, q route.Query) *route.Upstream {
	if d.nonBulkWaiting.Load() > 0 || !d.enterClass(cr.service.Class) {
		return nil
	}
	u, _ := cr.target().Choose(q)
	if u == nil {
		d.leaveClass(cr.service.Class)
	}
	return u
}

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
	d.nonBulkWaiting.Store(int64(d.queue.Len()))
	d.dispatch() // a slot may have become free before the request waited
	d.mu.Unlock()

	timer := time.NewTimer(max(0, cr.deadline.Sub(now)-c.Service).Duration())
	defer timer.Stop()
	select {
	case g := <-w.grant:
		return g.upstream, g.outcome, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	d.mu.Lock()
	removed := d.queue.Remove(item)
	d.nonBulkWaiting.Store(int64(d.queue.Len()))
	d.mu.Unlock()
	if !removed {
		g := <-w.grant
		return g.upstream, g.outcome, nil
	}
	countDecision("expiredInQueue")
	e := verdict.Refuse("no slot became free in time")
	e.RetryAfter = max(c.Service, minQueueRetryAfter)
	return nil, route.Full, e
}

// minQueueRetryAfter is the least time that callers whose wait ended are told to wait.
const minQueueRetryAfter = 50 * clock.Millisecond

// release gives a slot back and passes it to a request that waits.
func (d *dispatcher) release(u *route.Upstream, c service.Class) {
	d.leaveClass(c)
	u.Release()
	if d.nonBulkWaiting.Load() == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatch()
}

// dispatch grants slots to waiting requests until there is no more of either.
// It is called with d locked.
func (d *dispatcher) dispatch() {
	for d.queue.Len() > 0 {
		bulkSlots := unit.Slots(d.bulkSlots.Load())
		item := d.queue.Next(unit.Slots(d.bulkInFlight.Load()), queue.Capacity{Bulk: bulkSlots})
		if item == nil {
			return
		}
		w := item.Value
		g := grant{outcome: route.NoUpstream}
		// The newest view has no upstreams that left while the request waited.
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
		d.nonBulkWaiting.Store(int64(d.queue.Len()))
		w.grant <- g
	}
}

func (cr *callerRequest) routeQuery(now clock.Millis) route.Query {
	return route.Query{Now: now, Deadline: cr.deadline, Except: cr.excluded}
}
