package worker

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/worker"
)

// failAllAfter is how long attempts last on a worker that fails everything.
const failAllAfter = 200 * clock.Millisecond

// advance runs the attempts up to the given instant, from event to event.
func (w *Worker) advance(now clock.Millis) {
	for w.at < now && !w.dead && !w.frozen {
		w.setSpeeds()
		next := now
		for _, a := range w.order {
			if a.phase.Live() {
				next = min(next, w.nextEvent(a))
			}
		}
		span := float64(max(next, w.at).Sub(w.at))
		w.at = max(next, w.at)
		for _, a := range w.order {
			if a.phase.Live() {
				a.progress = min(1, a.progress+a.speed*span)
				w.settle(a)
			}
		}
	}
	w.at = max(w.at, now)
}

// nextEvent returns the next instant at which a changes by itself, at least one
// millisecond ahead.
func (w *Worker) nextEvent(a *attempt) clock.Millis {
	t := clock.Never
	if !w.Faults.KeepLapsed {
		t = a.lease
	}
	if a.phase == worker.Checkpointing {
		t = min(t, a.saveEnd)
	}
	if a.speed > 0 {
		t = min(t, w.at.Add(clock.Span((a.goal()-a.progress)/a.speed)+1))
	}
	if w.Faults.FailAll {
		t = min(t, a.began.Add(failAllAfter))
	}
	return max(t, w.at+1)
}

// goal is the progress at which the attempt ends.
func (a *attempt) goal() float64 {
	if a.truth.Fails {
		return max(0.5, a.saved)
	}
	return 1
}

// settle applies the events of the instant to a.
func (w *Worker) settle(a *attempt) {
	switch {
	case w.at >= a.lease && !w.Faults.KeepLapsed:
		w.end(a, worker.Stopped, "lease ended")
	case w.Faults.FailAll && w.at.Sub(a.began) >= failAllAfter:
		w.end(a, worker.Failed, "broken worker")
	case a.truth.Fails && a.progress >= a.goal():
		w.end(a, worker.Failed, "task fails")
	case a.truth.Time > 0 && a.progress >= 1:
		a.progress = 1
		w.end(a, worker.Finished, "")
	case a.phase == worker.Checkpointing && w.at >= a.saveEnd:
		a.phase, a.checkpoint, a.saved = worker.Running, a.saveName, a.saveAt
		w.world.Store.Put(a.saveName, Saved{Task: a.Task, Progress: a.saveAt, Whole: true})
	}
}

// setSpeeds sets how fast each attempt progresses, per millisecond.
func (w *Worker) setSpeeds() {
	var used unit.MilliCPU
	for _, a := range w.order {
		if a.phase.Live() {
			used += min(a.truth.Usage.CPU, unit.MilliCPU(float64(a.limit.CPU)*a.share))
		}
	}
	load := float64(used) / float64(max(w.Capacity.CPU, 1))
	for _, a := range w.order {
		a.speed = 0
		if !a.phase.Live() || a.truth.Time == 0 {
			continue
		}
		speed := 1.0
		if a.truth.Usage.CPU > 0 {
			speed = min(1, float64(a.limit.CPU)*a.share/float64(a.truth.Usage.CPU))
		}
		slow := 1 + max(0, load-1)
		if w.world.Slowdown != nil {
			for _, o := range w.order {
				if o != a && o.phase.Live() {
					slow += w.world.Slowdown(a.kind, o.kind, load)
				}
			}
		}
		a.speed = speed / slow / float64(a.truth.Time)
	}
}

// Live is an attempt that runs now.
type Live struct {
	worker.Ref
	Worker unit.Worker
	Limit  unit.Resources // after throttling
	Usage  unit.Resources
	From   string // checkpoint that it began from
}

// Running appends the attempts that run now to dst. A frozen worker runs
// nothing.
func (w *Worker) Running(dst []Live) []Live {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.world.Clock.Now())
	if w.dead || w.frozen {
		return dst
	}
	for _, a := range w.order {
		if a.phase.Live() {
			l := Live{Ref: a.Ref, Worker: w.ID, Limit: a.limit, Usage: a.truth.Usage, From: a.checkpoint}
			l.Limit.CPU = unit.MilliCPU(float64(l.Limit.CPU) * a.share)
			dst = append(dst, l)
		}
	}
	return dst
}

// Kill ends the worker and all that it runs; nothing is kept.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.world.Clock.Now())
	w.dead = true
	clear(w.attempts)
	w.order = nil
}

// Restart brings a dead worker back. Its clock starts anew.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead, w.epoch = false, 0
	w.lives++
	w.at = w.world.Clock.Now()
	w.skew = -clock.Span(w.at)
}

// Freeze pauses the worker with all that it runs.
func (w *Worker) Freeze() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.world.Clock.Now())
	w.frozen = true
}

// Thaw ends a pause. Leases that ended during it stop their attempts at once.
func (w *Worker) Thaw() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.at = max(w.at, w.world.Clock.Now())
	w.frozen = false
	for _, a := range w.order {
		if a.phase.Live() && w.at >= a.lease && !w.Faults.KeepLapsed {
			w.end(a, worker.Stopped, "lease ended")
		}
	}
}

// Up reports whether the worker answers.
func (w *Worker) Up() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.dead && !w.frozen
}

// Dead reports whether the worker has ended.
func (w *Worker) Dead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead
}
