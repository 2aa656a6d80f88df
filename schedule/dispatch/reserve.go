package dispatch

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// initialReserveShare is the share of a service's processors that perpetual tasks
	// leave free for brief ones, until the demand of those is known.
	initialReserveShare = 0.06
	// maxReserveShare bounds the reserve, whatever brief tasks ask for.
	maxReserveShare = 0.08
	// peakHalfLife is the span in which a learned peak falls by half.
	peakHalfLife = 20 * clock.Second
)

// batchReserve keeps whole executors of a service free of perpetual tasks, so that
// brief tasks find room that is not in fragments. The zero value is ready to
// use.
type batchReserve struct {
	peak          unit.MilliCPU // that brief tasks used at once
	nextHalvingAt clock.Millis  // when the peak falls by half
	initialUntil  clock.Millis  // of the time in which the default holds
}

// recordUsage takes the processors that brief tasks use now.
func (r *batchReserve) recordUsage(now clock.Millis, usage unit.MilliCPU) {
	if r.initialUntil == 0 {
		r.initialUntil, r.nextHalvingAt = now.Add(peakHalfLife), now.Add(peakHalfLife)
	}
	if now >= r.nextHalvingAt {
		r.peak, r.nextHalvingAt = r.peak/2, now.Add(peakHalfLife)
	}
	r.peak = max(r.peak, usage)
}

// size returns the processors to keep free, out of total.
func (r *batchReserve) size(now clock.Millis, total unit.MilliCPU) unit.MilliCPU {
	cpu := r.peak
	if now < r.initialUntil {
		cpu = max(cpu, unit.MilliCPU(initialReserveShare*float64(total)))
	}
	return min(cpu, unit.MilliCPU(maxReserveShare*float64(total)))
}

// executorPool is what the usable executors of a service offer.
type executorPool struct {
	executors       []*Executor
	nonPerpetualCPU unit.MilliCPU // capacity of executors without perpetual tasks
	reserveCPU      unit.MilliCPU // of it, to be kept for brief tasks
}

// pools returns the usable executors by service.
func (s *Shard) pools(now clock.Millis) map[unit.Service]*executorPool {
	pools := make(map[unit.Service]*executorPool)
	type totals struct{ total, batch unit.MilliCPU }
	sums := make(map[unit.Service]totals)
	for _, e := range s.executors.All() {
		if !e.usable(now) || e.clockReadAt == 0 || e.unknownRuns > 0 {
			continue
		}
		pool := pools[e.Service]
		if pool == nil {
			pool = new(executorPool)
			pools[e.Service] = pool
		}
		pool.executors = append(pool.executors, e)
		if e.perpetualCPU == 0 {
			pool.nonPerpetualCPU += e.Capacity.CPU
		}
		t := sums[e.Service]
		t.total += e.Capacity.CPU
		t.batch += e.reserved.CPU - e.perpetualCPU
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
	}
	return pools
}

// allowsPerpetual reports whether a perpetual task may be placed on e without taking
// what is kept for brief tasks.
func (p *executorPool) allowsPerpetual(e *Executor) bool {
	return e.perpetualCPU > 0 || p.nonPerpetualCPU-e.Capacity.CPU >= p.reserveCPU
}

// recordPlacement notes that a task of a step is placed on e.
func (p *executorPool) recordPlacement(st *Step, e *Executor) {
	if st.Perpetual && e.perpetualCPU == 0 {
		p.nonPerpetualCPU -= e.Capacity.CPU
	}
}
