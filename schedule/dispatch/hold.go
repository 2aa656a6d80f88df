package dispatch

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// maxEndsPerList is the maximum number of ends in one list of finished runs.
const maxEndsPerList = 500

// stopTimeout is how long a run may be listed after its stop was confirmed.
const stopTimeout = clock.Second

// sendHolds sends a hold to each executor that has runs (assigned or unknown),
// has ends to acknowledge, is not reconciled and in a service that is needed or was
// reconciled before, or is listed but did not answer the last order. An executor that
// has restarted carries out starts from before until it receives the higher fencing
// token. No hold is sent while ends of the executor wait to be stored.
func (s *Shard) sendHolds(now clock.Millis) {
	for _, e := range s.executors.All() {
		if e.holdInFlight || now < e.holdRetryAt || e.Address == "" || e.processedEndNumber > e.storedEndNumber {
			continue
		}
		if e.reconciled && !(e.unresponsive && e.registered) && len(e.runs) == 0 && e.unknownRuns == 0 && e.acknowledgedEndNumber == e.storedEndNumber {
			continue
		}
		if !e.reconciled && len(e.runs) == 0 && !e.reconciledBefore && !s.needsService(e.Service) {
			continue
		}
		h := &HoldOrder{Token: s.token(e), Sent: now}
		// The numbers of ends are those of one incarnation. Another one under the same
		// id would discard ends that no list has shown, so that an acknowledgement is
		// sent only to an executor that answers, and once.
		if !e.unresponsive && e.acknowledgedEndNumber < e.storedEndNumber {
			h.LastSeen = e.storedEndNumber
		}
		// Does not renew the lease of an executor that does not answer, so that
		// the time by which the lease expires stays fixed.
		if e.clockReadAt > 0 && !e.unresponsive && s.mayRenew(e) {
			h.Deadline = e.extendLease(now, s.Limits.Lease)
			if e.reconciled && e.unknownRuns == 0 && len(e.runs) > 0 {
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

// handleRunLists takes the run lists in the answer to a hold. It records the
// ends of runs, reconciles the running ones and releases those that are
// missing.
func (s *Shard) handleRunLists(now clock.Millis, wall unit.UnixMillis, e *Executor, h *HoldOrder, a *Answer) {
	if a.Outcome != OutcomeDone {
		// The hold was not carried out. The lists are requested again after a
		// delay.
		e.holdRetryAt = now.Add(200 * clock.Millisecond)
		return
	}
	e.acknowledgedEndNumber, e.lastListAt = max(e.acknowledgedEndNumber, h.LastSeen), now
	e.listRequestedAt = h.Sent
	for i := range a.Finished {
		f := &a.Finished[i]
		if f.Number > e.processedEndNumber {
			e.processedEndNumber = f.Number
			s.handleRunEnd(now, wall, e, f)
		}
	}
	reported := make(map[TaskID]unit.Run, len(a.Running))
	unknown := 0
	sample := interferenceSample{at: now}
	for i := range a.Running {
		r := &a.Running[i]
		reported[r.Task] = r.Run
		if !s.reconcileRun(now, e, h, r, &sample) {
			unknown++
		}
	}
	e.unknownRuns, e.listChanged = unknown, true
	s.avoidSlow(now, e)
	s.updateInterference(now, e, &sample)
	s.markAvailable(e)
	if len(a.Finished) >= maxEndsPerList {
		// Ends that are missing from a full list may be on the next page, so
		// runs can't be released yet.
		return
	}
	s.releaseMissingRuns(now, e, h, reported)
	if !e.reconciled {
		e.reconciled, e.reconciledBefore = true, true
		// The former owner may have renewed the lease just before.
		e.leaseExpiresBy = max(e.leaseExpiresBy, now.Add(longestLease(max(s.Limits.Lease, s.leases.predecessor.Lease))))
		s.report(Event{Kind: "executorKnown", Executor: e.Executor})
	}
	if unknown > 0 {
		// Until a list shows that the unknown runs were stopped, the executor
		// gets no new runs.
		e.holdRetryAt = now.Add(50 * clock.Millisecond)
	}
}

// reconcileRun takes a run that e reports as running in answer to h and adds its
// measurement to sample. If the tables do not have the run there, it orders the
// run to stop and returns false.
func (s *Shard) reconcileRun(now clock.Millis, e *Executor, h *HoldOrder, r *RunningRun, sample *interferenceSample) bool {
	j, st, t := s.findTask(r.Task)
	if t == nil || t.Run != r.Run || t.Executor != e.Executor || !t.State.assigned() {
		s.reportAnomaly(Event{Kind: "unexpectedRun", Task: r.Task, Run: r.Run, Executor: e.Executor, Reason: s.whyUnexpected(e, r)})
		s.pendingOrders = append(s.pendingOrders, Order{To: e.target(), Stop: &StopOrder{r.Task, r.Run, s.token(e)}})
		return false
	}
	if t.Incarnation != e.Incarnation {
		s.adoptRun(now, e, r.Task, j, t)
	}
	if t.State == TaskStopping && t.confirmedAt > 0 && t.confirmedAt.Add(stopTimeout) < h.Sent {
		// What confirmed the stop was not the run that is listed.
		t.confirmedAt = 0
		s.markUnsettled(r.Task)
	}
	if t.State == TaskStarting || t.recovered {
		s.markRunning(now, r.Task, j, t)
	}
	if r.Checkpoint != "" && r.Checkpoint != t.Checkpoint {
		t.Checkpoint, t.savedProgress = r.Checkpoint, r.Progress
	}
	s.measureSpeed(now, e, j, st, t, r)
	t.updateProgress(now, r.Progress)
	sample.addRun(e, st, r)
	return true
}

// adoptRun assigns a run of a task to the incarnation of e that reports it. The
// start order was made for an earlier incarnation, whose paces and stops the new
// one does not know.
func (s *Shard) adoptRun(now clock.Millis, e *Executor, id TaskID, j *Job, t *Task) {
	s.report(Event{Kind: "runAdopted", Task: id, Run: t.Run, Executor: e.Executor})
	t.Incarnation = e.Incarnation
	e.leaseExpiresBy = max(e.leaseExpiresBy, now.Add(s.longestLeaseAfterRestart()))
	t.orderedPace, t.targetPace = fullPace, fullPace
	if t.State == TaskStopping {
		t.confirmedAt, t.inFlight = 0, false
		s.markUnsettled(id)
	}
	s.markDirty(id.Job, j)
}

// releaseMissingRuns requeues the tasks of runs that are assigned to e and
// that it does not report. They belonged to an earlier incarnation, were never
// started before a takeover, or were lost by the executor.
func (s *Shard) releaseMissingRuns(now clock.Millis, e *Executor, h *HoldOrder, reported map[TaskID]unit.Run) {
	for i := len(e.runs) - 1; i >= 0; i-- {
		a := e.runs[i]
		if reported[a.id] == a.run {
			continue
		}
		if !a.isCurrent() {
			s.removeRun(e, a.id)
			continue
		}
		t := a.task
		confirmed := t.recovered || t.State == TaskRunning && t.confirmedAt > 0 && t.confirmedAt < h.Sent ||
			t.State == TaskStopping && t.confirmedAt > 0 && t.confirmedAt < h.Sent
		if t.State == TaskPlaced || t.Incarnation == e.Incarnation && !confirmed {
			continue
		}
		s.report(Event{Kind: "runGone", Task: a.id, Run: a.run, Executor: e.Executor})
		s.requeueTask(now, a.id, a.job, t, e)
	}
}

// releaseExpiredRuns requeues the tasks of executors whose leases must have
// expired. The leases of a reconciled executor that answers are renewed.
func (s *Shard) releaseExpiredRuns(now clock.Millis) {
	for _, e := range s.executors.All() {
		if len(e.runs) == 0 {
			continue
		}
		leaseEnd := s.leaseEnd(e)
		if !e.unresponsive && e.reconciled || now < leaseEnd {
			continue
		}
		for i := len(e.runs) - 1; i >= 0; i-- {
			a := e.runs[i]
			if !a.isCurrent() {
				s.removeRun(e, a.id)
				continue
			}
			if a.task.State == TaskPlaced {
				continue
			}
			s.report(Event{Kind: "runLapsed", Task: a.id, Run: a.run, Executor: e.Executor, Age: now.Sub(leaseEnd)})
			s.requeueTask(now, a.id, a.job, a.task, e)
		}
		e.reconciled = false
	}
}

// forEachTask calls visit for each task of a job that has a spec.
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
