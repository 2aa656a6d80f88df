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

// request is one request: when it arrives and how long an idle, healthy upstream
// takes for it.
type request struct {
	class       service.Class
	at          micros
	serviceTime micros
}

// upstreamConfig describes the upstreams.
type upstreamConfig struct {
	count         int
	quick, slow   unit.Slots
	slowdown      func(i int) float64 // factor on the work
	concurrency   func(i int) float64 // requests processed at once without delay
	otherInFlight func(i int) int     // requests of other entry processes
}

// uniformUpstreams returns a site of healthy upstreams.
func uniformUpstreams(count int, quick, slow unit.Slots) upstreamConfig {
	return upstreamConfig{
		count: count, quick: quick, slow: slow,
		slowdown:      func(int) float64 { return 1 },
		concurrency:   func(int) float64 { return 1e9 },
		otherInFlight: func(int) int { return 0 },
	}
}

// chooser takes a slot.
type chooser interface {
	Choose(t *route.Target, q route.Query) (*route.Upstream, route.Outcome)
}

// policy says which mechanisms a run uses.
type policy struct {
	chooser       chooser
	plainQueue    bool // one queue in the order of arrival for all classes
	ejection      bool
	adaptiveLimit bool
}

// completion is a request that will be answered.
type completion struct {
	at       micros
	request  request
	duration micros
	upstream int
}

// completionHeap is a heap with the earliest end first.
type completionHeap []completion

// Len returns the number of running requests.
func (e completionHeap) Len() int { return len(e) }

// Less orders by end.
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

// model is one run.
type model struct {
	upstreamConfig
	policy
	now            micros
	upstreams      []*route.Upstream
	index          map[*route.Upstream]int
	health         []*route.Health
	limits         []limit.Adaptive
	ticks          []limit.Tick
	target         *route.Target
	running        completionHeap
	queue          queue.Queue[request]
	fifo           []request
	demand         queue.Demand
	bulkShare      unit.Slots
	bulkInFlight   unit.Slots // in flight
	urgentInFlight int        // urgent in flight
	latencies      []micros
}

// urgentP99 serves jobs, which are in order of arrival, and returns the p99 of the
// time from arrival to answer of urgent requests that arrive from measured on.
func urgentP99(s upstreamConfig, p policy, requests []request, measureFrom micros) micros {
	m := &model{upstreamConfig: s, policy: p, index: make(map[*route.Upstream]int), limits: make([]limit.Adaptive, s.count), ticks: make([]limit.Tick, s.count)}
	for i := range s.count {
		u := &route.Upstream{Slots: new(slot.Counter), Pinned: new(slot.Counter)}
		u.Slots.Hold(s.quick, clock.Never)
		u.Pinned.Hold(s.slow, clock.Never)
		m.index[u] = i
		h := new(route.Health)
		h.Begin(route.Steady, 0)
		m.upstreams, m.health = append(m.upstreams, u), append(m.health, h)
	}
	m.bulkShare = queue.BulkShare(m.slots(), false)
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

func (m *model) slots() unit.Slots { return unit.Slots(m.count) * m.quick }

func (m *model) rebuildTarget() {
	open := make([]*route.Upstream, 0, len(m.upstreams))
	for i, u := range m.upstreams {
		if m.health[i].Open() {
			open = append(open, u)
		}
	}
	m.target = &route.Target{Service: &service.Service{Idempotent: true}, Groups: []*route.Group{route.NewGroup("", true, 0, open)}}
}

func (m *model) enqueue(j request) {
	switch {
	case m.plainQueue:
		m.fifo = append(m.fifo, j)
	case j.class == service.Long:
		for _, u := range m.upstreams { // pinned until after the run; refused if there is no slot
			if u.Pinned.Take(0) {
				return
			}
		}
	default:
		// What the bound of the queue refuses is bulk work in all runs.
		_ = m.queue.Offer(&queue.Item[request]{Class: j.class, Deadline: clock.Never, Value: j}, m.now.millis(), queue.Capacity{})
	}
}

// next returns the job that gets the next slot and removes it when taken is
// called.
func (m *model) next() (j request, remove func(), ok bool) {
	if m.plainQueue {
		if len(m.fifo) == 0 {
			return request{}, nil, false
		}
		return m.fifo[0], func() { m.fifo = m.fifo[1:] }, true
	}
	item := m.queue.Next(m.bulkInFlight, queue.Capacity{Slots: m.slots(), Bulk: m.bulkShare})
	if item == nil {
		return request{}, nil, false
	}
	return item.Value, func() { m.queue.Remove(item) }, true
}

func (m *model) startRequests() {
	for {
		j, remove, ok := m.next()
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
		duration := micros(float64(j.serviceTime) * m.slowdown(i) * overload)
		m.ticks[i].Peak = max(m.ticks[i].Peak, u.Slots.Used())
		m.countInFlight(j.class, 1)
		heap.Push(&m.running, completion{m.now + duration, j, duration, i})
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
	e := heap.Pop(&m.running).(completion)
	u, t := m.upstreams[e.upstream], &m.ticks[e.upstream]
	u.Report(int64(u.InFlight()) + int64(m.otherInFlight(e.upstream)))
	busy := u.Busyness()
	u.Release()
	m.countInFlight(e.request.class, -1)
	if e.request.class != service.Urgent {
		return
	}
	slowness := route.Slowness(e.duration / (meanServiceTime / 1000))
	m.health[e.upstream].Success(slowness, busy)
	t.Latency = (t.Latency*float64(t.Answers) + float64(slowness)) / float64(t.Answers+1)
	t.Answers++
	if e.request.at >= measureFrom {
		m.latencies = append(m.latencies, e.at-e.request.at)
	}
}

func (m *model) tick() {
	now, changed := m.now.millis(), false
	peers := m.peerMedian()
	for i, h := range m.health {
		if m.ejection {
			changed = route.Judge(h, now) || changed
		}
		bound := h.Limit(m.quick, now)
		m.ticks[i].Slots, m.ticks[i].Peers = m.quick, peers
		if m.adaptiveLimit {
			if l := m.limits[i].Update(m.ticks[i]); l > 0 && (bound == 0 || l < bound) {
				bound = l
			}
		}
		m.ticks[i] = limit.Tick{}
		m.upstreams[i].SetLimit(bound)
		m.upstreams[i].SetCost(h.Cost())
	}
	if m.ejection && (route.Eject(m.health, now) || changed) {
		m.rebuildTarget()
	}
	waiting := m.queue.LenOf(service.Urgent)
	m.bulkShare = queue.BulkShare(m.slots(), m.demand.Update(now, m.urgentInFlight+waiting, waiting))
}

// peerMedian returns the median of the mean latencies.
func (m *model) peerMedian() float64 {
	var means []float64
	for i := range m.limits {
		if v := m.limits[i].Mean(); v > 0 {
			means = append(means, v)
		}
	}
	return limit.Median(means)
}

// meanServiceTime is the mean time of urgent requests.
const meanServiceTime = 20 * millisecond

// arrivals returns jobs of one class with exponential gaps and partly
// exponential work. The rate, in jobs a second, depends on the time.
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

// constantRate is a rate that does not change.
func constantRate(rate float64) func(micros) float64 { return func(micros) float64 { return rate } }

func mergeArrivals(lists ...[]request) []request {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b request) int { return int(a.at - b.at) })
	return all
}
