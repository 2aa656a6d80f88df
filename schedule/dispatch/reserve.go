package dispatch

import (
	"cmp"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// executorPool holds the usable executors of a service.
type executorPool struct {
	executors  []*Executor
	recent     []*Executor   // became available after recentFrom
	recentFrom availability  // at the last placement
	reserveCPU unit.MilliCPU // to keep free of first runs of perpetual tasks

	racks     map[unit.Rack][]*Executor  // see executorPool.onRack
	names     []unit.Rack                // see executorPool.rackNames
	forecasts map[unit.Rack]rackForecast // of this placement, see Shard.rackForecast

	scarcity      float64 // see executorPool.shortage
	scarcityKnown bool
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
		totals[e.Service] += e.Capacity.CPU
	}
	for name, pool := range pools {
		demand := s.batchDemandOf(name)
		demand.update(now)
		demand.limitTo(totals[name])
		size := demand.size(now, totals[name], totals[name]/unit.MilliCPU(len(pool.executors)))
		if s.fixedBatchShare > 0 {
			size = unit.MilliCPU(s.fixedBatchShare * float64(totals[name]))
		}
		s.reserveForBatch(pool, size)
		pool.updateRecent()
	}
	return pools
}

// maxReservedPerpetual is the largest share of the processors of an executor that
// perpetual tasks may have when it is first reserved for batch tasks.
const maxReservedPerpetual = 0.5

// mayReserve reports whether e may be reserved for batch tasks that need size in all.
// If size is less than an executor, only one without perpetual tasks is, and the first
// one there ends the reservation, so that a small service is not kept from most of its
// processors.
func mayReserve(e *Executor, size unit.MilliCPU) bool {
	switch {
	case e.perpetual.CPU == 0:
		return size > 0
	case e.Capacity.CPU > size:
		return false
	}
	return e.reservedForBatch || float64(e.perpetual.CPU) <= maxReservedPerpetual*float64(e.Capacity.CPU)
}

// reserveForBatch chooses the executors that are kept free of first runs of perpetual
// tasks, so that at least size is left on them. Those that are reserved stay so while
// they are needed, also when a task of a starved job or a restart was placed there,
// which would otherwise open all of them to others. Further ones are those with the
// fewest perpetual tasks, and the largest among these, where large tasks leave the
// least unused.
func (s *Shard) reserveForBatch(pool *executorPool, size unit.MilliCPU) {
	pool.reserveCPU = size
	var reserved, others []*Executor
	var left unit.MilliCPU // on reserved
	for _, e := range pool.executors {
		switch {
		case !mayReserve(e, size):
			s.openToPerpetual(e)
		case e.reservedForBatch:
			reserved = append(reserved, e)
			left += e.batchRoom()
		default:
			others = append(others, e)
		}
	}
	byPreference := func(a, b *Executor) int {
		return cmp.Or(cmp.Compare(a.perpetual.CPU, b.perpetual.CPU), cmp.Compare(b.Capacity.CPU, a.Capacity.CPU), cmp.Compare(b.Executor, a.Executor))
	}
	if left < size {
		slices.SortFunc(others, byPreference)
	}
	for _, e := range others {
		if left >= size {
			break
		}
		left += e.batchRoom()
		e.reservedForBatch = true
		reserved = append(reserved, e)
	}
	slices.SortFunc(reserved, byPreference)
	for _, e := range slices.Backward(reserved) {
		if free := e.batchRoom(); left-free >= size {
			left -= free
			s.openToPerpetual(e)
		}
	}
}

// exchangeReserved reserves another executor in place of one that the requested first
// run of a perpetual task needs, and returns the latter. A label or advice may allow
// the task only there, while what is kept for batch tasks can be on any executor. It
// returns false if no executor that is not reserved has as much room without
// perpetual tasks.
func (s *Shard) exchangeReserved(request *placementRequest) (*Executor, bool) {
	pool := request.pool
	if !request.step.Perpetual || request.ranBefore || pool.reserveCPU == 0 {
		return nil, false
	}
	s.ratings += int64(len(pool.executors))
	var needed *Executor
	for _, e := range pool.executors {
		if e.reservedForBatch && request.takesIfOpen(e) && (!request.advised || request.hasTicket(e)) && (needed == nil || e.batchRoom() < needed.batchRoom()) {
			needed = e
		}
	}
	if needed == nil {
		return nil, false
	}
	for _, e := range pool.executors {
		if !e.reservedForBatch && mayReserve(e, pool.reserveCPU) && e.batchRoom() >= needed.batchRoom() {
			e.reservedForBatch = true
			s.openToPerpetual(needed)
			pool.recent = append(pool.recent, needed)
			return needed, true
		}
	}
	return nil, false
}

// takesIfOpen reports whether e could take the requested task, with a ticket if it
// needs one, if e were not reserved for batch tasks.
func (request *placementRequest) takesIfOpen(e *Executor) bool {
	request.ignoresReserve = true
	defer func() { request.ignoresReserve = false }()
	return request.exclusionDespiteTicket(e) == NotExcluded
}

// batchRoom returns the processor time of e without perpetual tasks.
func (e *Executor) batchRoom() unit.MilliCPU { return e.Capacity.CPU - e.perpetual.CPU }

// recordPlacement updates the pool before a task of a step is assigned to e.
func (s *Shard) recordPlacement(pool *executorPool, st *Step, e *Executor) {
	pool.takePlaced(st, e)
	if st.Perpetual && e.reservedForBatch && e.Capacity.CPU > pool.reserveCPU {
		s.openToPerpetual(e)
		pool.recent = append(pool.recent, e) // other perpetual tasks may now be placed beside it
	}
}

// openToPerpetual ends the reservation of e for batch tasks, if there is one.
func (s *Shard) openToPerpetual(e *Executor) {
	if e.reservedForBatch {
		e.reservedForBatch = false
		s.markAvailable(e)
	}
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
