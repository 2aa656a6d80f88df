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
	limit   float64 // zero for the slots
	base    float64 // mean latency of single requests, zero if unknown
	mean    float64 // of the last window
	answers int     // in the current window
	sum     float64
	peak    unit.Slots
}

const (
	windowSize    = 32
	decrease      = 0.8
	increase      = 1.0 // requests a window, when the limit is in use
	overload      = 2.0 // times the base
	baseShare     = 0.25
	smallestLimit = 1
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
func (a *Adaptive) Mean() float64 { return a.mean }

// Update runs once a tick and returns the limit, zero for no limit below the
// slots. The result is never above the slots held.
func (a *Adaptive) Update(t Tick) unit.Slots {
	a.answers += t.Answers
	a.sum += t.Latency * float64(t.Answers)
	a.peak = max(a.peak, t.Peak)
	if a.answers >= windowSize {
		a.mean = a.sum / float64(a.answers)
		a.judge(t)
		a.answers, a.sum, a.peak = 0, 0, 0
	}
	if a.limit >= float64(t.Slots) {
		a.limit = 0
	}
	return unit.Slots(a.limit)
}

// judge compares a full window with the latency of single requests or, until
// that is known, with the peers. An upstream that is slow by itself is limited
// until it has shown the latency of single requests.
func (a *Adaptive) judge(t Tick) {
	alone := a.peak <= 1
	if alone {
		if a.base == 0 {
			a.base = a.mean
		}
		a.base += baseShare * (a.mean - a.base)
	}
	reference := a.base
	if reference == 0 {
		reference = t.Peers
	}
	switch {
	case !alone && reference > 0 && a.mean > overload*reference:
		if a.limit == 0 {
			a.limit = float64(t.Slots)
		}
		a.limit = max(smallestLimit, a.limit*decrease)
	case a.limit > 0 && float64(a.peak) >= a.limit-1:
		a.limit += increase
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
