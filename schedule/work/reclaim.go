package work

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/job"
	"mimosadock/schedule/placement"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/worker"
)

// Bounds of freeing capacity.
const (
	throttledShare          = 0.25              // fraction of its processor limit that a throttled attempt gets
	reservationTimeout      = 10 * clock.Second // after which another worker is considered
	maxCandidates           = 32                // workers whose victims are compared
	unthrottleMarginDivisor = 10                // 1/10 of the processor capacity stays free when throttling ends
)

// reservation is capacity at a worker that is being freed for a task.
type reservation struct {
	worker unit.Worker
	size   unit.Resources
	until  clock.Millis
}

// reclaimCapacity frees capacity for a task by throttling or evicting batch
// work, and reserves that capacity. It chooses the worker with the smallest
// loss among the first maxCandidates.
func (b *Board) reclaimCapacity(now clock.Millis, id unit.Task, k *job.Task, size unit.Resources) {
	var best reclaimPlan
	candidates := 0
	for w, r := range b.Workers.Workers.All() {
		if r.Health.Quarantined || !r.Ready(b.authority.Epoch, now) || excludesWorker(now, k, w) || !size.Fits(r.Free().Add(r.BatchAllocated)) {
			continue
		}
		p, ok := b.planReclaim(now, r, size)
		if ok && (best.worker == "" || p.score > best.score) {
			best = p
		}
		if candidates++; candidates == maxCandidates {
			break
		}
	}
	if best.worker == "" {
		return
	}
	for _, ref := range best.throttle {
		b.Workers.Allocations.Get(ref).PendingShare = throttledShare
		b.Count.Throttles++
	}
	for _, ref := range best.evict {
		b.requestStop(b.Workers.Allocations.Get(ref), worker.StopPreempted)
	}
	b.markChanged(best.worker)
	r := b.Workers.Workers.Get(best.worker)
	r.Reserved = r.Reserved.Add(size)
	b.reservations.Put(id, reservation{best.worker, size, now.Add(reservationTimeout)})
}

// reclaimPlan is a set of attempts to throttle or evict at one worker.
type reclaimPlan struct {
	worker   unit.Worker
	score    float64 // sum over the victims; 0 if throttling suffices
	throttle []worker.AttemptID
	evict    []worker.AttemptID
}

// planReclaim plans how to free capacity of the given size at a worker. The
// plan throttles attempts if only processor is missing and throttling frees
// enough of it. Otherwise it evicts the best victims. It reports false if
// even that does not free enough.
func (b *Board) planReclaim(now clock.Millis, r *worker.Row, size unit.Resources) (reclaimPlan, bool) {
	p := reclaimPlan{worker: r.ID}
	free := r.Free()
	var victims []placement.Victim
	var refs []worker.AttemptID
	for _, ref := range r.AttemptIDs {
		a := b.Workers.Allocations.Get(ref)
		if a.Class != service.Batch {
			continue
		}
		if a.StopReason != worker.StopNone {
			// The attempt is being stopped and frees its capacity anyway.
			free = free.Add(a.Limit())
			continue
		}
		if v := b.victimOf(now, a); v.WithinBudget {
			victims, refs = append(victims, v), append(refs, ref)
		}
	}
	if b.Policies.Throttle && b.planThrottle(&p, free, refs, size) {
		return p, true
	}
	for !size.Fits(free) {
		i := placement.Best(b.Policies.Victim, victims)
		if i < 0 {
			return p, false
		}
		p.score += b.Policies.Victim.Score(victims[i])
		p.evict = append(p.evict, refs[i])
		free = free.Add(victims[i].Freed)
		victims, refs = slices.Delete(victims, i, i+1), slices.Delete(refs, i, i+1)
	}
	return p, true
}

// planThrottle adds attempts to throttle to the plan. It reports false and
// adds none if throttling does not free enough.
func (b *Board) planThrottle(p *reclaimPlan, free unit.Resources, refs []worker.AttemptID, size unit.Resources) bool {
	for _, ref := range refs {
		if size.Fits(free) {
			return true
		}
		a := b.Workers.Allocations.Get(ref)
		if a.Share <= throttledShare || a.PendingShare != 0 {
			continue
		}
		free.CPU += unit.MilliCPU(float64(a.Size.CPU) * (a.Share - throttledShare))
		p.throttle = append(p.throttle, ref)
	}
	if size.Fits(free) {
		return true
	}
	p.throttle = nil
	return false
}

// reservedWorker returns the worker of a reservation once its capacity is
// free, or the empty string. It cancels the reservation if that has timed
// out or if the worker is unknown or does not accept starts.
func (b *Board) reservedWorker(now clock.Millis, id unit.Task, res *reservation) unit.Worker {
	r := b.Workers.Workers.Get(res.worker)
	if r == nil || now >= res.until || !r.Ready(b.authority.Epoch, now) {
		b.cancelReservation(id)
		return ""
	}
	if res.size.Fits(r.Free().Add(res.size)) {
		return res.worker
	}
	return ""
}

// cancelReservation releases the capacity that is reserved for a task, if
// any.
func (b *Board) cancelReservation(id unit.Task) {
	res := b.reservations.Get(id)
	if res == nil {
		return
	}
	if r := b.Workers.Workers.Get(res.worker); r != nil {
		r.Reserved = r.Reserved.Sub(res.size)
	}
	b.reservations.Delete(id)
	b.retryBatchWork = true
}

// expireReservations cancels the reservations that have timed out.
func (b *Board) expireReservations(now clock.Millis) {
	for id, res := range b.reservations.All() {
		if now >= res.until {
			b.scratch.tasks = append(b.scratch.tasks, id)
		}
	}
	for _, id := range b.scratch.tasks {
		b.cancelReservation(id)
	}
	b.scratch.tasks = b.scratch.tasks[:0]
}

// reduceOverload throttles one attempt if the measured processor usage of a
// worker exceeds its capacity, and evicts one if its memory usage does. This
// is the only eviction that ignores the eviction budget of a job, because
// the host would otherwise run out of memory.
func (b *Board) reduceOverload(now clock.Millis, r *worker.Row) {
	if r.MeasuredUsage.CPU > r.Capacity.CPU && b.Policies.Throttle {
		b.throttleOne(r)
	}
	excessMemory := r.MeasuredUsage.Memory - r.Capacity.Memory
	if excessMemory <= 0 {
		return
	}
	var victims []placement.Victim
	var refs []worker.AttemptID
	for _, ref := range r.AttemptIDs {
		a := b.Workers.Allocations.Get(ref)
		if a.StopReason != worker.StopNone {
			excessMemory -= a.PeakUsage.Memory
		} else if a.Class == service.Batch {
			victims, refs = append(victims, b.victimOf(now, a)), append(refs, ref)
		}
	}
	if i := placement.Best(b.Policies.Victim, victims); i >= 0 && excessMemory > 0 {
		b.requestStop(b.Workers.Allocations.Get(refs[i]), worker.StopPreempted)
	}
}

// throttleOne throttles the first batch attempt that is not throttled yet.
func (b *Board) throttleOne(r *worker.Row) {
	for _, ref := range r.AttemptIDs {
		a := b.Workers.Allocations.Get(ref)
		if a.Class == service.Batch && a.Share > throttledShare && a.PendingShare == 0 && a.StopReason == worker.StopNone {
			a.PendingShare = throttledShare
			r.CommandsPending = true
			b.Count.Throttles++
			return
		}
	}
}

// endThrottling ends the throttling of attempts whose worker has enough free
// processor capacity again.
func (b *Board) endThrottling() {
	for _, r := range b.Workers.Workers.All() {
		for _, ref := range r.AttemptIDs {
			a := b.Workers.Allocations.Get(ref)
			if a.Share == 1 || a.PendingShare != 0 || a.StopReason != worker.StopNone {
				continue
			}
			extra := a.Size.CPU - a.Limit().CPU
			if extra <= r.Free().CPU && r.MeasuredUsage.CPU+extra <= r.Capacity.CPU-r.Capacity.CPU/unthrottleMarginDivisor {
				a.PendingShare = 1
				// The capacity is allocated before the command is sent.
				b.Workers.SetShare(a, 1)
				r.CommandsPending = true
			}
		}
	}
}

// reclaimBorrowed migrates or evicts one batch attempt of a team that exceeds
// its quota, if a team within its quota has waiting batch work.
func (b *Board) reclaimBorrowed(now clock.Millis) {
	if b.allocatedByClass[service.Batch] == (unit.Resources{}) {
		return
	}
	isTeamWaiting := false
	for name, queue := range b.queues.batch.All() {
		if t := b.Teams.Teams.Get(name); queue.Len() > 0 && t != nil && !t.Borrows(unit.Resources{CPU: 1}) {
			isTeamWaiting = true
			break
		}
	}
	if !isTeamWaiting {
		return
	}
	var victims []placement.Victim
	var refs []worker.AttemptID
	for ref, a := range b.Workers.Allocations.All() {
		if a.StopReason == worker.StopForMigration {
			return // one migration at a time
		}
		if a.Class != service.Batch || a.StopReason != worker.StopNone || a.Start != worker.StartAccepted {
			continue
		}
		if v := b.victimOf(now, a); v.TeamBorrows && v.WithinBudget {
			victims, refs = append(victims, v), append(refs, ref)
		}
	}
	i := placement.Best(b.Policies.Victim, victims)
	if i < 0 {
		return
	}
	a := b.Workers.Allocations.Get(refs[i])
	if j := b.Jobs.Jobs.Get(a.Job); j != nil && j.Terms.CheckpointInterval > 0 {
		b.startMigration(now, b.Workers.Workers.Get(a.Worker), a)
		return
	}
	b.requestStop(a, worker.StopPreempted)
}

// impossibleAfter is the time that a task waits before its job can end as
// impossible because no known worker is large enough. The list of hosts lags,
// so a large worker may be missing from it.
const impossibleAfter = 1 * clock.Minute

// endImpossible ends a job if its task has waited for impossibleAfter and no
// known worker is large enough for it. It reports whether that condition holds.
func (b *Board) endImpossible(now clock.Millis, id unit.Task, k *job.Task, j *job.Job) bool {
	if !b.mayRun(now) || !b.formerAttemptsEnded(now) || !k.State.AwaitsWorker() || k.AttemptsAtWorkers > 0 {
		return false
	}
	if now.Sub(k.QueuedSince) < impossibleAfter || b.Workers.Workers.Len() == 0 {
		return false
	}
	for _, r := range b.Workers.Workers.All() {
		if j.Terms.Size.Fits(r.Capacity) {
			return false
		}
	}
	if b.applyAndQueue(job.Impossible{Header: b.recordHeader(k.Job, id, 0), Reason: "no worker is large enough any more"}) {
		b.stopEndedJob(now, j)
	}
	return true
}
