package dispatch

import "mimosadock/schedule/clock"

const (
	// stallTimeout is how long the progress of a run may stay unchanged, and
	// stalledPercents the same in percents of its estimate, for long tasks.
	stallTimeout    = 1500 * clock.Millisecond
	stalledPercents = 2
	// maxMoveDoublings bounds how often the wait or the cost of a move doubles.
	maxMoveDoublings = 10
	// drainMargin is the part of the time left on a draining executor that is
	// kept for saving checkpoints.
	drainMargin = 700 * clock.Millisecond
	// warmUpTimeout is how long the progress of a perpetual task may stay
	// unchanged below 100 percent, which it reaches once it has warmed up.
	warmUpTimeout = 4 * clock.Second
)

// moveRuns moves runs without progress, and runs on draining executors:
// perpetual ones at once, those that save checkpoints shortly before the
// executor leaves. It does not check the miss budgets of the steps. Progress is
// known from run lists only, so that it skips executors without a new one unless
// they drain.
func (s *Shard) moveRuns(now clock.Millis) {
	for _, e := range s.executors.All() {
		if !e.listChanged && !e.Draining || !e.reconciled || e.unresponsive {
			continue
		}
		e.listChanged = false
		leavesSoon := e.Draining && now >= e.drainingSince.Add(max(0, e.TimeLeft-drainMargin))
		for i := range e.runs {
			a := &e.runs[i]
			if !a.isCurrent() || a.task.State != TaskRunning || a.task.confirmedAt == 0 {
				continue
			}
			switch {
			case e.Draining && a.step.Perpetual, leavesSoon && a.step.SavesProgress:
				s.moveRun(a.id, a.task, e, "executor drains")
			case s.isStalled(a.step, a.task, e):
				e.suspectUntil = now.Add(suspectPeriod)
				s.moveRun(a.id, a.task, e, "no progress")
			}
		}
	}
}

// isStalled reports whether a run has made no progress for too long. Runs of
// gangs and runs below full pace never count as stalled.
func (s *Shard) isStalled(st *Step, t *Task, e *Executor) bool {
	if st.Gang || t.orderedPace < fullPace {
		return false
	}
	// Progress is known from run lists only. An owner that receives none,
	// because it is overloaded or partitioned, must not move healthy runs.
	unchangedFor := e.lastListAt.Sub(max(t.progressChangedAt, t.runningSince))
	if st.Perpetual {
		return t.progress < 100 && unchangedFor > warmUpTimeout+s.Limits.CheckpointRestore
	}
	limit := max(stallTimeout, stalledPercents*st.Estimate/clock.Span(fullPace)) * t.moveFactor()
	if t.Checkpoint != "" && t.progressChangedAt == t.runningSince {
		limit += s.Limits.CheckpointRestore
	}
	if st.Fills && e.availableBestEffortCPU() < 0 {
		limit *= 4 // slow because other tasks use the processor time, not stalled
	}
	return unchangedFor > limit && t.progress < 99
}

// moveFactor returns the factor by which a move of a run of t must pay more than the
// first one. It doubles with each move from the second one on, so that a task which
// needs much longer than its estimate on any executor gets done.
func (t *Task) moveFactor() clock.Span { return 1 << min(max(0, t.moves-1), maxMoveDoublings) }

// moveRun marks a run to be stopped, so that its task starts again. A later tick
// sends the stop order. Later placements of the task give e a penalty.
func (s *Shard) moveRun(id TaskID, t *Task, e *Executor, reason string) {
	t.State, t.confirmedAt, t.inFlight, t.avoidedExecutor = TaskStopping, 0, false, e.Executor
	if !e.Draining {
		t.moves++
	}
	s.markUnsettled(id)
	s.report(Event{Kind: "moved", Task: id, Run: t.Run, Executor: e.Executor, Reason: reason})
}
