package route_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/limit"
	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/unit"
)

type chooser interface {
	Choose(t *route.Target, q route.Query) (*route.Upstream, route.Outcome)
}

// model is a service on 40 upstreams with 8 slots in virtual time. The time of
// a request is its work times the slowness of the upstream, and more when more
// requests are in flight than the upstream really processes at once.
type model struct {
	rate     float64 // requests a second
	slowness func(i int) float64
	capacity func(i int) float64
	foreign  func(i int) int // requests of other entry processes
	eject    bool
	adapt    bool

	now      int64 // microseconds
	rand     *rand.Rand
	rows     []*route.Health
	ups      []*route.Upstream
	limits   []limit.Adaptive
	ticks    []limit.Tick
	running  ends
	waiting  []int64 // arrivals
	times    []int64
	groupFor *route.Target
}

type end struct {
	at, arrived int64
	took        int64
	index       int
}
type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	upstreams = 40
	work      = 10_000 // microseconds, mean
	tickSpan  = 50_000
)

// p99 returns the p99 of the second half of 3 s.
func (m model) p99(c chooser) int64 {
	m.rand = rand.New(rand.NewPCG(1, 2))
	m.limits, m.ticks = make([]limit.Adaptive, upstreams), make([]limit.Tick, upstreams)
	for range upstreams {
		u := &route.Upstream{Slots: new(slot.Counter)}
		u.Slots.Hold(8, clock.Never)
		h := new(route.Health)
		h.Begin(route.Steady, 0)
		m.ups, m.rows = append(m.ups, u), append(m.rows, h)
	}
	m.rebuild()
	const until = 3_000_000
	for next, tick := int64(0), int64(tickSpan); m.now < until; {
		m.now = min(next, tick)
		if len(m.running) > 0 {
			m.now = min(m.now, m.running[0].at)
		}
		switch {
		case len(m.running) > 0 && m.running[0].at == m.now:
			m.finish(until / 2)
		case m.now == tick:
			tick += tickSpan
			m.tick()
		default:
			m.waiting = append(m.waiting, m.now)
			next += 1 + int64(m.rand.ExpFloat64()*1e6/m.rate)
		}
		m.start(c)
	}
	slices.Sort(m.times)
	return m.times[len(m.times)*99/100]
}

func (m *model) rebuild() {
	open := make([]*route.Upstream, 0, upstreams)
	for i, u := range m.ups {
		if m.rows[i].Open() {
			open = append(open, u)
		}
	}
	m.groupFor = &route.Target{Service: &service.Service{Idempotent: true}, Groups: []*route.Group{route.NewGroup("kelso", true, 0, open)}}
}

func (m *model) start(c chooser) {
	for len(m.waiting) > 0 {
		u, _ := c.Choose(m.groupFor, route.Query{})
		if u == nil {
			return
		}
		i := slices.Index(m.ups, u)
		over := max(1, float64(int(u.InFlight())+m.foreign(i))/m.capacity(i))
		took := int64(work / 2 * (1 + m.rand.ExpFloat64()) * m.slowness(i) * over)
		m.ticks[i].Peak = max(m.ticks[i].Peak, u.InFlight())
		heap.Push(&m.running, end{m.now + took, m.waiting[0], took, i})
		m.waiting = m.waiting[1:]
	}
}

func (m *model) finish(measured int64) {
	e := heap.Pop(&m.running).(end)
	u, t := m.ups[e.index], &m.ticks[e.index]
	u.Report(int64(u.InFlight()) + int64(m.foreign(e.index)))
	busy := u.Busyness()
	u.Release()
	slow := route.Slowness(e.took * 1000 / work)
	m.rows[e.index].Success(slow, busy)
	t.Latency = (t.Latency*float64(t.Answers) + float64(slow)) / float64(t.Answers+1)
	t.Answers++
	if e.arrived >= measured {
		m.times = append(m.times, e.at-e.arrived)
	}
}

func (m *model) tick() {
	now, changed := clock.Millis(m.now/1000), false
	for i, h := range m.rows {
		if m.eject {
			changed = route.Judge(h, now) || changed
		}
		bound := unit.Slots(0)
		if m.ticks[i].Slots = 8; m.adapt {
			bound = m.limits[i].Update(m.ticks[i])
		}
		if l := h.Limit(8, now); l > 0 && (bound == 0 || l < bound) {
			bound = l
		}
		m.ticks[i] = limit.Tick{}
		m.ups[i].SetLimit(bound)
		m.ups[i].SetCost(h.Cost())
	}
	if m.eject && (route.Eject(m.rows, now) || changed) {
		m.rebuild()
	}
}

// Guards against a policy that is worse than a plain one, or no better where it
// was made for. Each policy runs on the same arrivals as its plain baselines.
func TestPoliciesBesideBaselines(t *testing.T) {
	one := func(int) float64 { return 1 }
	none := func(int) int { return 0 }
	some := func(n int, bad, good float64) func(int) float64 {
		return func(i int) float64 {
			if i < n {
				return bad
			}
			return good
		}
	}
	pcg := rand.NewPCG(3, 4)
	cost := route.Chooser[route.Cost]{Rand: pcg.Uint64}
	robin := route.Chooser[route.RoundRobin]{Rand: pcg.Uint64, Sample: math.MaxInt}
	least := route.Chooser[route.LeastConnections]{Rand: pcg.Uint64, Sample: math.MaxInt}
	tests := map[string]struct {
		plain, better model
		baseline      chooser
		policy        chooser
		bound         float64 // of the p99 against the baseline
	}{
		"alike, cost beside least connections": {
			model{rate: 12_000, slowness: one, capacity: some(0, 0, 8), foreign: none},
			model{rate: 12_000, slowness: one, capacity: some(0, 0, 8), foreign: none},
			least, cost, 1.1,
		},
		"a third is slow, cost beside round robin": {
			model{rate: 12_000, slowness: some(13, 3, 1), capacity: some(0, 0, 8), foreign: none},
			model{rate: 12_000, slowness: some(13, 3, 1), capacity: some(0, 0, 8), foreign: none},
			robin, cost, 0.9,
		},
		"others load a half, cost beside least connections": {
			model{rate: 8_000, slowness: one, capacity: some(0, 0, 4), foreign: func(i int) int { return 6 * (i % 2) }},
			model{rate: 8_000, slowness: one, capacity: some(0, 0, 4), foreign: func(i int) int { return 6 * (i % 2) }},
			least, cost, 0.9,
		},
		"six are very slow, ejection beside none": {
			model{rate: 12_000, slowness: some(6, 6, 1), capacity: some(0, 0, 8), foreign: none},
			model{rate: 12_000, slowness: some(6, 6, 1), capacity: some(0, 0, 8), foreign: none, eject: true},
			least, least, 0.9,
		},
		"figure is wrong, adaptive limit beside none": {
			model{rate: 9_000, slowness: one, capacity: some(20, 2, 8), foreign: none},
			model{rate: 9_000, slowness: one, capacity: some(20, 2, 8), foreign: none, adapt: true},
			robin, robin, 0.9,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			plain, own := tc.plain.p99(tc.baseline), tc.better.p99(tc.policy)
			t.Logf("p99 plain %d us, policy %d us, ratio %.2f", plain, own, float64(own)/float64(plain))
			if float64(own) > tc.bound*float64(plain) {
				t.Errorf("ratio is above %.2f", tc.bound)
			}
		})
	}
}
