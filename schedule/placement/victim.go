package placement

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
)

var (
	_ Policy[Victim] = MinLoss{}
	_ Policy[Victim] = Preemption{}
)

// Parts of the loss of an eviction, in units of lost work.
const (
	evictionPenalty       = 2 * clock.Minute  // for each earlier eviction of the job
	missedDeadlinePenalty = 30 * clock.Minute // if the job can no longer meet its deadline
	borrowedDiscount      = 5 * clock.Minute  // subtracted if the team exceeds its quota
	overBudgetPenalty     = 1000 * clock.Hour // if the eviction budget is used up; exceeds all other parts
)

// MinLoss chooses the attempt with the smallest loss. The loss is the work
// since the last checkpoint, plus penalties for earlier evictions, a missed
// deadline and a used up eviction budget, minus a discount if the team
// exceeds its quota.
type MinLoss struct{}

// Score returns the negative loss of v.
func (MinLoss) Score(v Victim) float64 {
	loss := v.LostWork + clock.Span(v.Evictions)*evictionPenalty
	if v.Slack < v.LostWork {
		loss += missedDeadlinePenalty
	}
	if v.TeamBorrows {
		loss -= borrowedDiscount
	}
	if !v.WithinBudget {
		loss += overBudgetPenalty
	}
	return -float64(loss)
}

// Preemption is simple priority pre-emption: it chooses the lowest class,
// and within a class the attempt that was placed last.
type Preemption struct{}

// Score ranks v by class, then by the time of its placement. The factor of the
// class exceeds every PlacedAt in milliseconds, so the class decides first.
func (Preemption) Score(v Victim) float64 {
	return float64(v.Class-service.LatencyCritical)*1e15 + float64(v.PlacedAt)
}
