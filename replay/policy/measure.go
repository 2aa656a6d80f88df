package policy

import (
	"math"
	"math/rand/v2"
	"strings"

	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
)

// Measure is a ratio of two p99 of urgent requests in one run.
type Measure struct {
	Name  string
	Value float64
	Bound float64 // the value may not be above
	Plain float64 // the value of a plain queue on the same arrivals, zero if Value is against it
}

// OK reports whether the measure is within its bound and, where a plain queue
// was run too, whether the load is hard enough for that one to exceed it.
func (m Measure) OK() bool { return m.Value <= m.Bound && (m.Plain == 0 || m.Plain > m.Bound) }

// Measures runs all measures with the arrivals of seed.
func Measures(seed uint64) []Measure {
	return append([]Measure{swing(seed), watches(seed)}, policies(seed)...)
}

func ratio(a, b micros) float64 { return float64(a) / float64(b) }

// swing is the p99 when urgent demand grows tenfold within 1 s while bulk
// requests want more than all slots, against that of quiet times.
func swing(seed uint64) Measure {
	const at, until = 2 * second, 5 * second
	quietRate := 400.0 // 8 of 128 slots
	grows := func(now micros) float64 {
		return quietRate * (1 + 9*min(1, max(0, ratio(now-at, second))))
	}
	r := rand.New(rand.NewPCG(seed, 1))
	bulk := arrivals(r, service.Bulk, 100*millisecond, until, steady(2000))
	quiet := merged(bulk, arrivals(r, service.Urgent, work, until, steady(quietRate)))
	peak := merged(bulk, arrivals(r, service.Urgent, work, until, grows))
	s, own := alike(16, 8, 0), policy{chooser: cost(seed)}
	base := p99(s, own, quiet, at)
	return Measure{
		Name: "swingP99", Bound: 2,
		Value: ratio(p99(s, own, peak, at), base),
		Plain: ratio(p99(s, policy{chooser: least(seed), plain: true}, peak, at), base),
	}
}

// watches is the p99 of short checks beside long watches that saturate their
// share, against that without watches.
func watches(seed uint64) Measure {
	const until = 3 * second
	r := rand.New(rand.NewPCG(seed, 2))
	checks := arrivals(r, service.Urgent, work, until, steady(6000)) // 60% of the 200 quick slots
	all := merged(checks, arrivals(r, service.Long, 60*second, until, steady(300)))
	s, own := alike(50, 4, 4), policy{chooser: cost(seed)}
	base := p99(s, own, checks, until/2)
	return Measure{
		Name: "checksBesideWatchesP99", Bound: 1.1,
		Value: ratio(p99(s, own, all, until/2), base),
		Plain: ratio(p99(alike(50, 8, 0), policy{chooser: least(seed), plain: true}, all, until/2), base),
	}
}

// policies is each policy against its plain baseline.
func policies(seed uint64) []Measure {
	even := alike(40, 8, 0)
	even.capacity = func(int) float64 { return 8 }
	third, six, wrong, shared := even, even, even, even
	third.slowness = first(13, 3, 1)
	six.slowness = first(6, 6, 1)
	wrong.capacity = first(20, 2, 8)
	shared.capacity = func(int) float64 { return 4 }
	shared.foreign = func(i int) int { return 6 * (i % 2) }
	const until = 3 * second
	compare := func(name string, s site, rate, bound float64, plain, own policy) Measure {
		r := rand.New(rand.NewPCG(seed, 3))
		jobs := arrivals(r, service.Urgent, work, until, steady(rate))
		if strings.HasSuffix(name, "HeavyTail") {
			for i := range jobs {
				jobs[i].work = heavyTail(r)
			}
		}
		return Measure{Name: name, Bound: bound, Value: ratio(p99(s, own, jobs, until/2), p99(s, plain, jobs, until/2))}
	}
	by := func(c chooser) policy { return policy{chooser: c} }
	return []Measure{
		compare("costAlike", even, 6000, 1.1, by(least(seed)), by(cost(seed))),
		compare("costThirdIsSlow", third, 6000, 0.9, by(robin(seed)), by(cost(seed))),
		compare("costSharedWithOthers", shared, 4000, 0.9, by(least(seed)), by(cost(seed))),
		compare("ejection", six, 6000, 0.9, by(least(seed)), policy{chooser: least(seed), eject: true}),
		compare("adaptiveLimit", wrong, 4500, 0.9, by(robin(seed)), policy{chooser: robin(seed), adapt: true}),
		compare("ejectionHeavyTail", even, 12_000, 1.1, by(cost(seed)), policy{chooser: cost(seed), eject: true}),
		compare("adaptiveLimitHeavyTail", even, 12_000, 1.1, by(cost(seed)), policy{chooser: cost(seed), adapt: true}),
	}
}

// heavyTail returns work of the usual mean of which one in 20 takes 8 times as
// long. No upstream is at fault for it.
func heavyTail(r *rand.Rand) micros {
	w := r.ExpFloat64() * float64(work) / 1.35
	if r.IntN(20) == 0 {
		w *= 8
	}
	return micros(w)
}

// first gives a value to the first n upstreams and another to the rest.
func first(n int, value, rest float64) func(int) float64 {
	return func(i int) float64 {
		if i < n {
			return value
		}
		return rest
	}
}

func cost(seed uint64) chooser {
	return route.Chooser[route.Cost]{Rand: rand.NewPCG(seed, 4).Uint64}
}

// least and robin are the plain forms, which look at all upstreams.
func least(seed uint64) chooser {
	return route.Chooser[route.LeastConnections]{Rand: rand.NewPCG(seed, 5).Uint64, SampleSize: math.MaxInt}
}

func robin(seed uint64) chooser {
	return route.Chooser[route.RoundRobin]{Rand: rand.NewPCG(seed, 6).Uint64, SampleSize: math.MaxInt}
}
