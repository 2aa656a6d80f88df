package limit

import "mimosadock/schedule/unit"

// Adaptive finds how many requests an upstream really processes at once, by
// additive increase and multiplicative decrease on latency. It is the row of
// one upstream. The zero value has no limit below the slots.
type Adaptive struct {
	limit float64 // zero for the slots
	base  float64 // latency without queueing, microseconds
}

const (
	decrease      = 0.8
	increase      = 0.25 // requests a tick, when the limit is in use
	overload      = 2.0  // times the base latency
	baseFall      = 0.25 // weight of a sample below the base
	baseRise      = 0.02
	smallestLimit = 1
)

// Tick is what happened at an upstream since the last run.
type Tick struct {
	Answers int
	Latency float64 // mean of the answers, microseconds
	Peak    unit.Slots
	Slots   unit.Slots // held by this process
}

// Update runs once a tick and returns the limit, zero for no limit below the
// slots. The result is never above the slots held.
func (a *Adaptive) Update(t Tick) unit.Slots {
	if t.Answers > 0 {
		a.learn(t.Latency, t.Peak)
		switch {
		case t.Latency > overload*a.base && t.Peak > 1:
			a.limit = max(smallestLimit, a.current(t.Slots)*decrease)
		case a.limit > 0 && float64(t.Peak) >= a.limit-1:
			a.limit += increase
		}
	}
	if a.limit >= float64(t.Slots) {
		a.limit = 0
	}
	return unit.Slots(a.limit)
}

// current returns the limit before a decrease.
func (a *Adaptive) current(slots unit.Slots) float64 {
	if a.limit == 0 {
		return float64(slots)
	}
	return a.limit
}

// learn follows the lowest latencies fast. It rises only while at most one
// request is in flight, since a higher latency may be queueing otherwise; a
// lasting change of the work lowers the limit to 1 first and is learned there.
func (a *Adaptive) learn(latency float64, peak unit.Slots) {
	switch {
	case a.base == 0:
		a.base = latency
	case latency < a.base:
		a.base += baseFall * (latency - a.base)
	case peak <= 1:
		a.base += baseRise * (latency - a.base)
	}
}
