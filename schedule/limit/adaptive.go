package limit

import (
	"slices"

	"mimosadock/schedule/unit"
)

// AdaptiveLimit estimates how many requests one upstream can process at once.
// It applies additive increase and multiplicative decrease to a concurrency
// limit, based on latency. The zero value sets no limit below the slots.
//
// AdaptiveLimit compares mean latencies of windows of responses. A single slow
// response is no sign of overload, because samples of a heavy-tailed
// distribution can exceed any multiple of the mean.
type AdaptiveLimit struct {
	limit       float64 // zero if only the slots limit the upstream
	baseLatency float64 // mean latency without concurrent requests; zero if unknown
	windowMean  float64 // mean latency of the last full window
	responses   int     // in the current window
	latencySum  float64 // of the current window
	peak        unit.Slots
}

const (
	windowSize       = 32 // responses
	decreaseFactor   = 0.8
	additiveIncrease = 1.0  // requests per window in which the peak came within one request of the limit
	overloadFactor   = 2.0  // ratio to the base latency
	baseWeight       = 0.25 // of a new window in the base latency
	minLimit         = 1    // requests in flight
)

// TickStats holds the measurements of one upstream since the last tick. Its group
// consists of the upstreams of the same set in the same data centre.
type TickStats struct {
	Responses    int        // responses received
	Latency      float64    // mean over the responses, in any unit
	GroupMedian  float64    // median of the mean latencies in the group; zero if unknown
	PeakInFlight unit.Slots // most requests in flight at once
	Slots        unit.Slots // held by this process
}

// MeanLatency returns the mean latency of the last full window, or zero if
// there was none.
func (a *AdaptiveLimit) MeanLatency() float64 { return a.windowMean }

// Update adds the measurements of a tick and returns the limit on requests in
// flight. Zero means that only the slots limit the upstream. A limit of t.Slots
// or more is removed.
func (a *AdaptiveLimit) Update(t TickStats) unit.Slots {
	a.responses += t.Responses
	a.latencySum += t.Latency * float64(t.Responses)
	a.peak = max(a.peak, t.PeakInFlight)
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

// adjust updates the limit at the end of a window. It compares the mean latency
// with the base latency or, while that is unknown, with the median of the group.
// An upstream that is slow without overload is therefore limited until its base
// latency is known.
func (a *AdaptiveLimit) adjust(t TickStats) {
	single := a.peak <= 1
	if single {
		if a.baseLatency == 0 {
			a.baseLatency = a.windowMean
		}
		a.baseLatency += baseWeight * (a.windowMean - a.baseLatency)
	}
	reference := a.baseLatency
	if reference == 0 {
		reference = t.GroupMedian
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

// Median sorts means in place and returns the lower median, or zero if means is
// empty.
func Median(means []float64) float64 {
	if len(means) == 0 {
		return 0
	}
	slices.Sort(means)
	return means[(len(means)-1)/2]
}
