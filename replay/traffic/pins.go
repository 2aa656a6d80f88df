package traffic

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/route"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/unit"
)

// pinWait is a request that waits for a pinned grant.
type pinWait struct {
	request requestIndex
	centres []unit.DataCentre // still to be asked
	except  *route.Upstream   // had the last attempt
}

// pin asks for a pinned grant, in the own data centre first.
func (s *Granted) pin(r requestIndex, except *route.Upstream) {
	w := pinWait{request: r, except: except, centres: []unit.DataCentre{s.process.DataCentre}}
	for _, dc := range s.world.header.Deployment.DataCentres {
		if dc != s.process.DataCentre {
			w.centres = append(w.centres, dc)
		}
	}
	s.askNext(w)
	s.peer.ask(s.world.now.Millis())
}

// askNext asks the next data centre, or refuses the request if none is left.
func (s *Granted) askNext(w pinWait) {
	for len(w.centres) > 0 {
		dc := w.centres[0]
		w.centres = w.centres[1:]
		if id := s.peer.holder.RequestPin(dc, allUpstreams, s.world.requests[w.request].deadline); id != 0 {
			s.pinWaits.Put(id, w)
			return
		}
	}
	row := &s.world.requests[w.request]
	s.world.answer(w.request, row.verdict(), -1)
}

// pinAnswered sends a request whose pin was granted, and asks another data
// centre for one that was refused.
func (s *Granted) pinAnswered(a *slot.PinReply) {
	name, ok := s.peer.holder.ApplyPinReply(a)
	wait := s.pinWaits.Get(a.ID)
	if !ok {
		return
	}
	if wait == nil {
		s.peer.holder.CancelPin(a.ID)
		return
	}
	w := *wait
	s.pinWaits.Delete(a.ID)
	switch {
	case name == "":
		s.askNext(w)
	case s.world.requests[w.request].closed || w.except != nil && w.except.Address == name:
		s.peer.holder.CancelPin(a.ID)
		row := &s.world.requests[w.request]
		s.world.answer(w.request, row.verdict(), -1)
	default:
		s.send(w.request, s.upstreams[name], true)
	}
}

// endPins drops the pins of requests that have ended, and asks another data
// centre for those that a takeover or their deadline has ended.
func (s *Granted) endPins(now clock.Millis) {
	var ended []slot.PinID
	for id, w := range s.pinWaits.All() {
		if s.world.requests[w.request].closed || !s.peer.holder.HasPin(id) {
			ended = append(ended, id)
		}
	}
	for _, id := range ended {
		w := *s.pinWaits.Get(id)
		s.pinWaits.Delete(id)
		s.peer.holder.CancelPin(id)
		if !s.world.requests[w.request].closed {
			s.askNext(w)
		}
	}
	s.peer.ask(now)
}
