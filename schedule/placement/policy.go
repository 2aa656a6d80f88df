package placement

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// Policy ranks candidates. The one with the highest score is taken.
type Policy[Candidate any] interface {
	Score(c Candidate) float64
}

// Option is a worker that has room for a task.
type Option struct {
	Class    service.WorkClass
	Size     unit.Resources
	Free     unit.Resources // of the worker, before the task
	Capacity unit.Resources
	Attempts int     // at the worker
	InRack   int     // attempts of the same job in the rack of the worker
	Slowdown float64 // predicted, of the task and of its neighbours together
}

// Victim is an attempt that could give way.
type Victim struct {
	Class        service.WorkClass
	LostWork     clock.Span // work since the last whole checkpoint
	Evictions    int        // of the job so far
	WithinBudget bool       // the budget of the job allows another one
	Slack        clock.Span // to the deadline of the job, after the work that is left
	TeamBorrows  bool       // the team uses more than its quota
	PlacedAt     clock.Millis
	Freed        unit.Resources
}

// Queued is a task that waits for a worker.
type Queued struct {
	Class    service.WorkClass
	Since    clock.Millis
	Deadline clock.Millis // Never if there is none
	Expected clock.Span   // run time
}

// Policies is a set of policies with the rules that go with them.
type Policies struct {
	Place  Policy[Option]
	Victim Policy[Victim]
	Order  Policy[Queued]
	// Throttle lets batch work be throttled before any is evicted.
	Throttle bool
	// Headroom keeps room for the learned peak of latency-critical work.
	Headroom bool
	// ProbeTasks is how many tasks of a kind of batch work run while its true size
	// is not known. 0 is no bound.
	ProbeTasks int
	// Budget is the number of evictions that a job takes. 0 is no bound.
	Budget int
}

// EvictionBudget is the number of evictions after which the tasks of a job are
// no longer chosen as victims.
const EvictionBudget = 3

// defaultProbeTasks is enough tasks of a kind to learn its size from.
const defaultProbeTasks = 8

// Default returns the policies in use.
func Default() Policies {
	return Policies{InterferenceAware{}, MinLoss{}, EarliestDue{}, true, true, defaultProbeTasks, EvictionBudget}
}

// Plain returns the baseline: first fit, priority pre-emption and first come
// first served, without throttling, reserve or budget.
func Plain() Policies {
	return Policies{Place: FirstFit{}, Victim: Preemption{}, Order: FIFO{}}
}

// Best returns the index of the candidate with the highest score, the first
// among equals, and -1 if there is none.
func Best[Candidate any, P Policy[Candidate]](p P, candidates []Candidate) int {
	best, score := -1, 0.0
	for i, c := range candidates {
		if s := p.Score(c); best < 0 || s > score {
			best, score = i, s
		}
	}
	return best
}
