package slot

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// The times between two demands to the same owner.
const (
	ChangedDemandInterval = 250 * clock.Millisecond // when what it tells has changed
	SteadyDemandInterval  = clock.Second
)

// lease is what the owner of one data centre has granted to this process.
type lease struct {
	epoch           unit.Epoch
	owner           unit.Instance
	applied         Version
	appliedDemandAt clock.Millis // Asked of the newest grants that were applied
	lastDemandAt    clock.Millis // of the last demand
	lastCheckAt     clock.Millis // last time that a demand was considered
	quickUntil      clock.Millis
	slowUntil       clock.Millis
	urgent          bool // slots were taken back; tell the owner at once
	lastTotal       unit.Slots
}

// trackedUpstream is one upstream with its counters.
type trackedUpstream struct {
	dc          unit.DataCentre
	set         Set
	counter     *Counter
	pinned      *Counter
	failedTakes int64      // takes without a free slot up to the last tick
	heldPins    unit.Slots // pinned grants that are held
}

// pinState is the state of a pinned grant at its holder.
type pinState int

const (
	pinRequested pinState = iota
	pinHeld
)

// holderPin is a pinned grant that is asked for or held.
type holderPin struct {
	dc            unit.DataCentre
	epoch         unit.Epoch
	set           Set
	upstream      unit.Upstream
	deadline      clock.Millis
	lastRequestAt clock.Millis // last time
	state         pinState
}

// Holder keeps what the owners have granted to this process and sets the
// counters of the request path. Only one goroutine uses it. The zero value
// holds nothing.
type Holder struct {
	Self    unit.Instance
	Leaving bool // the process takes no more requests

	leases    table.Table[unit.DataCentre, lease]
	upstreams table.Table[unit.Upstream, trackedUpstream]
	peaks     table.Table[setKey, demandPeak]
	pins      table.Table[PinID, holderPin]
	lastPinID PinID
}

// setKey identifies the requests of one set in one data centre.
type setKey struct {
	dc  unit.DataCentre
	set Set
}

// demandPeak is the demand for one set since the last demand.
type demandPeak struct {
	maxInFlight unit.Slots // most requests in flight
	takeFailed  bool       // a request found no free slot
	inFlight    unit.Slots // requests in flight at this tick
	held        unit.Slots
}

// Track adds an upstream with the counters that the request path uses, or
// changes its set.
func (h *Holder) Track(name unit.Upstream, dc unit.DataCentre, set Set, counter, pinned *Counter) {
	if r := h.upstreams.Get(name); r != nil {
		r.set = set
		return
	}
	h.upstreams.Put(name, trackedUpstream{dc: dc, set: set, counter: counter, pinned: pinned})
}

// Adopt makes owner the one that grants the slots of the data centre. Grants of
// a lower epoch admit nothing any more; what runs under them is reported.
func (h *Holder) Adopt(dc unit.DataCentre, epoch unit.Epoch, owner unit.Instance) {
	l := h.leases.Ensure(dc)
	if epoch <= l.epoch {
		return
	}
	*l = lease{epoch: epoch, owner: owner, lastDemandAt: l.lastDemandAt, lastCheckAt: l.lastCheckAt, urgent: true}
	for _, r := range h.upstreams.All() {
		if r.dc == dc {
			r.counter.HoldParts(Parts{}, 0, 0)
		}
	}
	h.pins.DeleteFunc(func(_ PinID, p *holderPin) bool { return p.dc == dc && p.state == pinRequested })
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
	if l == nil || g.Epoch != l.epoch || g.Version < l.applied || g.DemandSentAt < l.appliedDemandAt || !g.Full && g.Base > l.applied {
		return false
	}
	l.applied, l.appliedDemandAt = g.Version, g.DemandSentAt
	l.quickUntil = max(l.quickUntil, g.DemandSentAt.Add(g.QuickFor))
	l.slowUntil = max(l.slowUntil, g.DemandSentAt.Add(g.SlowFor))
	cells := make(map[unit.Upstream]Parts, len(g.Cells))
	for _, c := range g.Cells {
		cells[c.Upstream] = c.Parts
	}
	for name, r := range h.upstreams.All() {
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
		p.inFlight, p.held = 0, 0
	}
	for name, r := range h.upstreams.All() {
		p := h.peaks.Ensure(setKey{r.dc, r.set})
		p.inFlight += r.counter.Used()
		p.held += r.counter.Held().Total()
		if failedTakes := r.counter.FailedTakes(); failedTakes > r.failedTakes {
			r.failedTakes, p.takeFailed = failedTakes, true
		}
		h.removeEndedPins(name, r)
	}
	for k, p := range h.peaks.All() {
		p.maxInFlight = max(p.maxInFlight, p.inFlight)
		if l := h.leases.Get(k.dc); l != nil && p.takeFailed && p.held == 0 {
			l.urgent = true
		}
	}
	h.pins.DeleteFunc(func(_ PinID, p *holderPin) bool { return p.state == pinRequested && now >= p.deadline })
}

// removeEndedPins drops as many pinned grants of an upstream as requests have
// released theirs. The counter does not tell which ones; those that end first
// are dropped, so that the owner counts the others long enough.
func (h *Holder) removeEndedPins(name unit.Upstream, r *trackedUpstream) {
	for r.pinned != nil && r.heldPins > r.pinned.Used() {
		var earliest PinID
		earliestEnd := clock.Never
		for id, p := range h.pins.All() {
			if p.state == pinHeld && p.upstream == name && p.deadline < earliestEnd {
				earliest, earliestEnd = id, p.deadline
			}
		}
		h.pins.Delete(earliest)
		r.heldPins--
	}
}

// headroomDivisor is the part of the requests in flight that is asked for on top
// of them, so that demand can grow between two demands.
const headroomDivisor = 4

// decayDivisor is the part of the peak that is forgotten with each demand. Falling
// at once would move slots between holders with every gap between two requests.
const decayDivisor = 4

// failedTakeFactor is the multiple of the held slots that is asked for when a
// request found none free, so that demand can grow tenfold within four demands.
const failedTakeFactor = 2

// Demand returns the next demand for the data centre, or reports false if none
// is due. Queued tells how many requests of a set wait for a slot.
func (h *Holder) Demand(dc unit.DataCentre, now clock.Millis, queued func(Set) unit.Slots) (Demand, bool) {
	l := h.leases.Get(dc)
	if l == nil || l.owner == "" || now.Sub(l.lastCheckAt) < ChangedDemandInterval && !l.urgent {
		return Demand{}, false
	}
	l.lastCheckAt = now
	d := Demand{DataCentre: dc, Epoch: l.epoch, Holder: h.Self, Asked: now, Applied: l.applied, LastPinID: h.lastPinID, Leaving: h.Leaving}
	total := unit.Slots(0)
	for k, peak := range h.peaks.All() {
		if k.dc != dc {
			continue
		}
		want := peak.maxInFlight + queued(k.set)
		if peak.takeFailed { // with all slots in use the requests in flight tell too little
			want = max(want, failedTakeFactor*peak.held)
		}
		if want > 0 || peak.takeFailed {
			want += 1 + want/headroomDivisor
			d.Wants = append(d.Wants, Want{Set: k.set, Slots: want})
		}
		total += want
	}
	h.appendExcess(&d)
	changed := l.urgent || total != l.lastTotal || len(d.Excess) > 0
	if now <= l.lastDemandAt || !changed && now.Sub(l.lastDemandAt) < SteadyDemandInterval {
		return Demand{}, false
	}
	h.appendPins(&d, now)
	for k, peak := range h.peaks.All() {
		if k.dc == dc {
			peak.maxInFlight, peak.takeFailed = max(0, peak.maxInFlight-1-peak.maxInFlight/decayDivisor), false
		}
	}
	l.lastDemandAt, l.urgent, l.lastTotal = now, false, total
	return d, true
}

// coveredSlots returns the slots that cover requests of any admitted deadline. Slots
// of a part that ends before the other one can't cover the requests that were
// admitted under the other one alone.
func (l *lease) coveredSlots(held Parts) unit.Slots {
	switch {
	case l.quickUntil < l.slowUntil:
		return held.Slow
	case l.slowUntil < l.quickUntil:
		return held.Quick
	}
	return held.Total()
}

func (h *Holder) appendExcess(d *Demand) {
	l := h.leases.Get(d.DataCentre)
	for name, r := range h.upstreams.All() {
		if r.dc != d.DataCentre {
			continue
		}
		if excess := r.counter.Used() - l.coveredSlots(r.counter.Held()); excess > 0 {
			d.Excess = append(d.Excess, Excess{Upstream: name, Slots: excess})
		}
	}
}

func (h *Holder) appendPins(d *Demand, now clock.Millis) {
	for id, p := range h.pins.All() {
		if p.dc != d.DataCentre {
			continue
		}
		d.OpenPins = append(d.OpenPins, id)
		if d.Applied == 0 && p.state == pinHeld {
			d.HeldPins = append(d.HeldPins, HeldPin{ID: id, Upstream: p.upstream, Remaining: max(0, p.deadline.Sub(now))})
		}
	}
}
