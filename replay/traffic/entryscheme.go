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

var _ Scheme = (*EntryScheme)(nil)

// EntryScheme runs the decision code of an entry process: the systems of its
// control goroutine, membership, tenures and grants, and the packages queue,
// route and retry in the order of the request path. Use [NewEntryScheme].
type EntryScheme struct {
	sim              *Simulation
	process          *processRow
	loop             *control.Loop
	inbox            []control.Message // applied before the next run of the systems
	chooser          route.Chooser[route.ExpectedTime]
	leavingUpstreams map[unit.Upstream]bool
	queue            queue.Queue[requestIndex]
	upstreams        map[unit.Upstream]*route.Upstream
	slotUses         map[attemptIndex]slotUse
	coordinator      coordinator
	pendingPins      table.Table[slot.PinID, pendingPin]
	pressureDetector queue.PressureDetector
	pressure         bool       // as of the last tick; bulk requests get fewer slots under pressure
	grantedSlots     unit.Slots // granted to this process at the last tick
	bulkInFlight     unit.Slots // bulk attempts in flight
	activeInFlight   int        // urgent and standard attempts in flight
	retryBudget      retry.Budget
	heldSlots        []heldSlot
	handoverSince    Step // when the handover of this leaving process began, after its requests had ended; 0 before
}

const (
	// quickGrantLength is the length of a quick grant. A request with a later
	// deadline needs a pinned grant.
	quickGrantLength = 6 * clock.Second
	// goodbyeDelay is how long a process runs after its requests have ended, so
	// that a successor can take over its tenures.
	goodbyeDelay = 2 * clock.Second
)

// slotUse is the slot that an attempt occupies.
type slotUse struct {
	upstream *route.Upstream
	pinned   bool
}

// heldSlot is a slot that stays occupied after its attempt timed out or broke
// off, because the upstream may still run the request.
type heldSlot struct {
	slotUse
	until clock.Millis
}

// NewEntryScheme returns a scheme for process p that runs the decision code.
func NewEntryScheme(sim *Simulation, p *processRow) Scheme {
	s := &EntryScheme{
		sim: sim, process: p,
		leavingUpstreams: make(map[unit.Upstream]bool),
		slotUses:         make(map[attemptIndex]slotUse),
		upstreams:        make(map[unit.Upstream]*route.Upstream),
	}
	rng := rand.New(rand.NewPCG(uint64(p.index), uint64(p.incarnation)))
	s.chooser.Rand = rng.Uint64
	self := control.Self{Instance: p.Instance(), Host: p.Host, DataCentre: p.DataCentre}
	s.loop = control.New(&sim.clock, self, append([]control.System{s.applyInbox}, control.RouteSystems()...)...)
	s.loop.Connect(discardSink{}, discardSink{}, tenure.DefaultLimits(), nil)
	s.inbox = append(s.inbox, control.SetText{Revision: 1, Text: sim.services})
	s.loop.RunTick()
	s.coordinator.setUp(sim, p)
	s.coordinator.queuedSlots = func(slot.UpstreamSet) unit.Slots { return unit.Slots(s.queue.Len()) }
	s.coordinator.onPinned = s.handlePinAnswer
	s.coordinator.onGranted = s.refreshUpstreams
	s.coordinator.leavingUpstreams = s.leavingUpstreams
	for _, u := range s.sharedTarget().Upstreams {
		s.upstreams[u.Address] = u
		s.coordinator.track(u)
	}
	return s
}

// discardSink discards the messages and records of a control loop. The
// [coordinator] manages the slots instead of the loop.
type discardSink struct{}

// Post discards the message.
func (discardSink) Post(control.Outgoing) {}

// Append discards the record.
func (discardSink) Append(any) {}

func (s *EntryScheme) membershipCoordinator() *coordinator { return &s.coordinator }

// refreshUpstreams makes upstreams with new slots eligible for requests again.
func (s *EntryScheme) refreshUpstreams() {
	for _, u := range s.upstreams {
		u.Refresh()
	}
}

// sharedTarget returns the target of the first service. All services share the
// same upstreams.
func (s *EntryScheme) sharedTarget() *route.Target {
	return s.loop.View().Routes.Targets[s.sim.services.Services[0].Name]
}

// applyInbox applies the queued control messages. It is the first system of the
// loop.
func (s *EntryScheme) applyInbox(state *control.State, now clock.Millis) {
	for _, m := range s.inbox {
		m.Apply(state, now)
	}
	s.inbox = s.inbox[:0]
}

func (s *EntryScheme) target(r requestIndex) *route.Target {
	return s.loop.View().Routes.Targets[s.sim.requests[r].service.Name]
}

// Arrive sends the request if a slot is free and the queue is empty. Otherwise
// it queues the request, or refuses it if the queue does. A long request, or
// one whose deadline is later than the end of a quick grant, requests a pinned
// grant instead.
func (s *EntryScheme) Arrive(r requestIndex) {
	now := s.sim.now.Millis()
	row := &s.sim.requests[r]
	s.retryBudget.CountRequest(now)
	if row.service.Class == service.Long || row.deadline.Sub(now) > quickGrantLength {
		s.requestPin(r, nil)
		return
	}
	if s.queue.Len() == 0 && s.canStart(row) && s.sendToChosen(r, nil) {
		return
	}
	item := &queue.Item[requestIndex]{Class: row.service.Class, Deadline: row.deadline, Value: r}
	if err := s.queue.Offer(item, now, s.capacity(s.target(r).Stats)); err != nil {
		s.sim.answer(r, verdict.Of(err), -1)
	}
}

func (s *EntryScheme) canStart(r *requestRow) bool {
	return r.service.Class != service.Bulk || s.bulkInFlight < s.capacity(nil).BulkSlots
}

// capacity returns the capacity that serves the queue. Stats may be nil.
func (s *EntryScheme) capacity(stats *route.Stats) queue.Capacity {
	c := queue.Capacity{Slots: s.grantedSlots, BulkSlots: queue.BulkSlots(s.grantedSlots, s.pressure)}
	if stats != nil {
		c.ServiceTime = stats.P50().Span()
	}
	return c
}

// sendToChosen takes a slot on an upstream other than last and sends the request
// there. It reports whether it found a slot.
func (s *EntryScheme) sendToChosen(r requestIndex, last *route.Upstream) bool {
	query := route.Query{Now: s.sim.now.Millis(), Deadline: s.sim.requests[r].deadline}
	query.Excluded[0] = last
	upstream, _ := s.chooser.Choose(s.target(r), query)
	if upstream == nil {
		return false
	}
	s.send(r, upstream, false)
	return true
}

func (s *EntryScheme) send(r requestIndex, to *route.Upstream, pinned bool) {
	if !pinned {
		s.countInFlight(r, 1)
	}
	s.slotUses[s.sim.sendAttempt(r, to.Address)] = slotUse{to, pinned}
}

func (s *EntryScheme) countInFlight(r requestIndex, n int) {
	switch s.sim.requests[r].service.Class {
	case service.Bulk:
		s.bulkInFlight += unit.Slots(n)
	case service.Urgent, service.Standard:
		s.activeInFlight += n
	}
}

// AttemptEnded reports the outcome to the control loop, frees the slot, and
// answers the caller or retries the request. If the attempt may have run, the
// slot stays occupied until the upstream has stopped the request.
func (s *EntryScheme) AttemptEnded(a attemptIndex) {
	attempt := &s.sim.attempts[a]
	use := s.slotUses[a]
	delete(s.slotUses, a)
	row := &s.sim.requests[attempt.request]
	now := s.sim.now.Millis()
	s.inbox = append(s.inbox, control.AttemptOutcome{
		Upstream: use.upstream.Address, Service: row.service.Name, Class: row.service.Class,
		Latency: route.Latency(s.sim.now.MillisSince(attempt.sentAt) * 1000),
		Failed:  attempt.outcome != verdict.Ran, InFlight: use.upstream.InFlight(),
	})
	if !use.pinned {
		s.countInFlight(attempt.request, -1)
	}
	if attempt.outcome == verdict.MayHaveRun {
		s.heldSlots = append(s.heldSlots, heldSlot{use, row.deadline.Add(upstreamGrace)})
	} else {
		use.release()
	}
	if row.closed {
		return
	}
	candidate := retry.FailedAttempt{
		Verdict: attempt.outcome, Idempotent: row.Idempotent, Replayable: true, Retries: row.attemptsSent - 1,
		Remaining: row.deadline.Sub(now), ResponseTime: s.target(attempt.request).Stats.P50().Span(),
	}
	if retry.Allowed(candidate) && s.retryBudget.Spend(now) && s.sendAgain(attempt.request, use) {
		return
	}
	if attempt.outcome == verdict.Ran {
		s.sim.answer(attempt.request, verdict.Ran, a)
		return
	}
	s.sim.answer(attempt.request, row.verdict(), -1)
}

// sendAgain retries a request on an upstream other than that of last, and
// reports whether it could. A request with a pinned grant waits for another
// pin.
func (s *EntryScheme) sendAgain(r requestIndex, last slotUse) bool {
	if last.pinned {
		s.requestPin(r, last.upstream)
		return true
	}
	return s.sendToChosen(r, last.upstream)
}

// release frees the slot.
func (a slotUse) release() {
	if a.pinned {
		a.upstream.Pinned.Release()
		a.upstream.Refresh()
		return
	}
	a.upstream.Release()
}

// Step frees the held slots that are due and starts queued requests while slots
// are free.
func (s *EntryScheme) Step() {
	now := s.sim.now.Millis()
	for i := len(s.heldSlots) - 1; i >= 0; i-- {
		if k := s.heldSlots[i]; now > k.until {
			k.release()
			s.heldSlots = append(s.heldSlots[:i], s.heldSlots[i+1:]...)
		}
	}
	for more := s.queue.Len() > 0; more; {
		more = s.startNext(now)
	}
}

// startNext starts, refuses or drops the next queued request. It reports
// whether it removed a request from the queue.
func (s *EntryScheme) startNext(now clock.Millis) bool {
	c := s.capacity(nil)
	if item := s.queue.Unservable(now, c); item != nil {
		s.queue.Remove(item)
		s.sim.answer(item.Value, verdict.DidNotRun, -1)
		return true
	}
	item := s.queue.Next(s.bulkInFlight, c)
	if item == nil {
		return false
	}
	if !s.sim.requests[item.Value].closed && !s.sendToChosen(item.Value, nil) {
		return false
	}
	s.queue.Remove(item)
	return true
}

// Tick runs the systems of the control goroutine once.
func (s *EntryScheme) Tick() {
	now := s.sim.now.Millis()
	for address := range s.sim.announcedLeaving.All() {
		if !s.leavingUpstreams[address] {
			s.leavingUpstreams[address] = true
			s.inbox = append(s.inbox, control.SetLeaving{Upstream: address, Leaving: true})
		}
	}
	s.shutDown()
	s.coordinator.readJournal(now)
	s.coordinator.updateMembership(now)
	s.coordinator.updateTenures(now)
	s.loop.RunTick()
	s.coordinator.runGranters(now)
	s.coordinator.sendDemands(now)
	s.dropEndedPins(now)
	s.refreshUpstreams()
	s.grantedSlots = 0
	for _, u := range s.sharedTarget().Upstreams {
		s.grantedSlots += u.Slots.Used() + u.Slots.Free()
	}
	waiting := s.queue.LenOf(service.Urgent) + s.queue.LenOf(service.Standard)
	s.pressure = s.pressureDetector.Update(now, s.activeInFlight+waiting, waiting)
}

// shutDown advances the graceful shutdown of a leaving process. After all its
// requests have ended, the process hands over its tenures. After goodbyeDelay it
// records a goodbye in the journal and ends.
func (s *EntryScheme) shutDown() {
	if !s.process.leaving || s.sim.hasOpenWork(s.process) {
		return
	}
	if !s.coordinator.node.Leaving {
		s.coordinator.node.Leaving, s.coordinator.holder.Leaving = true, true
		return
	}
	if s.handoverSince == 0 {
		s.handoverSince = s.sim.now
	}
	if s.sim.now-s.handoverSince > stepsOfSpan(goodbyeDelay) {
		s.sim.appendJournal(tenure.JournalRecord{Goodbye: &member.Goodbye{Instance: s.process.Instance()}})
		s.process.up = false
	}
}
