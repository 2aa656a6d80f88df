package traffic

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/retry"
	"mimosadock/schedule/route"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

var _ Scheme = (*Plain[route.RoundRobin])(nil)

// noBound is a number of slots that is never used up.
const noBound unit.Slots = 1 << 20

// Plain is a baseline: each process sends every request at once to the upstream
// of its data centre that the policy prefers, without queues, grants or
// ejection. The policy sees the process's own requests only.
type Plain[P route.Policy[*route.Upstream]] struct {
	world   *World
	process *processRow
	chooser route.Chooser[P]
	target  route.Target
	at      map[attemptIndex]*route.Upstream
}

// NewPlain returns a baseline for process p.
func NewPlain[P route.Policy[*route.Upstream]](w *World, p *processRow) Scheme {
	s := &Plain[P]{world: w, process: p, at: make(map[attemptIndex]*route.Upstream)}
	var local, others []*route.Upstream
	for _, u := range w.header.Deployment.Upstreams {
		up := &route.Upstream{Address: u.Address, DataCentre: u.DataCentre, Slots: new(slot.Counter)}
		up.Slots.Hold(noBound, clock.Never)
		if u.DataCentre == p.DataCentre {
			local = append(local, up)
		} else {
			others = append(others, up)
		}
	}
	s.chooser.SampleSize = len(w.header.Deployment.Upstreams)
	s.target.Groups = []*route.Group{
		route.NewGroup(p.DataCentre, true, 0, local),
		route.NewGroup("", false, 2*clock.Millisecond, others),
	}
	return s
}

// Arrive sends the request.
func (s *Plain[P]) Arrive(r requestIndex) { s.send(r, route.Query{}) }

func (s *Plain[P]) send(r requestIndex, q route.Query) {
	row := &s.world.requests[r]
	t := s.target
	t.Service = row.service
	q.Now, q.Deadline = s.world.now.Millis(), row.deadline
	up, _ := s.chooser.Choose(&t, q)
	if up == nil {
		s.world.answer(r, verdict.DidNotRun, -1)
		return
	}
	s.at[s.world.send(r, up.Address)] = up
}

// Ended answers the caller, or sends the request once more.
func (s *Plain[P]) Ended(a attemptIndex) {
	up := s.at[a]
	delete(s.at, a)
	up.Release()
	attempt := s.world.attempts[a]
	row := &s.world.requests[attempt.request]
	if row.closed {
		return
	}
	again := retry.Attempt{
		Verdict: attempt.outcome, Idempotent: row.Idempotent, Replayable: true, Retries: row.tries - 1,
		Remaining: row.deadline.Sub(s.world.now.Millis()),
	}
	if retry.Allowed(again) {
		s.send(attempt.request, route.Query{Excluded: [route.MaxExcluded]*route.Upstream{up}})
		return
	}
	if attempt.outcome == verdict.Ran {
		s.world.answer(attempt.request, verdict.Ran, a)
		return
	}
	s.world.answer(attempt.request, row.verdict(), -1)
}

// Step does nothing: nothing waits.
func (s *Plain[P]) Step() {}

// Tick does nothing.
func (s *Plain[P]) Tick() {}
