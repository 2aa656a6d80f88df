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

// grantedPin is a slow slot that is kept for one request.
type grantedPin struct {
	upstream unit.Upstream
	endsAt   clock.Millis // when the request has ended on the upstream at the latest
}

// waitingPin is a pin that waits for a slow slot to be given back.
type waitingPin struct {
	set       Set
	expiresAt clock.Millis
}

// pinWaitTimeout is how long a pin counts as waiting after its last repetition.
const pinWaitTimeout = clock.Second

// Pin decides on a pinned grant. It reports false if the answer has to wait
// until short requests give a slow slot back; the holder repeats the pin.
func (g *Granter) Pin(p *Pin, now clock.Millis, right tenure.Right) (Pinned, bool) {
	out := Pinned{DataCentre: g.dc, Epoch: g.epoch, ID: p.ID}
	if p.DataCentre != g.dc || p.Epoch != g.epoch {
		return out, false
	}
	key := pinKey{p.Holder, p.ID}
	if row := g.grantedPins.Get(key); row != nil {
		out.Upstream = row.upstream
		return out, true
	}
	h := g.holders.Get(p.Holder)
	if h == nil || h.demandSentAt == 0 || p.ID <= h.lastPinID && !slices.Contains(h.openPins, p.ID) {
		return out, true
	}
	if !right.Slow(now) || now.Add(tenure.Allow(p.Remaining)) > right.SlowUntil {
		return out, true
	}
	name, reclaimable := g.pinnableUpstream(p.Set)
	if name == "" {
		if reclaimable {
			g.waitingPins.Put(key, waitingPin{set: p.Set, expiresAt: now.Add(pinWaitTimeout)})
		}
		return out, !reclaimable
	}
	g.addPin(p.Holder, HeldPin{ID: p.ID, Upstream: name, Remaining: p.Remaining}, now)
	out.Upstream = name
	return out, true
}

// pinnableUpstream returns the upstream of the set with the most free slow slots, or
// none and whether short requests hold slow slots that they can give back.
func (g *Granter) pinnableUpstream(set Set) (best unit.Upstream, reclaimable bool) {
	maxFree := unit.Slots(0)
	for name, u := range g.upstreams.All() {
		if u.set != set {
			continue
		}
		if f := u.free().Slow; f > maxFree {
			best, maxFree = name, f
		}
		reclaimable = reclaimable || u.pinned < u.slots.Slow
	}
	return best, reclaimable
}

// addPin counts a pinned grant that exists.
func (g *Granter) addPin(holder unit.Instance, p HeldPin, now clock.Millis) {
	key := pinKey{holder, p.ID}
	g.waitingPins.Delete(key)
	u := g.upstreams.Get(p.Upstream)
	if u == nil || g.grantedPins.Get(key) != nil {
		return
	}
	u.pinned++
	g.grantedPins.Put(key, grantedPin{upstream: p.Upstream, endsAt: now.Add(g.Limits.Outstanding(p.Remaining))})
}

// removeEndedPins frees the pins that the holder no longer lists. Pins with a later
// id than the demand knew of are kept.
func (g *Granter) removeEndedPins(d *Demand, h *holderRow, now clock.Millis) {
	h.lastPinID, h.openPins = d.LastPinID, append(h.openPins[:0], d.OpenPins...)
	for _, p := range d.HeldPins {
		g.addPin(d.Holder, p, now)
	}
	ended := func(k pinKey) bool {
		return k.holder == d.Holder && k.id <= d.LastPinID && !slices.Contains(d.OpenPins, k.id)
	}
	g.removePins(func(k pinKey, _ *grantedPin) bool { return ended(k) })
	g.waitingPins.DeleteFunc(func(k pinKey, _ *waitingPin) bool { return ended(k) })
}

// Drop shortens the pins of a holder whose death is proven: its connections
// are closed, so the upstreams stop its requests within the grace.
func (g *Granter) Drop(holder unit.Instance, now clock.Millis) {
	endsAt := now.Add(g.Limits.Outstanding(0))
	for k, p := range g.grantedPins.All() {
		if k.holder == holder {
			p.endsAt = min(p.endsAt, endsAt)
		}
	}
}

func (g *Granter) removePins(shouldRemove func(pinKey, *grantedPin) bool) {
	g.grantedPins.DeleteFunc(func(k pinKey, p *grantedPin) bool {
		if !shouldRemove(k, p) {
			return false
		}
		g.upstreams.Get(p.upstream).pinned--
		return true
	})
}

func (g *Granter) appendHeldPins(out []Outstanding, now clock.Millis) []Outstanding {
	for k, p := range g.grantedPins.All() {
		i := slices.IndexFunc(out, func(o Outstanding) bool { return o.Holder == k.holder })
		if i < 0 {
			i = len(out)
			out = append(out, Outstanding{Holder: k.holder})
		}
		out[i].HeldPins = append(out[i].HeldPins, HeldPin{ID: k.id, Upstream: p.upstream, Remaining: max(0, p.endsAt.Sub(now))})
	}
	return out
}
