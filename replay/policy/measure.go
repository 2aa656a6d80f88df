package policy

import (
	"math"
	"math/rand/v2"
	"strings"

	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
)

// Measure is the ratio of two p99 latencies of urgent requests for the same
// seed.
type Measure struct {
	Name            string
	Value           float64
	Bound           float64 // maximum of Value
	PlainQueueValue float64 // Value with a plain queue on the same arrivals; zero if none was run
}

// OK reports whether the measure is within its bound. If a plain queue was run
// too, the plain queue must exceed the bound, which shows that the load is high
// enough for the measure to be meaningful.
func (m Measure) OK() bool {
	return m.Value <= m.Bound && (m.PlainQueueValue == 0 || m.PlainQueueValue > m.Bound)
}

// Measures runs all measures with arrivals generated from seed.
func Measures(seed uint64) []Measure {
	return append([]Measure{measureSwing(seed), measureWatches(seed)}, measurePolicies(seed)...)
}

func ratio(a, b micros) float64 { return float64(a) / float64(b) }

// measureSwing compares the p99 in a load swing with the p99 in quiet times. In
// the swing, urgent demand grows tenfold within 1 s. In both runs, bulk
// requests demand more than all slots.
func measureSwing(seed uint64) Measure {
	const peakStart, end = 2 * second, 5 * second
	quietRate := 400.0 // 8 of 128 slots
	peakRate := func(now micros) float64 {
		return quietRate * (1 + 9*min(1, max(0, ratio(now-peakStart, second))))
	}
	r := rand.New(rand.NewPCG(seed, 1))
	bulk := arrivals(r, service.Bulk, 100*millisecond, end, constantRate(2000))
	quiet := mergeArrivals(bulk, arrivals(r, service.Urgent, meanServiceTime, end, constantRate(quietRate)))
	peak := mergeArrivals(bulk, arrivals(r, service.Urgent, meanServiceTime, end, peakRate))
	upstreams, tested := uniformUpstreams(16, 8, 0), policy{chooser: costChooser(seed)}
	quietP99 := urgentP99(upstreams, tested, quiet, peakStart)
	return Measure{
		Name: "swingP99", Bound: 2,
		Value:           ratio(urgentP99(upstreams, tested, peak, peakStart), quietP99),
		PlainQueueValue: ratio(urgentP99(upstreams, policy{chooser: leastConnectionsChooser(seed), plainQueue: true}, peak, peakStart), quietP99),
	}
}

// measureWatches compares the p99 of short checks beside long watches that
// saturate their share of the slots with the p99 without watches.
func measureWatches(seed uint64) Measure {
	const end = 3 * second
	r := rand.New(rand.NewPCG(seed, 2))
	checks := arrivals(r, service.Urgent, meanServiceTime, end, constantRate(6000)) // 60% of the 200 quick slots
	all := mergeArrivals(checks, arrivals(r, service.Long, 60*second, end, constantRate(300)))
	upstreams, tested := uniformUpstreams(50, 4, 4), policy{chooser: costChooser(seed)}
	withoutWatchesP99 := urgentP99(upstreams, tested, checks, end/2)
	return Measure{
		Name: "checksBesideWatchesP99", Bound: 1.1,
		Value:           ratio(urgentP99(upstreams, tested, all, end/2), withoutWatchesP99),
		PlainQueueValue: ratio(urgentP99(uniformUpstreams(50, 8, 0), policy{chooser: leastConnectionsChooser(seed), plainQueue: true}, all, end/2), withoutWatchesP99),
	}
}

// measurePolicies compares each policy with its plain baseline.
func measurePolicies(seed uint64) []Measure {
	uniform := uniformUpstreams(40, 8, 0)
	uniform.concurrency = func(int) float64 { return 8 }
	slowThird, slowSix, wrongLimits, otherLoad := uniform, uniform, uniform, uniform
	slowThird.slowdown = firstUpstreams(13, 3, 1)
	slowSix.slowdown = firstUpstreams(6, 6, 1)
	wrongLimits.concurrency = firstUpstreams(20, 2, 8)
	otherLoad.concurrency = func(int) float64 { return 4 }
	otherLoad.otherInFlight = func(i int) int { return 6 * (i % 2) }
	const end = 3 * second
	compare := func(name string, upstreams upstreamConfig, rate, bound float64, baseline, tested policy) Measure {
		r := rand.New(rand.NewPCG(seed, 3))
		requests := arrivals(r, service.Urgent, meanServiceTime, end, constantRate(rate))
		if strings.HasSuffix(name, "HeavyTail") {
			for i := range requests {
				requests[i].serviceTime = heavyTail(r)
			}
		}
		return Measure{Name: name, Bound: bound, Value: ratio(urgentP99(upstreams, tested, requests, end/2), urgentP99(upstreams, baseline, requests, end/2))}
	}
	withChooser := func(c chooser) policy { return policy{chooser: c} }
	return []Measure{
		compare("costAlike", uniform, 6000, 1.1, withChooser(leastConnectionsChooser(seed)), withChooser(costChooser(seed))),
		compare("costThirdIsSlow", slowThird, 6000, 0.9, withChooser(roundRobinChooser(seed)), withChooser(costChooser(seed))),
		compare("costSharedWithOthers", otherLoad, 4000, 0.9, withChooser(leastConnectionsChooser(seed)), withChooser(costChooser(seed))),
		compare("ejection", slowSix, 6000, 0.9, withChooser(leastConnectionsChooser(seed)), policy{chooser: leastConnectionsChooser(seed), ejection: true}),
		compare("adaptiveLimit", wrongLimits, 4500, 0.9, withChooser(roundRobinChooser(seed)), policy{chooser: roundRobinChooser(seed), adaptiveLimit: true}),
		compare("ejectionHeavyTail", uniform, 12_000, 1.1, withChooser(costChooser(seed)), policy{chooser: costChooser(seed), ejection: true}),
		compare("adaptiveLimitHeavyTail", uniform, 12_000, 1.1, withChooser(costChooser(seed)), policy{chooser: costChooser(seed), adaptiveLimit: true}),
	}
}

// heavyTail returns a random service time with mean meanServiceTime. One in 20
// requests takes 8 times longer than the others. The upstreams are healthy, so
// no upstream should be ejected or limited for it.
func heavyTail(r *rand.Rand) micros {
	w := r.ExpFloat64() * float64(meanServiceTime) / 1.35 // the mean factor, 0.95 + 0.05*8
	if r.IntN(20) == 0 {
		w *= 8
	}
	return micros(w)
}

// firstUpstreams returns a function of the upstream's index. It returns value
// for the first n upstreams and rest for the others.
func firstUpstreams(n int, value, rest float64) func(int) float64 {
	return func(i int) float64 {
		if i < n {
			return value
		}
		return rest
	}
}

func costChooser(seed uint64) chooser {
	return route.Chooser[route.ExpectedTime]{Rand: rand.NewPCG(seed, 4).Uint64}
}

// leastConnectionsChooser and roundRobinChooser return the plain baselines. They
// compare all upstreams instead of a sample.
func leastConnectionsChooser(seed uint64) chooser {
	return route.Chooser[route.LeastConnections]{Rand: rand.NewPCG(seed, 5).Uint64, SampleSize: math.MaxInt}
}

func roundRobinChooser(seed uint64) chooser {
	return route.Chooser[route.RoundRobin]{Rand: rand.NewPCG(seed, 6).Uint64, SampleSize: math.MaxInt}
}
