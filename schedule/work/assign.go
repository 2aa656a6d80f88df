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

// Bounds of the work of one tick.
const (
	maxStarts  = 64 // per class and tick; 230 a second are 12 a tick
	maxMisses  = 16 // tasks per class and tick for which no room was found
	teamMisses = 2  // tasks of a team that are passed over for lack of room
	parkTicks  = 20 // ticks between two looks at tasks that wait for something else
	anywhere   = 30 * clock.Second
)

// lines are the queues: one per class, and one per team for batch work.
type lines struct {
	urgent   placement.Line
	standing placement.Line
	batch    table.Table[unit.Team, placement.Line]
}

// enqueue puts a task that waits into its line.
func (b *Board) enqueue(id unit.Task, k *job.Task, j *job.Job) {
	if k.InQueue || !k.State.Queued() {
		return
	}
	k.InQueue = true
	score := b.Policies.Order.Score(placement.Queued{
		Class: j.Terms.Class, Since: k.Since, Deadline: j.Deadline,
		Expected: b.Kinds.Ensure(j.Spec.Kind).Expected(j.Terms.Expected),
	})
	switch j.Terms.Class {
	case service.LatencyCritical:
		b.lines.urgent.Add(id, score)
	case service.Standing:
		b.lines.standing.Add(id, score)
	case service.Batch:
		b.lines.batch.Ensure(j.Spec.Team).Add(id, score)
		b.dirty = true
	}
}

// pass is one pass over the queue of a class.
type pass struct {
	now    clock.Millis
	starts int
	misses int
	// full are sizes for which no worker has room in this pass. A size that is
	// at least as great in every resource needs no search.
	full []unit.Resources
}

func (p *pass) isFull(size unit.Resources) bool {
	for _, f := range p.full {
		if f.Fits(size) {
			return true
		}
	}
	return false
}

// unparkAll lets tasks that waited for something else try again.
func (b *Board) unparkAll() {
	parked := b.parked
	b.parked = b.parked[len(b.parked):]
	for _, id := range parked {
		if k := b.Jobs.Tasks.Get(id); k != nil {
			k.InQueue = false
			if j := b.Jobs.Jobs.Get(k.Job); j != nil {
				b.enqueue(id, k, j)
			}
		}
	}
}

// assign places waiting work: latency-critical work first, then standing work,
// then batch work by team.
func (b *Board) assign(now clock.Millis) {
	if !b.mayRun(now) {
		return
	}
	b.total()
	for _, line := range []*placement.Line{&b.lines.urgent, &b.lines.standing} {
		p := pass{now: now, full: b.scratch.sizes[:0]}
		line.Serve(func(id unit.Task) (bool, bool) {
			leaves := b.try(&p, id)
			return leaves, p.starts < maxStarts && p.misses < maxMisses
		})
	}
	b.assignSpares(now)
	if b.dirty {
		b.assignBatch(now)
	}
}

// assignBatch serves the team with the least claim until nothing more fits.
func (b *Board) assignBatch(now clock.Millis) {
	b.dirty = false
	p := pass{now: now, full: b.scratch.sizes[:0]}
	teams := b.scratch.teams[:0]
	for name, line := range b.lines.batch.All() {
		if line.Len() > 0 {
			teams = append(teams, name)
		}
	}
	b.scratch.teams = teams
	for len(teams) > 0 && p.starts < maxStarts && p.misses < maxMisses {
		next := b.leastClaim(teams)
		line := b.lines.batch.Get(teams[next])
		started, misses := p.starts, 0
		line.Serve(func(id unit.Task) (bool, bool) {
			before := p.starts
			leaves := b.try(&p, id)
			if !leaves {
				misses++
			}
			return leaves, p.starts == before && misses < teamMisses
		})
		if p.starts == started {
			teams[next] = teams[len(teams)-1]
			teams = teams[:len(teams)-1]
		}
	}
	b.dirty = b.dirty || p.starts >= maxStarts
}

func (b *Board) leastClaim(teams []unit.Team) int {
	best, claim := 0, b.Teams.ClaimOf(teams[0], unit.Resources{})
	for i, t := range teams[1:] {
		if c := b.Teams.ClaimOf(t, unit.Resources{}); c.Less(claim) {
			best, claim = i+1, c
		}
	}
	return best
}

// try places a task if there is room. It reports whether the task leaves its
// line.
func (b *Board) try(p *pass, id unit.Task) bool {
	k := b.Jobs.Tasks.Get(id)
	if k == nil {
		return true
	}
	j := b.Jobs.Jobs.Get(k.Job)
	if !k.State.Queued() || j == nil || j.State.Ended() {
		k.InQueue = false
		b.forgetPromise(id)
		return true
	}
	if b.waitsForOther(p.now, k, j) {
		b.forgetPromise(id)
		b.parked = append(b.parked, id)
		return true
	}
	size := b.sizeOf(j)
	w := b.choose(p, id, k, j, size)
	if w == "" {
		return false
	}
	b.forgetPromise(id)
	k.InQueue = false
	p.starts++
	b.place(p.now, id, k, j, w, size, false)
	return true
}

// waitsForOther reports whether the task waits for something else than room.
func (b *Board) waitsForOther(now clock.Millis, k *job.Task, j *job.Job) bool {
	k.WaitsOn = ""
	if b.Down != nil {
		for _, name := range j.Terms.DependsOn {
			if b.Down(name) {
				k.WaitsOn = name
				return true
			}
		}
	}
	return now < k.NotUntil || k.Held > 0 || !j.Fresh && !b.isSettled(now) || j.Moving
}

// sizeOf returns what to reserve for a task of a job.
func (b *Board) sizeOf(j *job.Job) unit.Resources {
	return b.Kinds.Ensure(j.Spec.Kind).Size(j.Terms.Size, b.scratch.largest)
}

// choose returns the worker for a task, or the empty string. Work that is not
// batch makes room for itself where there is none.
func (b *Board) choose(p *pass, id unit.Task, k *job.Task, j *job.Job, size unit.Resources) unit.Worker {
	if pr := b.promises.Get(id); pr != nil {
		return b.redeem(p.now, id, pr)
	}
	batch := j.Terms.Class == service.Batch
	if batch && b.probing(j.Spec.Kind) {
		return ""
	}
	if p.isFull(size) || batch && !b.afterReserve(size) {
		p.misses += b2i(!batch)
		return ""
	}
	if w := b.search(p.now, k, j, size); w != "" {
		return w
	}
	p.misses++
	if b.giveUp(p.now, id, k, j) {
		return ""
	}
	if len(k.FailedOn) == 0 && k.Moves == 0 {
		p.full = append(p.full, size)
	}
	if !batch {
		b.makeRoom(p.now, id, k, size)
	}
	return ""
}

// probing reports whether as many tasks of the kind run as are needed to learn
// its size. More of them could overfill workers that nobody has measured yet.
func (b *Board) probing(k unit.Kind) bool {
	if b.Policies.Probe == 0 || b.Kinds.Ensure(k).Known() {
		return false
	}
	return *b.holds.Ensure(k) >= b.Policies.Probe
}

func b2i(v bool) int {
	if v {
		return 1
	}
	return 0
}

// afterReserve reports whether the peak reserve stays free if batch work takes
// size.
func (b *Board) afterReserve(size unit.Resources) bool {
	if !b.Policies.Reserve {
		return true
	}
	room := b.free.Add(b.used[service.Batch])
	return size.Fits(b.free.Sub(b.Demand.Reserve(b.used[service.LatencyCritical], room)))
}

// avoids reports whether the task shall not run at the worker: it failed there,
// or straggled there. After some time any worker will do.
func avoids(now clock.Millis, k *job.Task, w unit.Worker) bool {
	if k.State.Active() {
		return w == k.Worker // a spare attempt runs elsewhere
	}
	if len(k.FailedOn) == 0 && k.Moves == 0 || now.Sub(k.Since) > anywhere {
		return false
	}
	if k.Moves > 0 && w == k.Worker {
		return true
	}
	for _, f := range k.FailedOn {
		if f == w {
			return true
		}
	}
	return false
}

// search returns the best worker with room.
func (b *Board) search(now clock.Millis, k *job.Task, j *job.Job, size unit.Resources) unit.Worker {
	var list placement.Shortlist
	inRack := b.Workers.Spread(j.Spec.ID)
	for id, r := range b.Workers.Workers.All() {
		free := r.Free()
		if !size.Fits(free) || !r.Ready(b.right.Epoch, now) || avoids(now, k, id) {
			continue
		}
		if r.Throttled > 0 && j.Terms.Class == service.Batch {
			continue
		}
		o := placement.Option{Class: j.Terms.Class, Size: size, Free: free, Capacity: r.Capacity, Attempts: r.Attempts}
		if i := r.RackIndex(); i < len(inRack) {
			o.InRack = inRack[i]
		}
		list.Add(id, o, b.Policies.Place.Score(o))
	}
	return list.Best(b.Policies.Place, func(w unit.Worker) float64 { return b.slowdown(j.Spec.Kind, w, size) })
}

// slowdown predicts how much a task of the kind and its neighbours would slow
// each other down at a worker.
func (b *Board) slowdown(k unit.Kind, w unit.Worker, size unit.Resources) float64 {
	r := b.Workers.Workers.Get(w)
	level := estimate.LevelOf(quota.ShareOf(r.Used.Add(size), r.Capacity))
	var sum float64
	for _, ref := range r.Refs {
		other := b.Workers.Held.Get(ref).Kind
		sum += b.Interference.Slowdown(k, other, level) + b.Interference.Slowdown(other, k, level)
	}
	return sum
}

// place gives a task to a worker. The start is sent with the next batch.
func (b *Board) place(now clock.Millis, id unit.Task, k *job.Task, j *job.Job, w unit.Worker, size unit.Resources, spare bool) {
	a := max(k.Last, unit.Attempt(b.right.Epoch-1)*attemptsPerEpoch) + 1
	if !b.Jobs.Apply(job.Started{Head: b.head(k.Job, id, a), Worker: w, Spare: spare}) {
		return
	}
	r := b.Workers.Workers.Get(w)
	b.hold(now, worker.Held{
		Ref: worker.Ref{Task: id, Attempt: a}, Job: k.Job, Worker: w, Kind: j.Spec.Kind, Team: j.Spec.Team,
		Class: j.Terms.Class, Size: size, Spare: spare, Until: worker.EndOf(r.Reported), Placed: now,
		Resumed: k.Saved, Saved: k.Saved, Done: k.Saved,
	})
	b.free = b.free.Sub(size)
	r.Dirty = true
}

// assignSpares starts second attempts of stragglers that are safe to run twice.
func (b *Board) assignSpares(now clock.Millis) {
	later := b.spares[:0]
	for _, id := range b.spares {
		k := b.Jobs.Tasks.Get(id)
		if k == nil || k.Spare != 0 || k.State != job.StateRunning {
			continue
		}
		j := b.Jobs.Jobs.Get(k.Job)
		size := b.sizeOf(j)
		w := b.search(now, k, j, size)
		if w == "" || !b.afterReserve(size) {
			later = append(later, id)
			continue
		}
		b.Count.Spares++
		b.place(now, id, k, j, w, size, true)
	}
	b.spares = later
}

// total adds up what is free and the largest worker.
func (b *Board) total() {
	b.free, b.Teams.Total, b.scratch.largest = unit.Resources{}, unit.Resources{}, unit.Resources{}
	for _, r := range b.Workers.Workers.All() {
		if r.Leaving {
			continue
		}
		b.Teams.Total = b.Teams.Total.Add(r.Capacity)
		if r.Epoch == b.right.Epoch {
			b.free = b.free.Add(r.Free())
		}
		if r.Capacity.CPU > b.scratch.largest.CPU {
			b.scratch.largest = r.Capacity
		}
	}
}
