package dispatch

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// maxEndsPerList is the most ends that an executor lists at once.
const maxEndsPerList = 500

// sendHolds asks executors for what runs there, where something does or where that
// is not known.
func (s *Shard) sendHolds(now clock.Millis) {
	for _, e := range s.executors.All() {
		if e.holdInFlight || now < e.holdRetryAt || e.Address == "" || e.processedEnd > e.storedEnd {
			continue
		}
		if e.synced && len(e.runs) == 0 && e.unknownRuns == 0 && e.acknowledgedEnd == e.storedEnd {
			continue
		}
		h := &HoldOrder{Token: s.token(e), LastSeen: e.storedEnd, Sent: now}
		// A lease is not renewed for an executor that doesn't answer, so that
		// its end is known.
		if e.clockReadAt > 0 && !e.unresponsive {
			h.Deadline = e.extendLease(now, s.Limits.Lease)
			if e.synced && e.unknownRuns == 0 && len(e.runs) > 0 {
				h.Wait = s.Limits.HoldWait
				if e.servingCount > 0 && e.bestEffortCPU > 0 {
					h.Wait = min(h.Wait, interferenceHoldWait)
				}
			}
		}
		e.holdInFlight = true
		s.pendingOrders = append(s.pendingOrders, Order{To: e.target(), Hold: h})
	}
}

// handleRunLists takes the lists of a hold.
func (s *Shard) handleRunLists(now clock.Millis, wall unit.UnixMillis, e *Executor, h *HoldOrder, a *Answer) {
	if a.Outcome != OutcomeDone {
		e.holdRetryAt = now.Add(200 * clock.Millisecond)
		return
	}
	e.acknowledgedEnd, e.lastListAt = h.LastSeen, now
	for i := range a.Finished {
		f := &a.Finished[i]
		if f.Number > e.processedEnd {
			e.processedEnd = f.Number
			s.handleRunEnd(now, wall, e, f)
		}
	}
	reported := make(map[TaskID]unit.Run, len(a.Running))
	unknown := 0
	sample := interferenceSample{at: now}
	for i := range a.Running {
		r := &a.Running[i]
		reported[r.Task] = r.Run
		if !s.reconcileRun(now, e, r, &sample) {
			unknown++
		}
	}
	e.unknownRuns = unknown
	s.updateInterference(now, e, &sample)
	if len(a.Finished) >= maxEndsPerList {
		// The ends of runs that are not listed may stand on the next page.
		return
	}
	s.releaseMissingRuns(now, e, h, reported)
	if !e.synced {
		e.synced = true
		// The former owner may have renewed the lease just before.
		longestLease := s.Limits.Lease + clock.Span(float64(s.Limits.Lease)*maxClockDrift) + leaseMargin
		e.latestLeaseEnd = max(e.latestLeaseEnd, now.Add(longestLease))
		s.report(Event{What: "executorKnown", Executor: e.Executor})
	}
	if unknown > 0 {
		e.holdRetryAt = now.Add(50 * clock.Millisecond)
	}
}

// reconcileRun takes a row of what runs on e. It returns false for a run that
// should not be there, and orders its end.
func (s *Shard) reconcileRun(now clock.Millis, e *Executor, r *RunningRun, sample *interferenceSample) bool {
	j, st, t := s.findTask(r.Task)
	if t == nil || t.Run != r.Run || t.Executor != e.Executor || !t.State.assigned() {
		s.pendingOrders = append(s.pendingOrders, Order{To: e.target(), Stop: &StopOrder{r.Task, r.Run, s.token(e)}})
		return false
	}
	if t.State == TaskStarting || t.recovered {
		s.markRunning(now, r.Task, j, t)
	}
	if r.Checkpoint != "" {
		t.Checkpoint = r.Checkpoint
	}
	if r.Progress != t.progress {
		t.progress, t.progressChangedAt = r.Progress, now
	}
	sample.addRun(e, st, r)
	return true
}

// releaseMissingRuns gives up runs that should be on e and are not: they belonged to an
// earlier life, were never started before a takeover, or were forgotten.
func (s *Shard) releaseMissingRuns(now clock.Millis, e *Executor, h *HoldOrder, reported map[TaskID]unit.Run) {
	for id, run := range e.runs {
		if reported[id] == run {
			continue
		}
		j, st, t := s.findTask(id)
		if t == nil || t.Run != run {
			delete(e.runs, id)
			continue
		}
		confirmed := t.recovered || t.State == TaskRunning && t.confirmedAt > 0 && t.confirmedAt < h.Sent ||
			t.State == TaskStopping && t.confirmedAt > 0 && t.confirmedAt < h.Sent
		if t.State == TaskPlaced || t.Born == e.Born && !confirmed {
			continue
		}
		s.report(Event{What: "runGone", Task: id, Run: run, Executor: e.Executor})
		s.requeueTask(now, id, j, st, t, e)
	}
}

// releaseExpiredRuns gives up the runs of executors whose leases must have ended.
func (s *Shard) releaseExpiredRuns(now clock.Millis) {
	for _, e := range s.executors.All() {
		if len(e.runs) == 0 {
			continue
		}
		leaseEnd := e.latestLeaseEnd
		if !e.synced && e.restarts == 0 {
			// The former owner may have renewed the lease after the takeover.
			leaseEnd = max(leaseEnd, s.acquiredAt.Add(s.Limits.OwnerGuard+s.Limits.Lease+s.Limits.Lease/20))
		}
		if !e.unresponsive && e.synced || now < leaseEnd {
			continue
		}
		for id := range e.runs {
			j, st, t := s.findTask(id)
			if t == nil {
				delete(e.runs, id)
				continue
			}
			if t.State == TaskPlaced {
				continue
			}
			s.report(Event{What: "runLapsed", Task: id, Run: t.Run, Executor: e.Executor, Age: now.Sub(leaseEnd)})
			s.requeueTask(now, id, j, st, t, e)
		}
		e.synced = false
	}
}

// stopEndedJobs ends the runs of jobs that have ended, once the end is stored.
func (s *Shard) stopEndedJobs(_ clock.Millis) {
	remaining := s.stoppingJobs[:0]
	for _, id := range s.stoppingJobs {
		j := s.jobs.Get(id)
		if j == nil || !j.hasRunsToStop {
			continue
		}
		if j.storedState != j.State {
			remaining = append(remaining, id)
			continue
		}
		hasRuns := false
		s.forEachTask(id, j, func(tid TaskID, st *Step, t *Task) {
			switch {
			case t.State == TaskReady || t.State == TaskBlocked || t.State == TaskPlaced:
				if t.State == TaskPlaced {
					if e := s.executors.Get(t.Executor); e != nil {
						e.removeRun(tid, st)
					}
				}
				t.State = TaskEnded
			case t.State == TaskStarting || t.State == TaskRunning:
				hasRuns = true
				t.State, t.confirmedAt, t.inFlight = TaskStopping, 0, false
			case t.State == TaskStopping:
				hasRuns = true
			}
		})
		if !hasRuns {
			j.hasRunsToStop, j.Spec, j.Occurrences = false, nil, nil
			s.markDirty(id, j)
			continue
		}
		remaining = append(remaining, id)
	}
	s.stoppingJobs = remaining
}

func (s *Shard) forEachTask(id unit.Job, j *Job, visit func(TaskID, *Step, *Task)) {
	for k := range j.Occurrences {
		for i := range j.Occurrences[k].Steps {
			st := &j.Spec.Steps[i]
			tasks := j.Occurrences[k].Steps[i].Tasks
			for n := range tasks {
				visit(TaskID{id, k, i, n}, st, &tasks[n])
			}
		}
	}
}
