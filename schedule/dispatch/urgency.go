package dispatch

import (
	"cmp"
	"slices"

	"mimosadock/schedule/clock"
)

// maxYield is how long a ready step may be placed behind less urgent ones, so that
// each is served in turn while the load stays high.
const maxYield = 10 * clock.Second

// lateAllowance is the share of its objective by which a job must be certain to miss
// it before it counts as late. The objective and the work left depend on estimates.
const lateAllowance = 0.25

// lateLimit is the multiple of its objective after which the result of a job is worth
// nothing to its caller.
const lateLimit = 3

// urgency is the class of a ready step among those of its priority. Lower classes are
// placed first.
type urgency int

// The classes. A step that has yielded for maxYield is in [urgencyInTime] again.
const (
	urgencyInTime   urgency = iota // the job can be done within its objective
	urgencyLasting                 // first runs of perpetual tasks, which have no end to be in time with
	urgencyLate                    // the job can't be done within its objective
	urgencyHopeless                // the job can't be done within lateLimit times its objective
)

// rank orders the ready steps.
type rank struct {
	priority int
	urgency  urgency
	dueAt    clock.Millis
	key      stepKey
}

func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.dueAt, b.dueAt),
		cmp.Compare(a.key.job, b.key.job), cmp.Compare(a.key.occurrence, b.key.occurrence), cmp.Compare(a.key.step, b.key.step))
}

// sortedReady returns the ready steps, most urgent first: by priority of the queue,
// then by urgency, then by the time when the current occurrence of the job should be
// completed.
//
// It answers a load above the room, where an order by that time alone makes each job
// wait until it is just late. Urgent jobs then go ahead of perpetual tasks that start
// for the first time, which would keep the room beyond the crest of the load.
func (s *Shard) sortedReady(now clock.Millis) []stepKey {
	ranks := make([]rank, 0, len(s.readySteps))
	for k, ready := range s.readySteps {
		r := rank{key: k}
		if j := s.jobs.Get(k.job); j != nil && j.Spec != nil {
			r.priority, r.urgency, r.dueAt = s.queue(j).Priority, s.urgencyOf(now, k, j, ready), j.dueAt
		}
		ranks = append(ranks, r)
	}
	slices.SortFunc(ranks, compareRanks)
	keys := make([]stepKey, len(ranks))
	for i := range ranks {
		keys[i] = ranks[i].key
	}
	return keys
}

// urgencyOf returns the class of a ready step. Steps of queues without an objective
// have no class of their own.
func (s *Shard) urgencyOf(now clock.Millis, k stepKey, j *Job, ready *readyStep) urgency {
	objective := j.latencyObjective()
	if objective == 0 || s.plainOrder || now.Sub(ready.since) >= maxYield {
		return urgencyInTime
	}
	if j.Spec.Steps[k.step].Perpetual {
		return urgencyLasting
	}
	doneBy := now.Add(j.chainFrom(k.step))
	allowance := clock.Span(lateAllowance * float64(objective))
	switch {
	case doneBy <= j.dueAt.Add(allowance):
		return urgencyInTime
	case doneBy <= j.dueAt.Add((lateLimit-1)*objective+allowance):
		return urgencyLate
	}
	return urgencyHopeless
}

// chainFrom returns the length of the longest path that begins with a step, by the
// estimates.
func (j *Job) chainFrom(step int) clock.Span {
	if j.chains == nil {
		j.chains = j.Spec.chains()
	}
	return j.chains[step]
}

// chains returns for each step the length of the longest path that begins with it.
func (s *Spec) chains() []clock.Span {
	chains := make([]clock.Span, len(s.Steps)) // of the steps after each until it is reached itself
	for i := len(s.Steps) - 1; i >= 0; i-- {
		chains[i] += s.Steps[i].Estimate
		for _, predecessor := range s.Steps[i].After {
			chains[predecessor] = max(chains[predecessor], chains[i])
		}
	}
	return chains
}
