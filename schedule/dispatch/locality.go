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

// finish returns the expected time until the step is done, and its standard
// deviation.
func (c *placeChoice) finish(option placeOption) (mean, deviation float64) {
	run := float64(c.runTime)
	if option == startElsewhere {
		return max(run*c.factor, float64(c.others)), c.variation * run * c.factor
	}
	return max(float64(c.wait)+run, float64(c.others)), math.Hypot(c.variation*run, float64(c.waitSpread))
}

// expectedTimePolicy compares the share of the latency objective that each option
// is expected to use, with the risk that the job misses its objective. A start
// elsewhere also counts the time for which it occupies capacity that others wait
// for, scaled by the shortage. It excludes waits that are expected to pass the limit
// of the choice.
type expectedTimePolicy struct{}

var _ Policy[placeOption, *placeChoice] = expectedTimePolicy{}

// Rate implements [Policy]. The rating is in objectives of the job. A missed
// objective counts as much as the time of one.
func (expectedTimePolicy) Rate(option placeOption, c *placeChoice) (float64, bool) {
	if option == waitForRack && c.waited+c.wait > c.limit() {
		return 0, false
	}
	objective := float64(max(c.objective, c.runTime, 1))
	mean, deviation := c.finish(option)
	rating := mean/objective + missProbability(mean, deviation, float64(c.slack))
	if option == startElsewhere {
		rating += c.shortage * float64(c.slowed) * float64(c.gain()) / objective
	}
	return rating, true
}

// missProbability returns the probability that a normally distributed time is
// above a bound.
func missProbability(mean, deviation, bound float64) float64 {
	return math.Erfc((bound-mean)/(math.Sqrt2*max(deviation, 1))) / 2
}
