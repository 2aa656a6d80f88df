package traffic

import (
	"math/rand/v2"

	"mimosadock/entry/control"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/queue"
	"mimosadock/schedule/retry"
	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/table"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

var _ Scheme = (*Granted)(nil)

// Granted drives the decision code of an entry process: the systems of its
// control goroutine, membership, tenure and grants, and queue, route and retry
// in the order in which the request path asks them. Use [NewGranted].
type Granted struct {
	world     *World
	process   *processRow
	loop      *control.Loop
	inbox     []control.Message // applied before the next run of the systems
	chooser   route.Chooser[route.Cost]
	leaving   map[unit.Upstream]bool
	queue     queue.Queue[requestIndex]
	upstreams map[unit.Upstream]*route.Upstream
	sent      map[attemptIndex]sent
	peer      peer
	pinWaits  table.Table[slot.PinID, pinWait]
	demand    queue.PressureDetector
	pressure  bool
	held      unit.Slots // by this process, at the last tick
	bulk      unit.Slots // in flight
	active    int        // urgent and standard in flight
	budget    retry.Budget
	kept      []kept
	leftAt    Step
}

const (
	// quickGrant is the length of a quick grant; requests with later deadlines
	// are pinned.
	quickGrant = 6 * clock.Second
	// goodbyeAfter is how long a process goes on after its requests have ended,
	// so that a successor takes its tenures over.
	goodbyeAfter = 2 * clock.Second
)

// sent is an attempt with the slot that it has.
type sent struct {
	upstream *route.Upstream
	pinned   bool
}

// kept is a slot that stays taken although the request was given up, since the
// upstream may still run it.
type kept struct {
	sent
	until clock.Millis
}

// NewGranted returns the scheme of process p.
func NewGranted(w *World, p *processRow) Scheme {
	s := &Granted{
		world: w, process: p,
		leaving:   make(map[unit.Upstream]bool),
		sent:      make(map[attemptIndex]sent),
		upstreams: make(map[unit.Upstream]*route.Upstream),
	}
	rng := rand.New(rand.NewPCG(uint64(p.index), uint64(p.life)))
	s.chooser.Rand = rng.Uint64
	self := control.Self{Instance: p.Instance(), Host: p.Host, DataCentre: p.DataCentre}
	s.loop = control.New(&w.clock, self, append([]control.System{s.applyInbox}, control.RouteSystems()...)...)
	s.loop.Connect(elsewhere{}, elsewhere{}, tenure.DefaultLimits(), nil)
	s.inbox = append(s.inbox, control.SetText{Revision: 1, Text: w.text})
	s.loop.RunTick()
	s.peer.open(w, p)
	s.peer.queued = func(slot.Set) unit.Slots { return unit.Slots(s.queue.Len()) }
	s.peer.pinned = s.pinAnswered
	s.peer.granted = s.refresh
	s.peer.leaving = s.leaving
	for _, u := range s.anyTarget().Upstreams {
		s.upstreams[u.Address] = u
		s.peer.track(u)
	}
	return s
}

// elsewhere drops the messages and records of a control loop. It makes the loop
// leave the slots to the peer of this package.
type elsewhere struct{}

// Post drops the message.
func (elsewhere) Post(control.Outgoing) {}

// Append drops the record.
func (elsewhere) Append(any) {}

func (s *Granted) connected() *peer { return &s.peer }

// refresh offers the upstreams to requests again whose slots were changed.
func (s *Granted) refresh() {
	for _, u := range s.upstreams {
		u.Refresh()
	}
}

// anyTarget returns the target of a service; all share their upstreams.
func (s *Granted) anyTarget() *route.Target {
	return s.loop.View().Routes.Targets[s.world.text.Services[0].Name]
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
	s.budget.CountRequest(now)
	if row.service.Class == service.Long || row.deadline.Sub(now) > quickGrant {
		s.pin(r, nil)
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
	return r.service.Class != service.Bulk || s.bulk < s.capacity(nil).BulkSlots
}

// capacity returns what the queue is served with. Stats may be nil.
func (s *Granted) capacity(stats *route.Stats) queue.Capacity {
	c := queue.Capacity{Slots: s.held, BulkSlots: queue.BulkShare(s.held, s.pressure)}
	if stats != nil {
		c.ServiceTime = stats.P50().Span()
	}
	return c
}

// choose takes a slot on another upstream than the last and sends the request.
func (s *Granted) choose(r requestIndex, last *route.Upstream) bool {
	q := route.Query{Now: s.world.now.Millis(), Deadline: s.world.requests[r].deadline}
	q.Excluded[0] = last
	up, _ := s.chooser.Choose(s.target(r), q)
	if up == nil {
		return false
	}
	s.send(r, up, false)
	return true
}

func (s *Granted) send(r requestIndex, to *route.Upstream, pinned bool) {
	if !pinned {
		s.count(r, 1)
	}
	s.sent[s.world.send(r, to.Address)] = sent{to, pinned}
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
	s.inbox = append(s.inbox, control.Outcome{
		Upstream: to.upstream.Address, Service: row.service.Name, Class: row.service.Class,
		Latency: route.Latency(s.world.now.MillisSince(attempt.sent) * 1000),
		Failed:  attempt.outcome != verdict.Ran, InFlight: to.upstream.InFlight(),
	})
	if !to.pinned {
		s.count(attempt.request, -1)
	}
	if attempt.outcome == verdict.MayHaveRun {
		s.kept = append(s.kept, kept{to, row.deadline.Add(upstreamGrace)})
	} else {
		to.release()
	}
	if row.closed {
		return
	}
	again := retry.Attempt{
		Verdict: attempt.outcome, Idempotent: row.Idempotent, Replayable: true, Retries: row.tries - 1,
		Remaining: row.deadline.Sub(now), ResponseTime: s.target(attempt.request).Stats.P50().Span(),
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
func (s *Granted) again(r requestIndex, last sent) bool {
	if last.pinned {
		s.pin(r, last.upstream)
		return true
	}
	return s.choose(r, last.upstream)
}

// release gives the slot back.
func (a sent) release() {
	if a.pinned {
		a.upstream.Pinned.Release()
		a.upstream.Refresh()
		return
	}
	a.upstream.Release()
}

// Step starts what waits, as far as slots are free.
func (s *Granted) Step() {
	now := s.world.now.Millis()
	for i := len(s.kept) - 1; i >= 0; i-- {
		if k := s.kept[i]; now > k.until {
			k.release()
			s.kept = append(s.kept[:i], s.kept[i+1:]...)
		}
	}
	for more := s.queue.Len() > 0; more; {
		more = s.startNext(now)
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
	now := s.world.now.Millis()
	for address := range s.world.listed.All() {
		if !s.leaving[address] {
			s.leaving[address] = true
			s.inbox = append(s.inbox, control.SetLeaving{Upstream: address, Leaving: true})
		}
	}
	s.leave()
	s.peer.read(now)
	s.peer.membership(now)
	s.peer.own(now)
	s.loop.RunTick()
	s.peer.grant(now)
	s.peer.hold(now)
	s.endPins(now)
	s.refresh()
	s.held = 0
	for _, u := range s.anyTarget().Upstreams {
		s.held += u.Slots.Used() + u.Slots.Free()
	}
	waiting := s.queue.LenOf(service.Urgent) + s.queue.LenOf(service.Standard)
	s.pressure = s.demand.Update(now, s.active+waiting, waiting)
}

// leave hands the tenures over once the requests of a process that shuts down
// have ended, and then says goodbye.
func (s *Granted) leave() {
	if !s.process.leaving || s.world.serving(s.process) {
		return
	}
	if !s.peer.node.Leaving {
		s.peer.node.Leaving, s.peer.holder.Leaving = true, true
		return
	}
	if s.leftAt == 0 {
		s.leftAt = s.world.now
	}
	if s.world.now-s.leftAt > stepsIn(goodbyeAfter) {
		s.world.record(tenure.Entry{Goodbye: &member.Goodbye{Instance: s.process.Instance()}})
		s.process.up = false
	}
}
