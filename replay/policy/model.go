package policy

import (
	"container/heap"
	"math/rand/v2"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/limit"
	"mimosadock/schedule/queue"
	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/unit"
)

// micros is an instant or a span of virtual time in microseconds.
type micros int64

const (
	millisecond  micros = 1000
	second              = 1000 * millisecond
	tickInterval        = 50 * millisecond
)

func (m micros) millis() clock.Millis { return clock.Millis(m / millisecond) }

// request is one request. serviceTime is the time that an idle, healthy upstream
// needs for it.
type request struct {
	class       service.Class
	at          micros
	serviceTime micros
}

// upstreamConfig describes the upstreams.
type upstreamConfig struct {
	count                 int
	quickSlots, slowSlots unit.Slots
	slowdown              func(i int) float64 // factor on the service time
	concurrency           func(i int) float64 // requests processed in parallel without delay
	otherInFlight         func(i int) int     // requests in flight of other entry processes
}

// uniformUpstreams returns the configuration of identical healthy upstreams
// with the given numbers of quick and slow slots each. Slow slots are for pinned
// grants.
func uniformUpstreams(count int, quickSlots, slowSlots unit.Slots) upstreamConfig {
	return upstreamConfig{
		count: count, quickSlots: quickSlots, slowSlots: slowSlots,
		slowdown:      func(int) float64 { return 1 },
		concurrency:   func(int) float64 { return 1e9 },
		otherInFlight: func(int) int { return 0 },
	}
}

// chooser chooses an upstream for a request and takes a slot on it.
type chooser interface {
	Choose(t *route.Target, q route.Query) (*route.Upstream, route.Outcome)
}

// policy selects the mechanisms that a run uses.
type policy struct {
	chooser       chooser
	plainQueue    bool // one FIFO queue for all classes
	ejection      bool
	adaptiveLimit bool
}

// completion is the future end of a running request.
type completion struct {
	at       micros
	request  request
	duration micros
	upstream int
}

// completionHeap is a heap with the earliest completion first.
type completionHeap []completion

// Len returns the number of running requests.
func (e completionHeap) Len() int { return len(e) }

// Less orders requests by the time of completion.
func (e completionHeap) Less(i, j int) bool { return e[i].at < e[j].at }

// Swap exchanges two requests.
func (e completionHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends a request.
func (e *completionHeap) Push(x any) { *e = append(*e, x.(completion)) }

// Pop removes the last request.
func (e *completionHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// model is the state of one run.
type model struct {
	upstreamConfig
	policy
	now              micros
	upstreams        []*route.Upstream
	index            map[*route.Upstream]int
	health           []*route.Health
	limits           []limit.AdaptiveLimit
	ticks            []limit.TickStats
	target           *route.Target
	running          completionHeap
	queue            queue.Queue[request]
	fifo             []request
	pressureDetector queue.PressureDetector
	bulkSlots        unit.Slots
	bulkInFlight     unit.Slots
	urgentInFlight   int
	latencies        []micros
}

// urgentP99 serves requests, which must be in order of arrival. It returns the
// p99 of the time from arrival to answer over the urgent requests that arrive
// at measureFrom or later.
func urgentP99(s upstreamConfig, p policy, requests []request, measureFrom micros) micros {
	m := &model{upstreamConfig: s, policy: p, index: make(map[*route.Upstream]int), limits: make([]limit.AdaptiveLimit, s.count), ticks: make([]limit.TickStats, s.count)}
	for i := range s.count {
		u := &route.Upstream{Slots: new(slot.Counter), Pinned: new(slot.Counter)}
		u.Slots.Hold(s.quickSlots, clock.Never)
		u.Pinned.Hold(s.slowSlots, clock.Never)
		m.index[u] = i
		h := new(route.Health)
		h.StartPhase(route.Steady, 0)
		m.upstreams, m.health = append(m.upstreams, u), append(m.health, h)
	}
	m.bulkSlots = queue.BulkSlots(m.slots(), false)
	m.rebuildTarget()
	for next, tick := 0, tickInterval; next < len(requests) || len(m.running) > 0; {
		m.now = tick
		if next < len(requests) {
			m.now = min(m.now, requests[next].at)
		}
		if len(m.running) > 0 {
			m.now = min(m.now, m.running[0].at)
		}
		switch {
		case len(m.running) > 0 && m.running[0].at == m.now:
			m.completeNext(measureFrom)
		case next < len(requests) && requests[next].at == m.now:
			m.enqueue(requests[next])
			next++
		default:
			m.tick()
			tick += tickInterval
		}
		m.startRequests()
	}
	slices.Sort(m.latencies)
	return m.latencies[len(m.latencies)*99/100]
}

func (m *model) slots() unit.Slots { return unit.Slots(m.count) * m.quickSlots }

func (m *model) rebuildTarget() {
	open := make([]*route.Upstream, 0, len(m.upstreams))
	for i, u := range m.upstreams {
		if m.health[i].AcceptsRequests() {
			open = append(open, u)
		}
	}
	m.target = &route.Target{Service: &service.Service{Idempotent: true}, Groups: []*route.Group{route.NewGroup("", true, 0, open)}}
}

func (m *model) enqueue(r request) {
	switch {
	case m.plainQueue:
		m.fifo = append(m.fifo, r)
	case r.class == service.Long:
		for _, u := range m.upstreams { // holds the slot until the end of the run; refused without a free slot
			if u.Pinned.Take(0) {
				return
			}
		}
	default:
		// In all runs, the bounded queue refuses only bulk requests.
		_ = m.queue.Offer(&queue.Item[request]{Class: r.class, Deadline: clock.Never, Value: r}, m.now.millis(), queue.Capacity{})
	}
}

// next returns the request that receives the next slot. Calling remove removes
// the request from the queue.
func (m *model) next() (r request, remove func(), ok bool) {
	if m.plainQueue {
		if len(m.fifo) == 0 {
			return request{}, nil, false
		}
		return m.fifo[0], func() { m.fifo = m.fifo[1:] }, true
	}
	item := m.queue.Next(m.bulkInFlight, queue.Capacity{Slots: m.slots(), BulkSlots: m.bulkSlots})
	if item == nil {
		return request{}, nil, false
	}
	return item.Value, func() { m.queue.Remove(item) }, true
}

func (m *model) startRequests() {
	for {
		r, remove, ok := m.next()
		if !ok {
			return
		}
		u, _ := m.chooser.Choose(m.target, route.Query{})
		if u == nil {
			return
		}
		remove()
		i := m.index[u]
		overload := max(1, float64(int(u.Slots.Used())+m.otherInFlight(i))/m.concurrency(i))
		duration := micros(float64(r.serviceTime) * m.slowdown(i) * overload)
		m.ticks[i].PeakInFlight = max(m.ticks[i].PeakInFlight, u.Slots.Used())
		m.countInFlight(r.class, 1)
		heap.Push(&m.running, completion{m.now + duration, r, duration, i})
	}
}

func (m *model) countInFlight(c service.Class, n int) {
	switch c {
	case service.Bulk:
		m.bulkInFlight += unit.Slots(n)
	case service.Urgent:
		m.urgentInFlight += n
	}
}

func (m *model) completeNext(measureFrom micros) {
	done := heap.Pop(&m.running).(completion)
	u, t := m.upstreams[done.upstream], &m.ticks[done.upstream]
	u.RecordLoad(int64(u.InFlight()) + int64(m.otherInFlight(done.upstream)))
	busy := u.EstimatedInFlight()
	u.Release()
	m.countInFlight(done.request.class, -1)
	if done.request.class != service.Urgent {
		return
	}
	slowness := route.Slowness(done.duration / (meanServiceTime / 1000)) // in thousandths; the mean takes the place of the service's median
	m.health[done.upstream].Success(slowness, busy)
	t.Latency = (t.Latency*float64(t.Responses) + float64(slowness)) / float64(t.Responses+1)
	t.Responses++
	if done.request.at >= measureFrom {
		m.latencies = append(m.latencies, done.at-done.request.at)
	}
}

func (m *model) tick() {
	now, changed := m.now.millis(), false
	peerMedian := m.peerMedian()
	for i, h := range m.health {
		if m.ejection {
			changed = route.UpdatePhase(h, now) || changed
		}
		bound := h.Limit(m.quickSlots, now)
		m.ticks[i].Slots, m.ticks[i].GroupMedian = m.quickSlots, peerMedian
		if m.adaptiveLimit {
			if l := m.limits[i].Update(m.ticks[i]); l > 0 && (bound == 0 || l < bound) {
				bound = l
			}
		}
		m.ticks[i] = limit.TickStats{}
		m.upstreams[i].SetLimit(bound)
		m.upstreams[i].SetSlownessPerRequest(h.SlownessPerRequest())
	}
	if m.ejection && (route.EjectUnhealthy(m.health, now) || changed) {
		m.rebuildTarget()
	}
	waiting := m.queue.LenOf(service.Urgent)
	m.bulkSlots = queue.BulkSlots(m.slots(), m.pressureDetector.Update(now, m.urgentInFlight+waiting, waiting))
}

// peerMedian returns the median of the upstreams' mean latencies.
func (m *model) peerMedian() float64 {
	var means []float64
	for i := range m.limits {
		if v := m.limits[i].MeanLatency(); v > 0 {
			means = append(means, v)
		}
	}
	return limit.Median(means)
}

// meanServiceTime is the mean service time of urgent requests.
const meanServiceTime = 20 * millisecond

// arrivals returns the requests of one class until end. The gaps between
// arrivals are exponential. Half of the mean service time is constant and half
// is exponential. rate returns the arrivals per second at an instant.
func arrivals(r *rand.Rand, class service.Class, mean, end micros, rate func(at micros) float64) []request {
	var requests []request
	for at := 0.0; ; {
		at += r.ExpFloat64() * float64(second) / rate(micros(at))
		if micros(at) >= end {
			return requests
		}
		requests = append(requests, request{class, micros(at), micros(float64(mean) / 2 * (1 + r.ExpFloat64()))})
	}
}

// constantRate returns a rate that doesn't change over time.
func constantRate(rate float64) func(micros) float64 { return func(micros) float64 { return rate } }

func mergeArrivals(lists ...[]request) []request {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b request) int { return int(a.at - b.at) })
	return all
}
