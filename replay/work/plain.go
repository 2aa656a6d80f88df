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

// Policy scores a worker for a task. The lowest score is chosen.
type Policy[Candidate any] interface {
	Score(c Candidate) float64
}

// Candidate is a worker that has room for a task.
type Candidate struct {
	Order    int // of the worker in the trace
	Free     unit.Resources
	Capacity unit.Resources
}

// Compile-time assertions.
var (
	_ Policy[Candidate] = FirstFit{}
	_ Policy[Candidate] = LeastLoaded{}
	_ Policy[Candidate] = BestFit{}
)

// FirstFit takes the first worker with room.
type FirstFit struct{}

// Score returns the order of the worker.
func (FirstFit) Score(c Candidate) float64 { return float64(c.Order) }

// LeastLoaded takes the worker with the most free processors.
type LeastLoaded struct{}

// Score returns the share of the processors that is in use.
func (LeastLoaded) Score(c Candidate) float64 { return -float64(c.Free.CPU) / float64(c.Capacity.CPU) }

// BestFit takes the worker with the least free processors.
type BestFit struct{}

// Score returns the free processors.
func (BestFit) Score(c Candidate) float64 { return float64(c.Free.CPU) }

const (
	// plainLease is the lease of the attempts of a baseline.
	plainLease = 30 * clock.Second
	// plainRenew is the time between two renewals.
	plainRenew = 10 * clock.Second
	// plainRead is the time between two looks at the workers.
	plainRead = clock.Second
)

// Plain is a baseline: it places tasks in the order of their classes and their
// submission where the policy says, and starts failed ones again.
type Plain[P Policy[Candidate]] struct {
	Policy  P
	Sizes   func(*trace.Job) unit.Resources // the size that it reckons with
	Preempt bool                            // urgent tasks stop batch tasks, the newest first
	Short   bool                            // shortest tasks first, by their true times

	world   *World
	waiting []*plainTask
	placed  map[unit.Task]*plainTask
	done    map[unit.Task]bool
	free    map[unit.Worker]unit.Resources
	order   []unit.Worker
	renewed clock.Millis
	read    clock.Millis
	changed bool // room or work came since the last placement
	urgent  bool // urgent work waits
}

// plainTask is a task as a baseline knows it.
type plainTask struct {
	id      unit.Task
	job     *trace.Job
	size    unit.Resources
	attempt unit.Attempt
	at      unit.Worker
	begun   clock.Millis
	saved   string
}

// Declared reckons with the declared size.
func Declared(j *trace.Job) unit.Resources { return j.Declared }

// True reckons with the true size.
func True(j *trace.Job) unit.Resources { return j.True }

// Open returns the scheme for a world.
func (s Plain[P]) Open(w *World) Scheme {
	s.world = w
	s.placed, s.done = make(map[unit.Task]*plainTask), make(map[unit.Task]bool)
	s.free = make(map[unit.Worker]unit.Resources)
	for address, r := range w.workers.All() {
		s.free[address] = r.Capacity
		s.order = append(s.order, address)
	}
	return &s
}

// Submit lets the tasks of a job wait, unless no worker can ever hold one.
func (s *Plain[P]) Submit(_ clock.Millis, j *trace.Job) bool {
	size := s.Sizes(j)
	if !slices.ContainsFunc(s.order, func(a unit.Worker) bool { return size.Fits(s.world.workers.Get(a).Capacity) }) {
		return false
	}
	s.changed = true
	s.urgent = s.urgent || j.Class == service.LatencyCritical
	for n := range j.Tasks {
		s.waiting = append(s.waiting, &plainTask{id: TaskOf(j.ID, n), job: j, size: size})
	}
	return true
}

// Cancel drops the tasks of a job.
func (s *Plain[P]) Cancel(_ clock.Millis, id unit.Job) {
	s.waiting = slices.DeleteFunc(s.waiting, func(t *plainTask) bool { return t.job.ID == id })
	for _, t := range s.running() {
		if t.job.ID == id {
			s.stop(t)
		}
	}
}

// Find tells whether a task waits or is placed.
func (s *Plain[P]) Find(id unit.Task) Finding {
	if s.placed[id] != nil || slices.ContainsFunc(s.waiting, func(t *plainTask) bool { return t.id == id }) {
		return Held
	}
	if s.done[id] {
		return Done
	}
	return Lost
}

// running returns the placed tasks in the order of their ids.
func (s *Plain[P]) running() []*plainTask {
	out := make([]*plainTask, 0, len(s.placed))
	for _, t := range s.placed {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *plainTask) int { return cmp.Compare(a.id, b.id) })
	return out
}

func (s *Plain[P]) command(t *plainTask) worker.Command {
	return worker.Command{Epoch: 1, Task: t.id, Attempt: t.attempt}
}

// stop ends a placed task.
func (s *Plain[P]) stop(t *plainTask) {
	ctx := context.Background()
	_ = s.world.Stop(ctx, t.at, s.command(t))
	_ = s.world.Release(ctx, t.at, s.command(t))
	s.remove(t)
}

func (s *Plain[P]) remove(t *plainTask) {
	s.changed = true
	s.free[t.at] = s.free[t.at].Add(t.size)
	delete(s.placed, t.id)
}

// Tick looks at the workers, renews leases and places what waits.
func (s *Plain[P]) Tick(now clock.Millis) {
	if s.read == 0 || now.Sub(s.read) >= plainRead {
		s.read, s.changed = max(now, 1), true
		renew := s.renewed == 0 || now.Sub(s.renewed) >= plainRenew
		if renew {
			s.renewed = max(now, 1)
		}
		s.look(now, renew)
	}
	// Urgent tasks are placed on each tick, the others when the workers were
	// read.
	all := s.read == max(now, 1)
	if s.changed && (all || s.urgent) {
		s.changed, s.urgent = false, false
		s.place(now, all)
	}
}

// look takes the reports of all workers.
func (s *Plain[P]) look(now clock.Millis, renew bool) {
	at := make(map[unit.Worker][]*plainTask)
	for _, t := range s.running() {
		at[t.at] = append(at[t.at], t)
	}
	for _, address := range s.order {
		n := worker.Renewal{Epoch: 1, Lease: plainLease}
		for _, t := range at[address] {
			if renew {
				n.Attempts = append(n.Attempts, s.command(t))
			}
		}
		report, err := s.world.Renew(context.Background(), address, n)
		for _, t := range at[address] {
			s.update(t, report, err != nil, now)
		}
	}
}

// update takes what a report says of a task.
func (s *Plain[P]) update(t *plainTask, report worker.Report, unreachable bool, now clock.Millis) {
	i := slices.IndexFunc(report.Statuses, func(st worker.Status) bool { return st.Task == t.id && st.Attempt == t.attempt })
	if i < 0 {
		// A worker that is gone may still run the attempt until its lease ends.
		if !unreachable || now.Sub(s.renewed) > plainLease {
			s.again(t)
		}
		return
	}
	st := report.Statuses[i]
	t.saved = st.Checkpoint
	switch st.Phase {
	case worker.Finished:
		_ = s.world.Release(context.Background(), t.at, s.command(t))
		s.remove(t)
		s.done[t.id] = true
	case worker.Failed, worker.Stopped:
		_ = s.world.Release(context.Background(), t.at, s.command(t))
		s.again(t)
	}
}

// again lets a task wait for another attempt.
func (s *Plain[P]) again(t *plainTask) {
	s.remove(t)
	s.waiting = append(s.waiting, t)
}

// place starts the tasks that wait, as far as there is room.
func (s *Plain[P]) place(now clock.Millis, all bool) {
	slices.SortStableFunc(s.waiting, func(a, b *plainTask) int {
		if c := cmp.Compare(a.job.Class, b.job.Class); c != 0 || !s.Short {
			return c
		}
		return cmp.Compare(a.job.Run, b.job.Run)
	})
	todo := s.waiting
	s.waiting = nil // takes the tasks that are evicted meanwhile
	var left []*plainTask
	for _, t := range todo {
		if !all && t.job.Class != service.LatencyCritical {
			left = append(left, t)
			continue
		}
		address, ok := s.pick(t)
		if !ok && s.Preempt && t.job.Class == service.LatencyCritical {
			address, ok = s.evictFor(t)
		}
		if !ok || !s.start(t, address, now) {
			left = append(left, t)
			s.urgent = s.urgent || t.job.Class == service.LatencyCritical
		}
	}
	s.waiting = append(left, s.waiting...)
}

func (s *Plain[P]) pick(t *plainTask) (best unit.Worker, ok bool) {
	low := 0.0
	for i, address := range s.order {
		free := s.free[address]
		if !t.size.Fits(free) || !s.usable(address, t) {
			continue
		}
		score := s.Policy.Score(Candidate{Order: i, Free: free, Capacity: s.world.workers.Get(address).Capacity})
		if !ok || score < low {
			best, low, ok = address, score, true
		}
	}
	return best, ok
}

// evictFor stops the newest batch tasks of the worker where the fewest make
// room for t.
func (s *Plain[P]) evictFor(t *plainTask) (unit.Worker, bool) {
	batch := s.batch()
	var fewest []*plainTask
	at := unit.Worker("")
	for _, address := range s.order {
		if !s.usable(address, t) {
			continue
		}
		if victims := victimsOf(batch[address], s.free[address], t); victims != nil && (fewest == nil || len(victims) < len(fewest)) {
			fewest, at = victims, address
		}
	}
	for _, v := range fewest {
		s.stop(v)
		s.waiting = append(s.waiting, v)
	}
	return at, fewest != nil
}

// batch returns the placed batch tasks by worker, the newest first.
func (s *Plain[P]) batch() map[unit.Worker][]*plainTask {
	out := make(map[unit.Worker][]*plainTask)
	running := s.running()
	slices.SortStableFunc(running, func(a, b *plainTask) int { return cmp.Compare(b.begun, a.begun) })
	for _, v := range running {
		if v.job.Class == service.Batch {
			out[v.at] = append(out[v.at], v)
		}
	}
	return out
}

// victimsOf returns the first of the batch tasks that make room for t, or nil.
func victimsOf(batch []*plainTask, free unit.Resources, t *plainTask) []*plainTask {
	for i, v := range batch {
		if free = free.Add(v.size); t.size.Fits(free) {
			return batch[:i+1]
		}
	}
	return nil
}

// usable reports whether a worker of the data centre of t answers.
func (s *Plain[P]) usable(address unit.Worker, t *plainTask) bool {
	r := s.world.workers.Get(address)
	return r.up && r.DataCentre == t.job.DataCentre
}

func (s *Plain[P]) start(t *plainTask, address unit.Worker, now clock.Millis) bool {
	t.attempt++
	err := s.world.Start(context.Background(), address, worker.Start{
		Command: s.command(t), Kind: t.job.Kind, Limit: t.size, Lease: plainLease, Checkpoint: t.saved,
	})
	if err != nil {
		return false
	}
	t.at, t.begun = address, now
	s.free[address] = s.free[address].Sub(t.size)
	s.placed[t.id] = t
	return true
}
