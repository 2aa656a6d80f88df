package dispatch

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// executorPool holds the usable executors of a service.
type executorPool struct {
	executors       []*Executor
	recent          []*Executor   // became available after recentFrom
	recentFrom      availability  // at the last placement
	nonPerpetualCPU unit.MilliCPU // capacity of executors without perpetual tasks
	reserveCPU      unit.MilliCPU // part of nonPerpetualCPU to keep free for batch tasks
}

// pools returns the pools of usable executors by service, and updates the
// reserve of each. Executors with unknown runs are left out.
func (s *Shard) pools(now clock.Millis) map[unit.Service]*executorPool {
	pools := make(map[unit.Service]*executorPool)
	totals := make(map[unit.Service]unit.MilliCPU)
	for _, e := range s.executors.All() {
		accepting := s.accepts(now, e)
		if accepting && !e.accepting {
			s.markAvailable(e)
		}
		e.accepting = accepting
		if !accepting {
			continue
		}
		pool := pools[e.Service]
		if pool == nil {
			pool = &executorPool{recentFrom: s.placedAt}
			pools[e.Service] = pool
		}
		pool.executors = append(pool.executors, e)
		if e.perpetual.CPU == 0 {
			pool.nonPerpetualCPU += e.Capacity.CPU
		}
		totals[e.Service] += e.Capacity.CPU
	}
	for name, pool := range pools {
		demand := s.batchDemandOf(name)
		demand.update(now)
		pool.reserveCPU = demand.size(now, totals[name], totals[name]/unit.MilliCPU(len(pool.executors)))
		pool.updateRecent()
	}
	return pools
}

// allowsPerpetual reports whether a perpetual task may be placed on e without
// using the reserve for batch tasks.
func (p *executorPool) allowsPerpetual(e *Executor) bool {
	return e.perpetual.CPU > 0 || p.nonPerpetualCPU-e.Capacity.CPU >= p.reserveCPU
}

// updateRecent updates the list of executors that became available recently.
func (p *executorPool) updateRecent() {
	p.recent = p.recent[:0]
	for _, e := range p.executors {
		if e.availableAt > p.recentFrom {
			p.recent = append(p.recent, e)
		}
	}
}

// slack returns the processor time by which the executors without perpetual tasks
// exceed the reserve for batch tasks.
func (p *executorPool) slack() unit.MilliCPU { return p.nonPerpetualCPU - p.reserveCPU }

// since returns the executors that became available after a point, or more. All
// executors became available after 0.
func (p *executorPool) since(from availability) []*Executor {
	if from > 0 && from >= p.recentFrom {
		return p.recent
	}
	return p.executors
}

// reservable returns the executor with the most free processor time among those
// on which the requested task could be placed beside the perpetual tasks and the
// reservations there, or nil if there is none.
func (p *executorPool) reservable(request *placementRequest) *Executor {
	step := request.step
	var chosen *Executor
	var mostFree unit.MilliCPU
	for _, e := range p.executors {
		free := e.Capacity.Sub(e.perpetual)
		free.CPU -= e.reservedCPU
		if !step.demand().Fits(free) || request.constraintExclusion(e) != NotExcluded {
			continue
		}
		if cpu := e.Capacity.CPU - e.allocated.CPU - e.reservedCPU; chosen == nil || cpu > mostFree {
			chosen, mostFree = e, cpu
		}
	}
	return chosen
}

// recordPlacement updates the pool after a task of a step was chosen for e and
// before e counts it.
func (p *executorPool) recordPlacement(st *Step, e *Executor) {
	if st.Perpetual && e.perpetual.CPU == 0 {
		p.nonPerpetualCPU -= e.Capacity.CPU
		p.recent = append(p.recent, e) // other perpetual tasks may now be placed beside it
	}
}
