package dispatch

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// groupRack returns the rack for the next task of a group: that of its assigned
// tasks, or else one with room for all ready tasks. It returns "" if the tasks are to
// be spread or don't form a group. waits means that the group is better kept until a
// rack has room for all; it holds no room meanwhile.
func (s *Shard) groupRack(request *placementRequest, j *Job, tasks []Task) (rack unit.Rack, waits bool) {
	st := request.step
	if st.SameRack && !st.Gang {
		if assigned := s.rackOf(tasks); assigned != "" {
			return assigned, false
		}
	}
	ready := countReady(tasks)
	if !st.SameRack && (!st.Gang || st.Near == "") || ready < 2 || !s.weighsWaits(request) {
		return "", false
	}
	racks := request.pool.rackNames()
	if st.Near != "" {
		racks = []unit.Rack{st.Near}
	}
	if rack := s.rackWithRoom(request, racks, ready); rack != "" {
		return rack, false
	}
	w := request.rackWait(j)
	if w.spent {
		return "", false
	}
	if request.now >= w.checkAt {
		w.checkAt = request.now.Add(groupCheckInterval)
		s.weighGroupWait(request, j, tasks, w, racks)
		return "", len(w.promises) > 0
	}
	if len(w.promises) > 0 {
		w.weighed = request.now
		s.repeatPromises(request, j, w)
	}
	return "", len(w.promises) > 0
}

// countReady returns the number of ready tasks.
func countReady(tasks []Task) int {
	n := 0
	for i := range tasks {
		if tasks[i].State == TaskReady {
			n++
		}
	}
	return n
}

// rackWithRoom returns the rack with room for n tasks of a step now whose best
// executor has the lowest rating, or "" if there is none.
func (s *Shard) rackWithRoom(request *placementRequest, racks []unit.Rack, n int) unit.Rack {
	var chosen unit.Rack
	var lowest float64
	for _, rack := range racks {
		executors, room := request.pool.onRack(rack), 0
		for _, e := range executors {
			if room < n {
				room += request.roomFor(e, n-room)
			}
		}
		if room < n {
			continue
		}
		e, ok := s.choose(executors, request)
		if !ok {
			continue
		}
		if rating, _ := (SeparationPolicy{}).Rate(e, request); chosen == "" || rating < lowest {
			chosen, lowest = rack, rating
		}
	}
	return chosen
}

// roomFor returns how many tasks of the step e has room for now, up to n.
func (request *placementRequest) roomFor(e *Executor, n int) int {
	if request.exclusion(e) != NotExcluded {
		return 0
	}
	st := request.step
	if st.MaxPerExecutor > 0 {
		n = min(n, st.MaxPerExecutor-e.countRuns(request.key))
	}
	demand, free, room := st.demand(), e.Capacity.Sub(e.allocated), 0
	free.CPU -= e.overdueCPU
	for room < n && demand.Fits(free) {
		free = free.Sub(demand)
		room++
	}
	return room
}

// weighGroupWait decides whether a group waits for the rack that is expected to have
// room for all its ready tasks first, and promises it room there.
func (s *Shard) weighGroupWait(request *placementRequest, j *Job, tasks []Task, w *rackWait, racks []unit.Rack) {
	s.reportLapses(request, w)
	c := s.placeChoice(request, j, tasks, w)
	c.slowed = len(tasks)
	deviation := clock.Span(c.variation * float64(c.runTime))
	var rack unit.Rack
	var best []promise
	for _, candidate := range racks {
		if all := request.promisesForAll(s.rackForecast(request, candidate).clone(), countReady(tasks), c.runTime, deviation); all != nil &&
			(best == nil || all[len(all)-1].at < best[len(best)-1].at) {
			rack, best = candidate, all
		}
	}
	if best == nil {
		return
	}
	last := best[len(best)-1]
	c.wait, c.waitSpread = s.waitErrors.correct(last.at.Sub(request.now), last.deviation)
	if !s.prefersWait(&c) {
		return
	}
	c.wait = last.at.Sub(request.now)
	for _, p := range best {
		s.promise(request, w, s.rackForecast(request, rack), p, &c)
	}
	for i := range tasks {
		tasks[i].waitedForRack = tasks[i].State == TaskReady
	}
	s.continueWait(request, w, rack, &c)
}

// promisesForAll returns room for n tasks of the step in the order of time, or nil if
// the rack never has it for all at once. Tasks of the step on one executor count
// against its limit.
func (request *placementRequest) promisesForAll(f rackForecast, n int, span, deviation clock.Span) []promise {
	all := make([]promise, 0, n)
	placed := make(map[*Executor]int)
	admit := func(e *Executor) bool {
		most := request.step.MaxPerExecutor
		return request.allows(e) && (most == 0 || placed[e]+e.countRuns(request.key) < most)
	}
	for range n {
		p, ok := f.earliest(request.step.demand(), admit)
		if !ok {
			return nil
		}
		// The run is not to end before the last task of the group has room.
		f.reserve(p, request.step.demand(), maxSpan+span, deviation)
		placed[p.executor]++
		all = append(all, p)
	}
	return all
}

// repeatPromises takes the room that is promised to a group out of the forecast of
// this placement.
func (s *Shard) repeatPromises(request *placementRequest, j *Job, w *rackWait) {
	f := s.rackForecast(request, w.rack)
	run, variation := s.expectedRunTime(j, request.step)
	for _, p := range w.promises {
		if f.has(p.executor) {
			p.executor.promisedIn = s.placements
			f.reserve(p, request.step.demand(), run, clock.Span(variation*float64(run)))
		}
	}
}

// rackForecast returns the forecast for a rack in this placement.
func (s *Shard) rackForecast(request *placementRequest, rack unit.Rack) rackForecast {
	pool := request.pool
	f, ok := pool.forecasts[rack]
	if !ok {
		f = s.forecast(request.now, pool.onRack(rack))
		if pool.forecasts == nil {
			pool.forecasts = make(map[unit.Rack]rackForecast)
		}
		pool.forecasts[rack] = f
	}
	return f
}

// has reports whether f has a forecast for e.
func (f rackForecast) has(e *Executor) bool {
	for i := range f {
		if f[i].executor == e {
			return true
		}
	}
	return false
}

// onRack returns the executors of the pool on a rack.
func (p *executorPool) onRack(rack unit.Rack) []*Executor {
	executors, ok := p.racks[rack]
	if !ok {
		for _, e := range p.executors {
			if e.hasLabel(unit.Label(rack)) {
				executors = append(executors, e)
			}
		}
		if p.racks == nil {
			p.racks = make(map[unit.Rack][]*Executor)
		}
		p.racks[rack] = executors
	}
	return executors
}

// rackNames returns the racks of the executors of the pool.
func (p *executorPool) rackNames() []unit.Rack {
	if p.names == nil {
		seen := make(map[unit.Rack]bool)
		for _, e := range p.executors {
			if rack := rackLabel(e); rack != "" && !seen[rack] {
				seen[rack] = true
				p.names = append(p.names, rack)
			}
		}
	}
	return p.names
}

// shortage returns how short the pool is of processor time or memory that perpetual
// tasks leave, from 0 to 1, at the first call in this placement.
func (p *executorPool) shortage() float64 {
	if p.scarcityKnown {
		return p.scarcity
	}
	var used, total unit.Resources
	for _, e := range p.executors {
		used, total = used.Add(e.allocated.Sub(e.perpetual)), total.Add(e.Capacity.Sub(e.perpetual))
	}
	fill := max(float64(used.CPU)/float64(max(total.CPU, 1)), float64(used.Memory)/float64(max(total.Memory, 1)))
	p.scarcity, p.scarcityKnown = min(max(0, (fill-scarceFill)/(1-scarceFill)), 1), true
	return p.scarcity
}

// takePlaced takes the capacity for a task that was placed on e out of the forecasts
// of this placement. Its estimate is good enough for their short life.
func (p *executorPool) takePlaced(st *Step, e *Executor) {
	for _, f := range p.forecasts {
		for i := range f {
			switch x := &f[i]; {
			case x.executor != e:
			case st.Perpetual:
				x.free = x.free.Sub(st.demand())
			default:
				x.take(expectedEnd{at: x.from.Add(st.Estimate), demand: st.demand()})
			}
		}
	}
}
