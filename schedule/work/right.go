package work

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/job"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/worker"
)

// Right is the tenure of the data centre as far as work needs it.
type Right struct {
	Owner bool
	Epoch unit.Epoch
	// Quick is the instant until which new jobs may be accepted.
	Quick clock.Millis
	// Slow is the instant until which attempts may be started and renewed.
	Slow clock.Millis
	// Sole is the instant from which no former owner renews leases: its death
	// is proven, it handed over, or its slow right has lapsed. Never if that is
	// not known yet.
	Sole clock.Millis
	// Handed are all workers on which a former owner that handed over may have
	// started something. Nil if there was no handover.
	Handed []unit.Worker
}

// attemptsPerEpoch separates the numbers of the attempts of different owners.
// A new owner may not know the last attempts of a former one, whose records
// were not written, and never gives one of their numbers again.
const attemptsPerEpoch unit.Attempt = 1 << 16

func (b *Board) mayAccept(now clock.Millis) bool {
	return b.right.Owner && !b.fenced && now < b.right.Quick
}

func (b *Board) mayRun(now clock.Millis) bool {
	return b.right.Owner && !b.fenced && now < b.right.Slow
}

// isSettled reports whether no unknown attempt of a former owner can run.
func (b *Board) isSettled(now clock.Millis) bool { return now >= b.settled }

// SetRight takes the tenure as it is now. When the process becomes the owner,
// the board starts anew: what the journal says waits until the workers have
// reported or all leases of the former owner have ended.
func (b *Board) SetRight(now clock.Millis, r Right) {
	taken := r.Owner && (!b.right.Owner || r.Epoch > b.right.Epoch)
	lost := b.right.Owner && (!r.Owner || taken)
	if lost {
		b.owned, b.owner = now, true
	}
	b.right = r
	if lost || taken {
		b.reset()
	}
	if taken {
		b.fenced = false
		b.settled = clock.Never
		b.cleared = false
		b.Jobs.Fence(r.Epoch)
		b.takeOver(now)
	}
	if r.Owner && b.settled == clock.Never && r.Sole != clock.Never {
		end := r.Sole
		if b.owner {
			end = max(end, b.owned)
		}
		b.settled = end.Add(worker.WithDrift(worker.Lease))
	}
	if r.Owner {
		b.handed = r.Handed
	}
}

// reset forgets what only the owner knows.
func (b *Board) reset() {
	for _, r := range b.Workers.Workers.All() {
		for len(r.Refs) > 0 {
			b.Workers.Drop(r.Refs[0])
		}
		r.Epoch, r.Busy, r.Promised, r.Releases = 0, false, unit.Resources{}, nil
		r.Asked = 0
	}
	b.Workers.Held.DeleteFunc(func(worker.Ref, *worker.Held) bool { return true })
	for _, k := range b.Jobs.Tasks.All() {
		k.Held, k.InQueue = 0, false
	}
	for _, j := range b.Jobs.Jobs.All() {
		j.Held = 0
	}
	for _, t := range b.Teams.Teams.All() {
		t.Used = unit.Resources{}
	}
	b.used = [len(b.used)]unit.Resources{}
	b.holds.DeleteFunc(func(unit.Kind, *int) bool { return true })
	b.records, b.parked, b.spares, b.lines, b.handed = nil, nil, nil, lines{}, nil
	b.ending.DeleteFunc(func(unit.Job, *int) bool { return true })
	b.unsaved.DeleteFunc(func(worker.Ref, *int) bool { return true })
	b.promises.DeleteFunc(func(unit.Task, *promise) bool { return true })
}

// takeOver readies the jobs of the journal. A job that a former owner had not
// accepted for certain is in the journal if it is known by now.
func (b *Board) takeOver(now clock.Millis) {
	for id, j := range b.Jobs.Jobs.All() {
		if j.State.Ended() {
			continue
		}
		j.State, j.Fresh = job.StateWaiting, false
		j.Accepted = now
		if j.Deadline = clock.Never; j.Spec.Deadline > 0 {
			j.Deadline = now.Add(j.Spec.Deadline)
		}
		b.scratch.jobs = append(b.scratch.jobs, id)
	}
	for _, id := range b.scratch.jobs {
		j := b.Jobs.Jobs.Get(id)
		for i := range j.Spec.Tasks {
			k := b.Jobs.Tasks.Get(job.TaskID(id, i))
			k.Since = now
			if k.State == job.StateSubmitted {
				k.State = job.StateWaiting
			}
			if k.State.Queued() {
				b.enqueue(job.TaskID(id, i), k, j)
			}
		}
	}
	b.scratch.jobs = b.scratch.jobs[:0]
}

// settle ends the takeover: tasks that the journal has at a worker, but that no
// worker has reported, run nowhere any more.
func (b *Board) settle(now clock.Millis) {
	if b.handed != nil && !b.isSettled(now) && !slices.ContainsFunc(b.handed, b.unasked) {
		b.settled = now
	}
	if !b.isSettled(now) || b.cleared {
		return
	}
	b.cleared = true
	for id, k := range b.Jobs.Tasks.All() {
		if !k.State.Active() {
			continue
		}
		for _, a := range []unit.Attempt{k.Attempt, k.Spare} {
			if ref := (worker.Ref{Task: id, Attempt: a}); a != 0 && b.Workers.Held.Get(ref) == nil {
				b.scratch.refs = append(b.scratch.refs, ref)
			}
		}
	}
	for _, ref := range b.scratch.refs {
		b.lose(now, ref.Task, ref.Attempt, "not found after a change of owner")
	}
	b.scratch.refs = b.scratch.refs[:0]
	b.dirty = true
}

func (b *Board) unasked(w unit.Worker) bool {
	r := b.Workers.Workers.Get(w)
	return r == nil || r.Epoch != b.right.Epoch
}

// lose ends an attempt that is gone without a result.
func (b *Board) lose(now clock.Millis, id unit.Task, a unit.Attempt, reason string) {
	k := b.Jobs.Tasks.Get(id)
	if k == nil {
		return
	}
	if !b.emit(job.Evicted{Head: b.head(k.Job, id, a), Reason: reason}) {
		return
	}
	b.Count.Lost++
	b.afterEviction(now, id)
}
