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

// Bounds of the handling of running attempts.
const (
	moveTimeout        = 2 * clock.Minute  // limit for the checkpoint of a move
	minUsageSampleTime = 15 * clock.Second // long attempts provide a usage sample before they end
	maxStragglerMoves  = 1                 // moves or spare attempts of a task as a straggler
)

// handleProgress handles a status that reports an attempt as running or
// checkpointing. An attempt whose task has ended is stopped.
func (b *Board) handleProgress(now clock.Millis, r *worker.Row, h *worker.Allocation, st *worker.Status) {
	k, j := b.Jobs.Tasks.Get(h.Task), b.Jobs.Jobs.Get(h.Job)
	if k == nil || j == nil || k.State.Ended() {
		b.requestStop(h, worker.StopEnded)
		return
	}
	if h.RunningSince == 0 {
		h.RunningSince = now
		b.endGap(now, h, k, j)
	}
	b.recordMeasurements(now, r, h, st)
	h.Phase = st.Phase
	if h.Attempt == k.Attempt {
		b.advancePhase(k, st.Phase)
	}
	if st.Checkpoint != "" && st.Checkpoint != k.Checkpoint {
		m := job.Checkpointed{Head: b.recordHead(h.Job, h.Task, h.Attempt), Checkpoint: st.Checkpoint, Progress: st.Saved}
		if b.emit(m) {
			b.handleCheckpoint(now, h)
		}
	}
	h.Saved = max(h.Saved, st.Saved)
	b.requestDueCheckpoint(now, r, h, j)
	if h.Stop == worker.StopNone && h.InitialProgress == 0 && j.Terms.Class == service.Batch {
		b.handleStraggler(now, r, h, k, j, st)
	}
	if h.Stop != worker.StopNone || st.Phase == worker.Checkpointing {
		r.PollSoon = true
	}
}

// advancePhase sets the state of a task from the reported phase of its
// attempt.
func (b *Board) advancePhase(k *job.Task, p worker.Phase) {
	to := job.StateRunning
	if p == worker.Checkpointing {
		to = job.StateCheckpointing
	}
	if k.State != to {
		k.Advance(to)
	}
}

// endGap adds the interruption that ends when standing work runs again to
// the gap time.
func (b *Board) endGap(now clock.Millis, h *worker.Allocation, k *job.Task, j *job.Job) {
	if j.Terms.Class == service.Standing && k.Gaps > 0 && !h.Spare {
		gap := now.Sub(k.QueuedSince)
		k.GapTime += gap
		b.Count.GapTime += gap
	}
}

// handleCheckpoint handles a new complete checkpoint. An attempt that is
// moved stops now.
func (b *Board) handleCheckpoint(now clock.Millis, h *worker.Allocation) {
	h.CheckpointedAt = now
	if h.Stop == worker.StopForMove && !h.CheckpointPending {
		h.StopBy = now
		b.markChanged(h.Worker)
	}
}

// requestDueCheckpoint requests a checkpoint once the checkpoint interval of
// the job has passed.
func (b *Board) requestDueCheckpoint(now clock.Millis, r *worker.Row, h *worker.Allocation, j *job.Job) {
	if j.Terms.Checkpoint == 0 || h.Stop != worker.StopNone {
		return
	}
	if now.Sub(max(h.RunningSince, h.CheckpointedAt)) >= j.Terms.Checkpoint {
		h.CheckpointPending, r.CallsPending = true, true
	}
}

// handleStraggler starts a spare attempt or a move of a task whose run time
// is far above that of its kind. A spare attempt requires a kind that is
// safe to run twice, a move requires checkpoints.
func (b *Board) handleStraggler(now clock.Millis, r *worker.Row, h *worker.Allocation, k *job.Task, j *job.Job, st *worker.Status) {
	kind := b.Kinds.Get(h.Kind)
	if kind == nil || k.Moves >= maxStragglerMoves || k.Spare != 0 || !kind.IsStraggler(st.Ran) {
		return
	}
	switch {
	case j.Terms.SafeTwice:
		k.Moves++
		b.pendingSpares = append(b.pendingSpares, h.Task)
	case j.Terms.Checkpoint > 0:
		k.Moves++
		b.startMove(now, r, h)
	}
}

// startMove requests a checkpoint of an attempt and stops the attempt after
// it, so that the task continues on another worker. The attempt stops after
// moveTimeout at the latest.
func (b *Board) startMove(now clock.Millis, r *worker.Row, h *worker.Allocation) {
	h.Stop, h.StopBy, h.CheckpointPending = worker.StopForMove, now.Add(moveTimeout), true
	r.CallsPending = true
}

// recordMeasurements updates the peak usage, the size and the progress of an
// attempt, and the interference estimates, from a status. The figures are as
// old as st.Age, so the slowdown is credited to the kinds that ran on the
// worker at that time.
func (b *Board) recordMeasurements(now clock.Millis, r *worker.Row, h *worker.Allocation, st *worker.Status) {
	at := now.Add(-st.Age)
	h.PeakUsage = unit.Resources{
		CPU:    max(h.PeakUsage.CPU, st.Usage.CPU),
		Memory: max(h.PeakUsage.Memory, st.Usage.Memory),
	}
	if previous := h.Size; b.Workers.Grow(h, h.PeakUsage) {
		growth := h.Size.Sub(previous)
		b.usedByClass[h.Class] = b.usedByClass[h.Class].Add(growth)
		if h.Team != "" {
			b.Teams.Acquire(h.Team, growth)
		}
	}
	if !h.UsageSampled && st.Ran >= minUsageSampleTime {
		b.addUsageSample(h)
	}
	lastProgress, lastProgressAt := h.ReportedProgress, h.ProgressAt
	h.ReportedProgress, h.ProgressAt = st.Progress, at
	kind := b.Kinds.Get(h.Kind)
	if kind == nil || lastProgressAt == 0 || at <= lastProgressAt || h.Share < 1 || st.Progress <= lastProgress {
		return
	}
	expected := kind.Expected(0)
	if expected == 0 {
		return
	}
	fullRunTime := float64(at.Sub(lastProgressAt)) / (st.Progress - lastProgress)
	b.Interference.Update(h.Kind, neighbourKinds(r.History.At(at), h.Kind), b.loadLevel(r), max(0, fullRunTime/float64(expected)-1))
}

// neighbourKinds returns kinds without the first entry of k.
func neighbourKinds(kinds []unit.Kind, k unit.Kind) []unit.Kind {
	neighbours, removed := make([]unit.Kind, 0, len(kinds)), false
	for _, o := range kinds {
		if o == k && !removed {
			removed = true
			continue
		}
		neighbours = append(neighbours, o)
	}
	return neighbours
}

// loadLevel returns the load level of a worker for the interference
// estimates.
func (b *Board) loadLevel(r *worker.Row) int {
	return estimate.LevelOf(quota.ShareOf(r.Used, r.Capacity))
}

// addUsageSample adds the peak usage of an attempt to the estimates, once
// for each attempt.
func (b *Board) addUsageSample(h *worker.Allocation) {
	if h.UsageSampled || h.PeakUsage == (unit.Resources{}) {
		return
	}
	h.UsageSampled = true
	b.Kinds.Ensure(h.Kind).AddUsage(h.PeakUsage)
	b.batchDue = true
}

// addRunTimeSample adds the run time of a finished attempt to the estimates.
// Attempts that resumed from a checkpoint or are throttled do not count.
func (b *Board) addRunTimeSample(h *worker.Allocation, st *worker.Status) {
	h.PeakUsage = unit.Resources{CPU: max(h.PeakUsage.CPU, st.Usage.CPU), Memory: max(h.PeakUsage.Memory, st.Usage.Memory)}
	if h.InitialProgress == 0 && h.Share == 1 && st.Ran > 0 {
		b.Kinds.Ensure(h.Kind).AddRunTime(st.Ran)
	}
}

// victimOf describes an attempt as a candidate for eviction.
func (b *Board) victimOf(now clock.Millis, h *worker.Allocation) placement.Victim {
	j := b.Jobs.Jobs.Get(h.Job)
	v := placement.Victim{Class: h.Class, PlacedAt: h.PlacedAt, Freed: h.Limit(), WithinBudget: true, Slack: clock.Span(clock.Never)}
	if j == nil {
		return v
	}
	expected := b.Kinds.Ensure(h.Kind).Expected(j.Terms.Expected)
	v.LostWork = clock.Span(max(0, h.ReportedProgress-h.Saved) * float64(expected))
	v.Evictions = j.Evictions
	v.WithinBudget = b.Policies.Budget == 0 || j.Evictions < b.Policies.Budget
	if t := b.Teams.Teams.Get(h.Team); t != nil {
		v.TeamBorrows = t.Borrows(unit.Resources{})
	}
	if j.Deadline != clock.Never {
		v.Slack = j.Deadline.Sub(now) - clock.Span((1-h.ReportedProgress)*float64(expected))
	}
	return v
}
