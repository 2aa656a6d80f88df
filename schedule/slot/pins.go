package slot

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
)

// pinKey identifies a pinned grant or a request for one.
type pinKey struct {
	holder unit.Instance
	id     PinID
}

// grantedPin is a slow slot that is reserved for one request.
type grantedPin struct {
	upstream unit.Upstream
	endsAt   clock.Millis // latest instant at which the request can run on the upstream
}

// waitingPin is a requested pin that waits until a holder returns a slow slot.
type waitingPin struct {
	set       UpstreamSet
	expiresAt clock.Millis
}

// pinWaitTimeout is how long a pin counts as waiting after the last request for it.
const pinWaitTimeout = clock.Second

// DecidePin decides on a request for a pinned grant and returns the reply. It
// reports false if there is no reply to send: the request is for another data
// centre or epoch, or it has to wait until unpinned requests return a slow
// slot. The holder repeats the request. A repeated request for a granted pin
// gets the same upstream.
//
// A pin is refused if the holder has sent no demand or has ended the pin, if the
// request outlasts the right to grant slow slots, or if all slow slots of the
// set are pinned.
func (g *Granter) DecidePin(p *PinRequest, now clock.Millis, right tenure.Right) (PinReply, bool) {
	out := PinReply{DataCentre: g.dc, Epoch: g.epoch, ID: p.ID}
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
	if !right.Slow(now) || now.Add(tenure.WithClockDrift(p.Remaining)) > right.SlowUntil {
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

// pinnableUpstream returns the upstream of the set with the most free slow
// slots, or an empty name if there are none. reclaimable reports whether
// unpinned requests hold slow slots of the set that can be reclaimed.
func (g *Granter) pinnableUpstream(set UpstreamSet) (best unit.Upstream, reclaimable bool) {
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

// addPin records a pinned grant and counts its slot as used. It does nothing if
// the pin is already recorded or the upstream is unknown.
func (g *Granter) addPin(holder unit.Instance, p HeldPin, now clock.Millis) {
	key := pinKey{holder, p.ID}
	g.waitingPins.Delete(key)
	u := g.upstreams.Get(p.Upstream)
	if u == nil || g.grantedPins.Get(key) != nil {
		return
	}
	u.pinned++
	g.grantedPins.Put(key, grantedPin{upstream: p.Upstream, endsAt: now.Add(g.Limits.ReleaseDelay(p.Remaining))})
}

// reconcilePins records the pins that the demand lists as held and frees the
// pins of the holder that the demand no longer lists. It keeps pins whose id is
// higher than d.LastPinID, because they were requested after the demand was
// sent.
func (g *Granter) reconcilePins(d *Demand, h *holderRow, now clock.Millis) {
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

// ShortenPins shortens the pins of a holder that is proven dead. Its
// connections are closed, so the upstreams stop its requests within the grace
// time.
func (g *Granter) ShortenPins(holder unit.Instance, now clock.Millis) {
	endsAt := now.Add(g.Limits.ReleaseDelay(0))
	for k, p := range g.grantedPins.All() {
		if k.holder == holder {
			p.endsAt = min(p.endsAt, endsAt)
		}
	}
}

// removePins frees the pins that shouldRemove selects.
func (g *Granter) removePins(shouldRemove func(pinKey, *grantedPin) bool) {
	g.grantedPins.DeleteFunc(func(k pinKey, p *grantedPin) bool {
		if !shouldRemove(k, p) {
			return false
		}
		g.upstreams.Get(p.upstream).pinned--
		return true
	})
}

// appendHeldPins adds the granted pins to the entries of their holders in out.
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
