package dispatch

import (
	"math"

	"mimosadock/schedule/clock"
)

// A task runs [Limits.RemoteFactor] times as long away from the rack of its data,
// or if its group is spread over racks. When the rack has no room, the owner of the
// shard weighs a wait for room there against a start elsewhere. The load that it
// answers is one where many steps name few racks.
//
// Delay scheduling (M. Zaharia et al., "Delay Scheduling: A Simple Technique for
// Achieving Locality and Fairness in Cluster Scheduling", EuroSys 2010) waits a
// fixed time. The rule here derives the wait from what runs on the rack. That a
// wait may cost no more than the start elsewhere would is the rule of the rent-or-buy
// problem (A. R. Karlin et al., "Competitive Snoopy Caching", Algorithmica 3, 1988):
// while the pool is not short, a task takes less than twice as long as elsewhere,
// however wrong the estimates of the wait are.

// placeOption is what a task may do while its rack has no room.
type placeOption int

// The options.
const (
	startElsewhere placeOption = iota // elsewhere
	waitForRack                       // wait
)

// placeOptions are all options. Of two that cost the same, the first is taken.
var placeOptions = []placeOption{startElsewhere, waitForRack}

// placeChoice is the choice of a task between a wait for room on its rack and a
// start elsewhere now. Spans are in milliseconds.
type placeChoice struct {
	runTime    clock.Span // expected run time on the rack
	variation  float64    // standard deviation of the run time as a share of it
	factor     float64    // by which the run takes longer elsewhere
	wait       clock.Span // expected time until there is room on the rack
	waitSpread clock.Span // standard deviation of wait
	waited     clock.Span // how long the step has waited for the rack
	hitRate    float64    // share of the tasks that waited lately and got room on their rack
	maxWait    clock.Span // longest time that the step may wait, see Shard.maxRackWait
	others     clock.Span // time until the other tasks of the step are expected to be done
	slack      clock.Span // time until the job is due, less the work after the step
	objective  clock.Span // latency objective of the job
	slowed     int        // tasks that run longer if this one starts elsewhere, itself included
	shortage   float64    // how short the pool is of capacity, from 0 to 1
}

// gain returns by how much the run is shorter on the rack.
func (c *placeChoice) gain() clock.Span { return clock.Span((c.factor - 1) * float64(c.runTime)) }

// limit returns the longest time for which the step waits, from the start of the
// wait on. In a pool that is short, the capacity that a start elsewhere keeps from
// others is worth up to the gain once more.
func (c *placeChoice) limit() clock.Span {
	return min(clock.Span((1+c.shortage)*float64(c.gain())), c.maxWait)
}

// cost returns the share of the latency objective that is used until the step is done
// if the task starts after a wait and runs for a time, plus the probability that the
// job misses its objective. A missed objective counts as much as the time of one.
func (c *placeChoice) cost(wait, waitSpread clock.Span, run float64) float64 {
	mean := max(float64(wait)+run, float64(c.others))
	deviation := math.Hypot(c.variation*run, float64(waitSpread))
	return mean/c.scale() + missProbability(mean, deviation, float64(c.slack))
}

// costElsewhere is the cost of a start elsewhere after a wait. It counts the time for
// which the run occupies capacity that others wait for, scaled by the shortage.
func (c *placeChoice) costElsewhere(wait clock.Span) float64 {
	return c.cost(wait, 0, c.factor*float64(c.runTime)) + c.shortage*float64(c.slowed)*float64(c.gain())/c.scale()
}

// scale returns the span that a cost of 1 stands for.
func (c *placeChoice) scale() float64 { return float64(max(c.objective, c.runTime, 1)) }

// expectedTimePolicy compares the costs of a wait and of a start elsewhere. A wait
// gets room with the probability of the hit rate, and ends at its limit in a start
// elsewhere otherwise. It excludes waits that are expected to pass the limit.
type expectedTimePolicy struct{}

var _ Policy[placeOption, *placeChoice] = expectedTimePolicy{}

// Rate implements [Policy].
func (expectedTimePolicy) Rate(option placeOption, c *placeChoice) (float64, bool) {
	if option == startElsewhere {
		return c.costElsewhere(0), true
	}
	if c.waited+c.wait > c.limit() {
		return 0, false
	}
	hit := c.cost(c.wait, c.waitSpread, float64(c.runTime))
	return c.hitRate*hit + (1-c.hitRate)*c.costElsewhere(c.limit()-c.waited), true
}

// missProbability returns the probability that a normally distributed time is
// above a bound.
func missProbability(mean, deviation, bound float64) float64 {
	return math.Erfc((bound-mean)/(math.Sqrt2*max(deviation, 1))) / 2
}

const (
	// initialHitRate is the hit rate while no task has waited lately.
	initialHitRate = 0.9
	// initialHits is the number of tasks that initialHitRate counts as.
	initialHits = 10
	// hitHalfLife is the interval at which earlier waits lose half of their weight, so
	// that waits are tried again after a time in which none paid.
	hitHalfLife = 10 * clock.Second
)

// hitCount counts the tasks that waited for a rack by whether they got room there. The
// zero value is ready to use.
type hitCount struct {
	hits, misses float64
	updatedAt    clock.Millis
}

// add adds waits that have ended.
func (h *hitCount) add(now clock.Millis, hits, misses int) {
	weight := h.weight(now)
	h.hits, h.misses, h.updatedAt = weight*h.hits+float64(hits), weight*h.misses+float64(misses), now
}

// weight returns the weight of the waits counted so far.
func (h *hitCount) weight(now clock.Millis) float64 {
	return math.Exp2(-float64(now.Sub(h.updatedAt)) / float64(hitHalfLife))
}

// rate returns the share of hits.
func (h *hitCount) rate(now clock.Millis) float64 {
	weight := h.weight(now)
	return (weight*h.hits + initialHitRate*initialHits) / (weight*(h.hits+h.misses) + initialHits)
}
