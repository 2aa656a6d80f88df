package traffic

import (
	"math/rand/v2"

	"mimosadock/entry/control"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/queue"
	"mimosadock/schedule/retry"
	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

var _ Scheme = (*Granted)(nil)

// Granted drives the decision code of an entry process: the systems of its
// control goroutine, and queue, route and retry in the order in which the
// request path asks them. Use [NewGranted].
type Granted struct {
	world    *World
	process  *processRow
	loop     *control.Loop
	inbox    []control.Message // applied before the next run of the systems
	chooser  route.Chooser[route.Cost]
	leaving  map[unit.Upstream]bool
	queue    queue.Queue[requestIndex]
	sent     map[attemptIndex]*route.Upstream
	long     []requestIndex // wait for a pinned slot
	demand   queue.Demand
	pressure bool
	held     unit.Slots // by this process, at the last tick
	bulk     unit.Slots // in flight
	active   int        // urgent and standard in flight
	budget   retry.Budget
	kept     []kept
}

// kept is a slot that stays taken although the request was given up, since the
// upstream may still run it.
type kept struct {
	until    clock.Millis
	upstream *route.Upstream
	long     bool
}

// NewGranted returns the scheme of process p.
func NewGranted(w *World, p *processRow) Scheme {
	s := &Granted{
		world: w, process: p,
		leaving: make(map[unit.Upstream]bool),
		sent:    make(map[attemptIndex]*route.Upstream),
	}
	rng := rand.New(rand.NewPCG(uint64(p.index), uint64(p.life)))
	s.chooser.Rand = rng.Uint64
	self := control.Self{Instance: p.Instance(), Host: p.Host, DataCentre: p.DataCentre}
	s.loop = control.New(&w.clock, self, append([]control.System{s.applyInbox}, control.RouteSystems()...)...)
	s.inbox = append(s.inbox, control.SetText{Revision: 1, Text: w.text})
	s.Tick()
	return s
}

// applyInbox is the first system of the loop.
func (s *Granted) applyInbox(state *control.State, now clock.Millis) {
	for _, m := range s.inbox {
		m.Apply(state, now)
	}
	s.inbox = s.inbox[:0]
}

func (s *Granted) target(r requestIndex) *route.Target {
	return s.loop.View().Routes.Targets[s.world.requests[r].service.Name]
}

// Arrive sends the request if a slot is free and nothing is before it, and lets
// it wait otherwise.
func (s *Granted) Arrive(r requestIndex) {
	now := s.world.now.Millis()
	row := &s.world.requests[r]
	s.budget.Request(now)
	if row.service.Class == service.Long {
		s.long = append(s.long, r)
		return
	}
	if s.queue.Len() == 0 && s.mayStart(row) && s.choose(r, nil) {
		return
	}
	item := &queue.Item[requestIndex]{Class: row.service.Class, Deadline: row.deadline, Value: r}
	if err := s.queue.Offer(item, now, s.capacity(s.target(r).Stats)); err != nil {
		s.world.answer(r, verdict.Of(err), -1)
	}
}

func (s *Granted) mayStart(r *requestRow) bool {
	return r.service.Class != service.Bulk || s.bulk < s.capacity(nil).Bulk
}

// capacity returns what the queue is served with. Stats may be nil.
func (s *Granted) capacity(stats *route.Stats) queue.Capacity {
	c := queue.Capacity{Slots: s.held, Bulk: queue.BulkShare(s.held, s.pressure)}
	if stats != nil {
		c.Service = stats.P50().Span()
	}
	return c
}

// choose takes a slot on another upstream than the last and sends the request.
func (s *Granted) choose(r requestIndex, last *route.Upstream) bool {
	q := route.Query{Now: s.world.now.Millis(), Deadline: s.world.requests[r].deadline}
	q.Except[0] = last
	up, _ := s.chooser.Choose(s.target(r), q)
	if up == nil {
		return false
	}
	s.send(r, up)
	return true
}

func (s *Granted) send(r requestIndex, to *route.Upstream) {
	s.count(r, 1)
	s.sent[s.world.send(r, to.Address)] = to
}

func (s *Granted) count(r requestIndex, n int) {
	switch s.world.requests[r].service.Class {
	case service.Bulk:
		s.bulk += unit.Slots(n)
	case service.Urgent, service.Standard:
		s.active += n
	}
}

// Ended reports what was seen of the upstream, frees the slot, and answers the
// caller or sends the request again.
func (s *Granted) Ended(a attemptIndex) {
	attempt := &s.world.attempts[a]
	to := s.sent[a]
	delete(s.sent, a)
	row := &s.world.requests[attempt.request]
	now := s.world.now.Millis()
	long := row.service.Class == service.Long
	s.inbox = append(s.inbox, control.Outcome{
		Upstream: to.Address, Service: row.service.Name, Class: row.service.Class,
		Latency: route.Latency(s.world.now.MillisSince(attempt.sent) * 1000),
		Failed:  attempt.outcome != verdict.Ran, InFlight: to.InFlight(),
	})
	s.count(attempt.request, -1)
	if attempt.outcome == verdict.MayHaveRun {
		s.kept = append(s.kept, kept{until: row.deadline.Add(upstreamGrace), upstream: to, long: long})
	} else {
		release(to, long)
	}
	if row.closed {
		return
	}
	again := retry.Attempt{
		Verdict: attempt.outcome, Idempotent: row.Idempotent, Replayable: true, Retries: row.tries - 1,
		Remaining: row.deadline.Sub(now), Service: s.target(attempt.request).Stats.P50().Span(),
	}
	if retry.Allowed(again) && s.budget.Spend(now) && s.again(attempt.request, to) {
		return
	}
	if attempt.outcome == verdict.Ran {
		s.world.answer(attempt.request, verdict.Ran, a)
		return
	}
	s.world.answer(attempt.request, row.verdict(), -1)
}

// again sends a request to another upstream than the last.
func (s *Granted) again(r requestIndex, last *route.Upstream) bool {
	if s.world.requests[r].service.Class == service.Long {
		return s.pin(r)
	}
	return s.choose(r, last)
}

func release(u *route.Upstream, long bool) {
	if long {
		u.Pinned.Release()
		u.Refresh()
		return
	}
	u.Release()
}

// pin takes a slow slot for a long request.
func (s *Granted) pin(r requestIndex) bool {
	var best *route.Upstream
	for _, u := range s.target(r).Upstreams {
		if u.Pinned.Free() > 0 && (best == nil || u.Pinned.Free() > best.Pinned.Free()) {
			best = u
		}
	}
	if best == nil || !best.Pinned.Take(s.world.requests[r].deadline) {
		return false
	}
	s.send(r, best)
	return true
}

// Step starts what waits, as far as slots are free.
func (s *Granted) Step() {
	now := s.world.now.Millis()
	for i := len(s.kept) - 1; i >= 0; i-- {
		if k := s.kept[i]; now > k.until {
			release(k.upstream, k.long)
			s.kept = append(s.kept[:i], s.kept[i+1:]...)
		}
	}
	s.startLong()
	for more := s.queue.Len() > 0; more; {
		more = s.startNext(now)
	}
}

func (s *Granted) startLong() {
	for len(s.long) > 0 {
		r := s.long[0]
		if !s.world.requests[r].closed && !s.pin(r) {
			return
		}
		s.long = s.long[1:]
	}
}

// startNext starts, refuses or drops the next request that waits, and reports
// whether there was one to handle.
func (s *Granted) startNext(now clock.Millis) bool {
	c := s.capacity(nil)
	if item := s.queue.Expired(now, c); item != nil {
		s.queue.Remove(item)
		s.world.answer(item.Value, verdict.DidNotRun, -1)
		return true
	}
	item := s.queue.Next(s.bulk, c)
	if item == nil {
		return false
	}
	if !s.world.requests[item.Value].closed && !s.choose(item.Value, nil) {
		return false
	}
	s.queue.Remove(item)
	return true
}

// Tick runs the systems of the control goroutine.
func (s *Granted) Tick() {
	for address := range s.world.listed.All() {
		if !s.leaving[address] {
			s.leaving[address] = true
			s.inbox = append(s.inbox, control.SetLeaving{Upstream: address, Leaving: true})
		}
	}
	s.loop.Step()
	s.split()
	s.held = 0
	for _, u := range s.local() {
		s.held += u.Slots.Used() + u.Slots.Free()
	}
	waiting := s.queue.LenOf(service.Urgent) + s.queue.LenOf(service.Standard)
	s.pressure = s.demand.Update(s.world.now.Millis(), s.active+waiting, waiting)
}

func (s *Granted) local() []*route.Upstream {
	for _, t := range s.loop.View().Routes.Targets {
		return t.Groups[0].Upstreams()
	}
	return nil
}

// split divides the slots of each upstream evenly over the processes of its
// data centre.
func (s *Granted) split() {
	share := map[unit.DataCentre]unit.Slots{}
	for _, p := range s.world.processes {
		share[p.DataCentre]++
	}
	slots := s.world.header.Deployment.Upstreams[0].Slots
	for _, t := range s.loop.View().Routes.Targets {
		for _, u := range t.Upstreams {
			n := slots / share[u.DataCentre]
			if u.DataCentre != s.process.DataCentre {
				n = 0
			}
			u.Slots.Hold(n-n/2, clock.Never)
			u.Pinned.Hold(n/2, clock.Never)
			u.Refresh()
		}
	}
}
