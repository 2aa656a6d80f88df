package slot

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// The time between two demands to the same owner. An urgent demand is sent at
// once.
const (
	ChangedDemandInterval = 250 * clock.Millisecond // if the demand has changed
	SteadyDemandInterval  = clock.Second            // if the demand has not changed
)

// grantState is the state of the grants that this process has from the owner of
// one data centre.
type grantState struct {
	epoch           unit.Epoch
	owner           unit.Instance
	applied         Version      // of the applied grants; zero if there are none
	appliedDemandAt clock.Millis // DemandSentAt of the newest grants that were applied
	lastDemandAt    clock.Millis // when the last demand was sent
	lastCheckAt     clock.Millis // when NextDemand last checked whether a demand is due
	quickUntil      clock.Millis
	slowUntil       clock.Millis
	urgent          bool       // send a demand at once: slots were reclaimed or needed, or the owner is new
	lastTotal       unit.Slots // requested slots of all sets in the last demand
}

// trackedUpstream is one upstream with its counters.
type trackedUpstream struct {
	dc          unit.DataCentre
	set         UpstreamSet
	counter     *Counter
	pinned      *Counter
	failedTakes int64      // of counter, up to the last tick
	pins        unit.Slots // number of held pins
}

// pinState is the state of a pin at its holder.
type pinState int

const (
	pinRequested pinState = iota
	pinHeld
)

// holderPin is a pinned grant that is requested or held.
type holderPin struct {
	dc            unit.DataCentre
	epoch         unit.Epoch
	set           UpstreamSet
	upstream      unit.Upstream
	deadline      clock.Millis
	lastRequestAt clock.Millis // zero if there was none
	state         pinState
}

// Holder stores the grants of the owners to this process and sets the counters
// of the request path. Only one goroutine uses it. The zero value holds no
// grants.
type Holder struct {
	Self    unit.Instance
	Leaving bool // the process accepts no more requests

	grants    table.Table[unit.DataCentre, grantState]
	tracked   table.Table[unit.Upstream, trackedUpstream]
	loads     table.Table[setKey, setLoad]
	pins      table.Table[PinID, holderPin]
	lastPinID PinID
}

// setKey identifies the requests of one set in one data centre.
type setKey struct {
	dc  unit.DataCentre
	set UpstreamSet
}

// setLoad is the load of one set: a maximum that decays with each demand, and
// the samples of this tick.
type setLoad struct {
	maxInFlight unit.Slots // maximum of inFlight, with decay
	takeFailed  bool       // a request has found no free slot since the last demand
	inFlight    unit.Slots // requests in flight at this tick
	held        unit.Slots // slots held at this tick
}

// Track adds an upstream with the counters that the request path uses, or
// changes its set.
func (h *Holder) Track(name unit.Upstream, dc unit.DataCentre, set UpstreamSet, counter, pinned *Counter) {
	if r := h.tracked.Get(name); r != nil {
		r.set = set
		return
	}
	h.tracked.Put(name, trackedUpstream{dc: dc, set: set, counter: counter, pinned: pinned})
}

// SetOwner records the owner that grants the slots of the data centre in epoch. It
// ignores an epoch that is not higher than the current one. Grants of lower
// epochs admit no more requests, and pins that are only requested are removed.
// The next demand reports the requests that still run under the old grants.
func (h *Holder) SetOwner(dc unit.DataCentre, epoch unit.Epoch, owner unit.Instance) {
	l := h.grants.Ensure(dc)
	if epoch <= l.epoch {
		return
	}
	*l = grantState{epoch: epoch, owner: owner, lastDemandAt: l.lastDemandAt, lastCheckAt: l.lastCheckAt, urgent: true}
	for _, r := range h.tracked.All() {
		if r.dc == dc {
			r.counter.HoldParts(Parts{}, 0, 0)
		}
	}
	h.pins.DeleteFunc(func(_ PinID, p *holderPin) bool { return p.dc == dc && p.state == pinRequested })
}

// Owner returns the owner that [Holder.SetOwner] recorded last for the data
// centre, and its epoch. Both are zero if there is none.
func (h *Holder) Owner(dc unit.DataCentre) (unit.Instance, unit.Epoch) {
	if l := h.grants.Get(dc); l != nil {
		return l.owner, l.epoch
	}
	return "", 0
}

// Apply applies grants to the counters and reports whether it did. It ignores
// grants of another epoch, grants older than the applied ones, and grants whose
// base version this holder has not applied. The reply to the next demand then
// has a suitable base.
func (h *Holder) Apply(g *Grants) bool {
	l := h.grants.Get(g.DataCentre)
	if l == nil || g.Epoch != l.epoch || g.Version < l.applied || g.DemandSentAt < l.appliedDemandAt || !g.Full && g.Base > l.applied {
		return false
	}
	l.applied, l.appliedDemandAt = g.Version, g.DemandSentAt
	l.quickUntil = max(l.quickUntil, g.DemandSentAt.Add(g.QuickFor))
	l.slowUntil = max(l.slowUntil, g.DemandSentAt.Add(g.SlowFor))
	parts := make(map[unit.Upstream]Parts, len(g.Allocations))
	for _, c := range g.Allocations {
		parts[c.Upstream] = c.Parts
	}
	for name, r := range h.tracked.All() {
		if r.dc != g.DataCentre {
			continue
		}
		held := r.counter.Held()
		next, listed := parts[name]
		if !listed && !g.Full {
			next = held
		}
		l.urgent = l.urgent || next.Quick < held.Quick || next.Slow < held.Slow
		r.counter.HoldParts(next, l.quickUntil, l.slowUntil)
	}
	return true
}

// Observe samples the requests in flight and removes the pins whose requests
// have ended. It runs on each tick.
func (h *Holder) Observe(now clock.Millis) {
	for _, p := range h.loads.All() {
		p.inFlight, p.held = 0, 0
	}
	for name, r := range h.tracked.All() {
		p := h.loads.Ensure(setKey{r.dc, r.set})
		p.inFlight += r.counter.Used()
		p.held += r.counter.Held().Total()
		if failedTakes := r.counter.FailedTakes(); failedTakes > r.failedTakes {
			r.failedTakes, p.takeFailed = failedTakes, true
		}
		h.removeEndedPins(name, r)
	}
	for k, p := range h.loads.All() {
		p.maxInFlight = max(p.maxInFlight, p.inFlight)
		if l := h.grants.Get(k.dc); l != nil && p.takeFailed && p.held == 0 {
			l.urgent = true
		}
	}
	h.pins.DeleteFunc(func(_ PinID, p *holderPin) bool { return p.state == pinRequested && now >= p.deadline })
}

// removeEndedPins removes held pins of an upstream until their number matches
// the pinned slots in use. The counter does not show which requests have ended.
// Pins with the earliest deadline are removed first, so that the owner counts
// the remaining ones long enough.
func (h *Holder) removeEndedPins(name unit.Upstream, r *trackedUpstream) {
	for r.pinned != nil && r.pins > r.pinned.Used() {
		var earliest PinID
		earliestEnd := clock.Never
		for id, p := range h.pins.All() {
			if p.state == pinHeld && p.upstream == name && p.deadline < earliestEnd {
				earliest, earliestEnd = id, p.deadline
			}
		}
		h.pins.Delete(earliest)
		r.pins--
	}
}

// headroomDivisor sets the headroom of a request for slots to 1/headroomDivisor
// of the load, so that the load can grow between two demands.
const headroomDivisor = 4

// decayDivisor sets the decay of the maximum load to 1/decayDivisor with each
// demand. A drop to the current load would move slots between holders with
// every pause between two requests.
const decayDivisor = 4

// failedTakeFactor is the multiple of the held slots that a demand requests if a
// request found no free slot. It lets the demand grow tenfold within four
// demands.
const failedTakeFactor = 2

// NextDemand returns the next demand for the data centre, or reports false if
// none is due. queued returns the number of requests of a set that wait for a
// slot.
func (h *Holder) NextDemand(dc unit.DataCentre, now clock.Millis, queued func(UpstreamSet) unit.Slots) (Demand, bool) {
	l := h.grants.Get(dc)
	if l == nil || l.owner == "" || now.Sub(l.lastCheckAt) < ChangedDemandInterval && !l.urgent {
		return Demand{}, false
	}
	l.lastCheckAt = now
	d := Demand{DataCentre: dc, Epoch: l.epoch, Holder: h.Self, SentAt: now, Applied: l.applied, LastPinID: h.lastPinID, Leaving: h.Leaving}
	total := unit.Slots(0)
	for k, load := range h.loads.All() {
		if k.dc != dc {
			continue
		}
		slots := load.maxInFlight + queued(k.set)
		if load.takeFailed { // the requests in flight understate the load if all slots are in use
			slots = max(slots, failedTakeFactor*load.held)
		}
		if slots > 0 || load.takeFailed {
			slots += 1 + slots/headroomDivisor
			d.DemandBySet = append(d.DemandBySet, UpstreamSetDemand{Set: k.set, Slots: slots})
		}
		total += slots
	}
	h.appendExcess(&d)
	changed := l.urgent || total != l.lastTotal || len(d.Excess) > 0
	if now <= l.lastDemandAt || !changed && now.Sub(l.lastDemandAt) < SteadyDemandInterval {
		return Demand{}, false
	}
	h.appendPins(&d, now)
	for k, load := range h.loads.All() {
		if k.dc == dc {
			load.maxInFlight, load.takeFailed = max(0, load.maxInFlight-1-load.maxInFlight/decayDivisor), false
		}
	}
	l.lastDemandAt, l.urgent, l.lastTotal = now, false, total
	return d, true
}

// coveredSlots returns the held slots that cover a request with any admitted
// deadline. If the parts end at different times, only the part that ends later
// counts, because a request may have been admitted under that part alone.
func (l *grantState) coveredSlots(held Parts) unit.Slots {
	switch {
	case l.quickUntil < l.slowUntil:
		return held.Slow
	case l.slowUntil < l.quickUntil:
		return held.Quick
	}
	return held.Total()
}

// appendExcess adds the excess of each upstream of the data centre to d.
func (h *Holder) appendExcess(d *Demand) {
	l := h.grants.Get(d.DataCentre)
	for name, r := range h.tracked.All() {
		if r.dc != d.DataCentre {
			continue
		}
		if excess := r.counter.Used() - l.coveredSlots(r.counter.Held()); excess > 0 {
			d.Excess = append(d.Excess, Excess{Upstream: name, Slots: excess})
		}
	}
}

// appendPins adds the requested and held pins of the data centre to d. It
// describes the held pins while no grants of this epoch are applied.
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
