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

var _ worker.Agent = (*World)(nil)

const (
	// failAfter is how long a worker that fails everything runs an attempt.
	failAfter = clock.Second
	// reportLag is how old the usage figures of a report are.
	reportLag = 5 * clock.Second
)

// attemptRow is one attempt at a worker.
type attemptRow struct {
	job      *trace.Job
	run      clock.Span // true run time, 0 runs until stopped
	kind     unit.Kind
	attempt  unit.Attempt
	phase    worker.Phase
	limit    unit.Resources
	share    float64 // of the processor limit, 1 is not throttled
	started  clock.Millis
	lease    clock.Millis // end
	progress float64      // in ms of run time
	saved    clock.Millis // last checkpoint
	reason   string
}

func (a *attemptRow) live() bool { return a.phase == worker.Running || a.phase == worker.Checkpointing }

// granted returns what the attempt may use. A throttled one has a share of its
// processors.
func (a *attemptRow) granted() unit.Resources {
	g := a.limit
	g.CPU = unit.MilliCPU(float64(g.CPU) * a.share)
	return g
}

// reach returns the worker if it answers and if no higher epoch has commanded
// it.
func (w *World) reach(address unit.Worker, epoch unit.Epoch) (*workerRow, error) {
	r := w.workers.Get(address)
	if r == nil || !r.up {
		return nil, verdict.Refuse("worker refuses the connection")
	}
	if epoch < r.epoch {
		return nil, verdict.Refuse("epoch %d is below %d", epoch, r.epoch)
	}
	r.epoch = epoch
	return r, nil
}

// Start starts an attempt.
func (w *World) Start(_ context.Context, address unit.Worker, s worker.Start) error {
	r, err := w.reach(address, s.Epoch)
	if err != nil {
		return err
	}
	t := w.tasks.Get(s.Task)
	if t == nil {
		return verdict.Refuse("unknown task")
	}
	if a := r.attempts.Get(worker.Ref{Task: s.Task, Attempt: s.Attempt}); a != nil {
		if a.live() {
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
	r.attempts.Put(worker.Ref{Task: s.Task, Attempt: s.Attempt}, attemptRow{
		job: t.job, run: t.run, attempt: s.Attempt, phase: worker.Running, limit: s.Limit, share: 1,
		started: w.now, lease: leaseEnd(w.now, s.Stamp, s.Lease), progress: progress, saved: w.now,
		kind: s.Kind,
	})
	w.noteStart(s.Task, t, s.Attempt)
	return nil
}

// leaseEnd returns the end of a lease that counts from the stamp of the
// worker's last report, or from now if the caller knows none.
func leaseEnd(now, stamp clock.Millis, lease clock.Span) clock.Millis {
	if stamp == 0 {
		stamp = now
	}
	return stamp.Add(lease)
}

func (w *World) noteStart(id unit.Task, t *taskRow, attempt unit.Attempt) {
	switch {
	case t.started == clock.Never:
		t.started = w.now
	case t.running > 0 && t.job.SafeToRepeat:
		// A spare attempt.
	default:
		t.Resumes++
		t.gap = max(t.gap, w.now.Sub(t.stopped))
		t.gaps++
	}
	t.running++
	w.changed = true
	t.attempts = max(t.attempts, attempt)
	invariant.CheckResumption(&w.Ledger, w.now, id, &t.Resumption)
}

// Renew extends leases and reports what the worker runs and keeps.
func (w *World) Renew(_ context.Context, address unit.Worker, n worker.Renewal) (worker.Report, error) {
	r, err := w.reach(address, n.Epoch)
	if err != nil {
		return worker.Report{}, err
	}
	for _, c := range n.Attempts {
		known := n.Instance == "" || n.Instance == r.instance()
		if a := r.attempts.Get(worker.Ref{Task: c.Task, Attempt: c.Attempt}); a != nil && known {
			a.lease = max(a.lease, leaseEnd(w.now, n.Stamp, n.Lease))
		}
	}
	report := worker.Report{Epoch: r.epoch, Instance: r.instance(), Stamp: max(w.now, 1), Capacity: r.Capacity}
	for ref, a := range r.attempts.All() {
		t := w.tasks.Get(ref.Task)
		s := worker.Status{
			Task: ref.Task, Attempt: ref.Attempt, Kind: a.kind, Limit: a.limit, Phase: a.phase,
			Age: reportLag, Ran: w.now.Sub(a.started), Reason: a.reason,
		}
		if a.live() && w.now.Sub(a.started) >= reportLag {
			s.Usage = t.job.True
		}
		if t.run > 0 {
			s.Progress = min(1, a.progress/float64(t.run))
		}
		if t.saved > 0 {
			s.Checkpoint = strconv.FormatFloat(t.saved, 'g', -1, 64)
			if t.run > 0 {
				s.Saved = min(1, t.saved/float64(t.run))
			}
		}
		report.Statuses = append(report.Statuses, s)
	}
	return report, nil
}

// Checkpoint saves the progress of an attempt at once.
func (w *World) Checkpoint(_ context.Context, address unit.Worker, c worker.Command) error {
	_, a, err := w.attempt(address, c)
	if err != nil {
		return err
	}
	if a.live() && w.tasks.Get(c.Task).job.Checkpoint > 0 {
		w.save(w.tasks.Get(c.Task), a)
	}
	return nil
}

// Throttle limits the processor share of an attempt.
func (w *World) Throttle(_ context.Context, address unit.Worker, c worker.Command, share float64) error {
	_, a, err := w.attempt(address, c)
	if err == nil {
		a.share = share
	}
	return err
}

// Stop ends an attempt. Its status stays until it is released. An attempt that
// is not known counts as stopped, so that its start is refused later.
func (w *World) Stop(_ context.Context, address unit.Worker, c worker.Command) error {
	r, err := w.reach(address, c.Epoch)
	if err != nil {
		return err
	}
	ref := worker.Ref{Task: c.Task, Attempt: c.Attempt}
	t := w.tasks.Get(c.Task)
	a := r.attempts.Get(ref)
	if a == nil {
		r.attempts.Put(ref, attemptRow{job: t.job, attempt: c.Attempt, phase: worker.Stopped, started: w.now})
		return nil
	}
	if !a.live() {
		return nil
	}
	a.phase = worker.Stopped
	w.loseProgress(t, a)
	w.ended(t)
	if !t.cancelled && t.finished == clock.Never && t.running == 0 {
		w.evictions++
	}
	return nil
}

// Release drops an attempt that has ended.
func (w *World) Release(_ context.Context, address unit.Worker, c worker.Command) error {
	r, a, err := w.attempt(address, c)
	if err != nil {
		return err
	}
	if !a.live() {
		r.attempts.Delete(worker.Ref{Task: c.Task, Attempt: c.Attempt})
	}
	return nil
}

func (w *World) attempt(address unit.Worker, c worker.Command) (*workerRow, *attemptRow, error) {
	r, err := w.reach(address, c.Epoch)
	if err != nil {
		return nil, nil, err
	}
	a := r.attempts.Get(worker.Ref{Task: c.Task, Attempt: c.Attempt})
	if a == nil {
		return nil, nil, verdict.Refuse("attempt %d of %s is not here", c.Attempt, c.Task)
	}
	return r, a, nil
}

func (w *World) save(t *taskRow, a *attemptRow) {
	t.saved = max(t.saved, a.progress)
	a.saved = w.now
}

// advance moves all attempts on by one tick.
func (w *World) advance() {
	for _, r := range w.workers.All() {
		if r.up {
			w.guard(r)
			w.advanceWorker(r)
		}
	}
}

// guard fails the attempt that is most above its memory limit while the memory
// of the worker is used up.
func (w *World) guard(r *workerRow) {
	for {
		var worst *attemptRow
		var task unit.Task
		used, over := unit.MiB(0), unit.MiB(-1)
		for ref, a := range r.attempts.All() {
			if !a.live() {
				continue
			}
			need := a.job.True.Memory
			used += need
			if need-a.limit.Memory > over {
				worst, task, over = a, ref.Task, need-a.limit.Memory
			}
		}
		if used <= r.Capacity.Memory || worst == nil {
			return
		}
		w.fail(task, worst, "out of memory")
	}
}

func (w *World) fail(task unit.Task, a *attemptRow, reason string) {
	t := w.tasks.Get(task)
	a.phase, a.reason = worker.Failed, reason
	w.loseProgress(t, a)
	w.ended(t)
}

func (w *World) advanceWorker(r *workerRow) {
	rate := w.rate(r)
	for ref, a := range r.attempts.All() {
		task := ref.Task
		switch {
		case !a.live():
		case w.now >= a.lease:
			t := w.tasks.Get(task)
			w.loseProgress(t, a)
			a.phase = worker.Stopped
			w.ended(t)
		case r.failing && w.now.Sub(a.started) >= failAfter:
			w.fail(task, a, "worker fails everything")
		default:
			a.progress += float64(tick) * rate * a.share
			if every := a.job.Checkpoint; every > 0 && w.now.Sub(a.saved) >= every {
				w.save(w.tasks.Get(task), a)
			}
			if a.run > 0 && a.progress >= float64(a.run) {
				w.finish(task, a)
			}
		}
	}
}

// rate returns the speed of the attempts of a worker: below 1 under noise and
// when they need more processors than there are.
func (w *World) rate(r *workerRow) float64 {
	need := 0.0
	for _, a := range r.attempts.All() {
		if a.live() {
			need += float64(a.job.True.CPU) * a.share
		}
	}
	rate := min(1, float64(r.Capacity.CPU)/max(need, 1))
	if w.now < r.noiseUntil {
		rate /= r.noise
	}
	return rate
}

func (w *World) finish(task unit.Task, a *attemptRow) {
	t := w.tasks.Get(task)
	a.phase = worker.Finished
	if t.finished == clock.Never {
		t.finished = w.now
		t.Finished++
	} else if !t.job.SafeToRepeat {
		t.Finished++
	}
	w.ended(t)
	invariant.CheckResumption(&w.Ledger, w.now, task, &t.Resumption)
}
