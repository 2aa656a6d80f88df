package slot

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
)

// ordinal is the position of a holder in the scratch tables of a tick.
type ordinal int32

// cell is what one holder has of one upstream.
type cell struct {
	holder  ordinal
	want    Parts   // what the holder is to have
	filled  Parts   // what may be in use; never less than want
	version Version // of the last change of want; zero if there was none
	excess  unit.Slots
}

// upstreamRow is one upstream of the data centre.
type upstreamRow struct {
	set    Set
	slots  Parts
	pinned unit.Slots
	cells  []cell
}

// free returns the slots of each part that nobody may be using.
func (u *upstreamRow) free() Parts {
	f := Parts{Quick: u.slots.Quick, Slow: u.slots.Slow - u.pinned}
	for i := range u.cells {
		f.Quick -= u.cells[i].filled.Quick
		f.Slow -= u.cells[i].filled.Slow
	}
	total := max(0, f.Total())
	return Parts{Quick: max(0, min(f.Quick, total)), Slow: max(0, min(f.Slow, total))}
}

func (u *upstreamRow) cell(h ordinal) *cell {
	for i := range u.cells {
		if u.cells[i].holder == h {
			return &u.cells[i]
		}
	}
	u.cells = append(u.cells, cell{holder: h})
	return &u.cells[len(u.cells)-1]
}

// holderRow is one entry process that has grants or has asked for some.
type holderRow struct {
	no      ordinal
	asked   clock.Millis // of the last demand, on the clock of the holder
	applied Version
	since   Version      // grants before it are unknown to this row
	lapse   clock.Millis // when nothing that was granted runs any more
	fresh   bool         // a demand came after the last tick
	leaving bool
	wants   []Want
	excess  []Excess
	pinSeq  PinID
	live    []PinID // pins that the last demand listed
}

// Granter divides the slots of one data centre among the holders. Only the
// owner of the tenure uses it, from one goroutine. The zero value has no
// upstreams; [Granter.Begin] starts an epoch.
type Granter struct {
	Limits tenure.Limits

	dc        unit.DataCentre
	epoch     unit.Epoch
	version   Version
	upstreams table.Table[unit.Upstream, upstreamRow]
	sets      table.Table[Set, setRow]
	holders   table.Table[unit.Instance, holderRow]
	reported  table.Table[unit.Instance, struct{}]
	pins      table.Table[pinKey, pinRow]
	waiting   table.Table[pinKey, waitingRow]
	numbers   []*holderRow // by ordinal, valid during a tick
	nextNo    ordinal
	unused    []ordinal
}

var _ tenure.Reports = (*Granter)(nil)

// Begin starts an epoch without any grants. The upstreams are kept.
func (g *Granter) Begin(dc unit.DataCentre, epoch unit.Epoch) {
	fresh := Granter{Limits: g.Limits, dc: dc, epoch: epoch}
	for name, u := range g.upstreams.All() {
		fresh.Upstream(name, u.set, u.slots.Total())
	}
	*g = fresh
}

// Epoch returns the epoch for which the granter was begun.
func (g *Granter) Epoch() unit.Epoch { return g.epoch }

// Upstream adds an upstream or changes its set and its number of slots. Zero slots take
// back what is granted on it.
func (g *Granter) Upstream(name unit.Upstream, set Set, slots unit.Slots) {
	u := g.upstreams.Get(name)
	if u == nil {
		u = g.upstreams.Put(name, upstreamRow{})
	}
	u.set, u.slots = set, Split(slots)
}

// Reported reports whether id has sent a demand in this epoch.
func (g *Granter) Reported(id unit.Instance) bool { return g.reported.Get(id) != nil }

// Demand records what a holder tells. It reports false if the demand is of
// another epoch or older than the last one.
func (g *Granter) Demand(d *Demand, now clock.Millis) bool {
	if d.DataCentre != g.dc || d.Epoch != g.epoch {
		return false
	}
	h := g.holder(d.Holder, now)
	if d.Asked <= h.asked {
		return false
	}
	g.reported.Ensure(d.Holder)
	h.asked, h.applied, h.fresh, h.leaving = d.Asked, d.Applied, true, d.Leaving
	if d.Applied < h.since || d.Applied > g.version {
		h.applied = 0
	}
	h.lapse = now.Add(g.Limits.Outstanding(g.Limits.Quick))
	h.wants = append(h.wants[:0], d.Wants...)
	h.excess = append(h.excess[:0], d.Excess...)
	g.settlePins(d, h, now)
	return true
}

func (g *Granter) holder(id unit.Instance, now clock.Millis) *holderRow {
	if h := g.holders.Get(id); h != nil {
		return h
	}
	g.version++
	row := holderRow{no: g.nextNo, since: g.version, lapse: now.Add(g.Limits.Outstanding(g.Limits.Quick))}
	if n := len(g.unused); n > 0 {
		row.no, g.unused = g.unused[n-1], g.unused[:n-1]
	} else {
		g.nextNo++
	}
	return g.holders.Put(id, row)
}

// Answer returns the grants of a holder whose demand has been recorded. The
// spans count from the demand's Asked.
func (g *Granter) Answer(id unit.Instance, now clock.Millis, right tenure.Right) (Grants, bool) {
	h := g.holders.Get(id)
	if h == nil || h.asked == 0 {
		return Grants{}, false
	}
	out := Grants{
		DataCentre: g.dc, Epoch: g.epoch, Asked: h.asked,
		Base: h.applied, Version: g.version, Full: h.applied == 0,
	}
	if right.Quick(now) {
		out.QuickFor = g.Limits.Quick
	}
	if right.Slow(now) {
		out.SlowFor = min(g.Limits.Quick, right.SlowUntil.Sub(now))
	}
	h.lapse = max(h.lapse, now.Add(g.Limits.Outstanding(g.Limits.Quick)))
	for name, u := range g.upstreams.All() {
		for i := range u.cells {
			c := &u.cells[i]
			if c.holder == h.no && c.version > h.applied {
				out.Cells = append(out.Cells, Cell{Upstream: name, Parts: c.want})
			}
		}
	}
	return out, true
}

// HandOver returns what the holders may still use, for the successor.
func (g *Granter) HandOver(now clock.Millis) []Outstanding {
	out := make([]Outstanding, 0, g.holders.Len())
	for id, h := range g.holders.All() {
		o := Outstanding{Holder: id}
		for name, u := range g.upstreams.All() {
			for i := range u.cells {
				if c := &u.cells[i]; c.holder == h.no && c.filled.Total() > 0 {
					o.Cells = append(o.Cells, Cell{Upstream: name, Parts: c.filled})
				}
			}
		}
		out = append(out, o)
	}
	return g.handPins(out, now)
}

// TakeOver counts what a former owner has handed over as filled until the
// holder reports or it has ended by time.
func (g *Granter) TakeOver(outstanding []Outstanding, now clock.Millis) {
	for _, o := range outstanding {
		h := g.holder(o.Holder, now)
		if h.asked == 0 {
			for _, c := range o.Cells {
				if u := g.upstreams.Get(c.Upstream); u != nil {
					u.cell(h.no).filled = c.Parts
				}
			}
		}
		for _, p := range o.Pinned {
			g.restorePin(o.Holder, p, now)
		}
	}
}
