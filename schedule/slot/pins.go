package slot

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
)

// pinKey identifies a pinned grant.
type pinKey struct {
	holder unit.Instance
	id     PinID
}

// pinRow is a slow slot that is kept for one request.
type pinRow struct {
	upstream unit.Upstream
	end      clock.Millis // when the request has ended on the upstream at the latest
}

// waitingRow is a pin that waits for a slow slot to be given back.
type waitingRow struct {
	set   Set
	until clock.Millis
}

// pinWaitTime is how long a pin counts as waiting after its last repetition.
const pinWaitTime = clock.Second

// Pin decides on a pinned grant. It reports false if the answer has to wait
// until short requests give a slow slot back; the holder repeats the pin.
func (g *Granter) Pin(p *Pin, now clock.Millis, right tenure.Right) (Pinned, bool) {
	out := Pinned{DataCentre: g.dc, Epoch: g.epoch, ID: p.ID}
	if p.DataCentre != g.dc || p.Epoch != g.epoch {
		return out, false
	}
	key := pinKey{p.Holder, p.ID}
	if row := g.pins.Get(key); row != nil {
		out.Upstream = row.upstream
		return out, true
	}
	h := g.holders.Get(p.Holder)
	if h == nil || h.asked == 0 || p.ID <= h.pinSeq && !slices.Contains(h.live, p.ID) {
		return out, true
	}
	if !right.Slow(now) || now.Add(tenure.Allow(p.Remaining)) > right.SlowUntil {
		return out, true
	}
	name, shared := g.pinnable(p.Set)
	if name == "" {
		if shared {
			g.waiting.Put(key, waitingRow{set: p.Set, until: now.Add(pinWaitTime)})
		}
		return out, !shared
	}
	g.restorePin(p.Holder, PinHeld{ID: p.ID, Upstream: name, Remaining: p.Remaining}, now)
	out.Upstream = name
	return out, true
}

// pinnable returns the upstream of the set with the most free slow slots, or
// none and whether short requests hold slow slots that they can give back.
func (g *Granter) pinnable(set Set) (best unit.Upstream, shared bool) {
	most := unit.Slots(0)
	for name, u := range g.upstreams.All() {
		if u.set != set {
			continue
		}
		if f := u.free().Slow; f > most {
			best, most = name, f
		}
		shared = shared || u.pinned < u.slots.Slow
	}
	return best, shared
}

// restorePin counts a pinned grant that exists.
func (g *Granter) restorePin(holder unit.Instance, p PinHeld, now clock.Millis) {
	key := pinKey{holder, p.ID}
	g.waiting.Delete(key)
	u := g.upstreams.Get(p.Upstream)
	if u == nil || g.pins.Get(key) != nil {
		return
	}
	u.pinned++
	g.pins.Put(key, pinRow{upstream: p.Upstream, end: now.Add(g.Limits.Outstanding(p.Remaining))})
}

// settlePins frees the pins that the holder no longer lists. Pins with a later
// id than the demand knew of are kept.
func (g *Granter) settlePins(d *Demand, h *holderRow, now clock.Millis) {
	h.pinSeq, h.live = d.PinSeq, append(h.live[:0], d.Live...)
	for _, p := range d.Pinned {
		g.restorePin(d.Holder, p, now)
	}
	ended := func(k pinKey) bool {
		return k.holder == d.Holder && k.id <= d.PinSeq && !slices.Contains(d.Live, k.id)
	}
	g.dropPins(func(k pinKey, _ *pinRow) bool { return ended(k) })
	g.waiting.DeleteFunc(func(k pinKey, _ *waitingRow) bool { return ended(k) })
}

// Drop shortens the pins of a holder whose death is proven: its connections
// are closed, so the upstreams stop its requests within the grace.
func (g *Granter) Drop(holder unit.Instance, now clock.Millis) {
	end := now.Add(g.Limits.Outstanding(0))
	for k, p := range g.pins.All() {
		if k.holder == holder {
			p.end = min(p.end, end)
		}
	}
}

func (g *Granter) dropPins(drop func(pinKey, *pinRow) bool) {
	g.pins.DeleteFunc(func(k pinKey, p *pinRow) bool {
		if !drop(k, p) {
			return false
		}
		g.upstreams.Get(p.upstream).pinned--
		return true
	})
}

func (g *Granter) handPins(out []Outstanding, now clock.Millis) []Outstanding {
	for k, p := range g.pins.All() {
		i := slices.IndexFunc(out, func(o Outstanding) bool { return o.Holder == k.holder })
		if i < 0 {
			i = len(out)
			out = append(out, Outstanding{Holder: k.holder})
		}
		out[i].Pinned = append(out[i].Pinned, PinHeld{ID: k.id, Upstream: p.upstream, Remaining: max(0, p.end.Sub(now))})
	}
	return out
}
