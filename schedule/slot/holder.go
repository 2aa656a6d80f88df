package slot

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// The times between two demands to the same owner.
const (
	DemandChanged = 250 * clock.Millisecond // when what it tells has changed
	DemandSteady  = clock.Second
)

// lease is what the owner of one data centre has granted to this process.
type lease struct {
	epoch      unit.Epoch
	owner      unit.Instance
	applied    Version
	accepted   clock.Millis // Asked of the newest grants that were applied
	asked      clock.Millis // of the last demand
	checked    clock.Millis // last time that a demand was considered
	quickUntil clock.Millis
	slowUntil  clock.Millis
	urgent     bool // slots were taken back; tell the owner at once
	sum        unit.Slots
}

// heldRow is one upstream with its counters.
type heldRow struct {
	dc      unit.DataCentre
	set     Set
	counter *Counter
	pinned  *Counter
	missed  int64      // takes without a free slot up to the last tick
	pins    unit.Slots // pinned grants that are held
}

// pinState is the state of a pinned grant at its holder.
type pinState int

const (
	pinAsked pinState = iota
	pinHeld
)

// heldPin is a pinned grant that is asked for or held.
type heldPin struct {
	dc       unit.DataCentre
	epoch    unit.Epoch
	set      Set
	upstream unit.Upstream
	deadline clock.Millis
	asked    clock.Millis // last time
	state    pinState
}

// Holder keeps what the owners have granted to this process and sets the
// counters of the request path. Only one goroutine uses it. The zero value
// holds nothing.
type Holder struct {
	Self    unit.Instance
	Leaving bool // the process takes no more requests

	leases table.Table[unit.DataCentre, lease]
	rows   table.Table[unit.Upstream, heldRow]
	peaks  table.Table[peakKey, peak]
	pins   table.Table[PinID, heldPin]
	seq    PinID
}

// peakKey identifies the requests of one set in one data centre.
type peakKey struct {
	dc  unit.DataCentre
	set Set
}

// peak is the demand for one set since the last demand.
type peak struct {
	used   unit.Slots // most requests in flight
	missed bool       // a request found no free slot
	now    unit.Slots // requests in flight at this tick
	held   unit.Slots
}

// Track adds an upstream with the counters that the request path uses, or
// changes its set.
func (h *Holder) Track(name unit.Upstream, dc unit.DataCentre, set Set, counter, pinned *Counter) {
	if r := h.rows.Get(name); r != nil {
		r.set = set
		return
	}
	h.rows.Put(name, heldRow{dc: dc, set: set, counter: counter, pinned: pinned})
}

// Adopt makes owner the one that grants the slots of the data centre. Grants of
// a lower epoch admit nothing any more; what runs under them is reported.
func (h *Holder) Adopt(dc unit.DataCentre, epoch unit.Epoch, owner unit.Instance) {
	l := h.leases.Ensure(dc)
	if epoch <= l.epoch {
		return
	}
	*l = lease{epoch: epoch, owner: owner, asked: l.asked, checked: l.checked, urgent: true}
	for _, r := range h.rows.All() {
		if r.dc == dc {
			r.counter.HoldParts(Parts{}, 0, 0)
		}
	}
	h.pins.DeleteFunc(func(_ PinID, p *heldPin) bool { return p.dc == dc && p.state == pinAsked })
}

// Owner returns the owner that the holder has adopted for the data centre.
func (h *Holder) Owner(dc unit.DataCentre) (unit.Instance, unit.Epoch) {
	if l := h.leases.Get(dc); l != nil {
		return l.owner, l.epoch
	}
	return "", 0
}

// Apply puts grants into force and reports whether it did. Grants of another
// epoch, grants that were overtaken and grants whose base is unknown are left;
// the next demand then leads to grants that fit.
func (h *Holder) Apply(g *Grants) bool {
	l := h.leases.Get(g.DataCentre)
	if l == nil || g.Epoch != l.epoch || g.Version < l.applied || g.Asked < l.accepted || !g.Full && g.Base > l.applied {
		return false
	}
	l.applied, l.accepted = g.Version, g.Asked
	l.quickUntil = max(l.quickUntil, g.Asked.Add(g.QuickFor))
	l.slowUntil = max(l.slowUntil, g.Asked.Add(g.SlowFor))
	cells := make(map[unit.Upstream]Parts, len(g.Cells))
	for _, c := range g.Cells {
		cells[c.Upstream] = c.Parts
	}
	for name, r := range h.rows.All() {
		if r.dc != g.DataCentre {
			continue
		}
		held := r.counter.Held()
		next, listed := cells[name]
		if !listed && !g.Full {
			next = held
		}
		l.urgent = l.urgent || next.Quick < held.Quick || next.Slow < held.Slow
		r.counter.HoldParts(next, l.quickUntil, l.slowUntil)
	}
	return true
}

// Observe samples the requests in flight and drops the pinned grants whose
// requests have ended. It runs on each tick.
func (h *Holder) Observe(now clock.Millis) {
	for _, p := range h.peaks.All() {
		p.now, p.held = 0, 0
	}
	for name, r := range h.rows.All() {
		p := h.peaks.Ensure(peakKey{r.dc, r.set})
		p.now += r.counter.Used()
		p.held += r.counter.Held().Total()
		if missed := r.counter.Missed(); missed > r.missed {
			r.missed, p.missed = missed, true
		}
		h.dropEnded(name, r)
	}
	for k, p := range h.peaks.All() {
		p.used = max(p.used, p.now)
		if l := h.leases.Get(k.dc); l != nil && p.missed && p.held == 0 {
			l.urgent = true
		}
	}
	h.pins.DeleteFunc(func(_ PinID, p *heldPin) bool { return p.state == pinAsked && now >= p.deadline })
}

// dropEnded drops as many pinned grants of an upstream as requests have
// released theirs. The counter does not tell which ones; those that end first
// are dropped, so that the owner counts the others long enough.
func (h *Holder) dropEnded(name unit.Upstream, r *heldRow) {
	for r.pinned != nil && r.pins > r.pinned.Used() {
		var first PinID
		end := clock.Never
		for id, p := range h.pins.All() {
			if p.state == pinHeld && p.upstream == name && p.deadline < end {
				first, end = id, p.deadline
			}
		}
		h.pins.Delete(first)
		r.pins--
	}
}

// headroomPart is the part of the requests in flight that is asked for on top
// of them, so that demand can grow between two demands.
const headroomPart = 4

// decayPart is the part of the peak that is forgotten with each demand. Falling
// at once would move slots between holders with every gap between two requests.
const decayPart = 4

// missedFactor is the multiple of the held slots that is asked for when a
// request found none free, so that demand can grow tenfold within four demands.
const missedFactor = 2

// Demand returns the next demand for the data centre, or reports false if none
// is due. Queued tells how many requests of a set wait for a slot.
func (h *Holder) Demand(dc unit.DataCentre, now clock.Millis, queued func(Set) unit.Slots) (Demand, bool) {
	l := h.leases.Get(dc)
	if l == nil || l.owner == "" || now.Sub(l.checked) < DemandChanged && !l.urgent {
		return Demand{}, false
	}
	l.checked = now
	d := Demand{DataCentre: dc, Epoch: l.epoch, Holder: h.Self, Asked: now, Applied: l.applied, PinSeq: h.seq, Leaving: h.Leaving}
	sum := unit.Slots(0)
	for k, peak := range h.peaks.All() {
		if k.dc != dc {
			continue
		}
		want := peak.used + queued(k.set)
		if peak.missed { // with all slots in use the requests in flight tell too little
			want = max(want, missedFactor*peak.held)
		}
		if want > 0 || peak.missed {
			want += 1 + want/headroomPart
			d.Wants = append(d.Wants, Want{Set: k.set, Slots: want})
		}
		sum += want
	}
	h.addExcess(&d)
	changed := l.urgent || sum != l.sum || len(d.Excess) > 0
	if now <= l.asked || !changed && now.Sub(l.asked) < DemandSteady {
		return Demand{}, false
	}
	h.addPins(&d, now)
	for k, peak := range h.peaks.All() {
		if k.dc == dc {
			peak.used, peak.missed = max(0, peak.used-1-peak.used/decayPart), false
		}
	}
	l.asked, l.urgent, l.sum = now, false, sum
	return d, true
}

// covered returns the slots that cover requests of any admitted deadline. Slots
// of a part that ends before the other one can't cover the requests that were
// admitted under the other one alone.
func (l *lease) covered(held Parts) unit.Slots {
	switch {
	case l.quickUntil < l.slowUntil:
		return held.Slow
	case l.slowUntil < l.quickUntil:
		return held.Quick
	}
	return held.Total()
}

func (h *Holder) addExcess(d *Demand) {
	l := h.leases.Get(d.DataCentre)
	for name, r := range h.rows.All() {
		if r.dc != d.DataCentre {
			continue
		}
		if over := r.counter.Used() - l.covered(r.counter.Held()); over > 0 {
			d.Excess = append(d.Excess, Excess{Upstream: name, Slots: over})
		}
	}
}

func (h *Holder) addPins(d *Demand, now clock.Millis) {
	for id, p := range h.pins.All() {
		if p.dc != d.DataCentre {
			continue
		}
		d.Live = append(d.Live, id)
		if d.Applied == 0 && p.state == pinHeld {
			d.Pinned = append(d.Pinned, PinHeld{ID: id, Upstream: p.upstream, Remaining: max(0, p.deadline.Sub(now))})
		}
	}
}
