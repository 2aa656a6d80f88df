package maintenance

import (
	"cmp"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// listInterval is the span between two looks at the machines while a wave is
	// open. Machines are down for seconds.
	listInterval = 700 * clock.Millisecond
	// evacuationPollInterval is the span between two calls to the owner of an executor that is
	// being emptied.
	evacuationPollInterval = 250 * clock.Millisecond
	// maxEvacuationTimeout is how long brief tasks are waited for at most.
	maxEvacuationTimeout = 6 * clock.Second
	// evacuationTimeShare is the share of the time that a wave leaves for each turn
	// of its machines which their evacuation may take.
	evacuationTimeShare = 0.5
	// retryDelay is the pause after an order that was not carried out.
	retryDelay = 500 * clock.Millisecond
)

// Plan holds the waves. The zero value has none and is ready to use. It is not
// safe for concurrent use.
type Plan struct {
	waves           []*wave
	machines        map[unit.Machine]Machine
	listRequestedAt clock.Millis // when the last list was asked for
	listPending     bool
	hasList         bool // a list has come
	fenced          bool
}

type wave struct {
	Wave
	addedAt       clock.Millis
	rows          []row
	startReported bool // as running
	completed     bool // and reported so
}

// row is a machine of a wave.
type row struct {
	machine      unit.Machine
	state        State
	stateSince   clock.Millis // of the state
	nextCallAt   clock.Millis // of the next call
	callInFlight bool
	status       Evacuation
	hasStatus    bool // the owner of its executor has answered
}

// Add takes a wave in. A wave that is known already is ignored.
func (p *Plan) Add(now clock.Millis, w Wave) {
	for _, k := range p.waves {
		if k.Number == w.Number {
			return
		}
	}
	k := &wave{Wave: w, addedAt: now}
	for _, m := range w.Machines {
		k.rows = append(k.rows, row{machine: m, stateSince: now})
	}
	p.waves = append(p.waves, k)
	slices.SortFunc(p.waves, func(a, b *wave) int { return cmp.Compare(a.Number, b.Number) })
}

// Known notes what the operator was told of a wave before.
func (p *Plan) Known(s StatusOfAWave) {
	for _, w := range p.waves {
		if w.Number == s.Wave {
			w.startReported, w.completed = true, w.completed || s.Completed
		}
	}
}

// Open reports whether a wave is not completed.
func (p *Plan) Open() bool {
	return slices.ContainsFunc(p.waves, func(w *wave) bool { return !w.completed })
}

// Fenced reports whether another holder has given orders with a higher token.
func (p *Plan) Fenced() bool { return p.fenced }

// Turn returns what is to be done now.
func (p *Plan) Turn(now clock.Millis) []Action {
	if p.fenced || !p.Open() {
		return nil
	}
	var out []Action
	if !p.listPending && (!p.hasList || now >= p.listRequestedAt.Add(listInterval)) {
		p.listPending, p.listRequestedAt = true, now
		out = append(out, Action{List: true})
	}
	for _, w := range p.waves {
		if !w.completed && p.hasList {
			out = p.advanceWave(out, now, w)
		}
	}
	return out
}

func (p *Plan) advanceWave(out []Action, now clock.Millis, w *wave) []Action {
	if !w.startReported {
		w.startReported = true
		out = append(out, Action{Report: &StatusOfAWave{w.Number, false}})
	}
	active, done := 0, 0
	for i := range w.rows {
		switch w.rows[i].state {
		case Evacuating, Ordered, Down:
			active++
		case Done:
			done++
		case Waiting:
			// A former owner of the plan may have ordered it to go down.
			if m, ok := p.machines[w.rows[i].machine]; ok && !m.Up {
				active++
			}
		}
	}
	if done == len(w.rows) {
		w.completed = true
		return append(out, Action{Report: &StatusOfAWave{w.Number, true}})
	}
	for i := range w.rows {
		r := &w.rows[i]
		if r.state == Waiting && active < max(1, w.Most) && now >= r.nextCallAt {
			if m, ok := p.machines[r.machine]; ok && !m.Up {
				continue
			}
			r.state, r.stateSince, r.hasStatus = Evacuating, now, false
			active++
		}
		if r.state == Evacuating && !r.callInFlight && now >= r.nextCallAt {
			out = p.advanceEvacuation(out, now, w, r)
		}
	}
	return out
}

// advanceEvacuation takes the next step of an evacuation: another call to the owner of the
// executor, or the order to go down.
func (p *Plan) advanceEvacuation(out []Action, now clock.Millis, w *wave, r *row) []Action {
	m, ok := p.machines[r.machine]
	switch {
	case !ok:
		// Machines that are gone for good have no upkeep.
		r.state, r.stateSince = Done, now
		return out
	case !m.Up || m.Executor == "":
		r.nextCallAt = now.Add(retryDelay) // it is down for another reason
		return out
	case r.hasStatus && (r.status.Left == 0 || r.status.Held == 0 && now.Sub(r.stateSince) >= w.evacuationTimeout()):
		r.state, r.stateSince, r.callInFlight = Ordered, now, true
		return append(out, Action{Begin: &Begin{r.machine, m.Executor, w.Number}})
	}
	r.callInFlight, r.nextCallAt = true, now.Add(evacuationPollInterval)
	return append(out, Action{Evacuate: &EvacuationRequest{r.machine, m.Executor}})
}

// evacuationTimeout returns how long an evacuation may wait for brief tasks.
func (w *wave) evacuationTimeout() clock.Span {
	batches := (len(w.rows) + max(1, w.Most) - 1) / max(1, w.Most)
	return min(maxEvacuationTimeout, clock.Span(evacuationTimeShare*float64(w.Within)/float64(max(1, batches))))
}

// Listed takes the whole list of machines that was asked for last, or nothing
// if that failed.
func (p *Plan) Listed(now clock.Millis, machines []Machine, err error) {
	p.listPending = false
	if err != nil {
		return
	}
	p.hasList = true
	p.machines = make(map[unit.Machine]Machine, len(machines))
	for _, m := range machines {
		p.machines[m.Machine] = m
	}
	for _, w := range p.waves {
		for i := range w.rows {
			r := &w.rows[i]
			m, ok := p.machines[r.machine]
			// Only a list that was asked for after the order tells of it.
			if r.state == Down && p.listRequestedAt > r.stateSince && (!ok || m.Up) {
				r.state, r.stateSince = Done, now
			}
		}
	}
}

// Evacuated takes the answer of the owner of a machine's executor, or nothing if
// that failed.
func (p *Plan) Evacuated(e EvacuationRequest, a Evacuation, err error) {
	for _, r := range p.rows(e.Machine, Evacuating) {
		r.callInFlight = false
		if err == nil {
			r.status, r.hasStatus = a, true
		}
	}
}

// Answered takes the outcome of an order to go down.
func (p *Plan) Answered(now clock.Millis, b Begin, o Outcome) {
	for _, r := range p.rows(b.Machine, Ordered) {
		r.callInFlight = false
		switch o {
		case Begun:
			r.state, r.stateSince = Down, now
		case Excluded:
			r.state, r.stateSince = Done, now // has no upkeep in this wave
		case Fenced:
			p.fenced = true
		case Busy, Unknown:
			// An order that was carried out unnoticed is answered as begun when
			// it is repeated.
			r.state, r.nextCallAt = Evacuating, now.Add(retryDelay)
		}
	}
}

// rows returns the rows of a machine that are in a state.
func (p *Plan) rows(m unit.Machine, s State) []*row {
	var out []*row
	for _, w := range p.waves {
		for i := range w.rows {
			if w.rows[i].machine == m && w.rows[i].state == s {
				out = append(out, &w.rows[i])
			}
		}
	}
	return out
}
