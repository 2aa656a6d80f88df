package dispatch

import (
	"cmp"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// relocationInterval is the interval between two searches for runs to relocate.
	relocationInterval = 200 * clock.Millisecond
	// maxRelocations bounds the runs that are relocated at a time, and with them the
	// executors that are rated for them.
	maxRelocations = 8
	// relocationDelay is the time from the decision to stop a run until its next run
	// works: the stop, its place in the list of ends, two appends and the start.
	relocationDelay = 300 * clock.Millisecond
	// maxRelocatedPace is the ordered pace up to which a run may be relocated.
	maxRelocatedPace unit.Percent = 50
)

// pacedRun is a best-effort run that works below full pace. Spans are in
// milliseconds at full pace.
type pacedRun struct {
	lost    clock.Span // time lost to the pace so far
	left    clock.Span // work left
	unsaved clock.Span // work done since the last checkpoint
	factor  clock.Span // see Task.moveFactor; 0 stands for 1
}

// relocationPays reports whether to stop a run and start it on another executor. How
// long its pace will stay low is unknown. If it moves once it has lost as much time as
// the move costs, it never loses more than twice of what a choice with that knowledge
// would lose (A. Karlin et al., "Competitive snoopy caching", Algorithmica 3, 1988).
// A run that has less work left than the move costs stays. See [Task.moveFactor] for
// further moves of a task.
func relocationPays(r pacedRun, restore clock.Span) bool {
	cost := (r.unsaved + restore + relocationDelay) * max(1, r.factor)
	return r.lost >= cost && r.left > cost
}

// relocationFromSlowPays reports whether to stop a run on a slow executor and start it
// on another one. The executor works at a share of the usual speed, which is measured,
// so that the time that is saved is known, but for errors of the estimates.
func relocationFromSlowPays(r pacedRun, share float64, restore clock.Span) bool {
	stay, move := float64(r.left)/max(share, 0.01), float64(r.left+r.unsaved+restore+relocationDelay)
	return stay > 2*move*float64(max(1, r.factor))
}

// relocation is a run that may be relocated.
type relocation struct {
	id    TaskID
	job   *Job
	task  *Task
	from  *Executor
	late  bool // can't be done by dueAt, wherever it runs
	dueAt clock.Millis
}

// reason returns why the run moves, for the log.
func (r *relocation) reason() string {
	if r.task.orderedPace <= maxRelocatedPace {
		return "low pace"
	}
	return "slow executor"
}

// relocatePacedRuns stops best-effort runs that the load of serving tasks beside them
// slows down, if there is an executor that takes them at full pace. It answers a load
// of serving tasks that rises in parts of the service for longer than a batch task
// runs: to wait for it to fall takes several times the time of a restart from a
// checkpoint. It also stops batch runs on slow executors. Jobs that can still be done
// in time come first.
func (s *Shard) relocatePacedRuns(now clock.Millis) {
	if s.AwaitsOperator || now < s.relocatedAt.Add(relocationInterval) {
		return
	}
	s.relocatedAt = now
	candidates := s.relocationCandidates(now)
	if len(candidates) == 0 {
		return
	}
	slices.SortFunc(candidates, func(a, b relocation) int {
		if a.late != b.late {
			if a.late {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.dueAt, b.dueAt), cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.Occurrence, b.id.Occurrence), cmp.Compare(a.id.Step, b.id.Step), cmp.Compare(a.id.Index, b.id.Index))
	})
	pools := s.pools(now)
	for _, c := range candidates[:min(len(candidates), maxRelocations)] {
		pool := pools[c.from.Service]
		if pool == nil {
			continue
		}
		if to := s.relocationTarget(now, &c, pool); to != nil {
			// The room is taken until all are chosen, so that it counts for one run.
			to.addRun(assignment{c.id, c.task.Run + 1, c.job, &c.job.Spec.Steps[c.id.Step], c.task})
			defer to.removeRun(c.id)
			s.moveRun(c.id, c.task, c.from, c.reason())
		}
	}
}

// relocationTarget returns the executor that takes a run that may be relocated, or nil.
// A run on the rack of its data or group does not leave it, since it would run longer
// elsewhere.
func (s *Shard) relocationTarget(now clock.Millis, c *relocation, pool *executorPool) *Executor {
	request := s.newPlacementRequest(now, stepKey{c.id.Job, c.id.Occurrence, c.id.Step}, c.job, pool).forTask(c.task)
	request.avoidedExecutor = c.from.Executor
	if request.step.SameRack {
		request.rack = s.rackOf(c.job.Occurrences[c.id.Occurrence].Steps[c.id.Step].Tasks)
	}
	to, ok := s.choose(pool.executors, request)
	if !ok || to == c.from || to.indexOf(c.id) >= 0 { // an earlier run may be left on to
		return nil
	}
	if rack := unit.Label(request.wantedRack()); rack != "" && c.from.hasLabel(rack) && !to.hasLabel(rack) {
		return nil
	}
	return to
}

// relocationCandidates returns the runs for which relocation pays.
func (s *Shard) relocationCandidates(now clock.Millis) []relocation {
	var candidates []relocation
	for _, e := range s.executors.All() {
		share := s.speedShare(now, e)
		if e.unresponsive || !e.reconciled || share == 1 && (e.bestEffortCPU == 0 || len(e.servingTasks) == 0) {
			continue
		}
		for i := range e.runs {
			a := &e.runs[i]
			if a.step.Gang || a.step.Perpetual || !a.isCurrent() || a.job.State.Ended() || a.task.State != TaskRunning || a.task.confirmedAt == 0 {
				continue
			}
			r := newPacedRun(now, a.step, a.task)
			if a.step.Fills && a.task.orderedPace <= maxRelocatedPace && relocationPays(r, s.Limits.CheckpointRestore) ||
				share < 1 && relocationFromSlowPays(r, share, s.Limits.CheckpointRestore) {
				candidates = append(candidates, relocation{a.id, a.job, a.task, e, now.Add(r.left) > a.job.dueAt, a.job.dueAt})
			}
		}
	}
	return candidates
}

// newPacedRun returns the state of a run at now. Its work is that of the estimate.
func newPacedRun(now clock.Millis, step *Step, t *Task) pacedRun {
	times := t.times
	times.changePace(now, t.orderedPace)
	saved := unit.Percent(0)
	if step.SavesProgress {
		saved = t.savedProgress
	}
	share := func(p unit.Percent) clock.Span { return step.Estimate * clock.Span(p) / clock.Span(fullPace) }
	return pacedRun{lost: times.paced, left: share(fullPace - t.progress), unsaved: share(max(0, t.progress-saved)), factor: t.moveFactor()}
}
