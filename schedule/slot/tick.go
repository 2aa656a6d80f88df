package slot

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
)

// setRow is one set of upstreams with the working memory for dividing its
// slots. The slices of slots are indexed by the ordinal of the holder.
type setRow struct {
	upstreamRows []*upstreamRow // valid during a tick
	holderTotal  []unit.Slots   // granted slots of the set
	demand       []unit.Slots   // requested slots, or noDemand
	fairShare    []unit.Slots   // max-min fair share
	target       []unit.Slots   // fair share plus a part of the remaining slots
	leaving      bool           // a holder is leaving and may have slots of the set
	waitingPins  unit.Slots     // pins that wait for a slow slot
}

// Tick applies the demands of the holders, removes expired grants, and divides
// the slots again. A holder keeps slots beyond its fair share until another
// holder needs them.
func (g *Granter) Tick(now clock.Millis, right tenure.Right) {
	g.expireHolders(now)
	g.indexRows()
	g.applyDemands()
	g.countWaitingPins(now)
	g.removePins(func(_ pinKey, p *grantedPin) bool { return now >= p.endsAt })
	grantable := grantableParts{quick: right.Quick(now), slow: right.Slow(now)}
	for set, s := range g.sets.All() {
		g.computeTargets(set, s, grantable)
		g.reclaim(s, grantable)
		g.assignFree(s, grantable)
	}
	for _, h := range g.holders.All() {
		h.hasNewDemand = false
	}
}

// expireHolders removes the holders whose grants have all expired.
func (g *Granter) expireHolders(now clock.Millis) {
	g.holders.DeleteFunc(func(_ unit.Instance, h *holderRow) bool {
		if now < h.expiresAt {
			return false
		}
		for _, u := range g.upstreams.All() {
			u.removeAllocations(func(a *allocationRow) bool { return a.holder == h.ordinal })
		}
		g.freeOrdinals = append(g.freeOrdinals, h.ordinal)
		return true
	})
}

// removeAllocations removes the allocations that shouldRemove selects.
func (u *upstreamRow) removeAllocations(shouldRemove func(*allocationRow) bool) {
	kept := u.allocations[:0]
	for i := range u.allocations {
		if !shouldRemove(&u.allocations[i]) {
			kept = append(kept, u.allocations[i])
		}
	}
	u.allocations = kept
}

// indexRows collects the upstreams of each set and the holders by ordinal. The
// pointers are valid during one tick.
func (g *Granter) indexRows() {
	for _, s := range g.sets.All() {
		s.upstreamRows = s.upstreamRows[:0]
	}
	var set UpstreamSet
	var row *setRow
	for _, u := range g.upstreams.All() {
		if row == nil || u.set != set {
			set, row = u.set, g.sets.Ensure(u.set)
		}
		row.upstreamRows = append(row.upstreamRows, u)
	}
	g.holderByOrdinal = zeroed(g.holderByOrdinal, int(g.nextOrdinal))
	for _, h := range g.holders.All() {
		g.holderByOrdinal[h.ordinal] = h
	}
}

// zeroed returns a slice of n zero values. It reuses the storage of s if the
// capacity suffices.
func zeroed[V any](s []V, n int) []V {
	if cap(s) < n {
		return make([]V, n)
	}
	s = s[:n]
	clear(s)
	return s
}

// applyDemands frees the slots that the new demands show as returned. The slots
// of a reduced allocation stay committed until the holder has applied the reduction.
// After that, only the reported excess stays committed in addition.
func (g *Granter) applyDemands() {
	for _, h := range g.holders.All() {
		if !h.hasNewDemand {
			continue
		}
		for _, e := range h.excess {
			if u := g.upstreams.Get(e.Upstream); u != nil {
				a := u.ensureAllocation(h.ordinal)
				a.excess = e.Slots
			}
		}
	}
	for _, u := range g.upstreams.All() {
		u.removeAllocations(func(a *allocationRow) bool {
			if h := g.holderByOrdinal[a.holder]; h.hasNewDemand && h.applied >= a.version {
				a.updateCommitted(u.slots)
			}
			a.excess = 0
			return a.committed.Total() == 0 && a.granted.Total() == 0
		})
	}
}

// updateCommitted sets the committed slots to the granted slots plus the
// reported excess. The excess counts as slow up to the number of slow slots that
// were committed, because it may outlast the quick grants. The rest counts as
// quick. slots are the slots of the upstream.
func (a *allocationRow) updateCommitted(slots Parts) {
	maxSlow := a.committed.Slow
	if a.version == 0 { // the grants are from a former owner
		maxSlow = slots.Slow
	}
	excessSlow := min(max(0, maxSlow-a.granted.Slow), a.excess)
	a.committed = Parts{Quick: a.granted.Quick + a.excess - excessSlow, Slow: a.granted.Slow + excessSlow}
}

// countWaitingPins counts the waiting pins of each set and removes those that
// were not requested again in time.
func (g *Granter) countWaitingPins(now clock.Millis) {
	for _, s := range g.sets.All() {
		s.waitingPins = 0
	}
	g.waitingPins.DeleteFunc(func(_ pinKey, w *waitingPin) bool {
		if now >= w.expiresAt {
			return true
		}
		if s := g.sets.Get(w.set); s != nil {
			s.waitingPins++
		}
		return false
	})
}

// grantableParts states which parts the owner may grant at this tick.
type grantableParts struct{ quick, slow bool }

// filter returns p with the parts that may not be granted set to zero.
func (g grantableParts) filter(p Parts) Parts {
	if !g.quick {
		p.Quick = 0
	}
	if !g.slow {
		p.Slow = 0
	}
	return p
}

// computeTargets computes the granted slots, the demand, the fair share and the
// target of each holder for the set.
func (g *Granter) computeTargets(set UpstreamSet, s *setRow, grantable grantableParts) {
	n := len(g.holderByOrdinal)
	s.holderTotal, s.demand = zeroed(s.holderTotal, n), zeroed(s.demand, n)
	s.fairShare, s.target = zeroed(s.fairShare, n), zeroed(s.target, n)
	s.leaving = false
	for i := range s.demand {
		s.demand[i] = noDemand
	}
	for _, h := range g.holders.All() {
		s.leaving = s.leaving || h.leaving
		if h.demandSentAt == 0 || h.leaving { // a holder without a demand is only known from a former owner
			continue
		}
		s.demand[h.ordinal] = 0
		for _, demand := range h.demandBySet {
			if demand.Set == set {
				s.demand[h.ordinal] = max(0, demand.Slots)
			}
		}
	}
	capacity := unit.Slots(0)
	for _, u := range s.upstreamRows {
		capacity += grantable.filter(Parts{Quick: u.slots.Quick, Slow: max(0, u.slots.Slow-u.pinned)}).Total()
		for i := range u.allocations {
			s.holderTotal[u.allocations[i].holder] += grantable.filter(u.allocations[i].granted).Total()
		}
	}
	divide(s.fairShare, s.target, s.demand, capacity)
	for i, t := range s.target { // keep one slot for an idle holder, so that it can serve its first request without a wait
		s.fairShare[i] = max(s.fairShare[i], min(t, 1))
	}
}

// reclaim reduces the grants of holders that have more than their fair share, by
// the number of slots that other holders lack. It also reclaims slow slots for
// waiting pins, the grants of leaving holders, and grants beyond the slots of an
// upstream.
func (g *Granter) reclaim(s *setRow, grantable grantableParts) {
	deficit, pinDeficit := unit.Slots(0), s.waitingPins
	for i, fairShare := range s.fairShare {
		deficit += max(0, fairShare-s.holderTotal[i])
	}
	for _, u := range s.upstreamRows { // free slots and pending returns need not be reclaimed
		free, returning := grantable.filter(u.free()), grantable.filter(u.pendingReturn())
		deficit -= free.Total() + returning.Total()
		pinDeficit -= free.Slow + returning.Slow
	}
	for _, u := range s.upstreamRows {
		overGranted := u.overGranted()
		if deficit <= 0 && pinDeficit <= 0 && overGranted.Quick <= 0 && overGranted.Slow <= 0 && !s.leaving {
			continue
		}
		for i := range u.allocations {
			a := &u.allocations[i]
			kept := a.granted
			if s.demand[a.holder] == noDemand {
				kept = Parts{}
			}
			deduct(&kept.Quick, &overGranted.Quick, kept.Quick)
			deduct(&kept.Slow, &overGranted.Slow, kept.Slow)
			surplus := s.holderTotal[a.holder] - s.fairShare[a.holder] - grantable.filter(a.granted).Total() + grantable.filter(kept).Total()
			if grantable.quick {
				surplus -= deduct(&kept.Quick, &deficit, surplus)
			}
			if grantable.slow {
				deduct(&kept.Slow, &deficit, surplus)
				deduct(&kept.Slow, &pinDeficit, kept.Slow)
			}
			g.setGranted(s, a, kept, grantable)
		}
	}
}

// deduct subtracts the same number of slots from available and requested, and
// returns that number. It is the minimum of both values and limit, and at least
// zero.
func deduct(available, requested *unit.Slots, limit unit.Slots) unit.Slots {
	n := max(0, min(*available, *requested, limit))
	*available -= n
	*requested -= n
	return n
}

// pendingReturn returns the slots that were reclaimed but may still be in use.
func (u *upstreamRow) pendingReturn() Parts {
	var p Parts
	for i := range u.allocations {
		p.Quick += u.allocations[i].committed.Quick - u.allocations[i].granted.Quick
		p.Slow += u.allocations[i].committed.Slow - u.allocations[i].granted.Slow
	}
	return p
}

// overGranted returns by how much the grants and pins of each part exceed the
// slots of the upstream. It is negative for a part with slots to grant.
func (u *upstreamRow) overGranted() Parts {
	p := Parts{Quick: -u.slots.Quick, Slow: u.pinned - u.slots.Slow}
	for i := range u.allocations {
		p.Quick += u.allocations[i].granted.Quick
		p.Slow += u.allocations[i].granted.Slow
	}
	return p
}

// setGranted sets the slots that the holder of a should have. It adjusts the
// total of the holder in s.
func (g *Granter) setGranted(s *setRow, a *allocationRow, granted Parts, grantable grantableParts) {
	if granted == a.granted {
		return
	}
	s.holderTotal[a.holder] += grantable.filter(granted).Total() - grantable.filter(a.granted).Total()
	g.version++
	a.granted, a.version = granted, g.version
	a.committed = a.committed.Max(granted)
}

// assignFree grants free slots one by one to the holder that is farthest below
// its target. It leaves slow slots for waiting pins.
func (g *Granter) assignFree(s *setRow, grantable grantableParts) {
	reservedForPins := s.waitingPins
	for _, u := range s.upstreamRows {
		free := grantable.filter(u.free())
		deduct(&free.Slow, &reservedForPins, free.Slow)
		for free.Total() > 0 {
			h := largestDeficit(s)
			if h < 0 {
				return
			}
			a := u.ensureAllocation(h)
			granted := a.granted
			if free.Quick > 0 {
				free.Quick--
				granted.Quick++
			} else {
				free.Slow--
				granted.Slow++
			}
			g.setGranted(s, a, granted, grantable)
		}
	}
}

// largestDeficit returns the ordinal of the holder that is farthest below its
// target, or -1 if no holder is below.
func largestDeficit(s *setRow) ordinal {
	best, maxDeficit := ordinal(-1), unit.Slots(0)
	for i, t := range s.target {
		if deficit := t - s.holderTotal[i]; deficit > maxDeficit {
			best, maxDeficit = ordinal(i), deficit
		}
	}
	return best
}
