package dispatch

import "mimosadock/schedule/clock"

const (
	// stallTimeout is how long the progress of a run may stand still. The
	// longest tasks seen move by a percent in 240 ms.
	stallTimeout = 1500 * clock.Millisecond
	// drainMargin is kept of a draining executor's time to save checkpoints.
	drainMargin = 700 * clock.Millisecond
	// warmUpTimeout is how long a perpetual task may take to be at work.
	warmUpTimeout = 4 * clock.Second
)

// moveRuns moves runs that stand still, and runs of executors about to leave.
func (s *Shard) moveRuns(now clock.Millis) {
	for _, e := range s.executors.All() {
		if !e.synced || e.unresponsive {
			continue
		}
		leavesSoon := e.Draining && now >= e.drainingSince.Add(max(0, e.Leaves-drainMargin))
		for id := range e.runs {
			_, st, t := s.findTask(id)
			if t == nil || t.State != TaskRunning || t.confirmedAt == 0 {
				continue
			}
			switch {
			case e.Draining && st.Perpetual, leavesSoon && st.SavesProgress:
				s.moveRun(id, t, e, "executor drains")
			case s.isStalled(st, t, e):
				e.suspectUntil = now.Add(suspectPeriod)
				s.moveRun(id, t, e, "no progress")
			}
		}
	}
}

func (s *Shard) isStalled(st *Step, t *Task, e *Executor) bool {
	if st.Gang || t.orderedPace < fullPace {
		return false
	}
	// Only lists tell of progress: an owner that gets none, as it is overloaded
	// or cut off, must not move sound runs.
	unchangedFor := e.lastListAt.Sub(max(t.progressChangedAt, t.runningSince))
	if st.Perpetual {
		return t.progress < 100 && unchangedFor > warmUpTimeout+s.Limits.Restore
	}
	limit := stallTimeout
	if t.Checkpoint != "" && t.progressChangedAt == t.runningSince {
		limit += s.Limits.Restore
	}
	if st.Fills && e.availableBestEffortCPU() < 0 {
		limit *= 4 // starved by others rather than stuck
	}
	return unchangedFor > limit && t.progress < 99
}

// moveRun orders the end of a run so that the task starts elsewhere.
func (s *Shard) moveRun(id TaskID, t *Task, e *Executor, reason string) {
	t.State, t.confirmedAt, t.inFlight, t.avoidedExecutor = TaskStopping, 0, false, e.Executor
	s.report(Event{What: "moved", Task: id, Run: t.Run, Executor: e.Executor, Reason: reason})
}
