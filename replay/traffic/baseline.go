package traffic

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/retry"
	"mimosadock/schedule/route"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

var _ Scheme = (*Baseline[route.RoundRobin])(nil)

// unlimitedSlots is a number of slots that a replay never exhausts.
const unlimitedSlots unit.Slots = 1 << 20

// Baseline is a plain scheme for comparison with the decision code. Each process
// immediately sends every request to the upstream of its data centre that the
// policy chooses. There are no queues, grants or ejections. The policy uses only
// the in-flight requests of its own process.
type Baseline[P route.Policy[*route.Upstream]] struct {
	sim       *Simulation
	process   *processRow
	chooser   route.Chooser[P]
	target    route.Target
	upstreams map[attemptIndex]*route.Upstream
}

// NewBaseline returns a baseline scheme for process p.
func NewBaseline[P route.Policy[*route.Upstream]](sim *Simulation, p *processRow) Scheme {
	s := &Baseline[P]{sim: sim, process: p, upstreams: make(map[attemptIndex]*route.Upstream)}
	var local, others []*route.Upstream
	for _, u := range sim.header.Deployment.Upstreams {
		up := &route.Upstream{Address: u.Address, DataCentre: u.DataCentre, Slots: new(slot.Counter)}
		up.Slots.Hold(unlimitedSlots, clock.Never)
		if u.DataCentre == p.DataCentre {
			local = append(local, up)
		} else {
			others = append(others, up)
		}
	}
	s.chooser.SampleSize = len(sim.header.Deployment.Upstreams)
	s.target.Groups = []*route.Group{
		route.NewGroup(p.DataCentre, true, 0, local),
		route.NewGroup("", false, 2*clock.Millisecond, others),
	}
	return s
}

// Arrive sends the request immediately.
func (s *Baseline[P]) Arrive(r requestIndex) { s.send(r, route.Query{}) }

func (s *Baseline[P]) send(r requestIndex, q route.Query) {
	row := &s.sim.requests[r]
	t := s.target
	t.Service = row.service
	q.Now, q.Deadline = s.sim.now.Millis(), row.deadline
	up, _ := s.chooser.Choose(&t, q)
	if up == nil {
		s.sim.answer(r, verdict.DidNotRun, -1)
		return
	}
	s.upstreams[s.sim.sendAttempt(r, up.Address)] = up
}

// AttemptEnded answers the caller or retries the request on another upstream.
func (s *Baseline[P]) AttemptEnded(a attemptIndex) {
	up := s.upstreams[a]
	delete(s.upstreams, a)
	up.Release()
	attempt := s.sim.attempts[a]
	row := &s.sim.requests[attempt.request]
	if row.closed {
		return
	}
	candidate := retry.FailedAttempt{
		Verdict: attempt.outcome, Idempotent: row.Idempotent, Replayable: true, Retries: row.attemptsSent - 1,
		Remaining: row.deadline.Sub(s.sim.now.Millis()),
	}
	if retry.Allowed(candidate) {
		s.send(attempt.request, route.Query{Excluded: [route.MaxExcluded]*route.Upstream{up}})
		return
	}
	if attempt.outcome == verdict.Ran {
		s.sim.answer(attempt.request, verdict.Ran, a)
		return
	}
	s.sim.answer(attempt.request, row.verdict(), -1)
}

// Step does nothing because no request waits.
func (s *Baseline[P]) Step() {}

// Tick does nothing because a baseline has no control systems.
func (s *Baseline[P]) Tick() {}
