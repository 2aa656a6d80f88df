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
	finalBlame   = 4 // failures on two workers that finish other work
	finalTries   = 8 // failures in a row, wherever
	firstBackoff = 1 * clock.Second
	maxBackoff   = 1 * clock.Minute
	refusedFor   = 1 * clock.Second // a worker that refused a start rests
)

// Answered takes the outcome of a batch.
func (b *Board) Answered(now clock.Millis, a Answer) {
	r := b.Workers.Workers.Get(a.Batch.Worker)
	if r == nil || !b.right.Owner || !r.Busy || a.Batch.ID != r.Batches {
		return
	}
	r.Busy = false
	for i, c := range a.Batch.Commands {
		b.answered(now, r, c, a.Errs[i])
	}
	if a.Report != nil {
		b.report(now, r, a.Report)
	}
}

func (b *Board) answered(now clock.Millis, r *worker.Row, c Command, err error) {
	if errors.Is(err, worker.ErrFenced) {
		b.fenced = true
		b.Count.Fenced++
	}
	if c.Call == CallRelease && err == nil {
		r.Releases = slices.DeleteFunc(r.Releases, func(o worker.Ref) bool { return o == c.Ref })
	}
	h := b.Workers.Held.Get(c.Ref)
	if h == nil {
		return
	}
	if c.Call == CallStart {
		b.startAnswered(now, r, h, verdict.Of(err))
		return
	}
	if err != nil {
		return
	}
	switch c.Call {
	case CallStop:
		r.Poll = true
	case CallThrottle:
		b.Workers.SetShare(h, c.Share)
		if h.WantShare == c.Share {
			h.WantShare = 0
		}
		b.dirty = true
	case CallCheckpoint:
		h.WantCheckpoint, h.AskedSave = false, now
		r.Poll = true
		if k := b.Jobs.Tasks.Get(h.Task); h.Attempt == k.Attempt {
			k.Advance(job.StateCheckpointing)
		}
	}
}

func (b *Board) startAnswered(now clock.Millis, r *worker.Row, h *worker.Held, v verdict.Verdict) {
	switch v {
	case verdict.Ran:
		b.confirm(h)
	case verdict.DidNotRun:
		r.NotUntil = now.Add(refusedFor)
		b.unplace(now, h.Ref)
	case verdict.MayHaveRun:
		h.Start = worker.StartInDoubt
		r.Poll = true
	}
}

// confirm notes that an attempt was started. The record is written only now,
// since workers are the authority on what they run.
func (b *Board) confirm(h *worker.Held) {
	if h.Start == worker.StartAnswered {
		return
	}
	h.Start = worker.StartAnswered
	b.Count.Starts++
	b.queueRecord(job.Started{Head: b.head(h.Job, h.Task, h.Attempt), Worker: h.Worker, Spare: h.Spare})
}

// unplace takes back a placement whose start certainly did not run.
func (b *Board) unplace(now clock.Millis, ref worker.Ref) {
	h := b.Workers.Held.Get(ref)
	spare := h.Spare
	b.drop(now, h)
	k := b.Jobs.Tasks.Get(ref.Task)
	switch {
	case k == nil || k.State.Ended():
	case spare:
		k.Spare = 0
	case k.Advance(job.StateWaiting), k.Advance(job.StateEvicted):
		b.enqueue(ref.Task, k, b.Jobs.Jobs.Get(k.Job))
	}
}

// drop removes an attempt that has certainly ended and gives back what it used.
func (b *Board) drop(now clock.Millis, h *worker.Held) {
	ref, w := h.Ref, h.Worker
	b.used[h.Class] = b.used[h.Class].Sub(h.Size)
	*b.holds.Ensure(h.Kind)--
	if h.Team != "" {
		b.Teams.Give(h.Team, h.Size)
	}
	if k := b.Jobs.Tasks.Get(ref.Task); k != nil {
		k.Held--
	}
	if j := b.Jobs.Jobs.Get(h.Job); j != nil {
		j.Held--
	}
	b.learnUsage(h)
	b.Workers.Drop(ref)
	b.note(now, w)
	b.dirty = true
}

// hold adds an attempt and counts what it uses.
func (b *Board) hold(now clock.Millis, h worker.Held) *worker.Held {
	b.used[h.Class] = b.used[h.Class].Add(h.Size)
	*b.holds.Ensure(h.Kind)++
	if h.Team != "" {
		b.Teams.Take(h.Team, h.Size)
	}
	if k := b.Jobs.Tasks.Get(h.Task); k != nil {
		k.Held++
	}
	if j := b.Jobs.Jobs.Get(h.Job); j != nil {
		j.Held++
	}
	row := b.Workers.Hold(h)
	b.note(now, h.Worker)
	return row
}

func (b *Board) note(now clock.Millis, w unit.Worker) {
	if r := b.Workers.Workers.Get(w); r != nil {
		r.History.Note(now, b.Workers.Kinds(r))
	}
}

// report takes a worker's report, which shows all that it runs and keeps.
func (b *Board) report(now clock.Millis, r *worker.Row, rep *worker.Report) {
	if rep.Epoch > b.right.Epoch {
		b.fenced = true
		return
	}
	restarted := r.Instance != rep.Instance
	r.Epoch, r.Stamp, r.Reported, r.Capacity = b.right.Epoch, rep.Stamp, now, rep.Capacity
	r.Instance = rep.Instance
	r.Poll, r.Measured = false, unit.Resources{}
	if b.scratch.seen == nil {
		b.scratch.seen = make(map[worker.Ref]bool)
	}
	clear(b.scratch.seen)
	for i := range rep.Statuses {
		st := &rep.Statuses[i]
		ref := worker.Ref{Task: st.Task, Attempt: st.Attempt}
		b.scratch.seen[ref] = true
		if st.Phase.Live() {
			r.Measured = r.Measured.Add(st.Usage)
		}
		if h := b.Workers.Held.Get(ref); h != nil && h.Worker == r.ID {
			b.status(now, r, h, st)
		} else {
			b.stray(now, r, st)
		}
	}
	for _, ref := range slices.Clone(r.Refs) {
		if !b.scratch.seen[ref] {
			b.missing(now, r, b.Workers.Held.Get(ref), restarted)
		}
	}
	b.relieve(now, r)
}

func (b *Board) status(now clock.Millis, r *worker.Row, h *worker.Held, st *worker.Status) {
	b.confirm(h)
	switch st.Phase {
	case worker.Finished:
		b.finish(now, r, st)
	case worker.Failed:
		b.failed(now, r, h, st)
	case worker.Stopped:
		b.stopped(now, h, st.Reason)
	default:
		b.running(now, r, h, st)
	}
}

// missing handles an attempt that the report does not list. One whose start was
// answered is gone, and so is any that was sent to an earlier instance of the
// worker. One in doubt is stopped, which also keeps a start that is still on
// its way from running.
func (b *Board) missing(now clock.Millis, r *worker.Row, h *worker.Held, restarted bool) {
	if restarted && h.Start == worker.StartInDoubt {
		h.Start = worker.StartAnswered
	}
	switch h.Start {
	case worker.StartAnswered:
		b.stopped(now, h, "worker does not know the attempt")
	case worker.StartInDoubt:
		if now >= h.Until {
			b.stopped(now, h, "start is too late by now")
			return
		}
		h.Stop, h.StopAt = worker.ForDoubt, 0
		r.Dirty = true
	case worker.StartPending:
	}
}

// stopped ends an attempt that ended without a result.
func (b *Board) stopped(now clock.Millis, h *worker.Held, reason string) {
	ref, why := h.Ref, h.Stop
	b.drop(now, h)
	k := b.Jobs.Tasks.Get(ref.Task)
	if k == nil || k.State.Ended() {
		return
	}
	m := job.Evicted{Head: b.head(k.Job, ref.Task, ref.Attempt), Reason: reason}
	switch why {
	case worker.ForRoom:
		m.Counted, m.Reason = true, "evicted for other work"
	case worker.ForMove:
		m.Reason = "moved through a checkpoint"
	case worker.Keep, worker.ForOutcome, worker.ForDoubt:
	}
	if !b.emit(m) {
		return
	}
	switch why {
	case worker.ForRoom:
		b.Count.Evictions++
	case worker.ForMove:
		b.Count.Moves++
	case worker.Keep, worker.ForOutcome, worker.ForDoubt:
		b.Count.Lost++
	}
	b.afterEviction(now, ref.Task)
}

// afterEviction queues a task whose last attempt has ended.
func (b *Board) afterEviction(now clock.Millis, id unit.Task) {
	k := b.Jobs.Tasks.Get(id)
	if k.State != job.StateEvicted {
		return
	}
	j := b.Jobs.Jobs.Get(k.Job)
	if j.Terms.Class == service.Standing {
		b.Count.Gaps++
	}
	k.Since = now
	b.enqueue(id, k, j)
}

// stray handles a status of an attempt that is not held at the worker: one of a
// former owner, or one whose lease was taken for ended.
func (b *Board) stray(now clock.Millis, r *worker.Row, st *worker.Status) {
	k := b.Jobs.Tasks.Get(st.Task)
	open := k != nil && !k.State.Ended()
	newer := open && st.Attempt > k.Last
	current := open && k.State.Active() && (st.Attempt == k.Attempt || st.Attempt == k.Spare)
	ref := worker.Ref{Task: st.Task, Attempt: st.Attempt}
	switch {
	case st.Phase.Live() && k != nil && k.Held == 0 && (newer || current):
		b.adopt(now, r, k, st)
	case st.Phase.Live():
		h := b.hold(now, worker.Held{
			Ref: ref, Worker: r.ID, Kind: st.Kind, Class: service.Batch, Size: st.Limit,
			Start: worker.StartAnswered, Until: worker.EndOf(now), Stop: worker.ForOutcome,
		})
		if k != nil {
			h.Job = k.Job
			b.Jobs.Jobs.Get(k.Job).Held++
		}
		r.Dirty = true
	case st.Phase == worker.Finished && open && job.CanFollow(k.State, job.StateFinished):
		b.finish(now, r, st)
	case b.unsaved.Get(ref) == nil:
		if current && k.Held == 0 {
			b.lose(now, st.Task, st.Attempt, st.Reason)
		}
		b.askRelease(r, ref)
	}
}

// adopt takes over an attempt that a former owner started.
func (b *Board) adopt(now clock.Millis, r *worker.Row, k *job.Task, st *worker.Status) {
	if st.Attempt > k.Last {
		if k.State.Active() {
			// The attempt that the journal names ended before this one began.
			b.emit(job.Evicted{Head: b.head(k.Job, st.Task, k.Attempt), Reason: "overtaken by a later attempt"})
		}
		b.emit(job.Started{Head: b.head(k.Job, st.Task, st.Attempt), Worker: r.ID})
	}
	j := b.Jobs.Jobs.Get(k.Job)
	h := b.hold(now, worker.Held{
		Ref: worker.Ref{Task: st.Task, Attempt: st.Attempt}, Job: k.Job, Worker: r.ID, Kind: j.Spec.Kind,
		Team: j.Spec.Team, Class: j.Terms.Class, Size: st.Limit, Start: worker.StartAnswered,
		Until: worker.EndOf(now), Placed: now, Saved: k.Saved, Resumed: k.Saved,
	})
	b.running(now, r, h, st)
}

func (b *Board) finish(now clock.Millis, r *worker.Row, st *worker.Status) {
	ref := worker.Ref{Task: st.Task, Attempt: st.Attempt}
	if h := b.Workers.Held.Get(ref); h != nil && h.Worker == r.ID {
		b.learnRunTime(h, st)
		b.drop(now, h)
	}
	k := b.Jobs.Tasks.Get(st.Task)
	if k == nil {
		return
	}
	m := job.Finished{Head: b.head(k.Job, st.Task, st.Attempt), Worker: r.ID, Result: st.Result}
	if !b.emit(m) {
		return
	}
	r.Health.Finished()
	b.Count.Finished++
	b.unsaved.Put(ref, 1)
	b.stopAttempts(st.Task, k)
	if j := b.Jobs.Jobs.Get(k.Job); j.State.Ended() {
		b.afterEnd(now, j)
	}
}

// failed handles a failure. It is blamed on the task only after it failed on
// another worker too, and never where the worker fails other kinds as well.
func (b *Board) failed(now clock.Millis, r *worker.Row, h *worker.Held, st *worker.Status) {
	ref, kind := h.Ref, h.Kind
	b.drop(now, h)
	if r.Health.Failed(kind) {
		b.Count.Quarantines++
	}
	k := b.Jobs.Tasks.Get(ref.Task)
	if k == nil || k.State.Ended() {
		return
	}
	j := b.Jobs.Jobs.Get(k.Job)
	k.Failures++
	m := job.Failed{Head: b.head(k.Job, ref.Task, ref.Attempt), Worker: r.ID, Reason: st.Reason}
	m.Final = j.Terms.Class != service.Standing && (k.Failures >= finalTries || b.blame(k, r.ID) >= finalBlame)
	if !b.emit(m) {
		return
	}
	b.unsaved.Put(ref, 1)
	if j.State.Ended() {
		b.Count.Failed++
		b.afterEnd(now, j)
		return
	}
	k.NotUntil = now.Add(min(firstBackoff<<min(k.Failures-1, 6), maxBackoff))
	b.afterEviction(now, ref.Task)
}

// blame adds up how much the failures of k speak against it, with one at w.
func (b *Board) blame(k *job.Task, w unit.Worker) int {
	sum := 0
	for _, id := range k.FailedOn {
		if r := b.Workers.Workers.Get(id); r != nil && id != w {
			sum += r.Health.Blame()
		}
	}
	if r := b.Workers.Workers.Get(w); r != nil {
		sum += r.Health.Blame()
	}
	return sum
}

// lapse drops attempts whose lease has certainly ended.
func (b *Board) lapse(now clock.Millis) {
	for _, r := range b.Workers.Workers.All() {
		if now.Sub(r.Reported) < worker.Lease {
			continue
		}
		for _, ref := range r.Refs {
			if h := b.Workers.Held.Get(ref); now >= h.Until {
				b.scratch.refs = append(b.scratch.refs, ref)
			}
		}
	}
	refs := slices.Clone(b.scratch.refs)
	b.scratch.refs = b.scratch.refs[:0]
	for _, ref := range refs {
		b.stopped(now, b.Workers.Held.Get(ref), "lease ended")
	}
}
