package slot

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
)

// setRow is one set of upstreams with the storage of its division. The slices
// are indexed by the ordinal of the holder.
type setRow struct {
	upstreams        []*upstreamRow // valid during a tick
	granted          []unit.Slots
	demand           []unit.Slots
	fairShare        []unit.Slots
	target           []unit.Slots
	hasLeavingHolder bool       // a holder that is leaving may have slots of the set
	waitingPins      unit.Slots // pins that wait for a slow slot
}

// Tick applies what the holders told, lets ended grants lapse, and divides the
// slots anew. A holder keeps slots beyond its need until another one needs
// them.
func (g *Granter) Tick(now clock.Millis, right tenure.Right) {
	g.expireHolders(now)
	g.indexRows()
	g.applyReports()
	g.countWaitingPins(now)
	g.removePins(func(_ pinKey, p *grantedPin) bool { return now >= p.endsAt })
	parts := grantableParts{quick: right.Quick(now), slow: right.Slow(now)}
	for set, s := range g.sets.All() {
		g.computeTargets(set, s, parts)
		g.reclaim(s, parts)
		g.assignFree(s, parts)
	}
	for _, h := range g.holders.All() {
		h.hasNewDemand = false
	}
}

// expireHolders removes the holders whose grants have all ended by time.
func (g *Granter) expireHolders(now clock.Millis) {
	g.holders.DeleteFunc(func(_ unit.Instance, h *holderRow) bool {
		if now < h.expiresAt {
			return false
		}
		for _, u := range g.upstreams.All() {
			u.removeAllocations(func(a *allocation) bool { return a.holder == h.ordinal })
		}
		g.freeOrdinals = append(g.freeOrdinals, h.ordinal)
		return true
	})
}

func (u *upstreamRow) removeAllocations(shouldRemove func(*allocation) bool) {
	kept := u.allocations[:0]
	for i := range u.allocations {
		if !shouldRemove(&u.allocations[i]) {
			kept = append(kept, u.allocations[i])
		}
	}
	u.allocations = kept
}

// indexRows looks up the holders and the upstreams of each set for the tick.
func (g *Granter) indexRows() {
	for _, s := range g.sets.All() {
		s.upstreams = s.upstreams[:0]
	}
	var set Set
	var row *setRow
	for _, u := range g.upstreams.All() {
		if row == nil || u.set != set {
			set, row = u.set, g.sets.Ensure(u.set)
		}
		row.upstreams = append(row.upstreams, u)
	}
	g.holderByOrdinal = resize(g.holderByOrdinal, int(g.nextOrdinal))
	for _, h := range g.holders.All() {
		g.holderByOrdinal[h.ordinal] = h
	}
}

// resize returns a slice of n zero values in the storage of s if it fits.
func resize[V any](s []V, n int) []V {
	if cap(s) < n {
		return make([]V, n)
	}
	s = s[:n]
	clear(s)
	return s
}

// applyReports frees what the holders have given back. A reduced cell stays filled
// until the holder has applied the reduction, and beyond that by the excess
// that it reports.
func (g *Granter) applyReports() {
	for _, h := range g.holders.All() {
		if !h.hasNewDemand {
			continue
		}
		for _, e := range h.excess {
			if u := g.upstreams.Get(e.Upstream); u != nil {
				c := u.allocation(h.ordinal)
				c.excess = e.Slots
			}
		}
	}
	for _, u := range g.upstreams.All() {
		u.removeAllocations(func(c *allocation) bool {
			if h := g.holderByOrdinal[c.holder]; h.hasNewDemand && h.applied >= c.version {
				c.updateCommitted(u.slots)
			}
			c.excess = 0
			return c.committed.Total() == 0 && c.granted.Total() == 0
		})
	}
}

// updateCommitted sets what is filled to what is granted plus the reported excess. The
// excess counts as slow first, as far as slow slots were filled, since it may
// outlast the quick grants.
func (a *allocation) updateCommitted(slots Parts) {
	maxSlow := a.committed.Slow
	if a.version == 0 { // left from a former owner
		maxSlow = slots.Slow
	}
	excessSlow := min(max(0, maxSlow-a.granted.Slow), a.excess)
	a.committed = Parts{Quick: a.granted.Quick + a.excess - excessSlow, Slow: a.granted.Slow + excessSlow}
}

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

// grantableParts tells which parts may be granted.
type grantableParts struct{ quick, slow bool }

// filter returns the slots of p that belong to open parts.
func (parts grantableParts) filter(p Parts) Parts {
	if !parts.quick {
		p.Quick = 0
	}
	if !parts.slow {
		p.Slow = 0
	}
	return p
}

// computeTargets computes what each holder has, needs and should have of the set.
func (g *Granter) computeTargets(set Set, s *setRow, parts grantableParts) {
	n := len(g.holderByOrdinal)
	s.granted, s.demand = resize(s.granted, n), resize(s.demand, n)
	s.fairShare, s.target = resize(s.fairShare, n), resize(s.target, n)
	s.hasLeavingHolder = false
	for i := range s.demand {
		s.demand[i] = noHolder
	}
	for _, h := range g.holders.All() {
		s.hasLeavingHolder = s.hasLeavingHolder || h.leaving
		if h.demandSentAt == 0 || h.leaving { // the first are known from a former owner only
			continue
		}
		s.demand[h.ordinal] = 0
		for _, w := range h.wants {
			if w.Set == set {
				s.demand[h.ordinal] = max(0, w.Slots)
			}
		}
	}
	capacity := unit.Slots(0)
	for _, u := range s.upstreams {
		capacity += parts.filter(Parts{Quick: u.slots.Quick, Slow: max(0, u.slots.Slow-u.pinned)}).Total()
		for i := range u.allocations {
			s.granted[u.allocations[i].holder] += parts.filter(u.allocations[i].granted).Total()
		}
	}
	divide(s.fairShare, s.target, s.demand, capacity)
	for i, t := range s.target { // an idle holder can take its first requests at once
		s.fairShare[i] = max(s.fairShare[i], min(t, 1))
	}
}

// reclaim takes slots back from holders that have more than they need, as many
// as others lack, and slow slots for waiting pins. It also takes back what
// exceeds the slots of an upstream.
func (g *Granter) reclaim(s *setRow, parts grantableParts) {
	deficit, pinDeficit := unit.Slots(0), s.waitingPins
	for i, fairShare := range s.fairShare {
		deficit += max(0, fairShare-s.granted[i])
	}
	for _, u := range s.upstreams { // what is free or on its way back need not be taken
		free, returning := parts.filter(u.free()), parts.filter(u.pendingReturn())
		deficit -= free.Total() + returning.Total()
		pinDeficit -= free.Slow + returning.Slow
	}
	for _, u := range s.upstreams {
		overGranted := u.overGranted()
		if deficit <= 0 && pinDeficit <= 0 && overGranted.Quick <= 0 && overGranted.Slow <= 0 && !s.hasLeavingHolder {
			continue
		}
		for i := range u.allocations {
			a := &u.allocations[i]
			kept := a.granted
			if s.demand[a.holder] == noHolder {
				kept = Parts{}
			}
			deduct(&kept.Quick, &overGranted.Quick, kept.Quick)
			deduct(&kept.Slow, &overGranted.Slow, kept.Slow)
			surplus := s.granted[a.holder] - s.fairShare[a.holder] - parts.filter(a.granted).Total() + parts.filter(kept).Total()
			if parts.quick {
				surplus -= deduct(&kept.Quick, &deficit, surplus)
			}
			if parts.slow {
				deduct(&kept.Slow, &deficit, surplus)
				deduct(&kept.Slow, &pinDeficit, kept.Slow)
			}
			g.setGranted(s, a, kept, parts)
		}
	}
}

// deduct takes as much as possible of what is asked from have, at most limit, and
// returns how much it took.
func deduct(available, requested *unit.Slots, limit unit.Slots) unit.Slots {
	n := max(0, min(*available, *requested, limit))
	*available -= n
	*requested -= n
	return n
}

// pendingReturn is what holders have been asked to give back and still may use.
func (u *upstreamRow) pendingReturn() Parts {
	var p Parts
	for i := range u.allocations {
		p.Quick += u.allocations[i].committed.Quick - u.allocations[i].granted.Quick
		p.Slow += u.allocations[i].committed.Slow - u.allocations[i].granted.Slow
	}
	return p
}

// overGranted is by how much what is granted exceeds the slots of the upstream.
func (u *upstreamRow) overGranted() Parts {
	p := Parts{Quick: -u.slots.Quick, Slow: u.pinned - u.slots.Slow}
	for i := range u.allocations {
		p.Quick += u.allocations[i].granted.Quick
		p.Slow += u.allocations[i].granted.Slow
	}
	return p
}

// setGranted sets what the holder of c is to have.
func (g *Granter) setGranted(s *setRow, a *allocation, granted Parts, parts grantableParts) {
	if granted == a.granted {
		return
	}
	s.granted[a.holder] += parts.filter(granted).Total() - parts.filter(a.granted).Total()
	g.version++
	a.granted, a.version = granted, g.version
	a.committed = a.committed.Max(granted)
}

// assignFree gives free slots to the holders that lack most of their target.
func (g *Granter) assignFree(s *setRow, parts grantableParts) {
	reservedForPins := s.waitingPins
	for _, u := range s.upstreams {
		free := parts.filter(u.free())
		deduct(&free.Slow, &reservedForPins, free.Slow)
		for free.Total() > 0 {
			h := largestDeficit(s)
			if h < 0 {
				return
			}
			a := u.allocation(h)
			granted := a.granted
			if free.Quick > 0 {
				free.Quick--
				granted.Quick++
			} else {
				free.Slow--
				granted.Slow++
			}
			g.setGranted(s, a, granted, parts)
		}
	}
}

// largestDeficit returns the holder that is farthest below its target, or -1.
func largestDeficit(s *setRow) ordinal {
	best, maxDeficit := ordinal(-1), unit.Slots(0)
	for i, t := range s.target {
		if deficit := t - s.granted[i]; deficit > maxDeficit {
			best, maxDeficit = ordinal(i), deficit
		}
	}
	return best
}
