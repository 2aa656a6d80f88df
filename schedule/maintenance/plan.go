package maintenance

import (
	"cmp"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// listInterval is the interval between two requests for the list of machines
	// while a wave is open. It is short compared with the seconds that a machine
	// is down.
	listInterval = 700 * clock.Millisecond
	// evacuationPollInterval is the interval between two calls to the owner of an
	// executor during its evacuation.
	evacuationPollInterval = 250 * clock.Millisecond
	// maxEvacuationTimeout is the maximum of [wave.evacuationTimeout].
	maxEvacuationTimeout = 6 * clock.Second
	// evacuationTimeShare is the share of a batch's time that the evacuation of
	// its machines may take.
	evacuationTimeShare = 0.5
	// maxStatusAge is how long the status of an evacuation counts, from the request
	// on. The executor gets new runs 3 s after the last request, and an order to go
	// down may take 2 s.
	maxStatusAge = clock.Second
	// retryDelay is the delay before another call for a machine after its order
	// failed or while it is down for another reason.
	retryDelay = 500 * clock.Millisecond
)

// Plan holds the waves and the state of their machines. The zero value has no
// waves and is ready to use. It is not safe for concurrent use.
type Plan struct {
	waves           []*wave
	machines        map[unit.Machine]Machine
	listRequestedAt clock.Millis // time of the last request for the list
	listPending     bool         // a request for the list is in flight
	hasList         bool         // a list was received
	fenced          bool
}

// wave is the progress of a requested [Wave].
type wave struct {
	Wave
	addedAt       clock.Millis
	progress      []machineProgress
	startReported bool
	completed     bool // all machines are done; NextActions has returned the report of it, or an earlier owner has sent it
}

// machineProgress is the progress of one machine in a wave.
type machineProgress struct {
	machine      unit.Machine
	state        State
	stateSince   clock.Millis // start of the state
	nextCallAt   clock.Millis // earliest time of the next call
	callInFlight bool
	status       EvacuationStatus // last status from the owner of the executor
	evacuated    unit.Executor    // executor that status is about, empty if none was received
	requestedAt  clock.Millis     // when status was requested
}

// Add adds a wave to the plan. It ignores a wave whose number the plan has.
func (p *Plan) Add(now clock.Millis, w Wave) {
	for _, old := range p.waves {
		if old.Number == w.Number {
			return
		}
	}
	added := &wave{Wave: w, addedAt: now}
	for i, m := range w.Machines {
		if !slices.Contains(w.Machines[:i], m) {
			added.progress = append(added.progress, machineProgress{machine: m, stateSince: now})
		}
	}
	p.waves = append(p.waves, added)
	slices.SortFunc(p.waves, func(a, b *wave) int { return cmp.Compare(a.Number, b.Number) })
}

// RestoreStatus restores the status of a wave that an earlier owner of the plan
// reported to the operator.
func (p *Plan) RestoreStatus(s WaveStatus) {
	for _, w := range p.waves {
		if w.Number == s.Wave {
			w.startReported, w.completed = true, w.completed || s.Completed
		}
	}
}

// HasOpenWave reports whether the plan has a wave that is not completed.
func (p *Plan) HasOpenWave() bool {
	return slices.ContainsFunc(p.waves, func(w *wave) bool { return !w.completed })
}

// Fenced reports whether an order was refused because another owner has sent
// one with a higher fencing token. A fenced plan returns no more actions.
func (p *Plan) Fenced() bool { return p.fenced }

// NextActions returns the actions that are due now. The owner of the plan
// carries them out and reports their results with [Plan.HandleList],
// [Plan.HandleEvacuation] and [Plan.HandleOutcome].
func (p *Plan) NextActions(now clock.Millis) []Action {
	if p.fenced || !p.HasOpenWave() {
		return nil
	}
	var actions []Action
	if !p.listPending && (!p.hasList || now >= p.listRequestedAt.Add(listInterval)) {
		p.listPending, p.listRequestedAt = true, now
		actions = append(actions, Action{List: true})
	}
	for _, w := range p.waves {
		if !w.completed && p.hasList {
			actions = p.advanceWave(actions, now, w)
		}
	}
	return actions
}

// advanceWave appends the due actions of w to actions. It starts the evacuation
// of further machines while fewer than w.MaxDown are being evacuated, ordered
// to go down or down.
func (p *Plan) advanceWave(actions []Action, now clock.Millis, w *wave) []Action {
	if !w.startReported {
		w.startReported = true
		actions = append(actions, Action{Report: &WaveStatus{w.Number, false}})
	}
	active, done := 0, 0
	for i := range w.progress {
		switch w.progress[i].state {
		case Evacuating, Ordered, Down:
			active++
		case Done:
			done++
		case Waiting:
			// An earlier owner of the plan may have ordered the machine to go down.
			if m, ok := p.machines[w.progress[i].machine]; ok && !m.Up {
				active++
			}
		}
	}
	if done == len(w.progress) {
		w.completed = true
		return append(actions, Action{Report: &WaveStatus{w.Number, true}})
	}
	for i := range w.progress {
		r := &w.progress[i]
		if r.state == Waiting && active < max(1, w.MaxDown) && now >= r.nextCallAt {
			if m, ok := p.machines[r.machine]; ok && !m.Up {
				continue
			}
			r.state, r.stateSince, r.evacuated = Evacuating, now, ""
			active++
		}
		if r.state == Evacuating && !r.callInFlight && now >= r.nextCallAt {
			actions = p.advanceEvacuation(actions, now, w, r)
		}
	}
	return actions
}

// advanceEvacuation appends the next action of an evacuation to actions: a call to
// the owner of the executor, or the order to go down.
func (p *Plan) advanceEvacuation(actions []Action, now clock.Millis, w *wave, r *machineProgress) []Action {
	m, ok := p.machines[r.machine]
	switch {
	case !ok:
		// A machine that no longer exists needs no maintenance.
		r.state, r.stateSince = Done, now
		return actions
	case !m.Up || m.Executor == "":
		r.nextCallAt = now.Add(retryDelay) // the machine is down for another reason
		return actions
	case r.hasStatus(now, m.Executor) && (r.status.Remaining == 0 || r.status.Blocking == 0 && now.Sub(r.stateSince) >= w.evacuationTimeout()):
		r.state, r.stateSince, r.callInFlight = Ordered, now, true
		return append(actions, Action{Begin: &Order{r.machine, m.Executor, w.Number}})
	}
	r.callInFlight, r.nextCallAt = true, now.Add(evacuationPollInterval)
	return append(actions, Action{Evacuate: &EvacuationRequest{r.machine, m.Executor, w.Number, now}})
}

// hasStatus reports whether the last status is about an executor and recent enough
// for an order.
func (r *machineProgress) hasStatus(now clock.Millis, e unit.Executor) bool {
	return r.evacuated == e && now.Sub(r.requestedAt) <= maxStatusAge
}

// evacuationTimeout returns how long an evacuation waits for tasks to end. The
// machines of w go down in batches of w.MaxDown, and each batch has an equal
// part of the time limit.
func (w *wave) evacuationTimeout() clock.Span {
	batches := (len(w.progress) + max(1, w.MaxDown) - 1) / max(1, w.MaxDown)
	return min(maxEvacuationTimeout, clock.Span(evacuationTimeShare*float64(w.TimeLimit)/float64(max(1, batches))))
}

// HandleList handles the result of the last request for the list of machines.
// The list must be complete; it is ignored if err is not nil. A machine that
// was down is done if the list shows it up or no longer has it.
func (p *Plan) HandleList(now clock.Millis, machines []Machine, err error) {
	p.listPending = false
	if err != nil {
		return
	}
	p.hasList = true
	p.machines = make(map[unit.Machine]Machine, len(machines))
	for _, m := range machines {
		p.machines[m.ID] = m
	}
	for _, w := range p.waves {
		for i := range w.progress {
			r := &w.progress[i]
			m, ok := p.machines[r.machine]
			// Only a list that was requested after the order reflects it.
			if r.state == Down && p.listRequestedAt > r.stateSince && (!ok || m.Up) {
				r.state, r.stateSince = Done, now
			}
		}
	}
}

// HandleEvacuation handles the result of a call to the owner of an executor.
// The status is ignored if err is not nil.
func (p *Plan) HandleEvacuation(e EvacuationRequest, status EvacuationStatus, err error) {
	r := p.progressOf(e.Wave, e.Machine, Evacuating)
	if r == nil {
		return
	}
	r.callInFlight = false
	if err == nil {
		r.status, r.evacuated, r.requestedAt = status, e.Executor, e.RequestedAt
	}
}

// HandleOutcome handles the outcome of an order to take a machine down. Other waves
// with the machine have orders of their own.
func (p *Plan) HandleOutcome(now clock.Millis, order Order, o Outcome) {
	if o == Fenced {
		p.fenced = true
	}
	r := p.progressOf(order.Wave, order.Machine, Ordered)
	if r == nil {
		return
	}
	r.callInFlight = false
	switch o {
	case Begun:
		r.state, r.stateSince = Down, now
	case Excluded:
		r.state, r.stateSince = Done, now // the platform excludes it from the wave
	case Busy, Unknown:
		// If the order was carried out, the outcome of a repeated order is
		// Begun. The evacuation may have lapsed meanwhile.
		r.state, r.nextCallAt, r.evacuated = Evacuating, now.Add(retryDelay), ""
	}
}

// progressOf returns the progress of machine m in a wave if it is in state s, or
// nil.
func (p *Plan) progressOf(number unit.Wave, m unit.Machine, s State) *machineProgress {
	for _, w := range p.waves {
		if w.Number != number {
			continue
		}
		for i := range w.progress {
			if w.progress[i].machine == m && w.progress[i].state == s {
				return &w.progress[i]
			}
		}
	}
	return nil
}
