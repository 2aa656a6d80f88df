package limit

import (
	"slices"

	"mimosadock/schedule/unit"
)

// Adaptive finds how many requests an upstream really processes at once, by
// additive increase and multiplicative decrease on latency. It is the row of
// one upstream. The zero value has no limit below the slots.
//
// Latencies are judged as the mean of a window of answers: single ones of work
// with a heavy tail exceed any factor without overload.
type Adaptive struct {
	limit       float64 // zero for the slots
	baseLatency float64 // mean latency of single requests, zero if unknown
	windowMean  float64 // of the last window
	responses   int     // in the current window
	latencySum  float64
	peak        unit.Slots
}

const (
	windowSize       = 32
	decreaseFactor   = 0.8
	additiveIncrease = 1.0 // requests a window, when the limit is in use
	overloadFactor   = 2.0 // times the base
	baseWeight       = 0.25
	minLimit         = 1
)

// Tick is what happened at an upstream since the last run.
type Tick struct {
	Answers int
	Latency float64 // mean of the answers, in any unit
	Peers   float64 // median of the means of the upstreams of the group, zero if unknown
	Peak    unit.Slots
	Slots   unit.Slots // held by this process
}

// Mean returns the mean latency of the last window, zero if there was none.
func (a *Adaptive) Mean() float64 { return a.windowMean }

// Update runs once a tick and returns the limit, zero for no limit below the
// slots. The result is never above the slots held.
func (a *Adaptive) Update(t Tick) unit.Slots {
	a.responses += t.Answers
	a.latencySum += t.Latency * float64(t.Answers)
	a.peak = max(a.peak, t.Peak)
	if a.responses >= windowSize {
		a.windowMean = a.latencySum / float64(a.responses)
		a.adjust(t)
		a.responses, a.latencySum, a.peak = 0, 0, 0
	}
	if a.limit >= float64(t.Slots) {
		a.limit = 0
	}
	return unit.Slots(a.limit)
}

// adjust compares a full window with the latency of single requests or, until
// that is known, with the peers. An upstream that is slow by itself is limited
// until it has shown the latency of single requests.
func (a *Adaptive) adjust(t Tick) {
	single := a.peak <= 1
	if single {
		if a.baseLatency == 0 {
			a.baseLatency = a.windowMean
		}
		a.baseLatency += baseWeight * (a.windowMean - a.baseLatency)
	}
	reference := a.baseLatency
	if reference == 0 {
		reference = t.Peers
	}
	switch {
	case !single && reference > 0 && a.windowMean > overloadFactor*reference:
		if a.limit == 0 {
			a.limit = float64(t.Slots)
		}
		a.limit = max(minLimit, a.limit*decreaseFactor)
	case a.limit > 0 && float64(a.peak) >= a.limit-1:
		a.limit += additiveIncrease
	}
}

// Median sorts means and returns the median, zero if there is none.
func Median(means []float64) float64 {
	if len(means) == 0 {
		return 0
	}
	slices.Sort(means)
	return means[(len(means)-1)/2]
}
