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
	remaining []unit.DataCentre // that have not received a pin request yet
	excluded  *route.Upstream   // of the last attempt, or nil
}

// requestPin requests a pinned grant for r on an upstream other than excluded.
// It tries the data centre of the process first.
func (s *EntryScheme) requestPin(r requestIndex, excluded *route.Upstream) {
	pin := pendingPin{request: r, excluded: excluded, remaining: []unit.DataCentre{s.process.DataCentre}}
	for _, dc := range s.sim.header.Deployment.DataCentres {
		if dc != s.process.DataCentre {
			pin.remaining = append(pin.remaining, dc)
		}
	}
	s.requestNextPin(pin)
	s.coordinator.sendPins(s.sim.now.Millis())
}

// requestNextPin prepares a pin request to the next data centre. If none is
// left, it answers the request with its verdict.
func (s *EntryScheme) requestNextPin(pin pendingPin) {
	for len(pin.remaining) > 0 {
		dc := pin.remaining[0]
		pin.remaining = pin.remaining[1:]
		if id := s.coordinator.holder.RequestPin(dc, allUpstreams, s.sim.requests[pin.request].deadline); id != 0 {
			s.pendingPins.Put(id, pin)
			return
		}
	}
	row := &s.sim.requests[pin.request]
	s.sim.answer(pin.request, row.verdict(), -1)
}

// handlePinAnswer sends the request if its pin was granted, and tries the next
// data centre if it was refused. If the grant is on the excluded upstream or
// the request is closed, it abandons the grant and answers the request with its
// verdict.
func (s *EntryScheme) handlePinAnswer(a *slot.PinReply) {
	name, ok := s.coordinator.holder.ApplyPinReply(a)
	pending := s.pendingPins.Get(a.ID)
	if !ok {
		return
	}
	if pending == nil {
		s.coordinator.holder.CancelPin(a.ID)
		return
	}
	pin := *pending
	s.pendingPins.Delete(a.ID)
	switch {
	case name == "":
		s.requestNextPin(pin)
	case s.sim.requests[pin.request].closed || pin.excluded != nil && pin.excluded.Address == name:
		s.coordinator.holder.CancelPin(a.ID)
		row := &s.sim.requests[pin.request]
		s.sim.answer(pin.request, row.verdict(), -1)
	default:
		s.send(pin.request, s.upstreams[name], true)
	}
}

// dropEndedPins abandons the pins of closed requests. If a takeover or the
// deadline has ended the pin of an open request, it tries the next data centre.
func (s *EntryScheme) dropEndedPins(now clock.Millis) {
	var ended []slot.PinID
	for id, pin := range s.pendingPins.All() {
		if s.sim.requests[pin.request].closed || !s.coordinator.holder.HasPin(id) {
			ended = append(ended, id)
		}
	}
	for _, id := range ended {
		pin := *s.pendingPins.Get(id)
		s.pendingPins.Delete(id)
		s.coordinator.holder.CancelPin(id)
		if !s.sim.requests[pin.request].closed {
			s.requestNextPin(pin)
		}
	}
	s.coordinator.sendPins(now)
}
