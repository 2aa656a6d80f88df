package work

import (
	"errors"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/job"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
	"mimosadock/schedule/worker"
)

// Bounds of the handling of failures.
const (
	maxFailureWeight       = 4 // failures on two workers that have finished other work
	maxConsecutiveFailures = 8 // on any workers
	minBackoff             = 1 * clock.Second
	maxBackoff             = 1 * clock.Minute
	refusalBackoff         = 1 * clock.Second // after a worker refused a start
)

// HandleCommandBatchResult handles the result of a command batch. It ignores the
// result of any command batch other than the one in flight.
func (b *Board) HandleCommandBatchResult(now clock.Millis, result CommandBatchResult) {
	r := b.Workers.Workers.Get(result.Batch.Worker)
	if r == nil || !b.authority.IsOwner || !r.CommandsInFlight || result.Batch.ID != r.CommandBatchID {
		return
	}
	r.CommandsInFlight = false
	for i, c := range result.Batch.Commands {
		b.handleCommandResult(now, r, c, result.Errs[i])
	}
	if result.Report != nil {
		b.handleReport(now, r, result.Report)
	}
}

// handleCommandResult handles the result of one command. A failed command other
// than a start stays pending and is sent again.
func (b *Board) handleCommandResult(now clock.Millis, r *worker.Row, c Command, err error) {
	if errors.Is(err, worker.ErrFenced) {
		b.fenced = true
		b.Count.Fenced++
	}
	if c.Kind == CommandRelease && err == nil {
		r.PendingReleases = slices.DeleteFunc(r.PendingReleases, func(o worker.AttemptID) bool { return o == c.AttemptID })
	}
	a := b.Workers.Allocations.Get(c.AttemptID)
	if a == nil {
		return
	}
	if c.Kind == CommandStart {
		b.handleStartResult(now, r, a, verdict.Of(err))
		return
	}
	if err != nil {
		return
	}
	switch c.Kind {
	case CommandStop:
		r.PollSoon = true
	case CommandThrottle:
		b.Workers.SetShare(a, c.Share)
		if a.PendingShare == c.Share {
			a.PendingShare = 0
		}
		b.retryBatchWork = true
	case CommandCheckpoint:
		a.CheckpointPending, a.LastCheckpointAt = false, now
		r.PollSoon = true
		if k := b.Jobs.Tasks.Get(a.Task); a.Attempt == k.Attempt {
			k.Advance(job.StateCheckpointing)
		}
	}
}

// handleStartResult handles the verdict of a start. A start that certainly
// did not run is undone, and its worker is not used during refusalBackoff.
func (b *Board) handleStartResult(now clock.Millis, r *worker.Row, a *worker.Allocation, v verdict.Verdict) {
	switch v {
	case verdict.Ran:
		b.confirmStart(a)
	case verdict.DidNotRun:
		r.BackoffUntil = now.Add(refusalBackoff)
		b.undoPlacement(now, a.AttemptID)
	case verdict.MayHaveRun:
		a.Start = worker.StartUnknown
		r.PollSoon = true
	}
}

// confirmStart records that an attempt was started. The record is written
// only now, because workers are the authority on what they run.
func (b *Board) confirmStart(a *worker.Allocation) {
	if a.Start == worker.StartAccepted {
		return
	}
	a.Start = worker.StartAccepted
	b.Count.Starts++
	b.queueRecord(job.Started{Header: b.recordHeader(a.Job, a.Task, a.Attempt), Worker: a.Worker, Speculative: a.Speculative})
}

// undoPlacement removes a placement whose start certainly did not run and
// queues its task again.
func (b *Board) undoPlacement(now clock.Millis, ref worker.AttemptID) {
	a := b.Workers.Allocations.Get(ref)
	speculative := a.Speculative
	b.removeAttempt(now, a)
	k := b.Jobs.Tasks.Get(ref.Task)
	switch {
	case k == nil || k.State.Ended():
	case speculative:
		k.SpeculativeAttempt = 0
	case k.Advance(job.StateWaiting), k.Advance(job.StateEvicted):
		b.enqueue(ref.Task, k, b.Jobs.Jobs.Get(k.Job))
	}
}

// removeAttempt removes an attempt that has certainly ended and releases its
// resources.
func (b *Board) removeAttempt(now clock.Millis, a *worker.Allocation) {
	ref, w := a.AttemptID, a.Worker
	b.allocatedByClass[a.Class] = b.allocatedByClass[a.Class].Sub(a.Size)
	*b.attemptsByKind.Ensure(a.Kind)--
	if a.Team != "" {
		b.Teams.Release(a.Team, a.Size)
	}
	if k := b.Jobs.Tasks.Get(ref.Task); k != nil {
		k.AttemptsAtWorkers--
	}
	if j := b.Jobs.Jobs.Get(a.Job); j != nil {
		j.AttemptsAtWorkers--
	}
	b.addUsageSample(a)
	b.Workers.Deallocate(ref)
	b.updateHistory(now, w)
	b.retryBatchWork = true
}

// addAttempt adds an attempt and accounts for its resources.
func (b *Board) addAttempt(now clock.Millis, a worker.Allocation) *worker.Allocation {
	b.allocatedByClass[a.Class] = b.allocatedByClass[a.Class].Add(a.Size)
	*b.attemptsByKind.Ensure(a.Kind)++
	if a.Team != "" {
		b.Teams.Acquire(a.Team, a.Size)
	}
	if k := b.Jobs.Tasks.Get(a.Task); k != nil {
		k.AttemptsAtWorkers++
	}
	if j := b.Jobs.Jobs.Get(a.Job); j != nil {
		j.AttemptsAtWorkers++
	}
	row := b.Workers.Allocate(a)
	b.updateHistory(now, a.Worker)
	return row
}

// updateHistory records the kinds that a worker runs now.
func (b *Board) updateHistory(now clock.Millis, w unit.Worker) {
	if r := b.Workers.Workers.Get(w); r != nil {
		r.History.Record(now, b.Workers.Kinds(r))
	}
}

// handleReport handles a report, which lists every attempt that the worker
// runs and every result that it keeps. A report of a higher epoch fences
// this owner.
func (b *Board) handleReport(now clock.Millis, r *worker.Row, rep *worker.Report) {
	if rep.Epoch > b.authority.Epoch {
		b.fenced = true
		return
	}
	restarted := r.Instance != rep.Instance
	r.Epoch, r.ReportWrittenAt, r.ReportReceivedAt, r.Capacity = b.authority.Epoch, rep.Stamp, now, rep.Capacity
	r.Instance = rep.Instance
	r.PollSoon, r.MeasuredUsage = false, unit.Resources{}
	if b.scratch.seen == nil {
		b.scratch.seen = make(map[worker.AttemptID]bool)
	}
	clear(b.scratch.seen)
	for i := range rep.Statuses {
		st := &rep.Statuses[i]
		ref := worker.AttemptID{Task: st.Task, Attempt: st.Attempt}
		b.scratch.seen[ref] = true
		if st.Phase.Live() {
			r.MeasuredUsage = r.MeasuredUsage.Add(st.Usage)
		}
		if a := b.Workers.Allocations.Get(ref); a != nil && a.Worker == r.ID {
			b.handleStatus(now, r, a, st)
		} else {
			b.handleUnknownAttempt(now, r, st)
		}
	}
	for _, ref := range slices.Clone(r.AttemptIDs) {
		if !b.scratch.seen[ref] {
			b.handleMissing(now, r, b.Workers.Allocations.Get(ref), restarted)
		}
	}
	b.reduceOverload(now, r)
}

// handleStatus handles the status of an attempt that is allocated to the
// reporting worker.
func (b *Board) handleStatus(now clock.Millis, r *worker.Row, a *worker.Allocation, st *worker.Status) {
	b.confirmStart(a)
	switch st.Phase {
	case worker.PhaseFinished:
		b.handleFinished(now, r, st)
	case worker.PhaseFailed:
		b.handleFailed(now, r, a, st)
	case worker.PhaseStopped:
		b.handleStopped(now, a, st.Reason)
	default:
		b.handleProgress(now, r, a, st)
	}
}

// handleMissing handles an attempt that the report does not list. An attempt
// whose start succeeded has ended, and so has one that was sent to an
// earlier instance of the worker. An attempt whose start has an unknown
// outcome is stopped, which also makes the worker refuse a start that is
// still in flight.
func (b *Board) handleMissing(now clock.Millis, r *worker.Row, a *worker.Allocation, restarted bool) {
	if restarted && a.Start == worker.StartUnknown {
		a.Start = worker.StartAccepted
	}
	switch a.Start {
	case worker.StartAccepted:
		b.handleStopped(now, a, "worker does not know the attempt")
	case worker.StartUnknown:
		if now >= a.LeaseEnd {
			b.handleStopped(now, a, "start is too late by now")
			return
		}
		a.StopReason, a.StopBy = worker.StopUnknownStart, 0
		r.CommandsPending = true
	case worker.StartPending:
	}
}

// handleStopped handles an attempt that ended without a result and queues
// its task again.
func (b *Board) handleStopped(now clock.Millis, a *worker.Allocation, reason string) {
	ref, stopReason := a.AttemptID, a.StopReason
	b.removeAttempt(now, a)
	k := b.Jobs.Tasks.Get(ref.Task)
	if k == nil || k.State.Ended() {
		return
	}
	m := job.Evicted{Header: b.recordHeader(k.Job, ref.Task, ref.Attempt), Reason: reason}
	switch stopReason {
	case worker.StopPreempted:
		m.Counted, m.Reason = true, "evicted for other work"
	case worker.StopForMigration:
		m.Reason = "moved through a checkpoint"
	case worker.StopNone, worker.StopEnded, worker.StopUnknownStart:
	}
	if !b.applyAndQueue(m) {
		return
	}
	switch stopReason {
	case worker.StopPreempted:
		b.Count.Evictions++
	case worker.StopForMigration:
		b.Count.Migrations++
	case worker.StopNone, worker.StopEnded, worker.StopUnknownStart:
		b.Count.Lost++
	}
	b.requeueEvicted(now, ref.Task)
}

// requeueEvicted queues a task whose last attempt has ended.
func (b *Board) requeueEvicted(now clock.Millis, id unit.Task) {
	k := b.Jobs.Tasks.Get(id)
	if k.State != job.StateEvicted {
		return
	}
	j := b.Jobs.Jobs.Get(k.Job)
	if j.Terms.Class == service.Standing {
		b.Count.Interruptions++
	}
	k.QueuedSince = now
	b.enqueue(id, k, j)
}

// handleUnknownAttempt handles a status of an attempt that is not allocated to
// the worker: one of a former owner, or one whose lease was considered expired.
// A running attempt is adopted if it is a current or newer attempt of a task
// without allocations; otherwise it is stopped. A result is recorded if the
// task can still finish. Anything else that the worker keeps is released,
// unless its record is still being written. An attempt that is stopped counts
// as batch work, because its class may be unknown.
func (b *Board) handleUnknownAttempt(now clock.Millis, r *worker.Row, st *worker.Status) {
	k := b.Jobs.Tasks.Get(st.Task)
	unfinished := k != nil && !k.State.Ended()
	newer := unfinished && st.Attempt > k.LastAttempt
	current := unfinished && k.State.Active() && (st.Attempt == k.Attempt || st.Attempt == k.SpeculativeAttempt)
	ref := worker.AttemptID{Task: st.Task, Attempt: st.Attempt}
	switch {
	case st.Phase.Live() && k != nil && k.AttemptsAtWorkers == 0 && (newer || current):
		b.adoptAttempt(now, r, k, st)
	case st.Phase.Live():
		a := b.addAttempt(now, worker.Allocation{
			AttemptID: ref, Worker: r.ID, Kind: st.Kind, Class: service.Batch, Size: st.Limit,
			Start: worker.StartAccepted, LeaseEnd: worker.LeaseEndAfter(now), StopReason: worker.StopEnded,
		})
		if k != nil {
			a.Job = k.Job
			b.Jobs.Jobs.Get(k.Job).AttemptsAtWorkers++
		}
		r.CommandsPending = true
	case st.Phase == worker.PhaseFinished && unfinished && job.CanTransition(k.State, job.StateFinished):
		b.handleFinished(now, r, st)
	case b.pendingResults.Get(ref) == nil:
		if current && k.AttemptsAtWorkers == 0 {
			b.evictLost(now, st.Task, st.Attempt, st.Reason)
		}
		b.requestRelease(r, ref)
	}
}

// adoptAttempt takes over an attempt that a former owner started.
func (b *Board) adoptAttempt(now clock.Millis, r *worker.Row, k *job.Task, st *worker.Status) {
	if st.Attempt > k.LastAttempt {
		if k.State.Active() {
			// The attempt in the journal ended before this one started.
			b.applyAndQueue(job.Evicted{Header: b.recordHeader(k.Job, st.Task, k.Attempt), Reason: "overtaken by a later attempt"})
		}
		b.applyAndQueue(job.Started{Header: b.recordHeader(k.Job, st.Task, st.Attempt), Worker: r.ID})
	}
	j := b.Jobs.Jobs.Get(k.Job)
	a := b.addAttempt(now, worker.Allocation{
		AttemptID: worker.AttemptID{Task: st.Task, Attempt: st.Attempt}, Job: k.Job, Worker: r.ID, Kind: j.Spec.Kind,
		Team: j.Spec.Team, Class: j.Terms.Class, Size: st.Limit, Start: worker.StartAccepted,
		LeaseEnd: worker.LeaseEndAfter(now), PlacedAt: now, Saved: k.Saved, InitialProgress: k.Saved,
	})
	b.handleProgress(now, r, a, st)
}

// handleFinished records the result of an attempt and stops the other
// attempts of its task. A result of a task that has already ended changes
// nothing.
func (b *Board) handleFinished(now clock.Millis, r *worker.Row, st *worker.Status) {
	ref := worker.AttemptID{Task: st.Task, Attempt: st.Attempt}
	if a := b.Workers.Allocations.Get(ref); a != nil && a.Worker == r.ID {
		b.addRunTimeSample(a, st)
		b.removeAttempt(now, a)
	}
	k := b.Jobs.Tasks.Get(st.Task)
	if k == nil {
		return
	}
	m := job.Finished{Header: b.recordHeader(k.Job, st.Task, st.Attempt), Worker: r.ID, Result: st.Result}
	if !b.applyAndQueue(m) {
		return
	}
	r.Health.RecordSuccess()
	b.Count.Finished++
	b.pendingResults.Put(ref, 1)
	b.stopAttempts(st.Task, k)
	if j := b.Jobs.Jobs.Get(k.Job); j.State.Ended() {
		b.stopEndedJob(now, j)
	}
}

// handleFailed handles a failed attempt. The failure is final for the task
// only after it has failed on another worker too or too many times in a row.
// A failure has no weight if its worker fails other kinds as well, and tasks
// of standing work never fail for good.
func (b *Board) handleFailed(now clock.Millis, r *worker.Row, a *worker.Allocation, st *worker.Status) {
	ref, kind := a.AttemptID, a.Kind
	b.removeAttempt(now, a)
	if r.Health.RecordFailure(kind) {
		b.Count.Quarantines++
	}
	k := b.Jobs.Tasks.Get(ref.Task)
	if k == nil || k.State.Ended() {
		return
	}
	j := b.Jobs.Jobs.Get(k.Job)
	k.ConsecutiveFailures++
	m := job.Failed{Header: b.recordHeader(k.Job, ref.Task, ref.Attempt), Worker: r.ID, Reason: st.Reason}
	m.Final = j.Terms.Class != service.Standing && (k.ConsecutiveFailures >= maxConsecutiveFailures || b.failureWeight(k, r.ID) >= maxFailureWeight)
	if !b.applyAndQueue(m) {
		return
	}
	b.pendingResults.Put(ref, 1)
	if j.State.Ended() {
		b.Count.Failed++
		b.stopEndedJob(now, j)
		return
	}
	k.BackoffUntil = now.Add(min(minBackoff<<min(k.ConsecutiveFailures-1, 6), maxBackoff))
	b.requeueEvicted(now, ref.Task)
}

// failureWeight adds up the weights of the failures of k, including one at
// w.
func (b *Board) failureWeight(k *job.Task, w unit.Worker) int {
	sum := 0
	for _, id := range k.FailedOn {
		if r := b.Workers.Workers.Get(id); r != nil && id != w {
			sum += r.Health.FailureWeight()
		}
	}
	if r := b.Workers.Workers.Get(w); r != nil {
		sum += r.Health.FailureWeight()
	}
	return sum
}

// expireLeases ends attempts whose lease has certainly expired.
func (b *Board) expireLeases(now clock.Millis) {
	for _, r := range b.Workers.Workers.All() {
		if now.Sub(r.ReportReceivedAt) < worker.LeaseDuration {
			continue
		}
		for _, ref := range r.AttemptIDs {
			if a := b.Workers.Allocations.Get(ref); now >= a.LeaseEnd {
				b.scratch.attemptIDs = append(b.scratch.attemptIDs, ref)
			}
		}
	}
	refs := slices.Clone(b.scratch.attemptIDs)
	b.scratch.attemptIDs = b.scratch.attemptIDs[:0]
	for _, ref := range refs {
		b.handleStopped(now, b.Workers.Allocations.Get(ref), "lease ended")
	}
}
