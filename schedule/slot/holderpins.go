package slot

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// pinRetryInterval is the time after which an unanswered pin request is repeated.
const pinRetryInterval = 250 * clock.Millisecond

// RequestPin registers a pin for a request of the set that ends at deadline. It
// returns the id of the pin, or zero if the data centre has no owner.
// [Holder.DuePinRequests] returns the message to send.
func (h *Holder) RequestPin(dc unit.DataCentre, set UpstreamSet, deadline clock.Millis) PinID {
	state := h.grants.Get(dc)
	if state == nil || state.owner == "" {
		return 0
	}
	h.lastPinID++
	h.pins.Put(h.lastPinID, holderPin{dc: dc, epoch: state.epoch, set: set, deadline: deadline})
	return h.lastPinID
}

// DuePinRequests appends to dst the pin requests that are due for the first
// time or for a repetition.
func (h *Holder) DuePinRequests(dst []PinRequest, now clock.Millis) []PinRequest {
	for id, p := range h.pins.All() {
		if p.state != pinRequested || p.lastRequestAt != 0 && now.Sub(p.lastRequestAt) < pinRetryInterval {
			continue
		}
		p.lastRequestAt = max(now, 1)
		dst = append(dst, PinRequest{
			DataCentre: p.dc, Epoch: p.epoch, Holder: h.Self, ID: id, Set: p.set, Remaining: p.deadline.Sub(now),
		})
	}
	return dst
}

// ApplyPinReply applies the reply to a pin request. It returns the upstream,
// which is empty if the pin was refused. It reports false if the reply is for
// another epoch or data centre or the pin is no longer requested.
func (h *Holder) ApplyPinReply(reply *PinReply) (unit.Upstream, bool) {
	p := h.pins.Get(reply.ID)
	state := h.grants.Get(reply.DataCentre)
	if p == nil || p.state != pinRequested || p.dc != reply.DataCentre || state == nil || state.epoch != reply.Epoch || p.epoch != reply.Epoch {
		return "", false
	}
	upstream := h.tracked.Get(reply.Upstream)
	if upstream == nil || upstream.pinned == nil {
		h.pins.Delete(reply.ID)
		return "", true
	}
	p.upstream, p.state = reply.Upstream, pinHeld
	upstream.pins++
	upstream.pinned.Occupy()
	return reply.Upstream, true
}

// CancelPin removes a pin that is no longer needed. The slot of a held pin is
// released.
func (h *Holder) CancelPin(id PinID) {
	p := h.pins.Get(id)
	if p == nil {
		return
	}
	if p.state == pinHeld {
		upstream := h.tracked.Get(p.upstream)
		upstream.pins--
		upstream.pinned.Release()
	}
	h.pins.Delete(id)
}

// HasPin reports whether the pin is requested or held.
func (h *Holder) HasPin(id PinID) bool { return h.pins.Get(id) != nil }
