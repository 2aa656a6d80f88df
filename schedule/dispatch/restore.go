package dispatch

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Restore adds a job from the store. spec is nil if it is no longer stored.
// All jobs must be restored before [Shard.StartOwnership]. An open job without a
// spec is ignored.
func (s *Shard) Restore(now clock.Millis, wall unit.UnixMillis, id unit.Job, j Job, spec *Spec) {
	j.stored, j.storedState, j.Spec = true, j.State, spec
	if !j.State.Ended() && spec == nil {
		return // the spec's record is missing, so the job was never confirmed
	}
	row := s.jobs.Put(id, j)
	s.addBytes(row)
	if row.State.Ended() {
		s.endedJobs = append(s.endedJobs, id)
		for k := range row.Occurrences {
			if row.Spec != nil && len(row.Occurrences[k].Steps) > 0 {
				s.openOccurrence(row)
			}
		}
		if row.Spec != nil && len(row.Occurrences) > 0 {
			row.hasRunsToStop = true
			s.stoppingJobs = append(s.stoppingJobs, id)
		}
		s.recoverRuns(id, row)
		return
	}
	row.restoredAfter = max(0, clock.Span(wall-row.AcceptedAt))
	row.dueAt = now.Add(latencyObjective(spec) - clock.Span(wall-row.AcceptedAt))
	s.openJobs++
	s.enableAdvice(&spec.Queue)
	for k := range row.Occurrences {
		o := &row.Occurrences[k]
		s.openOccurrence(row)
		for i := range o.Steps {
			for n := range o.Steps[i].Tasks {
				if o.Steps[i].Tasks[n].State != TaskDone {
					o.Steps[i].remaining++
					o.Steps[i].times.restore(now, &o.Steps[i].Tasks[n])
				}
			}
			if spec.Steps[i].Gang {
				o.Steps[i].restoreGang()
			}
		}
		if o.done() {
			row.closeOccurrence(k)
			continue
		}
		s.unblockSteps(now, id, row, k)
	}
	row.spendRackWaits()
	s.recoverRuns(id, row)
	s.startDueOccurrences(now, wall, id, row)
}

// recoverRuns assigns the runs of a job that may exist to their executors. Run
// lists confirm them later.
func (s *Shard) recoverRuns(id unit.Job, j *Job) {
	if j.Spec == nil {
		return
	}
	s.forEachTask(id, j, func(tid TaskID, st *Step, t *Task) {
		if !t.State.assigned() {
			return
		}
		t.State, t.recovered, t.orderedPace, t.targetPace = TaskStarting, true, fullPace, fullPace
		e := s.executors.Ensure(t.Executor)
		e.Executor = t.Executor
		e.addRun(assignment{tid, t.Run, j, st, t})
	})
}
