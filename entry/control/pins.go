package control

import (
	"context"
	"sync/atomic"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/route"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// pendingPin is a request that waits for a pinned grant. The requester and the
// control goroutine compete to set closed. If the requester sets it first, the
// grant isn't used.
type pendingPin struct {
	target    *route.Target
	deadline  clock.Millis
	reply     chan *route.Upstream // receives one value; nil is a refusal
	closed    atomic.Bool
	remaining []unit.DataCentre // data centres that have not been tried yet
}

// GrantPinner obtains pinned grants for long requests from the owners of the data
// centres. It is safe for concurrent use.
type GrantPinner struct{ Loop *Loop }

// Pin waits for a pinned grant on an upstream of t, for a request that ends at
// the deadline. The caller releases the grant through the upstream's Pinned
// counter. Errors have the verdict DidNotRun.
func (p GrantPinner) Pin(ctx context.Context, t *route.Target, deadline clock.Millis) (*route.Upstream, error) {
	pin := &pendingPin{target: t, deadline: deadline, reply: make(chan *route.Upstream, 1)}
	if err := p.Loop.Send(ctx, requestPin{pin}); err != nil {
		return nil, verdict.Refuse("no pinned slot within the deadline")
	}
	var up *route.Upstream
	select {
	case up = <-pin.reply:
	case <-ctx.Done():
		if pin.closed.CompareAndSwap(false, true) {
			return nil, verdict.Refuse("no pinned slot within the deadline")
		}
		up = <-pin.reply
	}
	if up == nil {
		return nil, verdict.Refuse("no pinned slot is free")
	}
	return up, nil
}

// requestPin is the message that requests a pinned grant.
type requestPin struct{ pin *pendingPin }

// Apply requests the grant from the owner of the nearest data centre that has
// upstreams, beginning with the data centre of this process. A process without
// peers takes the slot itself.
func (m requestPin) Apply(s *State, _ clock.Millis) {
	pin := m.pin
	if !s.connected() {
		pin.close(pin.takeLocal())
		return
	}
	requested := map[unit.DataCentre]bool{}
	for _, up := range pin.target.Upstreams {
		if dc := up.DataCentre; !requested[dc] {
			requested[dc] = true
			if dc == s.Self.DataCentre {
				pin.remaining = append([]unit.DataCentre{dc}, pin.remaining...)
			} else {
				pin.remaining = append(pin.remaining, dc)
			}
		}
	}
	s.requestNextPin(pin)
}

// takeLocal takes a pinned slot in a process without peers, which holds all slots
// itself. It returns nil if none is free.
func (pin *pendingPin) takeLocal() *route.Upstream {
	for _, up := range pin.target.Upstreams {
		if up.Pinned.Take(pin.deadline) {
			return up
		}
	}
	return nil
}

// close delivers the result. It returns false if the requester has stopped
// waiting.
func (pin *pendingPin) close(up *route.Upstream) bool {
	if !pin.closed.CompareAndSwap(false, true) {
		return false
	}
	pin.reply <- up
	return true
}

// requestNextPin requests the grant from the next data centre. It refuses the
// request if none is left.
func (s *State) requestNextPin(pin *pendingPin) {
	for len(pin.remaining) > 0 {
		dc := pin.remaining[0]
		pin.remaining = pin.remaining[1:]
		if id := s.holder.RequestPin(dc, slot.UpstreamSet(pin.target.Service.UpstreamSet), pin.deadline); id != 0 {
			s.pendingPins.Put(id, pin)
			s.RequestTick()
			return
		}
	}
	pin.close(nil)
}

// handlePinReply applies the reply of an owner. A grant that no request waits
// for is abandoned.
func (s *State) handlePinReply(reply *slot.PinReply) {
	name, ok := s.holder.ApplyPinReply(reply)
	if !ok {
		return
	}
	entry := s.pendingPins.Get(reply.ID)
	if entry == nil {
		s.holder.CancelPin(reply.ID)
		return
	}
	pin := *entry
	s.pendingPins.Delete(reply.ID)
	if name == "" {
		s.requestNextPin(pin)
		return
	}
	if !pin.close(s.upstreams.Get(name).upstream) {
		s.holder.CancelPin(reply.ID)
	}
}

// retryEndedPins removes the pending pins whose requester has stopped waiting.
// For pins that ended through a takeover or their deadline, it tries the next
// data centre.
func (s *State) retryEndedPins() {
	var ended []slot.PinID
	for id, pin := range s.pendingPins.All() {
		if (*pin).closed.Load() || !s.holder.HasPin(id) {
			ended = append(ended, id)
		}
	}
	for _, id := range ended {
		pin := *s.pendingPins.Get(id)
		s.pendingPins.Delete(id)
		s.holder.CancelPin(id)
		if !pin.closed.Load() {
			s.requestNextPin(pin)
		}
	}
}
