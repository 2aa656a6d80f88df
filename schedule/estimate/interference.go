package estimate

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// Pair is a kind of work that runs beside another kind at a level of load of
// the worker. Interference shifts with load, so each level has its own value.
type Pair struct {
	Kind      unit.Kind
	Neighbour unit.Kind
	Level     int
}

// Levels of load: below half, below four fifths, and above.
const (
	levelCount   = 3
	mediumLoad   = 0.5
	highLoad     = 0.8
	learningRate = 0.1 // weight of a new measurement of a pair
)

// LevelOf returns the level of a load in [0, 1].
func LevelOf(load float64) int {
	switch {
	case load < mediumLoad:
		return 0
	case load < highLoad:
		return 1
	}
	return levelCount - 1
}

// Interference is the slowdown that kinds cause each other, learned by pair and
// load. The zero value knows none.
type Interference struct {
	pairs table.Table[Pair, float64]
}

// Slowdown returns the learned slowdown of k beside other at a level: 0 means
// none, 1 that k takes twice as long. An unknown pair has none.
func (x *Interference) Slowdown(k, other unit.Kind, level int) float64 {
	if v := x.pairs.Get(Pair{k, other, level}); v != nil {
		return *v
	}
	return 0
}

// Update credits a measured slowdown of k to the kinds that ran beside it when
// the measurement was taken. The error of the predicted sum is shared equally,
// which is the least mean squares rule of B. Widrow and M. Hoff, "Adaptive
// switching circuits", IRE WESCON, 1960.
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
		v := x.pairs.Ensure(Pair{k, o, level})
		*v = max(0, *v+step)
	}
}

// Occupancy is what a worker ran from an instant on.
type Occupancy struct {
	From  clock.Millis
	Kinds []unit.Kind
}

// History remembers what ran on a worker, so that a measurement that lags is
// credited to what was placed when it was taken. The zero value is empty.
type History struct{ occupancies []Occupancy }

// historyRetention bounds the history; reports lag by seconds.
const historyRetention = 2 * clock.Minute

// Record says what a worker runs from now on. Kinds is kept.
func (h *History) Record(now clock.Millis, kinds []unit.Kind) {
	drop := 0
	for drop+1 < len(h.occupancies) && now.Sub(h.occupancies[drop+1].From) > historyRetention {
		drop++
	}
	h.occupancies = append(h.occupancies[drop:], Occupancy{now, kinds})
}

// At returns what ran at the given instant, or nil if that is not known.
func (h *History) At(t clock.Millis) []unit.Kind {
	for i := len(h.occupancies) - 1; i >= 0; i-- {
		if h.occupancies[i].From <= t {
			return h.occupancies[i].Kinds
		}
	}
	return nil
}
