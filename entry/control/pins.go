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

// pinWait is a request that waits for a pinned grant. The side that closes it
// first decides whether the grant is used.
type pinWait struct {
	target   *route.Target
	deadline clock.Millis
	answer   chan *route.Upstream // one value; nil is a refusal
	closed   atomic.Bool
	centres  []unit.DataCentre // still to be asked
}

// Pinner gets pinned grants for long requests. Use it from any goroutine.
type Pinner struct{ Loop *Loop }

// Pin waits for a pinned grant on an upstream of t for a request that ends at
// deadline. The caller releases it through the upstream's Pinned counter.
// Errors have the verdict DidNotRun.
func (p Pinner) Pin(ctx context.Context, t *route.Target, deadline clock.Millis) (*route.Upstream, error) {
	w := &pinWait{target: t, deadline: deadline, answer: make(chan *route.Upstream, 1)}
	if err := p.Loop.Send(ctx, askPin{w}); err != nil {
		return nil, verdict.Refuse("no pinned slot within the deadline")
	}
	var up *route.Upstream
	select {
	case up = <-w.answer:
	case <-ctx.Done():
		if w.closed.CompareAndSwap(false, true) {
			return nil, verdict.Refuse("no pinned slot within the deadline")
		}
		up = <-w.answer
	}
	if up == nil {
		return nil, verdict.Refuse("no pinned slot is free")
	}
	return up, nil
}

// askPin asks for a pinned grant.
type askPin struct{ wait *pinWait }

// Apply asks the owner of the nearest data centre that has upstreams.
func (m askPin) Apply(s *State, _ clock.Millis) {
	w := m.wait
	if !s.connected() {
		w.close(w.local())
		return
	}
	seen := map[unit.DataCentre]bool{}
	for _, up := range w.target.Upstreams {
		if dc := up.DataCentre; !seen[dc] {
			seen[dc] = true
			if dc == s.Self.DataCentre {
				w.centres = append([]unit.DataCentre{dc}, w.centres...)
			} else {
				w.centres = append(w.centres, dc)
			}
		}
	}
	s.askNext(w)
}

// local takes a slow slot of a process that holds all slots itself.
func (w *pinWait) local() *route.Upstream {
	for _, up := range w.target.Upstreams {
		if up.Pinned.Take(w.deadline) {
			return up
		}
	}
	return nil
}

// close delivers the outcome and reports whether the request still waited.
func (w *pinWait) close(up *route.Upstream) bool {
	if !w.closed.CompareAndSwap(false, true) {
		return false
	}
	w.answer <- up
	return true
}

// askNext asks the next data centre, or refuses if none is left.
func (s *State) askNext(w *pinWait) {
	for len(w.centres) > 0 {
		dc := w.centres[0]
		w.centres = w.centres[1:]
		if id := s.holder.Ask(dc, slot.Set(w.target.Service.UpstreamSet), w.deadline); id != 0 {
			s.pinWaits.Put(id, w)
			s.Urge()
			return
		}
	}
	w.close(nil)
}

// pinned applies the answer of an owner.
func (s *State) pinned(a *slot.Pinned) {
	name, ok := s.holder.Answered(a)
	if !ok {
		return
	}
	wait := s.pinWaits.Get(a.ID)
	if wait == nil {
		s.holder.Abandon(a.ID)
		return
	}
	w := *wait
	s.pinWaits.Delete(a.ID)
	if name == "" {
		s.askNext(w)
		return
	}
	if !w.close(s.upstreams.Get(name).upstream) {
		s.holder.Abandon(a.ID)
	}
}

// refuseClosedPins drops the pins whose request has given up, and asks another
// data centre for those that a takeover or their deadline has ended.
func (s *State) refuseClosedPins() {
	var ended []slot.PinID
	for id, w := range s.pinWaits.All() {
		if (*w).closed.Load() || !s.holder.Open(id) {
			ended = append(ended, id)
		}
	}
	for _, id := range ended {
		w := *s.pinWaits.Get(id)
		s.pinWaits.Delete(id)
		s.holder.Abandon(id)
		if !w.closed.Load() {
			s.askNext(w)
		}
	}
}
