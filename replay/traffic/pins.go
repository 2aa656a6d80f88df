package traffic

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/route"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/unit"
)

// pendingPin is a request that waits for a pinned grant.
type pendingPin struct {
	request   requestIndex
	remaining []unit.DataCentre // still to be asked
	excluded  *route.Upstream   // had the last attempt
}

// requestPin asks for a pinned grant, in the own data centre first.
func (s *EntryScheme) requestPin(r requestIndex, excluded *route.Upstream) {
	pin := pendingPin{request: r, excluded: excluded, remaining: []unit.DataCentre{s.process.DataCentre}}
	for _, dc := range s.sim.header.Deployment.DataCentres {
		if dc != s.process.DataCentre {
			pin.remaining = append(pin.remaining, dc)
		}
	}
	s.requestNextPin(pin)
	s.peer.sendPins(s.sim.now.Millis())
}

// requestNextPin asks the next data centre, or refuses the request if none is left.
func (s *EntryScheme) requestNextPin(pin pendingPin) {
	for len(pin.remaining) > 0 {
		dc := pin.remaining[0]
		pin.remaining = pin.remaining[1:]
		if id := s.peer.holder.Ask(dc, allUpstreams, s.sim.requests[pin.request].deadline); id != 0 {
			s.pendingPins.Put(id, pin)
			return
		}
	}
	row := &s.sim.requests[pin.request]
	s.sim.answer(pin.request, row.verdict(), -1)
}

// handlePinAnswer sends a request whose pin was granted, and asks another data
// centre for one that was refused.
func (s *EntryScheme) handlePinAnswer(a *slot.Pinned) {
	name, ok := s.peer.holder.Answered(a)
	pending := s.pendingPins.Get(a.ID)
	if !ok {
		return
	}
	if pending == nil {
		s.peer.holder.Abandon(a.ID)
		return
	}
	pin := *pending
	s.pendingPins.Delete(a.ID)
	switch {
	case name == "":
		s.requestNextPin(pin)
	case s.sim.requests[pin.request].closed || pin.excluded != nil && pin.excluded.Address == name:
		s.peer.holder.Abandon(a.ID)
		row := &s.sim.requests[pin.request]
		s.sim.answer(pin.request, row.verdict(), -1)
	default:
		s.send(pin.request, s.upstreams[name], true)
	}
}

// dropEndedPins drops the pins of requests that have ended, and asks another data
// centre for those that a takeover or their deadline has ended.
func (s *EntryScheme) dropEndedPins(now clock.Millis) {
	var ended []slot.PinID
	for id, pin := range s.pendingPins.All() {
		if s.sim.requests[pin.request].closed || !s.peer.holder.Open(id) {
			ended = append(ended, id)
		}
	}
	for _, id := range ended {
		pin := *s.pendingPins.Get(id)
		s.pendingPins.Delete(id)
		s.peer.holder.Abandon(id)
		if !s.sim.requests[pin.request].closed {
			s.requestNextPin(pin)
		}
	}
	s.peer.sendPins(now)
}
