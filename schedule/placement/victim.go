package placement

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
)

var (
	_ Policy[Victim] = LeastLoss{}
	_ Policy[Victim] = Preemption{}
)

// Weights of the loss of an eviction, as lost work.
const (
	perEviction  = 2 * clock.Minute  // for each earlier eviction of the job
	missDeadline = 30 * clock.Minute // if the deadline can't be met any more
	borrowBonus  = 5 * clock.Minute  // less loss where the quota is exceeded
	overBudget   = 1000 * clock.Hour
)

// LeastLoss evicts what loses least: work since the last checkpoint, evictions
// so far, and deadlines that would be missed.
type LeastLoss struct{}

// Score ranks v.
func (LeastLoss) Score(v Victim) float64 {
	loss := v.LostWork + clock.Span(v.Evictions)*perEviction
	if v.Slack < v.LostWork {
		loss += missDeadline
	}
	if v.Borrowed {
		loss -= borrowBonus
	}
	if !v.Budget {
		loss += overBudget
	}
	return -float64(loss)
}

// Preemption is plain priority pre-emption: the lowest class goes first, and
// within it what was placed last.
type Preemption struct{}

// Score ranks v.
func (Preemption) Score(v Victim) float64 {
	return float64(v.Class-service.LatencyCritical)*1e15 + float64(v.Placed)
}
