package queue

import (
	"container/heap"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/unit"
)

// job is a request of the model; times are in microseconds.
type job struct {
	class      service.Class
	at, length int64
}

// model serves jobs with the slots of a target in virtual time. The plain form
// serves all classes in the order of arrival with the same slots, by least
// connections.
type model struct {
	target *route.Target
	slots  unit.Slots
	plain  bool
	ends   ends
	queue  Queue[job]
	fifo   []job
	demand Demand
	bulk   unit.Slots // in flight
	active int        // urgent in flight
	limit  unit.Slots
	times  []int64 // from arrival to answer of urgent requests
	rand   *rand.PCG
}

// newModel returns a model of n upstreams with the given quick and slow slots.
func newModel(n int, quick, slow unit.Slots) *model {
	ups := make([]*route.Upstream, n)
	for i := range ups {
		ups[i] = &route.Upstream{Slots: new(slot.Counter), Pinned: new(slot.Counter)}
		ups[i].Slots.Hold(quick, clock.Never)
		ups[i].Pinned.Hold(slow, clock.Never)
	}
	g := route.NewGroup("kelso", true, 0, ups)
	return &model{
		target: &route.Target{Service: new(service.Service), Groups: []*route.Group{g}, Upstreams: ups},
		slots:  unit.Slots(n) * quick,
		rand:   rand.NewPCG(9, 9),
	}
}

func (m *model) choose(deadline clock.Millis) *route.Upstream {
	q := route.Query{Deadline: deadline}
	if m.plain {
		u, _ := route.Chooser[route.LeastConnections]{Rand: m.rand.Uint64}.Choose(m.target, q)
		return u
	}
	u, _ := route.Chooser[route.Cost]{Rand: m.rand.Uint64}.Choose(m.target, q)
	return u
}

type end struct {
	at       int64
	class    service.Class
	upstream *route.Upstream
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

// run serves jobs, which are in order of arrival, and returns the p99 of urgent
// requests that arrived from measured on.
func (m *model) run(jobs []job, measured int64) int64 {
	m.limit = BulkShare(m.slots, false)
	next, tick := 0, int64(0)
	for next < len(jobs) || len(m.ends) > 0 {
		now := tick
		if next < len(jobs) {
			now = min(now, jobs[next].at)
		}
		if len(m.ends) > 0 {
			now = min(now, m.ends[0].at)
		}
		switch {
		case len(m.ends) > 0 && m.ends[0].at == now:
			m.finish()
		case next < len(jobs) && jobs[next].at == now:
			m.arrive(jobs[next])
			next++
		default:
			waiting := m.queue.LenOf(service.Urgent)
			m.limit = BulkShare(m.slots, m.demand.Update(clock.Millis(now/1000), m.active+waiting, waiting))
			tick += 50_000
		}
		m.start(now, measured)
	}
	slices.Sort(m.times)
	return m.times[len(m.times)*99/100]
}

func (m *model) arrive(j job) {
	switch {
	case m.plain:
		m.fifo = append(m.fifo, j)
	case j.class == service.Long:
		// A pinned grant outlasts the run; a watch without one is refused.
		for _, u := range m.target.Upstreams {
			if u.Pinned.Take(0) {
				return
			}
		}
	default:
		// Bulk requests beyond the bound of the queue are refused.
		_ = m.queue.Offer(&Item[job]{Class: j.class, Deadline: clock.Millis(j.at/1000) + 60_000, Value: j}, clock.Millis(j.at/1000), Capacity{})
	}
}

func (m *model) finish() {
	e := heap.Pop(&m.ends).(end)
	e.upstream.Release()
	if e.class == service.Bulk {
		m.bulk--
	} else if e.class == service.Urgent {
		m.active--
	}
}

// head returns the job that gets the next slot.
func (m *model) head() (job, func(), bool) {
	if m.plain {
		if len(m.fifo) == 0 {
			return job{}, nil, false
		}
		return m.fifo[0], func() { m.fifo = m.fifo[1:] }, true
	}
	it := m.queue.Next(m.bulk, Capacity{Slots: m.slots, Bulk: m.limit})
	if it == nil {
		return job{}, nil, false
	}
	return it.Value, func() { m.queue.Remove(it) }, true
}

func (m *model) start(now, measured int64) {
	for {
		j, remove, ok := m.head()
		if !ok {
			return
		}
		u := m.choose(0)
		if u == nil {
			return
		}
		remove()
		switch j.class {
		case service.Bulk:
			m.bulk++
		case service.Urgent:
			m.active++
			if j.at >= measured {
				m.times = append(m.times, now+j.length-j.at)
			}
		}
		heap.Push(&m.ends, end{at: now + j.length, class: j.class, upstream: u})
	}
}

// arrivals returns jobs of one class with exponential gaps and lengths. The
// rate, in jobs a second, depends on the time.
func arrivals(r *rand.Rand, class service.Class, mean float64, until int64, rate func(at int64) float64) []job {
	var jobs []job
	for at := 0.0; ; {
		at += r.ExpFloat64() * 1e6 / rate(int64(at))
		if int64(at) >= until {
			return jobs
		}
		jobs = append(jobs, job{class: class, at: int64(at), length: int64(mean/2 + r.ExpFloat64()*mean/2)})
	}
}

func merged(lists ...[]job) []job {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b job) int { return int(a.at - b.at) })
	return all
}

func seeds(t *testing.T) uint64 {
	n, err := strconv.ParseUint(os.Getenv("MIMOSA_SEEDS"), 10, 64)
	if os.Getenv("MIMOSA_SEEDS") == "" {
		return 2
	}
	if err != nil {
		t.Fatal(err)
	}
	return n
}

const second = int64(1e6)

// Guards against bulk requests that hold the slots when urgent demand grows
// tenfold within 1 s: the p99 of urgent requests is at most twice that of quiet
// times. The plain queue with the same arrivals shows that the load is hard.
func TestSwing(t *testing.T) {
	const upstreams, swingAt, until = 16, 2 * second, 5 * second
	quietRate := func(int64) float64 { return 200 } // 8 of 128 slots at 40 ms
	swing := func(at int64) float64 {
		return 200 * (1 + 9*min(1, max(0, float64(at-swingAt)/float64(second))))
	}
	bulkRate := func(int64) float64 { return 2000 } // 1.5 times what all slots do at 100 ms
	for seed := range seeds(t) {
		r := rand.New(rand.NewPCG(seed, 1))
		bulk := arrivals(r, service.Bulk, 100_000, until, bulkRate)
		quietJobs := merged(bulk, arrivals(r, service.Urgent, 40_000, until, quietRate))
		peakJobs := merged(bulk, arrivals(r, service.Urgent, 40_000, until, swing))
		quiet := newModel(upstreams, 8, 0).run(quietJobs, swingAt)
		peak := newModel(upstreams, 8, 0).run(peakJobs, swingAt)
		baseline := newModel(upstreams, 8, 0)
		baseline.plain = true
		plain := baseline.run(peakJobs, swingAt)
		t.Logf("seed %d: p99 quiet %d us, at the swing %d us (ratio %.2f), plain %d us", seed, quiet, peak, float64(peak)/float64(quiet), plain)
		if peak > 2*quiet || plain <= 2*quiet {
			t.Errorf("seed %d: p99 at the swing must be at most twice the quiet one, and the plain queue's above", seed)
		}
	}
}

// Guards against short checks behind long watches that saturate their share:
// the p99 of the checks is at most 1.1 times the one without watches. The plain
// queue lets the watches into the same slots.
func TestLongWatchesKeepTheirShare(t *testing.T) {
	const upstreams, until = 50, 4 * second
	checkRate := func(int64) float64 { return 6000 } // 60% of the 200 quick slots at 20 ms
	watchRate := func(int64) float64 { return 200 }
	for seed := range seeds(t) {
		r := rand.New(rand.NewPCG(seed, 2))
		checks := arrivals(r, service.Urgent, 20_000, until, checkRate)
		all := merged(checks, arrivals(r, service.Long, 60_000_000, until, watchRate))
		without := newModel(upstreams, 4, 4).run(checks, until/2)
		watched := newModel(upstreams, 4, 4)
		with := watched.run(all, until/2)
		for _, u := range watched.target.Upstreams {
			if u.Pinned.Free() > 0 {
				t.Fatal("watches must saturate their share")
			}
		}
		baseline := newModel(upstreams, 8, 0)
		baseline.plain = true
		plain := baseline.run(all, until/2)
		t.Logf("seed %d: p99 without watches %d us, with %d us (ratio %.2f), plain %d us", seed, without, with, float64(with)/float64(without), plain)
		if float64(with) > 1.1*float64(without) || float64(plain) <= 1.1*float64(without) {
			t.Errorf("seed %d: watches delay checks", seed)
		}
	}
}
