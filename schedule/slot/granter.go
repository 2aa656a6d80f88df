package slot

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
)

// ordinal is the index of a holder in the slices that a tick uses.
type ordinal int32

// allocationRow holds the slots of one upstream that one holder has.
type allocationRow struct {
	holder    ordinal
	granted   Parts      // slots that the holder should have
	committed Parts      // slots that may be in use; at least granted in each part
	version   Version    // of the last change of granted; zero if there was none
	excess    unit.Slots // reported with the new demand; zero between two ticks
}

// upstreamRow is one upstream of the data centre.
type upstreamRow struct {
	set         UpstreamSet
	slots       Parts
	pinned      unit.Slots
	allocations []allocationRow
}

// free returns the slots of each part that are not committed to any holder. A
// negative balance in one part reduces the other part.
func (u *upstreamRow) free() Parts {
	f := Parts{Quick: u.slots.Quick, Slow: u.slots.Slow - u.pinned}
	for i := range u.allocations {
		f.Quick -= u.allocations[i].committed.Quick
		f.Slow -= u.allocations[i].committed.Slow
	}
	total := max(0, f.Total())
	return Parts{Quick: max(0, min(f.Quick, total)), Slow: max(0, min(f.Slow, total))}
}

// ensureAllocation returns the allocation row of holder h, and adds an empty
// one if there is none.
func (u *upstreamRow) ensureAllocation(h ordinal) *allocationRow {
	for i := range u.allocations {
		if u.allocations[i].holder == h {
			return &u.allocations[i]
		}
	}
	u.allocations = append(u.allocations, allocationRow{holder: h})
	return &u.allocations[len(u.allocations)-1]
}

// holderRow is an entry process that has grants or has sent a demand.
type holderRow struct {
	ordinal        ordinal
	demandSentAt   clock.Millis // SentAt of the last demand, on the clock of the holder; zero if there was none
	applied        Version
	createdVersion Version      // version when the row was created; an applied version below it counts as zero
	expiresAt      clock.Millis // when no request can run any more under the grants
	hasNewDemand   bool         // a demand arrived after the last tick
	leaving        bool
	demandBySet    []UpstreamSetDemand
	excess         []Excess
	lastPinID      PinID
	openPins       []PinID // pins that the last demand listed
}

// Granter divides the slots of one data centre among the holders. Only the
// owner of the tenure uses it, from one goroutine. The zero value has no
// upstreams. [Granter.BeginEpoch] starts an epoch.
type Granter struct {
	Limits tenure.Limits

	dc              unit.DataCentre
	epoch           unit.Epoch
	version         Version
	upstreams       table.Table[unit.Upstream, upstreamRow]
	sets            table.Table[UpstreamSet, setRow]
	holders         table.Table[unit.Instance, holderRow]
	reportedHolders table.Table[unit.Instance, struct{}]
	grantedPins     table.Table[pinKey, grantedPin]
	waitingPins     table.Table[pinKey, waitingPin]
	holderByOrdinal []*holderRow // by ordinal, valid during a tick
	nextOrdinal     ordinal
	freeOrdinals    []ordinal
}

var _ tenure.HolderReports = (*Granter)(nil)

// BeginEpoch starts an epoch without any grants. It keeps the upstreams.
func (g *Granter) BeginEpoch(dc unit.DataCentre, epoch unit.Epoch) {
	next := Granter{Limits: g.Limits, dc: dc, epoch: epoch}
	for name, u := range g.upstreams.All() {
		next.SetUpstream(name, u.set, u.slots.Total())
	}
	*g = next
}

// Epoch returns the epoch that the last call of BeginEpoch started.
func (g *Granter) Epoch() unit.Epoch { return g.epoch }

// SetUpstream adds an upstream or changes its set and its number of slots. With
// zero slots, the next tick reclaims the grants on it.
func (g *Granter) SetUpstream(name unit.Upstream, set UpstreamSet, slots unit.Slots) {
	u := g.upstreams.Get(name)
	if u == nil {
		u = g.upstreams.Put(name, upstreamRow{})
	}
	u.set, u.slots = set, Split(slots)
}

// HasReported reports whether id has sent a demand in this epoch.
func (g *Granter) HasReported(id unit.Instance) bool { return g.reportedHolders.Get(id) != nil }

// RecordDemand records a demand. It reports false if the demand is for another
// data centre or epoch, or is not newer than the last one of the holder.
func (g *Granter) RecordDemand(d *Demand, now clock.Millis) bool {
	if d.DataCentre != g.dc || d.Epoch != g.epoch {
		return false
	}
	h := g.ensureHolder(d.Holder, now)
	if d.SentAt <= h.demandSentAt {
		return false
	}
	g.reportedHolders.Ensure(d.Holder)
	h.demandSentAt, h.applied, h.hasNewDemand, h.leaving = d.SentAt, d.Applied, true, d.Leaving
	if d.Applied < h.createdVersion || d.Applied > g.version {
		h.applied = 0
	}
	h.expiresAt = now.Add(g.Limits.ReleaseDelay(g.Limits.MaxGrant))
	h.demandBySet = append(h.demandBySet[:0], d.DemandBySet...)
	h.excess = append(h.excess[:0], d.Excess...)
	g.reconcilePins(d, h, now)
	return true
}

// ensureHolder returns the row of id, and adds one if there is none.
func (g *Granter) ensureHolder(id unit.Instance, now clock.Millis) *holderRow {
	if h := g.holders.Get(id); h != nil {
		return h
	}
	g.version++
	row := holderRow{ordinal: g.nextOrdinal, createdVersion: g.version, expiresAt: now.Add(g.Limits.ReleaseDelay(g.Limits.MaxGrant))}
	if n := len(g.freeOrdinals); n > 0 {
		row.ordinal, g.freeOrdinals = g.freeOrdinals[n-1], g.freeOrdinals[:n-1]
	} else {
		g.nextOrdinal++
	}
	return g.holders.Put(id, row)
}

// GrantsFor returns the grants for a holder whose demand has been recorded. It
// reports false if there is no demand. The durations of the grants count from
// SentAt of the demand.
func (g *Granter) GrantsFor(id unit.Instance, now clock.Millis, right tenure.Right) (Grants, bool) {
	h := g.holders.Get(id)
	if h == nil || h.demandSentAt == 0 {
		return Grants{}, false
	}
	out := Grants{
		DataCentre: g.dc, Epoch: g.epoch, DemandSentAt: h.demandSentAt,
		Base: h.applied, Version: g.version, Full: h.applied == 0,
	}
	if right.Quick(now) {
		out.QuickFor = g.Limits.MaxGrant
	}
	if right.Slow(now) {
		out.SlowFor = min(g.Limits.MaxGrant, right.SlowUntil.Sub(now))
	}
	h.expiresAt = max(h.expiresAt, now.Add(g.Limits.ReleaseDelay(g.Limits.MaxGrant)))
	for name, u := range g.upstreams.All() {
		for i := range u.allocations {
			a := &u.allocations[i]
			if a.holder == h.ordinal && a.version > h.applied {
				out.Allocations = append(out.Allocations, Allocation{Upstream: name, Parts: a.granted})
			}
		}
	}
	return out, true
}

// OutstandingGrants returns the grants that the holders may still use, for the
// next owner.
func (g *Granter) OutstandingGrants(now clock.Millis) []Outstanding {
	out := make([]Outstanding, 0, g.holders.Len())
	for id, h := range g.holders.All() {
		o := Outstanding{Holder: id}
		for name, u := range g.upstreams.All() {
			for i := range u.allocations {
				if a := &u.allocations[i]; a.holder == h.ordinal && a.committed.Total() > 0 {
					o.Allocations = append(o.Allocations, Allocation{Upstream: name, Parts: a.committed})
				}
			}
		}
		out = append(out, o)
	}
	return g.appendHeldPins(out, now)
}

// TakeOver counts the grants that a former owner has handed over as committed
// until the holder reports or the grants have expired. Allocations of a holder
// that has already sent a demand are ignored.
func (g *Granter) TakeOver(outstanding []Outstanding, now clock.Millis) {
	for _, o := range outstanding {
		h := g.ensureHolder(o.Holder, now)
		if h.demandSentAt == 0 {
			for _, allocation := range o.Allocations {
				if u := g.upstreams.Get(allocation.Upstream); u != nil {
					u.ensureAllocation(h.ordinal).committed = allocation.Parts
				}
			}
		}
		for _, p := range o.HeldPins {
			g.addPin(o.Holder, p, now)
		}
	}
}
