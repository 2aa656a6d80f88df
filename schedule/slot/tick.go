package slot

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
)

// setRow is one set of upstreams with the storage of its division. The slices
// are indexed by the ordinal of the holder.
type setRow struct {
	rows    []*upstreamRow // valid during a tick
	have    []unit.Slots
	demand  []unit.Slots
	need    []unit.Slots
	target  []unit.Slots
	leaving bool       // a holder that is leaving may have slots of the set
	waiting unit.Slots // pins that wait for a slow slot
}

// Tick applies what the holders told, lets ended grants lapse, and divides the
// slots anew. A holder keeps slots beyond its need until another one needs
// them.
func (g *Granter) Tick(now clock.Millis, right tenure.Right) {
	g.lapse(now)
	g.number()
	g.settle()
	g.countWaiting(now)
	g.dropPins(func(_ pinKey, p *pinRow) bool { return now >= p.end })
	o := open{quick: right.Quick(now), slow: right.Slow(now)}
	for set, s := range g.sets.All() {
		g.measure(set, s, o)
		g.shrink(s, o)
		g.grow(s, o)
	}
	for _, h := range g.holders.All() {
		h.fresh = false
	}
}

// lapse removes the holders whose grants have all ended by time.
func (g *Granter) lapse(now clock.Millis) {
	g.holders.DeleteFunc(func(_ unit.Instance, h *holderRow) bool {
		if now < h.lapse {
			return false
		}
		for _, u := range g.upstreams.All() {
			u.remove(func(c *cell) bool { return c.holder == h.no })
		}
		g.unused = append(g.unused, h.no)
		return true
	})
}

func (u *upstreamRow) remove(drop func(*cell) bool) {
	kept := u.cells[:0]
	for i := range u.cells {
		if !drop(&u.cells[i]) {
			kept = append(kept, u.cells[i])
		}
	}
	u.cells = kept
}

// number looks up the holders and the upstreams of each set for the tick.
func (g *Granter) number() {
	for _, s := range g.sets.All() {
		s.rows = s.rows[:0]
	}
	var set Set
	var row *setRow
	for _, u := range g.upstreams.All() {
		if row == nil || u.set != set {
			set, row = u.set, g.sets.Ensure(u.set)
		}
		row.rows = append(row.rows, u)
	}
	g.numbers = resize(g.numbers, int(g.nextNo))
	for _, h := range g.holders.All() {
		g.numbers[h.no] = h
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

// settle frees what the holders have given back. A reduced cell stays filled
// until the holder has applied the reduction, and beyond that by the excess
// that it reports.
func (g *Granter) settle() {
	for _, h := range g.holders.All() {
		if !h.fresh {
			continue
		}
		for _, e := range h.excess {
			if u := g.upstreams.Get(e.Upstream); u != nil {
				c := u.cell(h.no)
				c.excess = e.Slots
			}
		}
	}
	for _, u := range g.upstreams.All() {
		u.remove(func(c *cell) bool {
			if h := g.numbers[c.holder]; h.fresh && h.applied >= c.version {
				c.settle(u.slots)
			}
			c.excess = 0
			return c.filled.Total() == 0 && c.want.Total() == 0
		})
	}
}

// settle sets what is filled to what is granted plus the reported excess. The
// excess counts as slow first, as far as slow slots were filled, since it may
// outlast the quick grants.
func (c *cell) settle(slots Parts) {
	most := c.filled.Slow
	if c.version == 0 { // left from a former owner
		most = slots.Slow
	}
	slow := min(max(0, most-c.want.Slow), c.excess)
	c.filled = Parts{Quick: c.want.Quick + c.excess - slow, Slow: c.want.Slow + slow}
}

func (g *Granter) countWaiting(now clock.Millis) {
	for _, s := range g.sets.All() {
		s.waiting = 0
	}
	g.waiting.DeleteFunc(func(_ pinKey, w *waitingRow) bool {
		if now >= w.until {
			return true
		}
		if s := g.sets.Get(w.set); s != nil {
			s.waiting++
		}
		return false
	})
}

// open tells which parts may be granted.
type open struct{ quick, slow bool }

// of returns the slots of p that belong to open parts.
func (o open) of(p Parts) Parts {
	if !o.quick {
		p.Quick = 0
	}
	if !o.slow {
		p.Slow = 0
	}
	return p
}

// measure computes what each holder has, needs and should have of the set.
func (g *Granter) measure(set Set, s *setRow, o open) {
	n := len(g.numbers)
	s.have, s.demand = resize(s.have, n), resize(s.demand, n)
	s.need, s.target = resize(s.need, n), resize(s.target, n)
	s.leaving = false
	for i := range s.demand {
		s.demand[i] = absent
	}
	for _, h := range g.holders.All() {
		s.leaving = s.leaving || h.leaving
		if h.asked == 0 || h.leaving { // the first are known from a former owner only
			continue
		}
		s.demand[h.no] = 0
		for _, w := range h.wants {
			if w.Set == set {
				s.demand[h.no] = max(0, w.Slots)
			}
		}
	}
	capacity := unit.Slots(0)
	for _, u := range s.rows {
		capacity += o.of(Parts{Quick: u.slots.Quick, Slow: max(0, u.slots.Slow-u.pinned)}).Total()
		for i := range u.cells {
			s.have[u.cells[i].holder] += o.of(u.cells[i].want).Total()
		}
	}
	divide(s.need, s.target, s.demand, capacity)
	for i, t := range s.target { // an idle holder can take its first requests at once
		s.need[i] = max(s.need[i], min(t, 1))
	}
}

// shrink takes slots back from holders that have more than they need, as many
// as others lack, and slow slots for waiting pins. It also takes back what
// exceeds the slots of an upstream.
func (g *Granter) shrink(s *setRow, o open) {
	lack, pins := unit.Slots(0), s.waiting
	for i, need := range s.need {
		lack += max(0, need-s.have[i])
	}
	for _, u := range s.rows { // what is free or on its way back need not be taken
		f, back := o.of(u.free()), o.of(u.returning())
		lack -= f.Total() + back.Total()
		pins -= f.Slow + back.Slow
	}
	for _, u := range s.rows {
		over := u.over()
		if lack <= 0 && pins <= 0 && over.Quick <= 0 && over.Slow <= 0 && !s.leaving {
			continue
		}
		for i := range u.cells {
			c := &u.cells[i]
			keep := c.want
			if s.demand[c.holder] == absent {
				keep = Parts{}
			}
			move(&keep.Quick, &over.Quick, keep.Quick)
			move(&keep.Slow, &over.Slow, keep.Slow)
			spare := s.have[c.holder] - s.need[c.holder] - o.of(c.want).Total() + o.of(keep).Total()
			if o.quick {
				spare -= move(&keep.Quick, &lack, spare)
			}
			if o.slow {
				move(&keep.Slow, &lack, spare)
				move(&keep.Slow, &pins, keep.Slow)
			}
			g.change(s, c, keep, o)
		}
	}
}

// move takes as much as possible of what is asked from have, at most limit, and
// returns how much it took.
func move(have, asked *unit.Slots, limit unit.Slots) unit.Slots {
	n := max(0, min(*have, *asked, limit))
	*have -= n
	*asked -= n
	return n
}

// returning is what holders have been asked to give back and still may use.
func (u *upstreamRow) returning() Parts {
	var p Parts
	for i := range u.cells {
		p.Quick += u.cells[i].filled.Quick - u.cells[i].want.Quick
		p.Slow += u.cells[i].filled.Slow - u.cells[i].want.Slow
	}
	return p
}

// over is by how much what is granted exceeds the slots of the upstream.
func (u *upstreamRow) over() Parts {
	p := Parts{Quick: -u.slots.Quick, Slow: u.pinned - u.slots.Slow}
	for i := range u.cells {
		p.Quick += u.cells[i].want.Quick
		p.Slow += u.cells[i].want.Slow
	}
	return p
}

// change sets what the holder of c is to have.
func (g *Granter) change(s *setRow, c *cell, want Parts, o open) {
	if want == c.want {
		return
	}
	s.have[c.holder] += o.of(want).Total() - o.of(c.want).Total()
	g.version++
	c.want, c.version = want, g.version
	c.filled = c.filled.Max(want)
}

// grow gives free slots to the holders that lack most of their target.
func (g *Granter) grow(s *setRow, o open) {
	reserved := s.waiting
	for _, u := range s.rows {
		f := o.of(u.free())
		move(&f.Slow, &reserved, f.Slow)
		for f.Total() > 0 {
			h := neediest(s)
			if h < 0 {
				return
			}
			c := u.cell(h)
			want := c.want
			if f.Quick > 0 {
				f.Quick--
				want.Quick++
			} else {
				f.Slow--
				want.Slow++
			}
			g.change(s, c, want, o)
		}
	}
}

// neediest returns the holder that is farthest below its target, or -1.
func neediest(s *setRow) ordinal {
	best, most := ordinal(-1), unit.Slots(0)
	for i, t := range s.target {
		if lack := t - s.have[i]; lack > most {
			best, most = ordinal(i), lack
		}
	}
	return best
}
