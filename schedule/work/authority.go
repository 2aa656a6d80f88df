package work

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/job"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/worker"
)

// Authority is the part of the tenure of the data centre that scheduling work
// requires.
type Authority struct {
	IsOwner bool
	Epoch   unit.Epoch
	// AcceptUntil is the instant until which new jobs may be accepted.
	AcceptUntil clock.Millis
	// RunUntil is the instant until which attempts may be started and renewed.
	RunUntil clock.Millis
	// FormerOwnersEndAt is the instant from which no former owner renews leases, because
	// it has certainly stopped, has handed over, or its slow right has
	// expired. It is clock.Never while that instant is unknown.
	FormerOwnersEndAt clock.Millis
	// HandoverWorkers lists every worker at which a former owner that handed over may
	// have started an attempt. It is nil if there was no handover.
	HandoverWorkers []unit.Worker
}

// attemptsPerEpoch is the range of attempt numbers of each owner. A former
// owner may have used numbers whose records were not written, so a new owner
// starts in its own range and never reuses a number.
const attemptsPerEpoch unit.Attempt = 1 << 16

// mayAccept reports whether this process may accept jobs now.
func (b *Board) mayAccept(now clock.Millis) bool {
	return b.authority.IsOwner && !b.fenced && now < b.authority.AcceptUntil
}

// mayRun reports whether this process may start and renew attempts now.
func (b *Board) mayRun(now clock.Millis) bool {
	return b.authority.IsOwner && !b.fenced && now < b.authority.RunUntil
}

// formerAttemptsEnded reports whether no unknown attempt of a former owner can
// run any more.
func (b *Board) formerAttemptsEnded(now clock.Millis) bool { return now >= b.formerAttemptsEndAt }

// SetAuthority sets what this process may do under the current tenure. When the
// process becomes the owner, the board drops its state and recovers the jobs of
// the journal. Their tasks wait until the workers have reported or all leases
// of the former owner have expired.
func (b *Board) SetAuthority(now clock.Millis, r Authority) {
	becomesOwner := r.IsOwner && (!b.authority.IsOwner || r.Epoch > b.authority.Epoch)
	losesOwnership := b.authority.IsOwner && (!r.IsOwner || becomesOwner)
	if losesOwnership {
		b.ownedUntil, b.wasOwner = now, true
	}
	b.authority = r
	if losesOwnership || becomesOwner {
		b.resetOwnerState()
	}
	if becomesOwner {
		b.fenced = false
		b.formerAttemptsEndAt = clock.Never
		b.takeoverCompleted = false
		b.Jobs.Fence(r.Epoch)
		b.recoverJobs(now)
	}
	if r.IsOwner && b.formerAttemptsEndAt == clock.Never && r.FormerOwnersEndAt != clock.Never {
		end := r.FormerOwnersEndAt
		if b.wasOwner {
			end = max(end, b.ownedUntil)
		}
		b.formerAttemptsEndAt = end.Add(worker.WithClockDrift(worker.LeaseDuration))
	}
	if r.IsOwner {
		b.handoverWorkers = r.HandoverWorkers
	}
}

// resetOwnerState drops the state that only the current owner holds and that
// the journal does not contain.
func (b *Board) resetOwnerState() {
	for _, r := range b.Workers.Workers.All() {
		for len(r.AttemptIDs) > 0 {
			b.Workers.Deallocate(r.AttemptIDs[0])
		}
		r.Epoch, r.CommandsInFlight, r.Reserved, r.PendingReleases = 0, false, unit.Resources{}, nil
		r.RenewedAt = 0
	}
	b.Workers.Allocations.DeleteFunc(func(worker.AttemptID, *worker.Allocation) bool { return true })
	for _, k := range b.Jobs.Tasks.All() {
		k.AttemptsAtWorkers, k.InQueue = 0, false
	}
	for _, j := range b.Jobs.Jobs.All() {
		j.AttemptsAtWorkers = 0
	}
	for _, t := range b.Teams.Teams.All() {
		t.Allocated = unit.Resources{}
	}
	b.allocatedByClass = [len(b.allocatedByClass)]unit.Resources{}
	b.attemptsByKind.DeleteFunc(func(unit.Kind, *int) bool { return true })
	b.pendingRecords, b.deferred, b.pendingSpeculative, b.queues, b.handoverWorkers = nil, nil, nil, queues{}, nil
	b.pendingEnds.DeleteFunc(func(unit.Job, *int) bool { return true })
	b.pendingResults.DeleteFunc(func(worker.AttemptID, *int) bool { return true })
	b.reservations.DeleteFunc(func(unit.Task, *reservation) bool { return true })
}

// recoverJobs queues the jobs of the table after a takeover. All of them count
// as accepted. This includes a job whose submission had an unknown outcome:
// [Board.HandleWriteResult] removes a submitted job only if its record is
// certainly not in the journal.
func (b *Board) recoverJobs(now clock.Millis) {
	for id, j := range b.Jobs.Jobs.All() {
		if j.State.Ended() {
			continue
		}
		j.State, j.NoFormerAttempts = job.StateWaiting, false
		j.AcceptedAt = now
		if j.Deadline = clock.Never; j.Spec.Deadline > 0 {
			j.Deadline = now.Add(j.Spec.Deadline)
		}
		b.scratch.jobs = append(b.scratch.jobs, id)
	}
	for _, id := range b.scratch.jobs {
		j := b.Jobs.Jobs.Get(id)
		for i := range j.Spec.Tasks {
			k := b.Jobs.Tasks.Get(job.TaskID(id, i))
			k.QueuedSince = now
			if k.State == job.StateSubmitted {
				k.State = job.StateWaiting
			}
			if k.State.AwaitsWorker() {
				b.enqueue(job.TaskID(id, i), k, j)
			}
		}
	}
	b.scratch.jobs = b.scratch.jobs[:0]
}

// completeTakeover completes a takeover. Attempts that the journal assigns to
// a worker but that no worker has reported have ended, and their tasks are
// queued again. After a handover, this happens as soon as all workers of the
// former owner have reported.
func (b *Board) completeTakeover(now clock.Millis) {
	if b.handoverWorkers != nil && !b.formerAttemptsEnded(now) && !slices.ContainsFunc(b.handoverWorkers, b.hasNotReported) {
		b.formerAttemptsEndAt = now
	}
	if !b.formerAttemptsEnded(now) || b.takeoverCompleted {
		return
	}
	b.takeoverCompleted = true
	for id, k := range b.Jobs.Tasks.All() {
		if !k.State.Active() {
			continue
		}
		for _, a := range []unit.Attempt{k.Attempt, k.SpeculativeAttempt} {
			if ref := (worker.AttemptID{Task: id, Attempt: a}); a != 0 && b.Workers.Allocations.Get(ref) == nil {
				b.scratch.attemptIDs = append(b.scratch.attemptIDs, ref)
			}
		}
	}
	for _, ref := range b.scratch.attemptIDs {
		b.evictLost(now, ref.Task, ref.Attempt, "not found after a change of owner")
	}
	b.scratch.attemptIDs = b.scratch.attemptIDs[:0]
	b.retryBatchWork = true
}

// hasNotReported reports whether a worker has not reported to this owner
// yet.
func (b *Board) hasNotReported(w unit.Worker) bool {
	r := b.Workers.Workers.Get(w)
	return r == nil || r.Epoch != b.authority.Epoch
}

// evictLost records that an attempt ended without a result and queues its
// task again.
func (b *Board) evictLost(now clock.Millis, id unit.Task, a unit.Attempt, reason string) {
	k := b.Jobs.Tasks.Get(id)
	if k == nil {
		return
	}
	if !b.applyAndQueue(job.Evicted{Header: b.recordHeader(k.Job, id, a), Reason: reason}) {
		return
	}
	b.Count.Lost++
	b.requeueEvicted(now, id)
}
