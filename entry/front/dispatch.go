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
	view    func() *route.View
	clock   clock.Clock
	bulk    atomic.Int64 // bulk requests in flight
	active  atomic.Int64 // urgent and standard ones
	waiting atomic.Int64
	slots   atomic.Int64 // held in all
	share   atomic.Int64 // of these, for bulk requests

	mu     sync.Mutex
	queue  queue.Queue[*waiter]
	demand queue.Demand
}

// waiter is a request in the queue.
type waiter struct {
	job   *job
	grant chan grant // has room for the only grant
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
	d.measure(t, false)
	kept, _ := f.dispatchers.LoadOrStore(t.Service.UpstreamSet, d)
	return kept.(*dispatcher)
}

// measure sums up the slots held and sets the share of bulk requests.
func (d *dispatcher) measure(t *route.Target, pressure bool) {
	held := unit.Slots(0)
	for _, u := range t.Upstreams {
		held += u.Slots.Used() + u.Slots.Free()
	}
	d.slots.Store(int64(held))
	d.share.Store(int64(queue.BulkShare(held, pressure)))
}

// update runs once a tick.
func (d *dispatcher) update(now clock.Millis, t *route.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	waiting := d.queue.LenOf(service.Urgent) + d.queue.LenOf(service.Standard)
	d.measure(t, d.demand.Update(now, int(d.active.Load())+waiting, waiting))
	d.dispatch()
}

func (d *dispatcher) capacity(j *job) queue.Capacity {
	c := queue.Capacity{Slots: unit.Slots(d.slots.Load()), Bulk: unit.Slots(d.share.Load())}
	if j.target().Stats != nil {
		c.Service = j.target().Stats.P50().Span()
	}
	return c
}

// enter counts a request of class c as in flight unless it is beyond the share
// of its class.
func (d *dispatcher) enter(c service.Class) bool {
	if c != service.Bulk {
		d.active.Add(1)
		return true
	}
	if d.bulk.Add(1) > d.share.Load() {
		d.bulk.Add(-1)
		return false
	}
	return true
}

func (d *dispatcher) leave(c service.Class) {
	if c == service.Bulk {
		d.bulk.Add(-1)
	} else {
		d.active.Add(-1)
	}
}

// acquire returns an upstream on which a slot was taken for j. It waits in the
// queue if there is none now.
func (d *dispatcher) acquire(ctx context.Context, j *job) (*route.Upstream, route.Outcome, error) {
	if d.waiting.Load() == 0 && d.enter(j.service.Class) {
		u, out := j.target().Choose(j.query(d.clock.Now()))
		if u != nil {
			return u, out, nil
		}
		d.leave(j.service.Class)
		if out != route.Full {
			return nil, out, nil
		}
	}
	return d.wait(ctx, j)
}

// tryAcquire is acquire without waiting.
func (d *dispatcher) tryAcquire(j *job, q route.Query) *route.Upstream {
	if d.waiting.Load() > 0 || !d.enter(j.service.Class) {
		return nil
	}
	u, _ := j.target().Choose(q)
	if u == nil {
		d.leave(j.service.Class)
	}
	return u
}

func (d *dispatcher) wait(ctx context.Context, j *job) (*route.Upstream, route.Outcome, error) {
	c, now := d.capacity(j), d.clock.Now()
	w := &waiter{job: j, grant: make(chan grant, 1)}
	item := &queue.Item[*waiter]{Class: j.service.Class, Deadline: j.deadline, Value: w}
	d.mu.Lock()
	if err := d.queue.Offer(item, now, c); err != nil {
		d.mu.Unlock()
		count("refusedQueue")
		return nil, route.Full, err
	}
	count("queued")
	d.waiting.Store(int64(d.queue.Len()))
	d.dispatch() // a slot may have become free before the request waited
	d.mu.Unlock()

	timer := time.NewTimer(max(0, j.deadline.Sub(now)-c.Service).Duration())
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
	count("expiredInQueue")
	e := verdict.Refuse("no slot became free in time")
	e.RetryAfter = max(c.Service, queueRetry)
	return nil, route.Full, e
}

// queueRetry is the least time that callers whose wait ended are told to wait.
const queueRetry = 50 * clock.Millisecond

// release gives a slot back and passes it to a request that waits.
func (d *dispatcher) release(u *route.Upstream, c service.Class) {
	d.leave(c)
	u.Release()
	if d.waiting.Load() == 0 {
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
		share := unit.Slots(d.share.Load())
		item := d.queue.Next(unit.Slots(d.bulk.Load()), queue.Capacity{Bulk: share})
		if item == nil {
			return
		}
		w := item.Value
		g := grant{outcome: route.NoUpstream}
		// The newest view has no upstreams that left while the request waited.
		if t := d.view().Targets[w.job.service.Name]; t != nil {
			g.upstream, g.outcome = t.Choose(w.job.query(d.clock.Now()))
		}
		if g.outcome == route.Full {
			return
		}
		if g.upstream != nil {
			if item.Class == service.Bulk {
				d.bulk.Add(1)
			} else {
				d.active.Add(1)
			}
		}
		d.queue.Remove(item)
		d.waiting.Store(int64(d.queue.Len()))
		w.grant <- g
	}
}

func (j *job) query(now clock.Millis) route.Query {
	return route.Query{Now: now, Deadline: j.deadline, Except: j.except}
}
