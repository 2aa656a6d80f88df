package worker

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/worker"
)

// failAllDelay is the time until an attempt fails on a worker with
// [Faults.FailAll].
const failAllDelay = 200 * clock.Millisecond

// advance runs the attempts up to the given time, from one event to the next.
func (w *Worker) advance(now clock.Millis) {
	for w.advancedTo < now && !w.dead && !w.frozen {
		w.setSpeeds()
		next := now
		for _, a := range w.byArrival {
			if a.phase.Live() {
				next = min(next, w.nextEvent(a))
			}
		}
		span := float64(max(next, w.advancedTo).Sub(w.advancedTo))
		w.advancedTo = max(next, w.advancedTo)
		for _, a := range w.byArrival {
			if a.phase.Live() {
				a.progress = min(1, a.progress+a.speed*span)
				w.applyDueEvent(a)
			}
		}
	}
	w.advancedTo = max(w.advancedTo, now)
}

// nextEvent returns the time of the next event of a: the end of its lease, of
// its checkpoint or of its run. The time is at least one millisecond ahead, so
// that advance always makes progress.
func (w *Worker) nextEvent(a *attempt) clock.Millis {
	t := clock.Never
	if !w.Faults.IgnoreLeaseEnd {
		t = a.leaseEnd
	}
	if a.phase == worker.PhaseCheckpointing {
		t = min(t, a.checkpointEnd)
	}
	if a.speed > 0 {
		t = min(t, w.advancedTo.Add(clock.Span((a.endProgress()-a.progress)/a.speed)+1))
	}
	if w.Faults.FailAll {
		t = min(t, a.startedAt.Add(failAllDelay))
	}
	return max(t, w.advancedTo+1)
}

// endProgress returns the progress at which the attempt ends. A task that fails
// does so at half its progress, or at its checkpoint if that is further.
func (a *attempt) endProgress() float64 {
	if a.profile.Fails {
		return max(0.5, a.savedProgress)
	}
	return 1
}

// applyDueEvent applies the first event of a that is due, in this order: the
// end of the lease, a failure, the end of the run and the end of a checkpoint.
// It has no effect if none is due.
func (w *Worker) applyDueEvent(a *attempt) {
	switch {
	case w.advancedTo >= a.leaseEnd && !w.Faults.IgnoreLeaseEnd:
		w.end(a, worker.PhaseStopped, "lease ended")
	case w.Faults.FailAll && w.advancedTo.Sub(a.startedAt) >= failAllDelay:
		w.end(a, worker.PhaseFailed, "broken worker")
	case a.profile.Fails && a.progress >= a.endProgress():
		w.end(a, worker.PhaseFailed, "task fails")
	case a.profile.RunTime > 0 && a.progress >= 1:
		a.progress = 1
		w.end(a, worker.PhaseFinished, "")
	case a.phase == worker.PhaseCheckpointing && w.advancedTo >= a.checkpointEnd:
		a.phase, a.checkpoint, a.savedProgress = worker.PhaseRunning, a.pendingCheckpoint, a.pendingProgress
		w.sim.Store.Put(a.pendingCheckpoint, SavedCheckpoint{Task: a.Task, Progress: a.pendingProgress, Complete: true})
	}
}

// setSpeeds sets the speed of each attempt, as progress per millisecond.
// Throttled processors, an overloaded worker and other attempts on it reduce
// the speed.
func (w *Worker) setSpeeds() {
	var used unit.MilliCPU
	for _, a := range w.byArrival {
		if a.phase.Live() {
			used += min(a.profile.Usage.CPU, unit.MilliCPU(float64(a.limit.CPU)*a.share))
		}
	}
	load := float64(used) / float64(max(w.Capacity.CPU, 1))
	for _, a := range w.byArrival {
		a.speed = 0
		if !a.phase.Live() || a.profile.RunTime == 0 {
			continue
		}
		speed := 1.0
		if a.profile.Usage.CPU > 0 {
			speed = min(1, float64(a.limit.CPU)*a.share/float64(a.profile.Usage.CPU))
		}
		slowdown := 1 + max(0, load-1)
		if w.sim.Slowdown != nil {
			for _, o := range w.byArrival {
				if o != a && o.phase.Live() {
					slowdown += w.sim.Slowdown(a.kind, o.kind, load)
				}
			}
		}
		a.speed = speed / slowdown / float64(a.profile.RunTime)
	}
}

// RunningAttempt describes an attempt that is running.
type RunningAttempt struct {
	worker.AttemptID
	Worker     unit.Worker
	Limit      unit.Resources // after throttling
	Usage      unit.Resources // actual usage without throttling
	Checkpoint string         // last reported checkpoint, at first the one that it resumed from
}

// Running appends the running attempts to dst. A dead or frozen worker has none.
func (w *Worker) Running(dst []RunningAttempt) []RunningAttempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.sim.Clock.Now())
	if w.dead || w.frozen {
		return dst
	}
	for _, a := range w.byArrival {
		if a.phase.Live() {
			l := RunningAttempt{AttemptID: a.AttemptID, Worker: w.ID, Limit: a.limit, Usage: a.profile.Usage, Checkpoint: a.checkpoint}
			l.Limit.CPU = unit.MilliCPU(float64(l.Limit.CPU) * a.share)
			dst = append(dst, l)
		}
	}
	return dst
}

// Kill ends the worker and all its attempts. It loses the state of all attempts,
// but not the stored checkpoints.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.sim.Clock.Now())
	w.dead = true
	clear(w.attempts)
	w.byArrival = nil
}

// Restart starts a dead worker as a new instance, whose clock starts at zero.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead, w.epoch = false, 0
	w.restarts++
	w.advancedTo = w.sim.Clock.Now()
	w.clockSkew = -clock.Span(w.advancedTo)
}

// Freeze pauses the worker and all its attempts.
func (w *Worker) Freeze() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.sim.Clock.Now())
	w.frozen = true
}

// Thaw ends a pause. Attempts whose leases ended during the pause are stopped at
// once.
func (w *Worker) Thaw() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advancedTo = max(w.advancedTo, w.sim.Clock.Now())
	w.frozen = false
	for _, a := range w.byArrival {
		if a.phase.Live() && w.advancedTo >= a.leaseEnd && !w.Faults.IgnoreLeaseEnd {
			w.end(a, worker.PhaseStopped, "lease ended")
		}
	}
}

// Up reports whether the worker answers calls: it is neither dead nor frozen.
func (w *Worker) Up() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.dead && !w.frozen
}

// Dead reports whether the worker was killed and not restarted.
func (w *Worker) Dead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead
}
