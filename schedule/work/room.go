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

// Terms of making room.
const (
	minThrottledShare       = 0.25              // throttling leaves a task at least this part
	reservationTimeout      = 10 * clock.Second // then the room is sought elsewhere
	maxCandidates           = 32                // workers for which victims are compared
	unthrottleMarginDivisor = 10                // one part of the capacity stays free when throttling ends
)

// reservation is room that is being made for a task at a worker.
type reservation struct {
	worker unit.Worker
	size   unit.Resources
	until  clock.Millis
}

// makeRoom throttles or evicts batch work for a task at the worker where the
// least is lost, and promises the room to the task.
func (b *Board) makeRoom(now clock.Millis, id unit.Task, k *job.Task, size unit.Resources) {
	var best roomPlan
	seen := 0
	for w, r := range b.Workers.Workers.All() {
		if r.Health.Quarantined || !r.Ready(b.right.Epoch, now) || excludesWorker(now, k, w) || !size.Fits(r.Free().Add(r.BatchUsed)) {
			continue
		}
		p, ok := b.planRoom(now, r, size)
		if ok && (best.worker == "" || p.score > best.score) {
			best = p
		}
		if seen++; seen == maxCandidates {
			break
		}
	}
	if best.worker == "" {
		return
	}
	for _, ref := range best.throttle {
		b.Workers.Held.Get(ref).PendingShare = minThrottledShare
		b.Count.Throttles++
	}
	for _, ref := range best.evict {
		b.requestStop(b.Workers.Held.Get(ref), worker.StopForRoom)
	}
	b.markChanged(best.worker)
	r := b.Workers.Workers.Get(best.worker)
	r.Reserved = r.Reserved.Add(size)
	b.reservations.Put(id, reservation{best.worker, size, now.Add(reservationTimeout)})
}

// roomPlan is a way to make room at a worker.
type roomPlan struct {
	worker   unit.Worker
	score    float64 // sum over the victims; 0 if throttling is enough
	throttle []worker.Ref
	evict    []worker.Ref
}

// planRoom returns how to make room at a worker: by throttling if only processor
// is missing and that frees enough, else by evicting the best victims.
func (b *Board) planRoom(now clock.Millis, r *worker.Row, size unit.Resources) (roomPlan, bool) {
	p := roomPlan{worker: r.ID}
	free := r.Free()
	var victims []placement.Victim
	var refs []worker.Ref
	for _, ref := range r.Refs {
		h := b.Workers.Held.Get(ref)
		if h.Class != service.Batch {
			continue
		}
		if h.Stop != worker.StopNone {
			// It is leaving already; its room comes without another victim.
			free = free.Add(h.Limit())
			continue
		}
		if v := b.victimOf(now, h); v.WithinBudget {
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

func (b *Board) planThrottle(p *roomPlan, free unit.Resources, refs []worker.Ref, size unit.Resources) bool {
	for _, ref := range refs {
		if size.Fits(free) {
			return true
		}
		h := b.Workers.Held.Get(ref)
		if h.Share <= minThrottledShare || h.PendingShare != 0 {
			continue
		}
		free.CPU += unit.MilliCPU(float64(h.Size.CPU) * (h.Share - minThrottledShare))
		p.throttle = append(p.throttle, ref)
	}
	if size.Fits(free) {
		return true
	}
	p.throttle = nil
	return false
}

// reservedWorker returns the promised worker once the room is there.
func (b *Board) reservedWorker(now clock.Millis, id unit.Task, p *reservation) unit.Worker {
	r := b.Workers.Workers.Get(p.worker)
	if r == nil || now >= p.until || !r.Ready(b.right.Epoch, now) {
		b.cancelReservation(id)
		return ""
	}
	if p.size.Fits(r.Free().Add(p.size)) {
		return p.worker
	}
	return ""
}

func (b *Board) cancelReservation(id unit.Task) {
	p := b.reservations.Get(id)
	if p == nil {
		return
	}
	if r := b.Workers.Workers.Get(p.worker); r != nil {
		r.Reserved = r.Reserved.Sub(p.size)
	}
	b.reservations.Delete(id)
	b.batchDue = true
}

func (b *Board) expireReservations(now clock.Millis) {
	for id, p := range b.reservations.All() {
		if now >= p.until {
			b.scratch.tasks = append(b.scratch.tasks, id)
		}
	}
	for _, id := range b.scratch.tasks {
		b.cancelReservation(id)
	}
	b.scratch.tasks = b.scratch.tasks[:0]
}

// reduceOverload acts on a worker whose measured usage exceeds its capacity: it
// throttles for processor and evicts for memory. Here alone the budget of a job
// doesn't protect it, since the host would hold more than it can.
func (b *Board) reduceOverload(now clock.Millis, r *worker.Row) {
	if r.MeasuredUsage.CPU > r.Capacity.CPU && b.Policies.Throttle {
		b.throttleOne(r)
	}
	excessMemory := r.MeasuredUsage.Memory - r.Capacity.Memory
	if excessMemory <= 0 {
		return
	}
	var victims []placement.Victim
	var refs []worker.Ref
	for _, ref := range r.Refs {
		h := b.Workers.Held.Get(ref)
		if h.Stop != worker.StopNone {
			excessMemory -= h.PeakUsage.Memory
		} else if h.Class == service.Batch {
			victims, refs = append(victims, b.victimOf(now, h)), append(refs, ref)
		}
	}
	if i := placement.Best(b.Policies.Victim, victims); i >= 0 && excessMemory > 0 {
		b.requestStop(b.Workers.Held.Get(refs[i]), worker.StopForRoom)
	}
}

func (b *Board) throttleOne(r *worker.Row) {
	for _, ref := range r.Refs {
		h := b.Workers.Held.Get(ref)
		if h.Class == service.Batch && h.Share > minThrottledShare && h.PendingShare == 0 && h.Stop == worker.StopNone {
			h.PendingShare = minThrottledShare
			r.CallsPending = true
			b.Count.Throttles++
			return
		}
	}
}

// endThrottling ends throttling where there is room again.
func (b *Board) endThrottling() {
	for _, r := range b.Workers.Workers.All() {
		for _, ref := range r.Refs {
			h := b.Workers.Held.Get(ref)
			if h.Share == 1 || h.PendingShare != 0 || h.Stop != worker.StopNone {
				continue
			}
			more := h.Size.CPU - h.Limit().CPU
			if more <= r.Free().CPU && r.MeasuredUsage.CPU+more <= r.Capacity.CPU-r.Capacity.CPU/unthrottleMarginDivisor {
				h.PendingShare = 1
				// The room is taken before the worker is asked.
				b.Workers.SetShare(h, 1)
				r.CallsPending = true
			}
		}
	}
}

// reclaimBorrowed moves batch work of a team that borrows, if a team within its quota
// waits and nothing is free for it.
func (b *Board) reclaimBorrowed(now clock.Millis) {
	if b.usedByClass[service.Batch] == (unit.Resources{}) {
		return
	}
	isTeamWaiting := false
	for name, line := range b.queues.batch.All() {
		if t := b.Teams.Teams.Get(name); line.Len() > 0 && t != nil && !t.Borrows(unit.Resources{CPU: 1}) {
			isTeamWaiting = true
			break
		}
	}
	if !isTeamWaiting {
		return
	}
	var victims []placement.Victim
	var refs []worker.Ref
	for ref, h := range b.Workers.Held.All() {
		if h.Stop == worker.StopForMove {
			return // one at a time
		}
		if h.Class != service.Batch || h.Stop != worker.StopNone || h.Start != worker.StartAnswered {
			continue
		}
		if v := b.victimOf(now, h); v.TeamBorrows && v.WithinBudget {
			victims, refs = append(victims, v), append(refs, ref)
		}
	}
	i := placement.Best(b.Policies.Victim, victims)
	if i < 0 {
		return
	}
	h := b.Workers.Held.Get(refs[i])
	if j := b.Jobs.Jobs.Get(h.Job); j != nil && j.Terms.Checkpoint > 0 {
		b.startMove(now, b.Workers.Workers.Get(h.Worker), h)
		return
	}
	b.requestStop(h, worker.StopForRoom)
}

// impossibleAfter is how long no known worker may be large enough for accepted
// work before it is impossible; the list of hosts lags.
const impossibleAfter = 1 * clock.Minute

// endImpossible ends a job for whose tasks no known worker is large enough.
func (b *Board) endImpossible(now clock.Millis, id unit.Task, k *job.Task, j *job.Job) bool {
	if !b.mayRun(now) || !b.isSettled(now) || !k.State.Queued() || k.Allocated > 0 {
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
	if b.emit(job.Impossible{Head: b.recordHead(k.Job, id, 0), Reason: "no worker is large enough any more"}) {
		b.stopEndedJob(now, j)
	}
	return true
}
