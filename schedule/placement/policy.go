package placement

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// Policy ranks candidates. The candidate with the highest score is chosen.
type Policy[Candidate any] interface {
	Score(c Candidate) float64
}

// WorkerOption is a worker with enough free capacity for a task, as the placement
// policy compares it.
type WorkerOption struct {
	Class          service.WorkClass
	Size           unit.Resources
	Free           unit.Resources // of the worker, before the placement
	Capacity       unit.Resources
	Attempts       int     // at the worker
	AttemptsInRack int     // attempts of the same job in the rack of the worker
	Slowdown       float64 // predicted, sum for the task and its neighbours
}

// Victim is an attempt that may be evicted.
type Victim struct {
	Class        service.WorkClass
	LostWork     clock.Span // work since the last complete checkpoint
	Evictions    int        // of the job so far
	WithinBudget bool       // the eviction budget of the job allows another eviction
	Slack        clock.Span // time to the deadline of the job, less the remaining work
	TeamBorrows  bool       // the team is allocated more than its quota
	PlacedAt     clock.Millis
	Freed        unit.Resources // by the eviction
}

// Queued is a waiting task.
type Queued struct {
	Class           service.WorkClass
	QueuedSince     clock.Millis
	Deadline        clock.Millis // clock.Never if there is none
	ExpectedRunTime clock.Span   // zero if unknown
}

// Policies is a set of policies with the settings that belong to them.
type Policies struct {
	Place  Policy[WorkerOption]
	Victim Policy[Victim]
	Order  Policy[Queued]
	// Throttle allows batch work to be throttled before any of it is
	// evicted.
	Throttle bool
	// Headroom keeps capacity free for the estimated peak of
	// latency-critical work.
	Headroom bool
	// ProbeTasks is the maximum number of running batch tasks of a kind
	// whose size is unknown. 0 means no limit.
	ProbeTasks int
	// EvictionBudget is the eviction budget of each job. 0 means no limit.
	EvictionBudget int
}

// DefaultEvictionBudget is the default number of evictions after which the
// attempts of a job are no longer chosen as victims.
const DefaultEvictionBudget = 3

// defaultProbeTasks is the number of tasks that suffices to estimate the
// size of a kind.
const defaultProbeTasks = 8

// Default returns the policies that the scheduler uses.
func Default() Policies {
	return Policies{InterferenceAware{}, MinLoss{}, EarliestDue{}, true, true, defaultProbeTasks, DefaultEvictionBudget}
}

// Baseline returns the baseline: first fit, priority pre-emption, and first
// come, first served, without throttling, headroom or eviction budget.
func Baseline() Policies {
	return Policies{Place: FirstFit{}, Victim: Preemption{}, Order: FIFO{}}
}

// Best returns the index of the candidate with the highest score, the first
// one among equals, or -1 if there are no candidates.
func Best[Candidate any, P Policy[Candidate]](p P, candidates []Candidate) int {
	best, score := -1, 0.0
	for i, c := range candidates {
		if s := p.Score(c); best < 0 || s > score {
			best, score = i, s
		}
	}
	return best
}
