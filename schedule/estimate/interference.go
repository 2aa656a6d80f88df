package estimate

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// pairKey identifies the slowdown of a kind of work beside a neighbouring kind
// at a load level of the worker, from 0 to levelCount-1. Interference depends
// on the load, so each level has its own value.
type pairKey struct {
	Kind      unit.Kind
	Neighbour unit.Kind
	Level     int
}

// Load levels: below half, below four fifths, and above.
const (
	levelCount   = 3
	mediumLoad   = 0.5
	highLoad     = 0.8
	learningRate = 0.1 // weight of a new measurement
)

// LevelOf returns the level of a load. The load is in [0, 1].
func LevelOf(load float64) int {
	switch {
	case load < mediumLoad:
		return 0
	case load < highLoad:
		return 1
	}
	return levelCount - 1
}

// Interference estimates the slowdown that kinds cause each other, by pair
// and load level. The zero value has no estimates.
type Interference struct {
	pairs table.Table[pairKey, float64]
}

// Slowdown returns the estimated slowdown of k beside other at a load level.
// 0 means no slowdown, and 1 means that k takes twice as long. An unknown
// pair has no slowdown.
func (x *Interference) Slowdown(k, other unit.Kind, level int) float64 {
	if v := x.pairs.Get(pairKey{k, other, level}); v != nil {
		return *v
	}
	return 0
}

// Update distributes a measured slowdown of k over the kinds that ran beside
// it at the time of the measurement. Each kind gets an equal share of the
// error of the predicted sum. This is the least mean squares rule of B.
// Widrow and M. Hoff, "Adaptive switching circuits", IRE WESCON, 1960.
func (x *Interference) Update(k unit.Kind, neighbours []unit.Kind, level int, slowdown float64) {
	if len(neighbours) == 0 {
		return
	}
	var sum float64
	for _, o := range neighbours {
		sum += x.Slowdown(k, o, level)
	}
	step := learningRate * (slowdown - sum) / float64(len(neighbours))
	for _, o := range neighbours {
		v := x.pairs.Ensure(pairKey{k, o, level})
		*v = max(0, *v+step)
	}
}

// Occupancy is the list of kinds that a worker runs from an instant until
// the next occupancy.
type Occupancy struct {
	From  clock.Millis
	Kinds []unit.Kind
}

// History holds the recent occupancies of a worker, so that a delayed
// measurement is credited to the kinds that ran when it was taken. The zero
// value is empty.
type History struct{ occupancies []Occupancy }

// historyRetention is the retention of occupancies. Reports lag by seconds.
const historyRetention = 2 * clock.Minute

// Record adds an occupancy that starts now and drops those that are too old.
// The history keeps kinds, so the caller must not change it afterwards.
func (h *History) Record(now clock.Millis, kinds []unit.Kind) {
	drop := 0
	for drop+1 < len(h.occupancies) && now.Sub(h.occupancies[drop+1].From) > historyRetention {
		drop++
	}
	h.occupancies = append(h.occupancies[drop:], Occupancy{now, kinds})
}

// At returns the kinds that ran at the given instant, or nil if they are
// unknown.
func (h *History) At(t clock.Millis) []unit.Kind {
	for i := len(h.occupancies) - 1; i >= 0; i-- {
		if h.occupancies[i].From <= t {
			return h.occupancies[i].Kinds
		}
	}
	return nil
}
