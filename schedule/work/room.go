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
	leastShare    = 0.25              // throttling leaves a task at least this part
	promiseFor    = 10 * clock.Second // then the room is sought elsewhere
	maxCandidates = 32                // workers for which victims are compared
	relaxMargin   = 10                // one part of the capacity stays free when throttling ends
)

// promise is room that is being made for a task at a worker.
type promise struct {
	worker unit.Worker
	size   unit.Resources
	until  clock.Millis
}

// makeRoom throttles or evicts batch work for a task at the worker where the
// least is lost, and promises the room to the task.
func (b *Board) makeRoom(now clock.Millis, id unit.Task, k *job.Task, size unit.Resources) {
	var best plan
	seen := 0
	for w, r := range b.Workers.Workers.All() {
		if r.Health.Quarantined || !r.Ready(b.right.Epoch, now) || avoids(now, k, w) || !size.Fits(r.Free().Add(r.Batch)) {
			continue
		}
		p, ok := b.planAt(now, r, size)
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
		b.Workers.Held.Get(ref).WantShare = leastShare
		b.Count.Throttles++
	}
	for _, ref := range best.evict {
		b.stop(b.Workers.Held.Get(ref), worker.ForRoom)
	}
	b.touch(best.worker)
	r := b.Workers.Workers.Get(best.worker)
	r.Promised = r.Promised.Add(size)
	b.promises.Put(id, promise{best.worker, size, now.Add(promiseFor)})
}

// plan is a way to make room at a worker.
type plan struct {
	worker   unit.Worker
	score    float64 // sum over the victims; 0 if throttling is enough
	throttle []worker.Ref
	evict    []worker.Ref
}

// planAt returns how to make room at a worker: by throttling if only processor
// is missing and that frees enough, else by evicting the best victims.
func (b *Board) planAt(now clock.Millis, r *worker.Row, size unit.Resources) (plan, bool) {
	p := plan{worker: r.ID}
	free := r.Free()
	var victims []placement.Victim
	var refs []worker.Ref
	for _, ref := range r.Refs {
		h := b.Workers.Held.Get(ref)
		if h.Class != service.Batch {
			continue
		}
		if h.Stop != worker.Keep {
			// It is leaving already; its room comes without another victim.
			free = free.Add(h.Limit())
			continue
		}
		if v := b.victimOf(now, h); v.Budget {
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
		free = free.Add(victims[i].Frees)
		victims, refs = slices.Delete(victims, i, i+1), slices.Delete(refs, i, i+1)
	}
	return p, true
}

func (b *Board) planThrottle(p *plan, free unit.Resources, refs []worker.Ref, size unit.Resources) bool {
	for _, ref := range refs {
		if size.Fits(free) {
			return true
		}
		h := b.Workers.Held.Get(ref)
		if h.Share <= leastShare || h.WantShare != 0 {
			continue
		}
		free.CPU += unit.MilliCPU(float64(h.Size.CPU) * (h.Share - leastShare))
		p.throttle = append(p.throttle, ref)
	}
	if size.Fits(free) {
		return true
	}
	p.throttle = nil
	return false
}

// redeem returns the promised worker once the room is there.
func (b *Board) redeem(now clock.Millis, id unit.Task, p *promise) unit.Worker {
	r := b.Workers.Workers.Get(p.worker)
	if r == nil || now >= p.until || !r.Ready(b.right.Epoch, now) {
		b.forgetPromise(id)
		return ""
	}
	if p.size.Fits(r.Free().Add(p.size)) {
		return p.worker
	}
	return ""
}

func (b *Board) forgetPromise(id unit.Task) {
	p := b.promises.Get(id)
	if p == nil {
		return
	}
	if r := b.Workers.Workers.Get(p.worker); r != nil {
		r.Promised = r.Promised.Sub(p.size)
	}
	b.promises.Delete(id)
	b.dirty = true
}

func (b *Board) expirePromises(now clock.Millis) {
	for id, p := range b.promises.All() {
		if now >= p.until {
			b.scratch.tasks = append(b.scratch.tasks, id)
		}
	}
	for _, id := range b.scratch.tasks {
		b.forgetPromise(id)
	}
	b.scratch.tasks = b.scratch.tasks[:0]
}

// relieve acts on a worker whose measured usage exceeds its capacity: it
// throttles for processor and evicts for memory. Here alone the budget of a job
// doesn't protect it, since the host would hold more than it can.
func (b *Board) relieve(now clock.Millis, r *worker.Row) {
	if r.Measured.CPU > r.Capacity.CPU && b.Policies.Throttle {
		b.throttleOne(r)
	}
	over := r.Measured.Memory - r.Capacity.Memory
	if over <= 0 {
		return
	}
	var victims []placement.Victim
	var refs []worker.Ref
	for _, ref := range r.Refs {
		h := b.Workers.Held.Get(ref)
		if h.Stop != worker.Keep {
			over -= h.Peak.Memory
		} else if h.Class == service.Batch {
			victims, refs = append(victims, b.victimOf(now, h)), append(refs, ref)
		}
	}
	if i := placement.Best(b.Policies.Victim, victims); i >= 0 && over > 0 {
		b.stop(b.Workers.Held.Get(refs[i]), worker.ForRoom)
	}
}

func (b *Board) throttleOne(r *worker.Row) {
	for _, ref := range r.Refs {
		h := b.Workers.Held.Get(ref)
		if h.Class == service.Batch && h.Share > leastShare && h.WantShare == 0 && h.Stop == worker.Keep {
			h.WantShare = leastShare
			r.Dirty = true
			b.Count.Throttles++
			return
		}
	}
}

// relax ends throttling where there is room again.
func (b *Board) relax() {
	for _, r := range b.Workers.Workers.All() {
		for _, ref := range r.Refs {
			h := b.Workers.Held.Get(ref)
			if h.Share == 1 || h.WantShare != 0 || h.Stop != worker.Keep {
				continue
			}
			more := h.Size.CPU - h.Limit().CPU
			if more <= r.Free().CPU && r.Measured.CPU+more <= r.Capacity.CPU-r.Capacity.CPU/relaxMargin {
				h.WantShare = 1
				// The room is taken before the worker is asked.
				b.Workers.SetShare(h, 1)
				r.Dirty = true
			}
		}
	}
}

// giveBack moves batch work of a team that borrows, if a team within its quota
// waits and nothing is free for it.
func (b *Board) giveBack(now clock.Millis) {
	if b.used[service.Batch] == (unit.Resources{}) {
		return
	}
	need := false
	for name, line := range b.lines.batch.All() {
		if t := b.Teams.Teams.Get(name); line.Len() > 0 && t != nil && !t.Borrows(unit.Resources{CPU: 1}) {
			need = true
			break
		}
	}
	if !need {
		return
	}
	var victims []placement.Victim
	var refs []worker.Ref
	for ref, h := range b.Workers.Held.All() {
		if h.Stop == worker.ForMove {
			return // one at a time
		}
		if h.Class != service.Batch || h.Stop != worker.Keep || h.Start != worker.StartAnswered {
			continue
		}
		if v := b.victimOf(now, h); v.Borrowed && v.Budget {
			victims, refs = append(victims, v), append(refs, ref)
		}
	}
	i := placement.Best(b.Policies.Victim, victims)
	if i < 0 {
		return
	}
	h := b.Workers.Held.Get(refs[i])
	if j := b.Jobs.Jobs.Get(h.Job); j != nil && j.Terms.Checkpoint > 0 {
		b.move(now, b.Workers.Workers.Get(h.Worker), h)
		return
	}
	b.stop(h, worker.ForRoom)
}

// impossibleAfter is how long no known worker may be large enough for accepted
// work before it is impossible; the list of hosts lags.
const impossibleAfter = 1 * clock.Minute

// giveUp ends a job for whose tasks no known worker is large enough.
func (b *Board) giveUp(now clock.Millis, id unit.Task, k *job.Task, j *job.Job) bool {
	if !b.mayRun(now) || !b.isSettled(now) || !k.State.Queued() || k.Held > 0 {
		return false
	}
	if now.Sub(k.Since) < impossibleAfter || b.Workers.Workers.Len() == 0 {
		return false
	}
	for _, r := range b.Workers.Workers.All() {
		if j.Terms.Size.Fits(r.Capacity) {
			return false
		}
	}
	if b.emit(job.Impossible{Head: b.head(k.Job, id, 0), Reason: "no worker is large enough any more"}) {
		b.afterEnd(now, j)
	}
	return true
}
