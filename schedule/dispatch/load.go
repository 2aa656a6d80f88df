package dispatch

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// loanWaitTimeout is how long a task waits before executors are requested for
	// it, whatever the loads of the shards.
	loanWaitTimeout = clock.Second
	// starvingTimeout is how long a task that its shard can't hold waits before
	// another shard moves perpetual tasks to lend an executor.
	starvingTimeout = 5 * clock.Second
	// maxWants bounds the wants in a request.
	maxWants = 8
	// maxWantChecks bounds the waiting steps for which all executors are checked. The
	// next computation checks others, as it goes through the steps in another order.
	maxWantChecks = 200
	// loadAge is the age up to which computed loads are used again.
	loadAge = 100 * clock.Millisecond
	// minImbalance is the difference between the loads of two shards from which
	// one lends executors to the other. It keeps executors from moving to and fro.
	minImbalance = 0.04
)

// ServiceLoad is the load of the executors of a service in one shard.
type ServiceLoad struct {
	Service  unit.Service  `cbor:"1,keyasint"`
	Capacity unit.MilliCPU `cbor:"2,keyasint"`
	Demand   unit.MilliCPU `cbor:"3,keyasint"` // of perpetual tasks, assigned or waiting
}

// share returns the demand as a share of the capacity, with c added to the
// capacity. Without capacity, it is 0 if there is no demand, and above any other
// share if there is.
func (l *ServiceLoad) share(c unit.MilliCPU) float64 {
	capacity := l.Capacity + c
	if capacity <= 0 {
		if l.Demand == 0 {
			return 0
		}
		capacity = 1
	}
	return float64(l.Demand) / float64(capacity)
}

// LoanWant describes tasks that have waited for loanWaitTimeout, and that would not
// fit on the executors of their shard without the batch tasks there, or of whose
// job no task runs.
type LoanWant struct {
	Service unit.Service   `cbor:"1,keyasint"`
	Size    unit.Resources `cbor:"2,keyasint"` // of one task
	Needs   unit.Label     `cbor:"3,keyasint,omitempty"`
	Count   int            `cbor:"4,keyasint,omitempty"` // executors that would be enough

	// Starving means that no executor of the shard could hold the task beside its
	// perpetual tasks, and that it has waited for starvingTimeout.
	Starving bool `cbor:"5,keyasint,omitempty"`
}

// serviceLoads returns the load of each service, and the tasks for which executors
// of other shards are needed.
func (s *Shard) serviceLoads(now clock.Millis) ([]ServiceLoad, []LoanWant) {
	if s.loadsAt == 0 || now >= s.loadsAt.Add(loadAge) {
		s.loads, s.wants = s.computeLoads(now)
		s.loadsAt = now
	}
	return s.loads, s.wants
}

// computeLoads is [Shard.serviceLoads] without the use of earlier results.
func (s *Shard) computeLoads(now clock.Millis) (loads []ServiceLoad, wants []LoanWant) {
	index := make(map[unit.Service]int)
	load := func(service unit.Service) *ServiceLoad {
		i, ok := index[service]
		if !ok {
			i = len(loads)
			index[service], loads = i, append(loads, ServiceLoad{Service: service})
		}
		return &loads[i]
	}
	for _, e := range s.executors.All() {
		if e.serviceable(now) {
			l := load(e.Service)
			l.Capacity += e.Capacity.CPU
			l.Demand += e.perpetual.CPU
		}
	}
	checks := 0
	for k, state := range s.readySteps {
		j := s.jobs.Get(k.job)
		if j == nil || j.Spec == nil || j.State.Ended() {
			continue
		}
		step := &j.Spec.Steps[k.step]
		tasks := j.tasks(k)
		ready := 0
		for i := range tasks {
			if tasks[i].State == TaskReady {
				ready++
			}
		}
		if ready == 0 {
			continue
		}
		l := load(s.queue(j).Service)
		if step.Perpetual && s.suits(now, l.Service, step) {
			l.Demand += unit.MilliCPU(ready) * step.Size.CPU
		}
		age := now.Sub(state.since)
		if age < loanWaitTimeout || len(wants) == maxWants || checks == maxWantChecks {
			continue
		}
		checks++
		canHold := s.canHold(now, k, l.Service, step)
		if canHold && !s.isStarved(now, state, j) && !(step.Perpetual && age >= starvationTimeout) {
			continue // batch tasks end, but a perpetual one may wait for the reserve for batch tasks forever
		}
		want := LoanWant{Service: l.Service, Size: step.Size, Needs: step.Needs, Count: 1}
		if step.Gang {
			want.Count = step.Count
		}
		want.Starving = age >= starvingTimeout && !canHold
		if !slices.Contains(wants, want) {
			wants = append(wants, want)
		}
	}
	return loads, wants
}

// suits reports whether an executor of a service could hold a task of a step if
// it had no other tasks.
func (s *Shard) suits(now clock.Millis, service unit.Service, step *Step) bool {
	for _, e := range s.executors.All() {
		if e.Service == service && e.serviceable(now) && step.Size.Fits(e.Capacity) && (step.Needs == "" || e.hasLabel(step.Needs)) {
			return true
		}
	}
	return false
}

// canHold reports whether a task of a step, or all tasks of a gang, would fit on
// the executors of a service without the tasks there that are not perpetual.
func (s *Shard) canHold(now clock.Millis, k stepKey, service unit.Service, step *Step) bool {
	missing := 1
	if step.Gang {
		missing = step.Count
	}
	demand := step.demand()
	for _, e := range s.executors.All() {
		if e.Service != service || !e.serviceable(now) || step.Needs != "" && !e.hasLabel(step.Needs) {
			continue
		}
		allowed := missing
		if step.MaxPerExecutor > 0 {
			allowed = min(allowed, step.MaxPerExecutor-e.countRuns(k))
		}
		for free := e.Capacity.Sub(e.perpetual); allowed > 0 && demand.Fits(free); allowed-- {
			free = free.Sub(demand)
			missing--
		}
		if missing == 0 {
			return true
		}
	}
	return false
}

// exceeds reports whether the load of a service is above that of a lender by
// minImbalance.
func exceeds(loads, lenderLoads []ServiceLoad) bool {
	for i := range loads {
		for k := range lenderLoads {
			if loads[i].Service == lenderLoads[k].Service && loads[i].share(0) > lenderLoads[k].share(0)+minImbalance {
				return true
			}
		}
	}
	return false
}
