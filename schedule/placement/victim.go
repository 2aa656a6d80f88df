package placement

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
)

var (
	_ Policy[Victim] = MinLoss{}
	_ Policy[Victim] = Preemption{}
)

// Weights of the loss of an eviction, as lost work.
const (
	evictionPenalty       = 2 * clock.Minute  // for each earlier eviction of the job
	missedDeadlinePenalty = 30 * clock.Minute // if the deadline can't be met any more
	borrowedDiscount      = 5 * clock.Minute  // less loss where the quota is exceeded
	overBudgetPenalty     = 1000 * clock.Hour
)

// MinLoss evicts what loses least: work since the last checkpoint, evictions
// so far, and deadlines that would be missed.
type MinLoss struct{}

// Score ranks v.
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

// Preemption is plain priority pre-emption: the lowest class goes first, and
// within it what was placed last.
type Preemption struct{}

// Score ranks v.
func (Preemption) Score(v Victim) float64 {
	return float64(v.Class-service.LatencyCritical)*1e15 + float64(v.PlacedAt)
}
