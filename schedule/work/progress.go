package work

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/estimate"
	"mimosadock/schedule/job"
	"mimosadock/schedule/placement"
	"mimosadock/schedule/quota"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/worker"
)

// Terms of the handling of running attempts.
const (
	moveWithin  = 2 * clock.Minute  // for the checkpoint of a move
	sampleAfter = 15 * clock.Second // usage of long attempts is learned before they end
	maxMoves    = 1                 // per task, as a straggler
)

// running takes the progress of an attempt.
func (b *Board) running(now clock.Millis, r *worker.Row, h *worker.Held, st *worker.Status) {
	k, j := b.Jobs.Tasks.Get(h.Task), b.Jobs.Jobs.Get(h.Job)
	if k == nil || j == nil || k.State.Ended() {
		b.stop(h, worker.ForOutcome)
		return
	}
	if h.Began == 0 {
		h.Began = now
		b.began(now, h, k, j)
	}
	b.measure(now, r, h, st)
	h.Phase = st.Phase
	if h.Attempt == k.Attempt {
		b.advance(k, st.Phase)
	}
	if st.Checkpoint != "" && st.Checkpoint != k.Checkpoint {
		m := job.Checkpointed{Head: b.head(h.Job, h.Task, h.Attempt), Checkpoint: st.Checkpoint, Progress: st.Saved}
		if b.emit(m) {
			b.saved(now, h)
		}
	}
	h.Saved = max(h.Saved, st.Saved)
	b.checkpointDue(now, r, h, j)
	if h.Stop == worker.Keep && h.Resumed == 0 && j.Terms.Class == service.Batch {
		b.straggle(now, r, h, k, j, st)
	}
	if h.Stop != worker.Keep || st.Phase == worker.Checkpointing {
		r.Poll = true
	}
}

func (b *Board) advance(k *job.Task, p worker.Phase) {
	to := job.StateRunning
	if p == worker.Checkpointing {
		to = job.StateCheckpointing
	}
	if k.State != to {
		k.Advance(to)
	}
}

func (b *Board) began(now clock.Millis, h *worker.Held, k *job.Task, j *job.Job) {
	if j.Terms.Class == service.Standing && k.Gaps > 0 && !h.Spare {
		gap := now.Sub(k.Since)
		k.GapTime += gap
		b.Count.GapTime += gap
	}
}

// saved handles a new whole checkpoint.
func (b *Board) saved(now clock.Millis, h *worker.Held) {
	h.AskedSave = now
	if h.Stop == worker.ForMove && !h.WantCheckpoint {
		h.StopAt = now
		b.touch(h.Worker)
	}
}

func (b *Board) checkpointDue(now clock.Millis, r *worker.Row, h *worker.Held, j *job.Job) {
	if j.Terms.Checkpoint == 0 || h.Stop != worker.Keep {
		return
	}
	if now.Sub(max(h.Began, h.AskedSave)) >= j.Terms.Checkpoint {
		h.WantCheckpoint, r.Dirty = true, true
	}
}

// straggle doubles or moves a task that runs far longer than its kind.
func (b *Board) straggle(now clock.Millis, r *worker.Row, h *worker.Held, k *job.Task, j *job.Job, st *worker.Status) {
	kind := b.Kinds.Get(h.Kind)
	if kind == nil || k.Moves >= maxMoves || k.Spare != 0 || !kind.Straggles(st.Ran) {
		return
	}
	switch {
	case j.Terms.SafeTwice:
		k.Moves++
		b.spares = append(b.spares, h.Task)
	case j.Terms.Checkpoint > 0:
		k.Moves++
		b.move(now, r, h)
	}
}

// move stops an attempt after a checkpoint, so that it goes on elsewhere.
func (b *Board) move(now clock.Millis, r *worker.Row, h *worker.Held) {
	h.Stop, h.StopAt, h.WantCheckpoint = worker.ForMove, now.Add(moveWithin), true
	r.Dirty = true
}

// measure learns from the usage and the progress of a report. What it says is
// as old as its age, and is credited to what ran on the worker then.
func (b *Board) measure(now clock.Millis, r *worker.Row, h *worker.Held, st *worker.Status) {
	at := now.Add(-st.Age)
	h.Peak = unit.Resources{
		CPU:    max(h.Peak.CPU, st.Usage.CPU),
		Memory: max(h.Peak.Memory, st.Usage.Memory),
	}
	if was := h.Size; b.Workers.Grow(h, h.Peak) {
		more := h.Size.Sub(was)
		b.used[h.Class] = b.used[h.Class].Add(more)
		if h.Team != "" {
			b.Teams.Take(h.Team, more)
		}
	}
	if !h.Sampled && st.Ran >= sampleAfter {
		b.learnUsage(h)
	}
	done, since := h.Done, h.DoneAt
	h.Done, h.DoneAt = st.Progress, at
	kind := b.Kinds.Get(h.Kind)
	if kind == nil || since == 0 || at <= since || h.Share < 1 || st.Progress <= done {
		return
	}
	expected := kind.Expected(0)
	if expected == 0 {
		return
	}
	took := float64(at.Sub(since)) / (st.Progress - done)
	b.Interference.Learn(h.Kind, others(r.History.At(at), h.Kind), b.level(r), max(0, took/float64(expected)-1))
}

// others returns kinds without one entry of k.
func others(kinds []unit.Kind, k unit.Kind) []unit.Kind {
	rest, left := make([]unit.Kind, 0, len(kinds)), false
	for _, o := range kinds {
		if o == k && !left {
			left = true
			continue
		}
		rest = append(rest, o)
	}
	return rest
}

func (b *Board) level(r *worker.Row) int {
	return estimate.LevelOf(quota.ShareOf(r.Used, r.Capacity))
}

func (b *Board) learnUsage(h *worker.Held) {
	if h.Sampled || h.Peak == (unit.Resources{}) {
		return
	}
	h.Sampled = true
	b.Kinds.Ensure(h.Kind).AddUsage(h.Peak)
	b.dirty = true
}

func (b *Board) learnRunTime(h *worker.Held, st *worker.Status) {
	h.Peak = unit.Resources{CPU: max(h.Peak.CPU, st.Usage.CPU), Memory: max(h.Peak.Memory, st.Usage.Memory)}
	if h.Resumed == 0 && h.Share == 1 && st.Ran > 0 {
		b.Kinds.Ensure(h.Kind).AddRunTime(st.Ran)
	}
}

// victimOf describes an attempt as a victim.
func (b *Board) victimOf(now clock.Millis, h *worker.Held) placement.Victim {
	j := b.Jobs.Jobs.Get(h.Job)
	v := placement.Victim{Class: h.Class, Placed: h.Placed, Frees: h.Limit(), Budget: true, Slack: clock.Span(clock.Never)}
	if j == nil {
		return v
	}
	expected := b.Kinds.Ensure(h.Kind).Expected(j.Terms.Expected)
	v.LostWork = clock.Span(max(0, h.Done-h.Saved) * float64(expected))
	v.Evictions = j.Evictions
	v.Budget = b.Policies.Budget == 0 || j.Evictions < b.Policies.Budget
	if t := b.Teams.Teams.Get(h.Team); t != nil {
		v.Borrowed = t.Borrows(unit.Resources{})
	}
	if j.Deadline != clock.Never {
		v.Slack = j.Deadline.Sub(now) - clock.Span((1-h.Done)*float64(expected))
	}
	return v
}
