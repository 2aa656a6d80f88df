package placement

import (
	"math"

	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

var (
	_ Policy[WorkerOption] = InterferenceAware{}
	_ Policy[WorkerOption] = FirstFit{}
	_ Policy[WorkerOption] = LeastLoaded{}
)

// Weights of the parts of the score of [InterferenceAware]. Each part is in
// [0, 1], except for the slowdown, which can exceed 1.
const (
	slowdownWeight     = 1.0
	rackWeight         = 1.0 // for attempts of the same job in the rack
	imbalanceWeight    = 0.5 // for the difference between the free fractions of processor and memory
	wasteWeight        = 0.5 // for a task without accelerators on a worker with free accelerators
	freeCapacityWeight = 0.3 // for the free capacity that the placement leaves
)

// InterferenceAware avoids neighbours that slow each other down, spreads a
// job over racks, and keeps the free processor and memory of a worker in
// proportion. It packs batch work onto full workers and places other work
// where most capacity is free.
type InterferenceAware struct{}

// Score returns the weighted sum of the parts for o.
func (InterferenceAware) Score(o WorkerOption) float64 {
	left := o.Free.Sub(o.Size)
	cpu, memory := fraction(left.CPU, o.Capacity.CPU), fraction(left.Memory, o.Capacity.Memory)
	s := -slowdownWeight*o.Slowdown - imbalanceWeight*math.Abs(cpu-memory)
	s -= rackWeight * float64(o.AttemptsInRack) / float64(o.AttemptsInRack+1)
	if o.Size.Accelerators == 0 && left.Accelerators > 0 {
		s -= wasteWeight
	}
	freeScore := freeCapacityWeight * min(cpu, memory)
	if o.Class == service.Batch {
		return s - freeScore
	}
	return s + freeScore
}

// fraction returns n/total, or 0 if total is 0.
func fraction[N ~int64](n, total N) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
}

// FirstFit chooses the first worker with enough free capacity.
type FirstFit struct{}

// Score returns the same score for all options.
func (FirstFit) Score(WorkerOption) float64 { return 0 }

// LeastLoaded chooses the worker with the largest free fraction of its
// scarcer resource.
type LeastLoaded struct{}

// Score returns the smaller of the free fractions of processor and memory.
func (LeastLoaded) Score(o WorkerOption) float64 {
	return min(fraction(o.Free.CPU, o.Capacity.CPU), fraction(o.Free.Memory, o.Capacity.Memory))
}

// shortlistSize is the number of options for which the slowdown is
// predicted.
const shortlistSize = 8

// Shortlist keeps the best options by a first score without the slowdown, so
// that the slowdown is predicted for a few workers only. The zero value is
// empty.
type Shortlist struct {
	workers [shortlistSize]unit.Worker
	options [shortlistSize]WorkerOption
	scores  [shortlistSize]float64
	n       int
}

// Add adds an option if it is among the best. Among equal scores the earlier
// option is kept.
func (l *Shortlist) Add(w unit.Worker, o WorkerOption, score float64) {
	if l.n == shortlistSize && score <= l.scores[shortlistSize-1] {
		return
	}
	i := min(l.n, shortlistSize-1)
	for ; i > 0 && l.scores[i-1] < score; i-- {
		l.workers[i], l.options[i], l.scores[i] = l.workers[i-1], l.options[i-1], l.scores[i-1]
	}
	l.workers[i], l.options[i], l.scores[i] = w, o, score
	l.n = min(l.n+1, shortlistSize)
}

// Len returns the number of kept options.
func (l *Shortlist) Len() int { return l.n }

// Best predicts the slowdown of each kept option and returns the worker with
// the highest score, or the empty string if there is none.
func (l *Shortlist) Best(p Policy[WorkerOption], slowdown func(unit.Worker) float64) unit.Worker {
	if l.n == 0 {
		return ""
	}
	for i := range l.n {
		l.options[i].Slowdown = slowdown(l.workers[i])
	}
	return l.workers[Best(p, l.options[:l.n])]
}
