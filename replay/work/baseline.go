package work

import (
	"cmp"
	"context"
	"slices"

	"mimosadock/replay/trace"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/worker"
)

// Policy scores a candidate of type C for a task. The one with the lowest score
// is chosen.
type Policy[C any] interface {
	Score(c C) float64
}

// Candidate is a worker with enough free resources for a task.
type Candidate struct {
	Index    int // position of the worker in the trace
	Free     unit.Resources
	Capacity unit.Resources
}

// Compile-time assertions.
var (
	_ Policy[Candidate] = FirstFit{}
	_ Policy[Candidate] = LeastLoaded{}
	_ Policy[Candidate] = BestFit{}
)

// FirstFit chooses the first candidate in the order of the trace.
type FirstFit struct{}

// Score returns the position of the worker in the trace.
func (FirstFit) Score(c Candidate) float64 { return float64(c.Index) }

// LeastLoaded chooses the candidate with the largest fraction of free
// processors.
type LeastLoaded struct{}

// Score returns the negative fraction of the processors that is free.
func (LeastLoaded) Score(c Candidate) float64 { return -float64(c.Free.CPU) / float64(c.Capacity.CPU) }

// BestFit chooses the candidate with the fewest free processors.
type BestFit struct{}

// Score returns the free processors in thousandths of one.
func (BestFit) Score(c Candidate) float64 { return float64(c.Free.CPU) }

const (
	// baselineLease is the length of an attempt's lease.
	baselineLease = 30 * clock.Second
	// baselineRenewInterval is the time between two renewals of a lease.
	baselineRenewInterval = 10 * clock.Second
	// baselineReadInterval is the time between two reads of the workers'
	// reports.
	baselineReadInterval = clock.Second
)

// Baseline is a plain scheme for comparison with the decision code. It places
// tasks in the order of class and submission on the worker that the policy
// chooses, and starts failed tasks again.
type Baseline[P Policy[Candidate]] struct {
	Policy        P
	SizeOf        func(*trace.Job) unit.Resources // the size used for placement
	Preempt       bool                            // latency-critical tasks pre-empt batch tasks, the newest first
	ShortestFirst bool                            // shortest job first within a class, by actual run time

	sim             *Simulation
	waiting         []*baselineTask
	placed          map[unit.Task]*baselineTask
	finished        map[unit.Task]bool
	free            map[unit.Worker]unit.Resources
	addresses       []unit.Worker
	lastRenewal     clock.Millis // 0 before the first; a renewal at instant 0 is stored as 1
	lastRead        clock.Millis // 0 before the first; a read at instant 0 is stored as 1
	placementDue    bool         // tasks or capacity were added since the last placement
	criticalWaiting bool         // a latency-critical task waits
}

// baselineTask is the state that a baseline keeps for a task.
type baselineTask struct {
	id         unit.Task
	job        *trace.Job
	size       unit.Resources
	attempt    unit.Attempt
	worker     unit.Worker
	startedAt  clock.Millis
	checkpoint string
}

// DeclaredSize returns the declared size of a job's tasks.
func DeclaredSize(j *trace.Job) unit.Resources { return j.Declared }

// ActualSize returns the actual size of a job's tasks.
func ActualSize(j *trace.Job) unit.Resources { return j.Actual }

// Open returns a copy of the scheme for a simulation.
func (s Baseline[P]) Open(sim *Simulation) Scheme {
	s.sim = sim
	s.placed, s.finished = make(map[unit.Task]*baselineTask), make(map[unit.Task]bool)
	s.free = make(map[unit.Worker]unit.Resources)
	for address, r := range sim.workers.All() {
		s.free[address] = r.Capacity
		s.addresses = append(s.addresses, address)
	}
	return &s
}

// Submit queues the tasks of a job. It refuses the job if a task exceeds the
// capacity of every worker.
func (s *Baseline[P]) Submit(_ clock.Millis, j *trace.Job) bool {
	size := s.SizeOf(j)
	if !slices.ContainsFunc(s.addresses, func(a unit.Worker) bool { return size.Fits(s.sim.workers.Get(a).Capacity) }) {
		return false
	}
	s.placementDue = true
	s.criticalWaiting = s.criticalWaiting || j.Class == service.LatencyCritical
	for n := range j.Tasks {
		s.waiting = append(s.waiting, &baselineTask{id: TaskID(j.ID, n), job: j, size: size})
	}
	return true
}

// Cancel removes the queued tasks of a job and stops the placed ones.
func (s *Baseline[P]) Cancel(_ clock.Millis, id unit.Job) {
	s.waiting = slices.DeleteFunc(s.waiting, func(t *baselineTask) bool { return t.job.ID == id })
	for _, t := range s.placedTasks() {
		if t.job.ID == id {
			s.stopTask(t)
		}
	}
}

// StatusOf returns the status of a task.
func (s *Baseline[P]) StatusOf(id unit.Task) TaskStatus {
	if s.placed[id] != nil || slices.ContainsFunc(s.waiting, func(t *baselineTask) bool { return t.id == id }) {
		return StatusActive
	}
	if s.finished[id] {
		return StatusFinished
	}
	return StatusUnknown
}

// placedTasks returns the placed tasks in the order of their ids.
func (s *Baseline[P]) placedTasks() []*baselineTask {
	out := make([]*baselineTask, 0, len(s.placed))
	for _, t := range s.placed {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *baselineTask) int { return cmp.Compare(a.id, b.id) })
	return out
}

func (s *Baseline[P]) command(t *baselineTask) worker.Command {
	return worker.Command{Epoch: 1, Task: t.id, Attempt: t.attempt}
}

// stopTask stops and releases the attempt of a placed task.
func (s *Baseline[P]) stopTask(t *baselineTask) {
	ctx := context.Background()
	_ = s.sim.Stop(ctx, t.worker, s.command(t))
	_ = s.sim.Release(ctx, t.worker, s.command(t))
	s.removePlaced(t)
}

func (s *Baseline[P]) removePlaced(t *baselineTask) {
	s.placementDue = true
	s.free[t.worker] = s.free[t.worker].Add(t.size)
	delete(s.placed, t.id)
}

// Tick reads the workers' reports, renews leases and places waiting tasks when
// each is due.
func (s *Baseline[P]) Tick(now clock.Millis) {
	if s.lastRead == 0 || now.Sub(s.lastRead) >= baselineReadInterval {
		s.lastRead, s.placementDue = max(now, 1), true
		renew := s.lastRenewal == 0 || now.Sub(s.lastRenewal) >= baselineRenewInterval
		if renew {
			s.lastRenewal = max(now, 1)
		}
		s.readReports(now, renew)
	}
	// Latency-critical tasks are placed on every tick, the others only after the
	// reports were read.
	placeAll := s.lastRead == max(now, 1)
	if s.placementDue && (placeAll || s.criticalWaiting) {
		s.placementDue, s.criticalWaiting = false, false
		s.placeWaiting(now, placeAll)
	}
}

// readReports reads the reports of all workers and updates the placed tasks. If
// renew is set, it also renews their leases.
func (s *Baseline[P]) readReports(now clock.Millis, renew bool) {
	tasksAt := make(map[unit.Worker][]*baselineTask)
	for _, t := range s.placedTasks() {
		tasksAt[t.worker] = append(tasksAt[t.worker], t)
	}
	for _, address := range s.addresses {
		n := worker.Renewal{Epoch: 1, Lease: baselineLease}
		for _, t := range tasksAt[address] {
			if renew {
				n.Attempts = append(n.Attempts, s.command(t))
			}
		}
		report, err := s.sim.Renew(context.Background(), address, n)
		for _, t := range tasksAt[address] {
			s.applyReport(t, report, err != nil, now)
		}
	}
}

// applyReport applies the report of a worker to one of its tasks. If unreachable
// is set, the worker sent no report.
func (s *Baseline[P]) applyReport(t *baselineTask, report worker.Report, unreachable bool, now clock.Millis) {
	i := slices.IndexFunc(report.Statuses, func(st worker.Status) bool { return st.Task == t.id && st.Attempt == t.attempt })
	if i < 0 {
		// An unreachable worker may still run the attempt until its lease ends.
		if !unreachable || now.Sub(s.lastRenewal) > baselineLease {
			s.requeue(t)
		}
		return
	}
	st := report.Statuses[i]
	t.checkpoint = st.Checkpoint
	switch st.Phase {
	case worker.PhaseFinished:
		_ = s.sim.Release(context.Background(), t.worker, s.command(t))
		s.removePlaced(t)
		s.finished[t.id] = true
	case worker.PhaseFailed, worker.PhaseStopped:
		_ = s.sim.Release(context.Background(), t.worker, s.command(t))
		s.requeue(t)
	}
}

// requeue returns a placed task to the queue for another attempt.
func (s *Baseline[P]) requeue(t *baselineTask) {
	s.removePlaced(t)
	s.waiting = append(s.waiting, t)
}

// placeWaiting starts the waiting tasks that fit. Unless placeAll is set, it
// starts only latency-critical tasks.
func (s *Baseline[P]) placeWaiting(now clock.Millis, placeAll bool) {
	slices.SortStableFunc(s.waiting, func(a, b *baselineTask) int {
		if c := cmp.Compare(a.job.Class, b.job.Class); c != 0 || !s.ShortestFirst {
			return c
		}
		return cmp.Compare(a.job.RunTime, b.job.RunTime)
	})
	pending := s.waiting
	s.waiting = nil // preemptFor appends the tasks that it evicts
	var remaining []*baselineTask
	for _, t := range pending {
		if !placeAll && t.job.Class != service.LatencyCritical {
			remaining = append(remaining, t)
			continue
		}
		address, ok := s.pickWorker(t)
		if !ok && s.Preempt && t.job.Class == service.LatencyCritical {
			address, ok = s.preemptFor(t)
		}
		if !ok || !s.startTask(t, address, now) {
			remaining = append(remaining, t)
			s.criticalWaiting = s.criticalWaiting || t.job.Class == service.LatencyCritical
		}
	}
	s.waiting = append(remaining, s.waiting...)
}

func (s *Baseline[P]) pickWorker(t *baselineTask) (best unit.Worker, ok bool) {
	bestScore := 0.0
	for i, address := range s.addresses {
		free := s.free[address]
		if !t.size.Fits(free) || !s.canRun(address, t) {
			continue
		}
		score := s.Policy.Score(Candidate{Index: i, Free: free, Capacity: s.sim.workers.Get(address).Capacity})
		if !ok || score < bestScore {
			best, bestScore, ok = address, score, true
		}
	}
	return best, ok
}

// preemptFor chooses the worker on which the fewest pre-emptions free enough
// resources for t, and pre-empts its newest batch tasks. It returns that worker,
// or false if no worker can run t.
func (s *Baseline[P]) preemptFor(t *baselineTask) (unit.Worker, bool) {
	batch := s.batchByWorker()
	var fewestVictims []*baselineTask
	target := unit.Worker("")
	for _, address := range s.addresses {
		if !s.canRun(address, t) {
			continue
		}
		if victims := victimsOf(batch[address], s.free[address], t); victims != nil && (fewestVictims == nil || len(victims) < len(fewestVictims)) {
			fewestVictims, target = victims, address
		}
	}
	for _, v := range fewestVictims {
		s.stopTask(v)
		s.waiting = append(s.waiting, v)
	}
	return target, fewestVictims != nil
}

// batchByWorker returns the placed batch tasks of each worker, the newest first.
func (s *Baseline[P]) batchByWorker() map[unit.Worker][]*baselineTask {
	out := make(map[unit.Worker][]*baselineTask)
	running := s.placedTasks()
	slices.SortStableFunc(running, func(a, b *baselineTask) int { return cmp.Compare(b.startedAt, a.startedAt) })
	for _, v := range running {
		if v.job.Class == service.Batch {
			out[v.worker] = append(out[v.worker], v)
		}
	}
	return out
}

// victimsOf returns the shortest prefix of batch that frees enough resources
// for t when stopped, or nil if stopping all of batch is not enough.
func victimsOf(batch []*baselineTask, free unit.Resources, t *baselineTask) []*baselineTask {
	for i, v := range batch {
		if free = free.Add(v.size); t.size.Fits(free) {
			return batch[:i+1]
		}
	}
	return nil
}

// canRun reports whether the worker at address is up and in the data centre of
// t.
func (s *Baseline[P]) canRun(address unit.Worker, t *baselineTask) bool {
	r := s.sim.workers.Get(address)
	return r.up && r.DataCentre == t.job.DataCentre
}

func (s *Baseline[P]) startTask(t *baselineTask, address unit.Worker, now clock.Millis) bool {
	t.attempt++
	err := s.sim.Start(context.Background(), address, worker.Start{
		Command: s.command(t), Kind: t.job.Kind, Limit: t.size, Lease: baselineLease, Checkpoint: t.checkpoint,
	})
	if err != nil {
		return false
	}
	t.worker, t.startedAt = address, now
	s.free[address] = s.free[address].Sub(t.size)
	s.placed[t.id] = t
	return true
}
