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
	if upstream := h.tracked.Get(name); upstream != nil {
		upstream.set = set
		return
	}
	h.tracked.Put(name, trackedUpstream{dc: dc, set: set, counter: counter, pinned: pinned})
}

// SetOwner records the owner that grants the slots of the data centre in epoch. It
// ignores an epoch that is not higher than the current one. Grants of lower
// epochs admit no more requests, and pins that are only requested are removed.
// The next demand reports the requests that still run under the old grants.
func (h *Holder) SetOwner(dc unit.DataCentre, epoch unit.Epoch, owner unit.Instance) {
	state := h.grants.Ensure(dc)
	if epoch <= state.epoch {
		return
	}
	*state = grantState{epoch: epoch, owner: owner, lastDemandAt: state.lastDemandAt, lastCheckAt: state.lastCheckAt, urgent: true}
	for _, upstream := range h.tracked.All() {
		if upstream.dc == dc {
			upstream.counter.HoldParts(Parts{}, 0, 0)
		}
	}
	h.pins.DeleteFunc(func(_ PinID, p *holderPin) bool { return p.dc == dc && p.state == pinRequested })
}

// Owner returns the owner that [Holder.SetOwner] recorded last for the data
// centre, and its epoch. Both are zero if there is none.
func (h *Holder) Owner(dc unit.DataCentre) (unit.Instance, unit.Epoch) {
	if state := h.grants.Get(dc); state != nil {
		return state.owner, state.epoch
	}
	return "", 0
}

// Apply applies grants to the counters and reports whether it did. It ignores
// grants of another epoch, grants older than the applied ones, and grants whose
// base version this holder has not applied. The reply to the next demand then
// has a suitable base.
func (h *Holder) Apply(g *Grants) bool {
	state := h.grants.Get(g.DataCentre)
	if state == nil || g.Epoch != state.epoch || g.Version < state.applied || g.DemandSentAt < state.appliedDemandAt || !g.Full && g.Base > state.applied {
		return false
	}
	state.applied, state.appliedDemandAt = g.Version, g.DemandSentAt
	state.quickUntil = max(state.quickUntil, g.DemandSentAt.Add(g.QuickFor))
	state.slowUntil = max(state.slowUntil, g.DemandSentAt.Add(g.SlowFor))
	parts := make(map[unit.Upstream]Parts, len(g.Allocations))
	for _, allocation := range g.Allocations {
		parts[allocation.Upstream] = allocation.Parts
	}
	for name, upstream := range h.tracked.All() {
		if upstream.dc != g.DataCentre {
			continue
		}
		held := upstream.counter.Held()
		next, listed := parts[name]
		if !listed && !g.Full {
			next = held
		}
		state.urgent = state.urgent || next.Quick < held.Quick || next.Slow < held.Slow
		upstream.counter.HoldParts(next, state.quickUntil, state.slowUntil)
	}
	return true
}

// Observe samples the requests in flight and removes the pins whose requests
// have ended. It runs on each tick.
func (h *Holder) Observe(now clock.Millis) {
	for _, load := range h.loads.All() {
		load.inFlight, load.held = 0, 0
	}
	for name, upstream := range h.tracked.All() {
		load := h.loads.Ensure(setKey{upstream.dc, upstream.set})
		load.inFlight += upstream.counter.Used()
		load.held += upstream.counter.Held().Total()
		if failedTakes := upstream.counter.FailedTakes(); failedTakes > upstream.failedTakes {
			upstream.failedTakes, load.takeFailed = failedTakes, true
		}
		h.removeEndedPins(name, upstream)
	}
	for k, load := range h.loads.All() {
		load.maxInFlight = max(load.maxInFlight, load.inFlight)
		if state := h.grants.Get(k.dc); state != nil && load.takeFailed && load.held == 0 {
			state.urgent = true
		}
	}
	h.pins.DeleteFunc(func(_ PinID, p *holderPin) bool { return p.state == pinRequested && now >= p.deadline })
}

// removeEndedPins removes held pins of an upstream until their number matches
// the pinned slots in use. The counter does not show which requests have ended.
// Pins with the earliest deadline are removed first, so that the owner counts
// the remaining ones long enough.
func (h *Holder) removeEndedPins(name unit.Upstream, upstream *trackedUpstream) {
	for upstream.pinned != nil && upstream.pins > upstream.pinned.Used() {
		var earliest PinID
		earliestEnd := clock.Never
		for id, p := range h.pins.All() {
			if p.state == pinHeld && p.upstream == name && p.deadline < earliestEnd {
				earliest, earliestEnd = id, p.deadline
			}
		}
		h.pins.Delete(earliest)
		upstream.pins--
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
	state := h.grants.Get(dc)
	if state == nil || state.owner == "" || now.Sub(state.lastCheckAt) < ChangedDemandInterval && !state.urgent {
		return Demand{}, false
	}
	state.lastCheckAt = now
	d := Demand{DataCentre: dc, Epoch: state.epoch, Holder: h.Self, SentAt: now, Applied: state.applied, LastPinID: h.lastPinID, Leaving: h.Leaving}
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
	changed := state.urgent || total != state.lastTotal || len(d.Excess) > 0
	if now <= state.lastDemandAt || !changed && now.Sub(state.lastDemandAt) < SteadyDemandInterval {
		return Demand{}, false
	}
	h.appendPins(&d, now)
	for k, load := range h.loads.All() {
		if k.dc == dc {
			load.maxInFlight, load.takeFailed = max(0, load.maxInFlight-1-load.maxInFlight/decayDivisor), false
		}
	}
	state.lastDemandAt, state.urgent, state.lastTotal = now, false, total
	return d, true
}

// coveredSlots returns the held slots that cover a request with any admitted
// deadline. If the parts end at different times, only the part that ends later
// counts, because a request may have been admitted under that part alone.
func (s *grantState) coveredSlots(held Parts) unit.Slots {
	switch {
	case s.quickUntil < s.slowUntil:
		return held.Slow
	case s.slowUntil < s.quickUntil:
		return held.Quick
	}
	return held.Total()
}

// appendExcess adds the excess of each upstream of the data centre to d.
func (h *Holder) appendExcess(d *Demand) {
	state := h.grants.Get(d.DataCentre)
	for name, upstream := range h.tracked.All() {
		if upstream.dc != d.DataCentre {
			continue
		}
		if excess := upstream.counter.Used() - state.coveredSlots(upstream.counter.Held()); excess > 0 {
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
