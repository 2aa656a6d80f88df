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
	millisecond micros = 1000
	second             = 1000 * millisecond
	tickSpan           = 50 * millisecond
)

func (m micros) instant() clock.Millis { return clock.Millis(m / millisecond) }

// job is one request: when it arrives and how long an idle, healthy upstream
// takes for it.
type job struct {
	class service.Class
	at    micros
	work  micros
}

// site describes the upstreams.
type site struct {
	upstreams   int
	quick, slow unit.Slots
	slowness    func(i int) float64 // factor on the work
	capacity    func(i int) float64 // requests processed at once without delay
	foreign     func(i int) int     // requests of other entry processes
}

// alike returns a site of healthy upstreams.
func alike(upstreams int, quick, slow unit.Slots) site {
	return site{
		upstreams: upstreams, quick: quick, slow: slow,
		slowness: func(int) float64 { return 1 },
		capacity: func(int) float64 { return 1e9 },
		foreign:  func(int) int { return 0 },
	}
}

// chooser takes a slot.
type chooser interface {
	Choose(t *route.Target, q route.Query) (*route.Upstream, route.Outcome)
}

// policy says which mechanisms a run uses.
type policy struct {
	chooser chooser
	plain   bool // one queue in the order of arrival for all classes
	eject   bool
	adapt   bool
}

// end is a request that will be answered.
type end struct {
	at       micros
	job      job
	took     micros
	upstream int
}

// ends is a heap with the earliest end first.
type ends []end

// Len returns the number of running requests.
func (e ends) Len() int { return len(e) }

// Less orders by end.
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }

// Swap exchanges two requests.
func (e ends) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends a request.
func (e *ends) Push(x any) { *e = append(*e, x.(end)) }

// Pop removes the last request.
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// model is one run.
type model struct {
	site
	policy
	now     micros
	ups     []*route.Upstream
	index   map[*route.Upstream]int
	rows    []*route.Health
	limits  []limit.AdaptiveLimit
	ticks   []limit.TickStats
	target  *route.Target
	running ends
	queue   queue.Queue[job]
	fifo    []job
	demand  queue.PressureDetector
	share   unit.Slots
	bulk    unit.Slots // in flight
	active  int        // urgent in flight
	times   []micros
}

// p99 serves jobs, which are in order of arrival, and returns the p99 of the
// time from arrival to answer of urgent requests that arrive from measured on.
func p99(s site, p policy, jobs []job, measured micros) micros {
	m := &model{site: s, policy: p, index: make(map[*route.Upstream]int), limits: make([]limit.AdaptiveLimit, s.upstreams), ticks: make([]limit.TickStats, s.upstreams)}
	for i := range s.upstreams {
		u := &route.Upstream{Slots: new(slot.Counter), Pinned: new(slot.Counter)}
		u.Slots.Hold(s.quick, clock.Never)
		u.Pinned.Hold(s.slow, clock.Never)
		m.index[u] = i
		h := new(route.Health)
		h.StartPhase(route.Steady, 0)
		m.ups, m.rows = append(m.ups, u), append(m.rows, h)
	}
	m.share = queue.BulkShare(m.slots(), false)
	m.rebuild()
	for next, tick := 0, tickSpan; next < len(jobs) || len(m.running) > 0; {
		m.now = tick
		if next < len(jobs) {
			m.now = min(m.now, jobs[next].at)
		}
		if len(m.running) > 0 {
			m.now = min(m.now, m.running[0].at)
		}
		switch {
		case len(m.running) > 0 && m.running[0].at == m.now:
			m.finish(measured)
		case next < len(jobs) && jobs[next].at == m.now:
			m.arrive(jobs[next])
			next++
		default:
			m.tick()
			tick += tickSpan
		}
		m.start()
	}
	slices.Sort(m.times)
	return m.times[len(m.times)*99/100]
}

func (m *model) slots() unit.Slots { return unit.Slots(m.upstreams) * m.quick }

func (m *model) rebuild() {
	open := make([]*route.Upstream, 0, len(m.ups))
	for i, u := range m.ups {
		if m.rows[i].Open() {
			open = append(open, u)
		}
	}
	m.target = &route.Target{Service: &service.Service{Idempotent: true}, Groups: []*route.Group{route.NewGroup("", true, 0, open)}}
}

func (m *model) arrive(j job) {
	switch {
	case m.plain:
		m.fifo = append(m.fifo, j)
	case j.class == service.Long:
		for _, u := range m.ups { // pinned until after the run; refused if there is no slot
			if u.Pinned.Take(0) {
				return
			}
		}
	default:
		// What the bound of the queue refuses is bulk work in all runs.
		_ = m.queue.Offer(&queue.Item[job]{Class: j.class, Deadline: clock.Never, Value: j}, m.now.instant(), queue.Capacity{})
	}
}

// head returns the job that gets the next slot and removes it when taken is
// called.
func (m *model) head() (j job, taken func(), ok bool) {
	if m.plain {
		if len(m.fifo) == 0 {
			return job{}, nil, false
		}
		return m.fifo[0], func() { m.fifo = m.fifo[1:] }, true
	}
	item := m.queue.Next(m.bulk, queue.Capacity{Slots: m.slots(), BulkSlots: m.share})
	if item == nil {
		return job{}, nil, false
	}
	return item.Value, func() { m.queue.Remove(item) }, true
}

func (m *model) start() {
	for {
		j, taken, ok := m.head()
		if !ok {
			return
		}
		u, _ := m.chooser.Choose(m.target, route.Query{})
		if u == nil {
			return
		}
		taken()
		i := m.index[u]
		over := max(1, float64(int(u.Slots.Used())+m.foreign(i))/m.capacity(i))
		took := micros(float64(j.work) * m.slowness(i) * over)
		m.ticks[i].PeakInFlight = max(m.ticks[i].PeakInFlight, u.Slots.Used())
		m.count(j.class, 1)
		heap.Push(&m.running, end{m.now + took, j, took, i})
	}
}

func (m *model) count(c service.Class, n int) {
	switch c {
	case service.Bulk:
		m.bulk += unit.Slots(n)
	case service.Urgent:
		m.active += n
	}
}

func (m *model) finish(measured micros) {
	e := heap.Pop(&m.running).(end)
	u, t := m.ups[e.upstream], &m.ticks[e.upstream]
	u.RecordLoad(int64(u.InFlight()) + int64(m.foreign(e.upstream)))
	busy := u.EstimatedInFlight()
	u.Release()
	m.count(e.job.class, -1)
	if e.job.class != service.Urgent {
		return
	}
	slow := route.Slowness(e.took / (work / 1000))
	m.rows[e.upstream].Success(slow, busy)
	t.Latency = (t.Latency*float64(t.Responses) + float64(slow)) / float64(t.Responses+1)
	t.Responses++
	if e.job.at >= measured {
		m.times = append(m.times, e.at-e.job.at)
	}
}

func (m *model) tick() {
	now, changed := m.now.instant(), false
	peers := m.peers()
	for i, h := range m.rows {
		if m.eject {
			changed = route.UpdatePhase(h, now) || changed
		}
		bound := h.Limit(m.quick, now)
		m.ticks[i].Slots, m.ticks[i].PeerLatency = m.quick, peers
		if m.adapt {
			if l := m.limits[i].Update(m.ticks[i]); l > 0 && (bound == 0 || l < bound) {
				bound = l
			}
		}
		m.ticks[i] = limit.TickStats{}
		m.ups[i].SetLimit(bound)
		m.ups[i].SetCost(h.Cost())
	}
	if m.eject && (route.EjectUnhealthy(m.rows, now) || changed) {
		m.rebuild()
	}
	waiting := m.queue.LenOf(service.Urgent)
	m.share = queue.BulkShare(m.slots(), m.demand.Update(now, m.active+waiting, waiting))
}

// peers returns the median of the mean latencies.
func (m *model) peers() float64 {
	var means []float64
	for i := range m.limits {
		if v := m.limits[i].MeanLatency(); v > 0 {
			means = append(means, v)
		}
	}
	return limit.Median(means)
}

// work is the mean time of urgent requests.
const work = 20 * millisecond

// arrivals returns jobs of one class with exponential gaps and partly
// exponential work. The rate, in jobs a second, depends on the time.
func arrivals(r *rand.Rand, class service.Class, mean, until micros, rate func(at micros) float64) []job {
	var jobs []job
	for at := 0.0; ; {
		at += r.ExpFloat64() * float64(second) / rate(micros(at))
		if micros(at) >= until {
			return jobs
		}
		jobs = append(jobs, job{class, micros(at), micros(float64(mean) / 2 * (1 + r.ExpFloat64()))})
	}
}

// steady is a rate that does not change.
func steady(rate float64) func(micros) float64 { return func(micros) float64 { return rate } }

func merged(lists ...[]job) []job {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b job) int { return int(a.at - b.at) })
	return all
}
