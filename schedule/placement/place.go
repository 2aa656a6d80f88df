package placement

import (
	"math"

	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

var (
	_ Policy[Option] = InterferenceAware{}
	_ Policy[Option] = FirstFit{}
	_ Policy[Option] = LeastLoaded{}
)

// Weights of the parts of the score of [Interfering]. Each part is in [0, 1],
// except for the slowdown, which can exceed 1.
const (
	slowdownWeight  = 1.0
	rackWeight      = 1.0
	imbalanceWeight = 0.5
	wasteWeight     = 0.5 // work without accelerators on a worker that has some free
	roomWeight      = 0.3
)

// InterferenceAware avoids neighbours that slow each other down, spreads a job over
// racks, and keeps what is left of a worker in proportion. Batch work fills
// workers up; other work goes where most room is left.
type InterferenceAware struct{}

// Score ranks o.
func (InterferenceAware) Score(o Option) float64 {
	left := o.Free.Sub(o.Size)
	cpu, memory := fraction(left.CPU, o.Capacity.CPU), fraction(left.Memory, o.Capacity.Memory)
	s := -slowdownWeight*o.Slowdown - imbalanceWeight*math.Abs(cpu-memory)
	s -= rackWeight * float64(o.InRack) / float64(o.InRack+1)
	if o.Size.Accelerators == 0 && left.Accelerators > 0 {
		s -= wasteWeight
	}
	room := roomWeight * min(cpu, memory)
	if o.Class == service.Batch {
		return s - room
	}
	return s + room
}

func fraction[N ~int64](n, of N) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// FirstFit takes the first worker with room.
type FirstFit struct{}

// Score ranks all alike.
func (FirstFit) Score(Option) float64 { return 0 }

// LeastLoaded takes the worker with the greatest part free.
type LeastLoaded struct{}

// Score ranks o.
func (LeastLoaded) Score(o Option) float64 {
	return min(fraction(o.Free.CPU, o.Capacity.CPU), fraction(o.Free.Memory, o.Capacity.Memory))
}

// shortlistSize is how many options are scored with their predicted slowdown.
const shortlistSize = 8

// Shortlist keeps the best options by a first score that leaves the slowdown
// out, so that the neighbours of a few workers only are looked at. The zero
// value is empty.
type Shortlist struct {
	workers [shortlistSize]unit.Worker
	options [shortlistSize]Option
	scores  [shortlistSize]float64
	n       int
}

// Add offers an option. Among equal scores the earlier one is kept.
func (l *Shortlist) Add(w unit.Worker, o Option, score float64) {
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

// Best returns the best worker after the slowdown of each kept option was
// filled in, or the empty string if there is none.
func (l *Shortlist) Best(p Policy[Option], slowdown func(unit.Worker) float64) unit.Worker {
	if l.n == 0 {
		return ""
	}
	for i := range l.n {
		l.options[i].Slowdown = slowdown(l.workers[i])
	}
	return l.workers[Best(p, l.options[:l.n])]
}
