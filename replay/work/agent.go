package work

import (
	"context"
	"strconv"

	"mimosadock/replay/invariant"
	"mimosadock/replay/trace"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
	"mimosadock/schedule/worker"
)

var _ worker.Agent = (*Simulation)(nil)

const (
	// failureDelay is the time after which a faulty worker fails an attempt.
	failureDelay = clock.Second
	// usageDelay is the age of the usage figures in a report.
	usageDelay = 5 * clock.Second
)

// attemptRow is one attempt on a worker.
type attemptRow struct {
	job            *trace.Job
	runTime        clock.Span // actual run time, 0 runs until stopped
	kind           unit.Kind
	attempt        unit.Attempt
	phase          worker.Phase
	limit          unit.Resources
	cpuShare       float64 // fraction of the processor limit, 1 without throttling
	startedAt      clock.Millis
	leaseEnd       clock.Millis
	progress       float64 // in ms of run time
	lastCheckpoint clock.Millis
	reason         string
}

func (a *attemptRow) active() bool {
	return a.phase == worker.PhaseRunning || a.phase == worker.PhaseCheckpointing
}

// granted returns the resources that the attempt may use. A throttled attempt
// may use only a fraction of its processor limit.
func (a *attemptRow) granted() unit.Resources {
	g := a.limit
	g.CPU = unit.MilliCPU(float64(g.CPU) * a.cpuShare)
	return g
}

// reachWorker returns the worker at address and stores epoch as the highest one
// that the worker has received. It returns an error if the worker is down or has
// received a higher epoch.
func (sim *Simulation) reachWorker(address unit.Worker, epoch unit.Epoch) (*workerRow, error) {
	r := sim.workers.Get(address)
	if r == nil || !r.up {
		return nil, verdict.Refuse("worker refuses the connection")
	}
	if epoch < r.epoch {
		return nil, verdict.Refuse("epoch %d is below %d", epoch, r.epoch)
	}
	r.epoch = epoch
	return r, nil
}

// Start starts an attempt. Starting a running attempt again has no effect. Start
// refuses an attempt that has ended.
func (sim *Simulation) Start(_ context.Context, address unit.Worker, s worker.Start) error {
	r, err := sim.reachWorker(address, s.Epoch)
	if err != nil {
		return err
	}
	t := sim.tasks.Get(s.Task)
	if t == nil {
		return verdict.Refuse("unknown task")
	}
	if a := r.attempts.Get(worker.AttemptID{Task: s.Task, Attempt: s.Attempt}); a != nil {
		if a.active() {
			return nil
		}
		return verdict.Refuse("attempt has ended")
	}
	if s.Instance != "" && s.Instance != r.instance() {
		return verdict.Refuse("worker has restarted")
	}
	progress := 0.0
	if s.Checkpoint != "" {
		progress, _ = strconv.ParseFloat(s.Checkpoint, 64)
	}
	r.attempts.Put(worker.AttemptID{Task: s.Task, Attempt: s.Attempt}, attemptRow{
		job: t.job, runTime: t.runTime, attempt: s.Attempt, phase: worker.PhaseRunning, limit: s.Limit, cpuShare: 1,
		startedAt: sim.now, leaseEnd: endOfLease(sim.now, s.Stamp, s.Lease), progress: progress, lastCheckpoint: sim.now,
		kind: s.Kind,
	})
	sim.recordStart(s.Task, t, s.Attempt)
	return nil
}

// endOfLease returns the end of a lease. The lease begins at stamp, the time of
// the worker's last report, or at now if stamp is 0.
func endOfLease(now, stamp clock.Millis, lease clock.Span) clock.Millis {
	if stamp == 0 {
		stamp = now
	}
	return stamp.Add(lease)
}

func (sim *Simulation) recordStart(id unit.Task, t *taskRow, attempt unit.Attempt) {
	switch {
	case t.startedAt == clock.Never:
		t.startedAt = sim.now
	case t.runningAttempts > 0 && t.job.SafeToRepeat:
		// A speculative attempt is not a resumption.
	default:
		t.Resumes++
		t.longestGap = max(t.longestGap, sim.now.Sub(t.lastStop))
		t.gapCount++
	}
	t.runningAttempts++
	sim.attemptsChanged = true
	t.lastAttempt = max(t.lastAttempt, attempt)
	invariant.CheckResumption(&sim.Ledger, sim.now, id, &t.Resumption)
}

// Renew extends the leases of the listed attempts and returns a report of all
// attempts that the worker runs or has not released. It extends no lease if the
// worker has restarted since the instance of n.
func (sim *Simulation) Renew(_ context.Context, address unit.Worker, n worker.Renewal) (worker.Report, error) {
	r, err := sim.reachWorker(address, n.Epoch)
	if err != nil {
		return worker.Report{}, err
	}
	for _, c := range n.Attempts {
		sameInstance := n.Instance == "" || n.Instance == r.instance()
		if a := r.attempts.Get(worker.AttemptID{Task: c.Task, Attempt: c.Attempt}); a != nil && sameInstance {
			a.leaseEnd = max(a.leaseEnd, endOfLease(sim.now, n.Stamp, n.Lease))
		}
	}
	report := worker.Report{Epoch: r.epoch, Instance: r.instance(), Stamp: max(sim.now, 1), Capacity: r.Capacity}
	for ref, a := range r.attempts.All() {
		t := sim.tasks.Get(ref.Task)
		s := worker.Status{
			Task: ref.Task, Attempt: ref.Attempt, Kind: a.kind, Limit: a.limit, Phase: a.phase,
			Age: usageDelay, RunTime: sim.now.Sub(a.startedAt), Reason: a.reason,
		}
		if a.active() && sim.now.Sub(a.startedAt) >= usageDelay {
			s.Usage = t.job.Actual
		}
		if t.runTime > 0 {
			s.Progress = min(1, a.progress/float64(t.runTime))
		}
		if t.savedProgress > 0 {
			s.Checkpoint = strconv.FormatFloat(t.savedProgress, 'g', -1, 64)
			if t.runTime > 0 {
				s.Saved = min(1, t.savedProgress/float64(t.runTime))
			}
		}
		report.Statuses = append(report.Statuses, s)
	}
	return report, nil
}

// Checkpoint saves the progress of an attempt immediately. It has no effect on
// jobs without checkpoints.
func (sim *Simulation) Checkpoint(_ context.Context, address unit.Worker, c worker.Command) error {
	_, a, err := sim.findAttempt(address, c)
	if err != nil {
		return err
	}
	if a.active() && sim.tasks.Get(c.Task).job.CheckpointInterval > 0 {
		sim.saveProgress(sim.tasks.Get(c.Task), a)
	}
	return nil
}

// Throttle limits an attempt to the given fraction of its processor limit.
func (sim *Simulation) Throttle(_ context.Context, address unit.Worker, c worker.Command, share float64) error {
	_, a, err := sim.findAttempt(address, c)
	if err == nil {
		a.cpuShare = share
	}
	return err
}

// Stop ends an attempt and keeps its status until Release. It records an unknown
// attempt as stopped, so that the worker refuses a later start of it.
func (sim *Simulation) Stop(_ context.Context, address unit.Worker, c worker.Command) error {
	r, err := sim.reachWorker(address, c.Epoch)
	if err != nil {
		return err
	}
	ref := worker.AttemptID{Task: c.Task, Attempt: c.Attempt}
	t := sim.tasks.Get(c.Task)
	a := r.attempts.Get(ref)
	if a == nil {
		r.attempts.Put(ref, attemptRow{job: t.job, attempt: c.Attempt, phase: worker.PhaseStopped, startedAt: sim.now})
		return nil
	}
	if !a.active() {
		return nil
	}
	a.phase = worker.PhaseStopped
	sim.addLostProgress(t, a)
	sim.recordAttemptEnd(t)
	if !t.cancelled && t.finishedAt == clock.Never && t.runningAttempts == 0 {
		sim.evictions++
	}
	return nil
}

// Release removes the record of an attempt that has ended.
func (sim *Simulation) Release(_ context.Context, address unit.Worker, c worker.Command) error {
	r, a, err := sim.findAttempt(address, c)
	if err != nil {
		return err
	}
	if !a.active() {
		r.attempts.Delete(worker.AttemptID{Task: c.Task, Attempt: c.Attempt})
	}
	return nil
}

func (sim *Simulation) findAttempt(address unit.Worker, c worker.Command) (*workerRow, *attemptRow, error) {
	r, err := sim.reachWorker(address, c.Epoch)
	if err != nil {
		return nil, nil, err
	}
	a := r.attempts.Get(worker.AttemptID{Task: c.Task, Attempt: c.Attempt})
	if a == nil {
		return nil, nil, verdict.Refuse("the worker has no attempt %d of task %s", c.Attempt, c.Task)
	}
	return r, a, nil
}

func (sim *Simulation) saveProgress(t *taskRow, a *attemptRow) {
	t.savedProgress = max(t.savedProgress, a.progress)
	a.lastCheckpoint = sim.now
}

// advanceWorkers advances all attempts by one tick.
func (sim *Simulation) advanceWorkers() {
	for _, r := range sim.workers.All() {
		if r.up {
			sim.enforceMemory(r)
			sim.advanceWorker(r)
		}
	}
}

// enforceMemory fails attempts until the rest fits into the memory of the
// worker. It first fails the attempt that exceeds its memory limit by the
// largest amount.
func (sim *Simulation) enforceMemory(r *workerRow) {
	for {
		var worst *attemptRow
		var task unit.Task
		used, maxExcess := unit.MiB(0), unit.MiB(-1)
		for ref, a := range r.attempts.All() {
			if !a.active() {
				continue
			}
			need := a.job.Actual.Memory
			used += need
			if need-a.limit.Memory > maxExcess {
				worst, task, maxExcess = a, ref.Task, need-a.limit.Memory
			}
		}
		if used <= r.Capacity.Memory || worst == nil {
			return
		}
		sim.failAttempt(task, worst, "out of memory")
	}
}

func (sim *Simulation) failAttempt(task unit.Task, a *attemptRow, reason string) {
	t := sim.tasks.Get(task)
	a.phase, a.reason = worker.PhaseFailed, reason
	sim.addLostProgress(t, a)
	sim.recordAttemptEnd(t)
}

func (sim *Simulation) advanceWorker(r *workerRow) {
	speed := sim.speed(r)
	for ref, a := range r.attempts.All() {
		task := ref.Task
		switch {
		case !a.active():
		case sim.now >= a.leaseEnd:
			t := sim.tasks.Get(task)
			sim.addLostProgress(t, a)
			a.phase = worker.PhaseStopped
			sim.recordAttemptEnd(t)
		case r.failing && sim.now.Sub(a.startedAt) >= failureDelay:
			sim.failAttempt(task, a, "worker fails everything")
		default:
			a.progress += float64(tickInterval) * speed * a.cpuShare
			if every := a.job.CheckpointInterval; every > 0 && sim.now.Sub(a.lastCheckpoint) >= every {
				sim.saveProgress(sim.tasks.Get(task), a)
			}
			if a.runTime > 0 && a.progress >= float64(a.runTime) {
				sim.finishAttempt(task, a)
			}
		}
	}
}

// speed returns the progress of the worker's attempts per unit of time. It is
// below 1 under noise and when the attempts need more processors than the worker
// has.
func (sim *Simulation) speed(r *workerRow) float64 {
	need := 0.0
	for _, a := range r.attempts.All() {
		if a.active() {
			need += float64(a.job.Actual.CPU) * a.cpuShare
		}
	}
	speed := min(1, float64(r.Capacity.CPU)/max(need, 1))
	if sim.now < r.noiseUntil {
		speed /= r.noiseFactor
	}
	return speed
}

func (sim *Simulation) finishAttempt(task unit.Task, a *attemptRow) {
	t := sim.tasks.Get(task)
	a.phase = worker.PhaseFinished
	if t.finishedAt == clock.Never {
		t.finishedAt = sim.now
		t.FinishCount++
	} else if !t.job.SafeToRepeat {
		t.FinishCount++
	}
	sim.recordAttemptEnd(t)
	invariant.CheckResumption(&sim.Ledger, sim.now, task, &t.Resumption)
}
