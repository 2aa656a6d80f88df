package dispatch

import "mimosadock/schedule/clock"

const (
	// stallAfter is how long the progress of a run may stand still. The
	// longest tasks seen move by a percent in 240 ms.
	stallAfter = 1500 * clock.Millisecond
	// drainReserve is kept of a draining executor's time to save checkpoints.
	drainReserve = 700 * clock.Millisecond
	// workingAfter is how long a perpetual task may take to be at work.
	workingAfter = 4 * clock.Second
)

// stall moves runs that stand still, and runs of executors about to leave.
func (s *Shard) stall(now clock.Millis) {
	for _, e := range s.executors.All() {
		if !e.synced || e.failing {
			continue
		}
		leaves := e.Draining && now >= e.drainAt.Add(max(0, e.Leaves-drainReserve))
		for id := range e.tasks {
			_, st, t := s.find(id)
			if t == nil || t.State != TaskRunning || t.answered == 0 {
				continue
			}
			switch {
			case e.Draining && st.Perpetual, leaves && st.SavesProgress:
				s.move(id, t, e, "executor drains")
			case s.stalled(st, t, e):
				e.suspect = now.Add(suspectFor)
				s.move(id, t, e, "no progress")
			}
		}
	}
}

func (s *Shard) stalled(st *Step, t *Task, e *Executor) bool {
	if st.Gang || t.paced < fullPace {
		return false
	}
	// Only lists tell of progress: an owner that gets none, as it is overloaded
	// or cut off, must not move sound runs.
	still := e.listedAt.Sub(max(t.progressAt, t.runningAt))
	if st.Perpetual {
		return t.progress < 100 && still > workingAfter+s.Limits.Restore
	}
	limit := stallAfter
	if t.Checkpoint != "" && t.progressAt == t.runningAt {
		limit += s.Limits.Restore
	}
	if st.Fills && e.fillRoom() < 0 {
		limit *= 4 // starved by others rather than stuck
	}
	return still > limit && t.progress < 99
}

// move orders the end of a run so that the task starts elsewhere.
func (s *Shard) move(id TaskID, t *Task, e *Executor, reason string) {
	t.State, t.answered, t.inFlight, t.avoid = TaskStopping, 0, false, e.Executor
	s.report(Event{What: "moved", Task: id, Run: t.Run, Executor: e.Executor, Reason: reason})
}
