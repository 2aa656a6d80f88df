package dispatch

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// initialReserveShare is the share of the processors of a service that
	// perpetual tasks leave free for batch tasks until the demand of batch
	// tasks is known.
	initialReserveShare = 0.06
	// maxReserveShare is the largest share of the processors that is kept free
	// for batch tasks, even if they use more.
	maxReserveShare = 0.08
	// peakHalfLife is the interval at which the recorded peak is halved.
	peakHalfLife = 20 * clock.Second
)

// batchReserve decides how many processors of a service to keep free of
// perpetual tasks, in whole executors, so that batch tasks find unfragmented
// capacity. The zero value is ready to use.
type batchReserve struct {
	peak          unit.MilliCPU // largest usage by batch tasks at one time, halved at each half-life
	nextHalvingAt clock.Millis  // next time at which the peak is halved
	initialUntil  clock.Millis  // until when initialReserveShare is the minimum
}

// recordUsage records the processor time that is now allocated to batch tasks.
func (r *batchReserve) recordUsage(now clock.Millis, usage unit.MilliCPU) {
	if r.initialUntil == 0 {
		r.initialUntil, r.nextHalvingAt = now.Add(peakHalfLife), now.Add(peakHalfLife)
	}
	if now >= r.nextHalvingAt {
		r.peak, r.nextHalvingAt = r.peak/2, now.Add(peakHalfLife)
	}
	r.peak = max(r.peak, usage)
}

// size returns the processor time to keep free, out of total.
func (r *batchReserve) size(now clock.Millis, total unit.MilliCPU) unit.MilliCPU {
	cpu := r.peak
	if now < r.initialUntil {
		cpu = max(cpu, unit.MilliCPU(initialReserveShare*float64(total)))
	}
	return min(cpu, unit.MilliCPU(maxReserveShare*float64(total)))
}

// executorPool holds the usable executors of a service.
type executorPool struct {
	executors       []*Executor
	recent          []*Executor   // became available after recentFrom
	recentFrom      availability  // at the last placement
	nonPerpetualCPU unit.MilliCPU // capacity of executors without perpetual tasks
	reserveCPU      unit.MilliCPU // part of nonPerpetualCPU to keep free for batch tasks

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
	type totals struct{ total, batch unit.MilliCPU }
	sums := make(map[unit.Service]totals)
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
		t := sums[e.Service]
		t.total += e.Capacity.CPU
		t.batch += e.allocated.CPU - e.perpetual.CPU
		sums[e.Service] = t
	}
	for name, pool := range pools {
		if s.reserves == nil {
			s.reserves = make(map[unit.Service]*batchReserve)
		}
		reserve := s.reserves[name]
		if reserve == nil {
			reserve = new(batchReserve)
			s.reserves[name] = reserve
		}
		reserve.recordUsage(now, sums[name].batch)
		pool.reserveCPU = reserve.size(now, sums[name].total)
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
	p.takePlaced(st, e)
	if st.Perpetual && e.perpetual.CPU == 0 {
		p.nonPerpetualCPU -= e.Capacity.CPU
		p.recent = append(p.recent, e) // other perpetual tasks may now be placed beside it
	}
}
