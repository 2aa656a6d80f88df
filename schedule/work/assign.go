package work

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/estimate"
	"mimosadock/schedule/job"
	"mimosadock/schedule/placement"
	"mimosadock/schedule/quota"
	"mimosadock/schedule/service"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/worker"
)

// Bounds of the placement in one tick.
const (
	maxStarts          = 64                // starts per class and tick; 230 starts a second are 12 a tick
	maxMisses          = 16                // tasks without a suitable worker, per class and tick
	maxTeamMisses      = 2                 // tasks of a team that are passed over for lack of capacity
	deferredRetryTicks = 20                // ticks between two attempts to queue deferred tasks
	maxExclusionTime   = 30 * clock.Second // limit for [excludesWorker]
)

// queues holds the queues of waiting tasks: one for each class other than
// batch, and one for each team for batch work.
type queues struct {
	latencyCritical placement.Queue
	standing        placement.Queue
	batch           table.Table[unit.Team, placement.Queue]
}

// enqueue adds a waiting task to its queue. A task that is already queued
// stays where it is.
func (b *Board) enqueue(id unit.Task, k *job.Task, j *job.Job) {
	if k.InQueue || !k.State.AwaitsWorker() {
		return
	}
	k.InQueue = true
	score := b.Policies.Order.Score(placement.Queued{
		Class: j.Terms.Class, QueuedSince: k.QueuedSince, Deadline: j.Deadline,
		ExpectedRunTime: b.KindEstimates.Ensure(j.Spec.Kind).ExpectedRunTime(j.Terms.ExpectedRunTime),
	})
	switch j.Terms.Class {
	case service.LatencyCritical:
		b.queues.latencyCritical.Add(id, score)
	case service.Standing:
		b.queues.standing.Add(id, score)
	case service.Batch:
		b.queues.batch.Ensure(j.Spec.Team).Add(id, score)
		b.retryBatchWork = true
	}
}

// pass is the state of one pass over the queue of a class.
type pass struct {
	now    clock.Millis
	starts int
	misses int
	// unplaceable holds sizes that fit no worker in this pass. A size that
	// is at least as large in every resource needs no search.
	unplaceable []unit.Resources
}

// isUnplaceable reports whether a task of the given size fits no worker, as
// an earlier search of this pass found.
func (p *pass) isUnplaceable(size unit.Resources) bool {
	for _, f := range p.unplaceable {
		if f.Fits(size) {
			return true
		}
	}
	return false
}

// requeueDeferred queues all deferred tasks again.
func (b *Board) requeueDeferred() {
	deferred := b.deferred
	b.deferred = b.deferred[len(b.deferred):]
	for _, id := range deferred {
		if k := b.Jobs.Tasks.Get(id); k != nil {
			k.InQueue = false
			if j := b.Jobs.Jobs.Get(k.Job); j != nil {
				b.enqueue(id, k, j)
			}
		}
	}
}

// placeWaiting places waiting tasks: latency-critical work first, then standing
// work, then the speculative attempts of stragglers, then batch work by team.
func (b *Board) placeWaiting(now clock.Millis) {
	if !b.mayRun(now) {
		return
	}
	b.updateTotals()
	for _, queue := range []*placement.Queue{&b.queues.latencyCritical, &b.queues.standing} {
		p := pass{now: now, unplaceable: b.scratch.sizes[:0]}
		queue.Visit(func(id unit.Task) (bool, bool) {
			removed := b.tryPlace(&p, id)
			return removed, p.starts < maxStarts && p.misses < maxMisses
		})
	}
	b.placeSpeculative(now)
	if b.retryBatchWork {
		b.placeBatchWork(now)
	}
}

// placeBatchWork places batch work, always of the team with the highest
// priority, until no task fits or the bounds of the tick are reached.
func (b *Board) placeBatchWork(now clock.Millis) {
	b.retryBatchWork = false
	p := pass{now: now, unplaceable: b.scratch.sizes[:0]}
	teams := b.scratch.teams[:0]
	for name, queue := range b.queues.batch.All() {
		if queue.Len() > 0 {
			teams = append(teams, name)
		}
	}
	b.scratch.teams = teams
	for len(teams) > 0 && p.starts < maxStarts && p.misses < maxMisses {
		next := b.nextTeam(teams)
		queue := b.queues.batch.Get(teams[next])
		started, misses := p.starts, 0
		queue.Visit(func(id unit.Task) (bool, bool) {
			before := p.starts
			removed := b.tryPlace(&p, id)
			if !removed {
				misses++
			}
			return removed, p.starts == before && misses < maxTeamMisses
		})
		if p.starts == started {
			teams[next] = teams[len(teams)-1]
			teams = teams[:len(teams)-1]
		}
	}
	b.retryBatchWork = b.retryBatchWork || p.starts >= maxStarts
}

// nextTeam returns the index of the team with the highest priority.
func (b *Board) nextTeam(teams []unit.Team) int {
	best, priority := 0, b.Teams.PriorityOf(teams[0], unit.Resources{})
	for i, t := range teams[1:] {
		if c := b.Teams.PriorityOf(t, unit.Resources{}); c.Before(priority) {
			best, priority = i+1, c
		}
	}
	return best
}

// tryPlace places a task if a worker has enough free capacity. It reports
// whether the task leaves its queue.
func (b *Board) tryPlace(p *pass, id unit.Task) bool {
	k := b.Jobs.Tasks.Get(id)
	if k == nil {
		return true
	}
	j := b.Jobs.Jobs.Get(k.Job)
	if !k.State.AwaitsWorker() || j == nil || j.State.Ended() {
		k.InQueue = false
		b.cancelReservation(id)
		return true
	}
	if b.isDeferred(p.now, k, j) {
		b.cancelReservation(id)
		b.deferred = append(b.deferred, id)
		return true
	}
	size := b.taskSize(j)
	w := b.chooseWorker(p, id, k, j, size)
	if w == "" {
		return false
	}
	b.cancelReservation(id)
	k.InQueue = false
	p.starts++
	b.place(p.now, id, k, j, w, size, false)
	return true
}

// isDeferred reports whether the task waits for something other than free
// capacity: a dependency, its backoff, an earlier attempt, the end of the
// attempts of former owners, or a move of the job.
func (b *Board) isDeferred(now clock.Millis, k *job.Task, j *job.Job) bool {
	k.WaitsOn = ""
	if b.IsDown != nil {
		for _, name := range j.Terms.DependsOn {
			if b.IsDown(name) {
				k.WaitsOn = name
				return true
			}
		}
	}
	return now < k.BackoffUntil || k.AttemptsAtWorkers > 0 || !j.NoFormerAttempts && !b.formerAttemptsEnded(now) || j.Moving
}

// taskSize returns the resources to reserve for a task of a job.
func (b *Board) taskSize(j *job.Job) unit.Resources {
	return b.KindEstimates.Ensure(j.Spec.Kind).Size(j.Terms.Size, b.scratch.largest)
}

// chooseWorker returns the worker for a task, or the empty string if there is
// none. If a task of another class than batch fits nowhere, chooseWorker frees
// and reserves capacity for it. If the task has waited for impossibleAfter and
// no known worker is large enough, it ends the job.
func (b *Board) chooseWorker(p *pass, id unit.Task, k *job.Task, j *job.Job, size unit.Resources) unit.Worker {
	if res := b.reservations.Get(id); res != nil {
		return b.reservedWorker(p.now, id, res)
	}
	batch := j.Terms.Class == service.Batch
	if batch && b.probeLimitReached(j.Spec.Kind) {
		return ""
	}
	if p.isUnplaceable(size) || batch && !b.fitsBesideHeadroom(size) {
		p.misses += boolToInt(!batch)
		return ""
	}
	if w := b.findWorker(p.now, k, j, size); w != "" {
		return w
	}
	p.misses++
	if b.endImpossible(p.now, id, k, j) {
		return ""
	}
	if len(k.FailedOn) == 0 && k.StragglerRetries == 0 {
		p.unplaceable = append(p.unplaceable, size)
	}
	if !batch {
		b.reclaimCapacity(p.now, id, k, size)
	}
	return ""
}

// probeLimitReached reports whether batch tasks of the kind must wait because
// its size is unknown and Policies.ProbeTasks of them already run. More of them
// could overload workers before a usage is measured.
func (b *Board) probeLimitReached(kind unit.Kind) bool {
	if b.Policies.ProbeTasks == 0 || b.KindEstimates.Ensure(kind).HasUsage() {
		return false
	}
	return *b.attemptsByKind.Ensure(kind) >= b.Policies.ProbeTasks
}

func boolToInt(v bool) int {
	if v {
		return 1
	}
	return 0
}

// fitsBesideHeadroom reports whether the headroom for latency-critical work
// stays free if batch work is allocated size more.
func (b *Board) fitsBesideHeadroom(size unit.Resources) bool {
	if !b.Policies.Headroom {
		return true
	}
	batchCapacity := b.totalFree.Add(b.allocatedByClass[service.Batch])
	return size.Fits(b.totalFree.Sub(b.LatencyCriticalPeak.Headroom(b.allocatedByClass[service.LatencyCritical], batchCapacity)))
}

// excludesWorker reports whether the task must not run at the worker because
// it failed or straggled there. The exclusion ends when the task has waited
// longer than maxExclusionTime.
func excludesWorker(now clock.Millis, k *job.Task, w unit.Worker) bool {
	if k.State.Active() {
		return w == k.Worker // a speculative attempt needs another worker
	}
	if len(k.FailedOn) == 0 && k.StragglerRetries == 0 || now.Sub(k.QueuedSince) > maxExclusionTime {
		return false
	}
	if k.StragglerRetries > 0 && w == k.Worker {
		return true
	}
	for _, f := range k.FailedOn {
		if f == w {
			return true
		}
	}
	return false
}

// findWorker returns the best worker with enough free capacity, or the empty
// string if there is none. Batch work does not use workers with throttled
// attempts.
func (b *Board) findWorker(now clock.Millis, k *job.Task, j *job.Job, size unit.Resources) unit.Worker {
	var list placement.Shortlist
	inRack := b.Workers.AttemptsByRack(j.Spec.ID)
	for id, r := range b.Workers.Workers.All() {
		free := r.Free()
		if !size.Fits(free) || !r.Ready(b.authority.Epoch, now) || excludesWorker(now, k, id) {
			continue
		}
		if r.ThrottledAttempts > 0 && j.Terms.Class == service.Batch {
			continue
		}
		o := placement.WorkerOption{Class: j.Terms.Class, Size: size, Free: free, Capacity: r.Capacity, Attempts: r.Attempts}
		if i := r.RackIndex(); i < len(inRack) {
			o.AttemptsInRack = inRack[i]
		}
		list.Add(id, o, b.Policies.Place.Score(o))
	}
	return list.Best(b.Policies.Place, func(w unit.Worker) float64 { return b.predictSlowdown(j.Spec.Kind, w, size) })
}

// predictSlowdown returns the sum of the predicted slowdowns that a task of the
// kind and the attempts at worker w would cause each other.
func (b *Board) predictSlowdown(kind unit.Kind, w unit.Worker, size unit.Resources) float64 {
	r := b.Workers.Workers.Get(w)
	level := estimate.LevelOf(quota.LargestFraction(r.Allocated.Add(size), r.Capacity))
	var sum float64
	for _, ref := range r.AttemptIDs {
		other := b.Workers.Allocations.Get(ref).Kind
		sum += b.Interference.Slowdown(kind, other, level) + b.Interference.Slowdown(other, kind, level)
	}
	return sum
}

// place assigns a task to a worker. The start command is sent with the next
// command batch.
func (b *Board) place(now clock.Millis, id unit.Task, k *job.Task, j *job.Job, w unit.Worker, size unit.Resources, speculative bool) {
	a := max(k.LastAttempt, unit.Attempt(b.authority.Epoch-1)*attemptsPerEpoch) + 1
	if !b.Jobs.Apply(job.Started{Header: b.recordHeader(k.Job, id, a), Worker: w, Speculative: speculative}) {
		return
	}
	r := b.Workers.Workers.Get(w)
	b.addAttempt(now, worker.Allocation{
		AttemptID: worker.AttemptID{Task: id, Attempt: a}, Job: k.Job, Worker: w, Kind: j.Spec.Kind, Team: j.Spec.Team,
		Class: j.Terms.Class, Size: size, Speculative: speculative, LeaseEnd: worker.LeaseEndAfter(r.ReportReceivedAt), PlacedAt: now,
		InitialProgress: k.Saved, Saved: k.Saved, ReportedProgress: k.Saved,
	})
	b.totalFree = b.totalFree.Sub(size)
	r.CommandsPending = true
}

// placeSpeculative places speculative attempts: second attempts of stragglers
// whose kind is safe to run twice. Those that fit nowhere wait for a later
// tick.
func (b *Board) placeSpeculative(now clock.Millis) {
	remaining := b.pendingSpeculative[:0]
	for _, id := range b.pendingSpeculative {
		k := b.Jobs.Tasks.Get(id)
		if k == nil || k.SpeculativeAttempt != 0 || k.State != job.StateRunning {
			continue
		}
		j := b.Jobs.Jobs.Get(k.Job)
		size := b.taskSize(j)
		w := b.findWorker(now, k, j, size)
		if w == "" || !b.fitsBesideHeadroom(size) {
			remaining = append(remaining, id)
			continue
		}
		b.Count.SpeculativeAttempts++
		b.place(now, id, k, j, w, size, true)
	}
	b.pendingSpeculative = remaining
}

// updateTotals recomputes the total and free capacity of the data centre and
// the capacity of the largest worker. Workers that leave do not count, and
// free capacity counts only at workers that have reported to this owner.
func (b *Board) updateTotals() {
	b.totalFree, b.Teams.TotalCapacity, b.scratch.largest = unit.Resources{}, unit.Resources{}, unit.Resources{}
	for _, r := range b.Workers.Workers.All() {
		if r.Leaving {
			continue
		}
		b.Teams.TotalCapacity = b.Teams.TotalCapacity.Add(r.Capacity)
		if r.Epoch == b.authority.Epoch {
			b.totalFree = b.totalFree.Add(r.Free())
		}
		if r.Capacity.CPU > b.scratch.largest.CPU {
			b.scratch.largest = r.Capacity
		}
	}
}
