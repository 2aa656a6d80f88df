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
	migrationTimeout    = 2 * clock.Minute  // limit for the checkpoint of a migration
	minUsageSampleTime  = 15 * clock.Second // long attempts provide a usage sample before they end
	maxStragglerRetries = 1                 // migrations and speculative attempts of a task because it was a straggler
)

// handleProgress handles a status that reports an attempt as running or
// checkpointing. An attempt whose task has ended is stopped.
func (b *Board) handleProgress(now clock.Millis, r *worker.Row, a *worker.Allocation, st *worker.Status) {
	k, j := b.Jobs.Tasks.Get(a.Task), b.Jobs.Jobs.Get(a.Job)
	if k == nil || j == nil || k.State.Ended() {
		b.requestStop(a, worker.StopEnded)
		return
	}
	if a.RunningSince == 0 {
		a.RunningSince = now
		b.endInterruption(now, a, k, j)
	}
	b.recordMeasurements(now, r, a, st)
	a.Phase = st.Phase
	if a.Attempt == k.Attempt {
		b.advancePhase(k, st.Phase)
	}
	if st.Checkpoint != "" && st.Checkpoint != k.Checkpoint {
		m := job.Checkpointed{Header: b.recordHeader(a.Job, a.Task, a.Attempt), Checkpoint: st.Checkpoint, Progress: st.Saved}
		if b.applyAndQueue(m) {
			b.handleCheckpoint(now, a)
		}
	}
	a.Saved = max(a.Saved, st.Saved)
	b.requestDueCheckpoint(now, r, a, j)
	if a.StopReason == worker.StopNone && a.InitialProgress == 0 && j.Terms.Class == service.Batch {
		b.handleStraggler(now, r, a, k, j, st)
	}
	if a.StopReason != worker.StopNone || st.Phase == worker.PhaseCheckpointing {
		r.PollSoon = true
	}
}

// advancePhase sets the state of a task from the reported phase of its
// attempt.
func (b *Board) advancePhase(k *job.Task, p worker.Phase) {
	to := job.StateRunning
	if p == worker.PhaseCheckpointing {
		to = job.StateCheckpointing
	}
	if k.State != to {
		k.Advance(to)
	}
}

// endInterruption adds the length of the interruption to the interrupted time
// when a task of standing work runs again.
func (b *Board) endInterruption(now clock.Millis, a *worker.Allocation, k *job.Task, j *job.Job) {
	if j.Terms.Class == service.Standing && k.Interruptions > 0 && !a.Speculative {
		interruption := now.Sub(k.QueuedSince)
		k.InterruptedTime += interruption
		b.Count.InterruptedTime += interruption
	}
}

// handleCheckpoint handles a new complete checkpoint. An attempt that is to
// migrate stops now.
func (b *Board) handleCheckpoint(now clock.Millis, a *worker.Allocation) {
	a.LastCheckpointAt = now
	if a.StopReason == worker.StopForMigration && !a.CheckpointPending {
		a.StopBy = now
		b.markChanged(a.Worker)
	}
}

// requestDueCheckpoint requests a checkpoint once the checkpoint interval of
// the job has passed.
func (b *Board) requestDueCheckpoint(now clock.Millis, r *worker.Row, a *worker.Allocation, j *job.Job) {
	if j.Terms.CheckpointInterval == 0 || a.StopReason != worker.StopNone {
		return
	}
	if now.Sub(max(a.RunningSince, a.LastCheckpointAt)) >= j.Terms.CheckpointInterval {
		a.CheckpointPending, r.CommandsPending = true, true
	}
}

// handleStraggler starts a speculative attempt or a migration of a task whose
// run time is far above that of its kind. A speculative attempt requires a kind
// that is safe to run twice, a migration requires checkpoints.
func (b *Board) handleStraggler(now clock.Millis, r *worker.Row, a *worker.Allocation, k *job.Task, j *job.Job, st *worker.Status) {
	est := b.KindEstimates.Get(a.Kind)
	if est == nil || k.StragglerRetries >= maxStragglerRetries || k.SpeculativeAttempt != 0 || !est.IsStraggler(st.RunTime) {
		return
	}
	switch {
	case j.Terms.SafeTwice:
		k.StragglerRetries++
		b.pendingSpeculative = append(b.pendingSpeculative, a.Task)
	case j.Terms.CheckpointInterval > 0:
		k.StragglerRetries++
		b.startMigration(now, r, a)
	}
}

// startMigration requests a checkpoint of an attempt and stops the attempt after
// it, so that the task continues on another worker. The attempt stops after
// migrationTimeout at the latest, even without a checkpoint.
func (b *Board) startMigration(now clock.Millis, r *worker.Row, a *worker.Allocation) {
	a.StopReason, a.StopBy, a.CheckpointPending = worker.StopForMigration, now.Add(migrationTimeout), true
	r.CommandsPending = true
}

// recordMeasurements updates the peak usage, the size and the progress of an
// attempt, and the interference estimates, from a status. The figures were
// measured st.Age ago, so the slowdown is credited to the kinds that ran on the
// worker at that time.
func (b *Board) recordMeasurements(now clock.Millis, r *worker.Row, a *worker.Allocation, st *worker.Status) {
	at := now.Add(-st.Age)
	a.PeakUsage = unit.Resources{
		CPU:    max(a.PeakUsage.CPU, st.Usage.CPU),
		Memory: max(a.PeakUsage.Memory, st.Usage.Memory),
	}
	if previous := a.Size; b.Workers.Grow(a, a.PeakUsage) {
		growth := a.Size.Sub(previous)
		b.allocatedByClass[a.Class] = b.allocatedByClass[a.Class].Add(growth)
		if a.Team != "" {
			b.Teams.Acquire(a.Team, growth)
		}
	}
	if !a.UsageSampled && st.RunTime >= minUsageSampleTime {
		b.addUsageSample(a)
	}
	lastProgress, lastProgressAt := a.ReportedProgress, a.ProgressAt
	a.ReportedProgress, a.ProgressAt = st.Progress, at
	est := b.KindEstimates.Get(a.Kind)
	if est == nil || lastProgressAt == 0 || at <= lastProgressAt || a.Share < 1 || st.Progress <= lastProgress {
		return
	}
	expected := est.ExpectedRunTime(0)
	if expected == 0 {
		return
	}
	fullRunTime := float64(at.Sub(lastProgressAt)) / (st.Progress - lastProgress)
	b.Interference.Update(a.Kind, neighbourKinds(r.History.At(at), a.Kind), b.loadLevel(r), max(0, fullRunTime/float64(expected)-1))
}

// neighbourKinds returns kinds with one occurrence of k removed, which is the
// attempt itself.
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
	return estimate.LevelOf(quota.LargestFraction(r.Allocated, r.Capacity))
}

// addUsageSample adds the peak usage of an attempt to the estimates, once
// for each attempt.
func (b *Board) addUsageSample(a *worker.Allocation) {
	if a.UsageSampled || a.PeakUsage == (unit.Resources{}) {
		return
	}
	a.UsageSampled = true
	b.KindEstimates.Ensure(a.Kind).AddUsage(a.PeakUsage)
	b.retryBatchWork = true
}

// addRunTimeSample adds the run time of a finished attempt to the estimates.
// Attempts that resumed from a checkpoint or are throttled do not count.
func (b *Board) addRunTimeSample(a *worker.Allocation, st *worker.Status) {
	a.PeakUsage = unit.Resources{CPU: max(a.PeakUsage.CPU, st.Usage.CPU), Memory: max(a.PeakUsage.Memory, st.Usage.Memory)}
	if a.InitialProgress == 0 && a.Share == 1 && st.RunTime > 0 {
		b.KindEstimates.Ensure(a.Kind).AddRunTime(st.RunTime)
	}
}

// victimOf describes an attempt as a candidate for eviction.
func (b *Board) victimOf(now clock.Millis, a *worker.Allocation) placement.Victim {
	j := b.Jobs.Jobs.Get(a.Job)
	v := placement.Victim{Class: a.Class, PlacedAt: a.PlacedAt, Freed: a.Limit(), WithinBudget: true, Slack: clock.Span(clock.Never)}
	if j == nil {
		return v
	}
	expected := b.KindEstimates.Ensure(a.Kind).ExpectedRunTime(j.Terms.ExpectedRunTime)
	v.LostWork = clock.Span(max(0, a.ReportedProgress-a.Saved) * float64(expected))
	v.Evictions = j.Evictions
	v.WithinBudget = b.Policies.EvictionBudget == 0 || j.Evictions < b.Policies.EvictionBudget
	if t := b.Teams.Teams.Get(a.Team); t != nil {
		v.TeamBorrows = t.Borrows(unit.Resources{})
	}
	if j.Deadline != clock.Never {
		v.Slack = j.Deadline.Sub(now) - clock.Span((1-a.ReportedProgress)*float64(expected))
	}
	return v
}
