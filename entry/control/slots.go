package control

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/table"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
)

// claimRetryInterval is the time after which a claim with an unknown outcome is
// appended again.
const claimRetryInterval = 2 * clock.Second

// Handover is the message of a leaving owner to its successor. The sender
// grants nothing afterwards.
type Handover struct {
	DataCentre  unit.DataCentre    `json:"dataCentre" cbor:"1,keyasint"`
	Epoch       unit.Epoch         `json:"epoch" cbor:"2,keyasint"`
	Outstanding []slot.Outstanding `json:"outstanding,omitempty" cbor:"3,keyasint,omitempty"`
}

// granterRow is the granter of one data centre with the state of its messages.
type granterRow struct {
	slot.Granter
	unansweredHolders table.Table[unit.Instance, struct{}] // holders whose demand needs a reply in this tick
	handedOver        []slot.Outstanding                   // outstanding grants of the former owner
	lastHandover      clock.Millis                         // time of the last hand-over message to a successor; zero before the first
}

// slotState holds the tables of slot grants, and buffers that are reused in
// each tick.
type slotState struct {
	granters       table.Table[unit.DataCentre, *granterRow]
	holder         slot.Holder
	pendingPins    table.Table[slot.PinID, *pendingPin]
	queuedRequests func(slot.UpstreamSet) unit.Slots
	pinRequests    []slot.PinRequest
	dueClaims      []tenure.Claim
	dataCentres    []unit.DataCentre
}

// Systems returns the systems of hosts, membership, tenure, routes and slots in
// the order in which they run. Grants need the rows of the upstreams, and the
// limits of the routes need the grants.
func Systems() []System {
	return []System{
		HostSystem, MembershipSystem, TenureSystem, UpstreamSystem, GrantSystem, DemandSystem,
		HealthSystem, EjectionSystem, LimitSystem, StatsSystem, RouteSystem,
	}
}

// SetQueuedRequests sets the function that returns the number of requests of a
// set that wait for a slot. The control goroutine calls it. SetQueuedRequests
// must be called before Run.
func (l *Loop) SetQueuedRequests(f func(slot.UpstreamSet) unit.Slots) { l.state.queuedRequests = f }

// trackSlots registers the counters of an upstream with the holder. A process
// without peers holds all slots itself. The slow part of the slots is for pinned
// requests.
func (s *State) trackSlots(row *upstreamRow) {
	if s.connected() {
		s.holder.Track(row.upstream.Address, row.upstream.DataCentre, slot.UpstreamSet(row.set), row.upstream.Slots, row.upstream.Pinned)
		return
	}
	parts := slot.Split(row.slots)
	row.upstream.Slots.Hold(parts.Quick, clock.Never)
	row.upstream.Pinned.Hold(parts.Slow, clock.Never)
}

// TenureSystem confirms the tenures of this process by the promises of all other
// members (see [member.Promise]), claims data centres without a live owner, and
// starts the granters of new tenures.
func TenureSystem(s *State, now clock.Millis) {
	if !s.connected() || s.Text == nil {
		return
	}
	tenure.ConfirmPromises(&s.node.Tenures, &s.node.Members, s.Self.Instance, s.node.Limits, now)
	s.dataCentres = s.dataCentres[:0]
	for i := range s.Text.DataCentres {
		s.dataCentres = append(s.dataCentres, s.Text.DataCentres[i].Name)
	}
	s.dueClaims = s.node.DueClaims(s.dueClaims[:0], s.dataCentres, now, claimRetryInterval)
	for _, c := range s.dueClaims {
		s.records.Append(c)
	}
	for dc, r := range s.node.Tenures.All() {
		if r.Epoch > 0 {
			s.holder.SetOwner(dc, r.Epoch, r.Instance)
		}
		if r.Epoch > 0 && r.Instance == s.Self.Instance {
			r.RecordEnds(&s.node.Members, now)
			s.beginGranter(dc, r, now)
		}
	}
}

// beginGranter starts the granter of a tenure of this process, unless it is
// already started for the epoch. If the previous owner handed over, the granter
// takes over its outstanding grants.
func (s *State) beginGranter(dc unit.DataCentre, r *tenure.Row, now clock.Millis) {
	g := s.ensureGranter(dc)
	if g.Epoch() == r.Epoch {
		return
	}
	g.Limits = s.node.Limits
	g.BeginEpoch(dc, r.Epoch)
	g.unansweredHolders = table.Table[unit.Instance, struct{}]{}
	s.syncGranter(dc, g)
	if n := len(r.FormerOwners); n > 0 && r.FormerOwners[n-1].HandedOver {
		g.TakeOver(g.handedOver, now)
	}
	g.handedOver = nil
}

func (s *State) ensureGranter(dc unit.DataCentre) *granterRow {
	if g := s.granters.Get(dc); g != nil {
		return *g
	}
	return *s.granters.Put(dc, new(granterRow))
}

// syncGranter sets the upstreams of the granter to the current rows of the data
// centre.
func (s *State) syncGranter(dc unit.DataCentre, g *granterRow) {
	for name, row := range s.upstreams.All() {
		if row.upstream.DataCentre != dc {
			continue
		}
		slots := row.slots
		if row.leaving || row.unlisted {
			slots = 0 // no new grants
		}
		g.SetUpstream(name, slot.UpstreamSet(row.set), slots)
	}
}

// ownGranter returns the granter of the data centre and its rights, or nil if
// this process is not the owner. A leaving process has no rights.
func (s *State) ownGranter(dc unit.DataCentre) (*granterRow, tenure.Right) {
	r := s.node.Tenures.Get(dc)
	g := s.granters.Get(dc)
	if r == nil || g == nil || r.Instance != s.Self.Instance || (*g).Epoch() != r.Epoch {
		return nil, tenure.Right{}
	}
	if s.node.Leaving {
		return *g, tenure.Right{}
	}
	start := tenure.TakeoverTimes(r, &s.node.Members, *g, s.node.Limits, s.node.Self.LastReadStart)
	return *g, tenure.RightOf(r, start, s.node.Limits)
}

// GrantSystem divides the slots of the tenures of this process, replies to the
// demands received since the last tick, and hands the tenures over when the
// process leaves.
func GrantSystem(s *State, now clock.Millis) {
	for dc := range s.granters.All() {
		g, right := s.ownGranter(dc)
		if g == nil {
			continue
		}
		for id, m := range s.node.Members.All() {
			if m.Dead {
				g.ShortenPins(id, now)
			}
		}
		s.syncGranter(dc, g)
		g.Tick(now, right)
		for id := range g.unansweredHolders.All() {
			if grants, ok := g.GrantsFor(id, now, right); ok {
				s.post(id, &grants, now)
			}
		}
		g.unansweredHolders = table.Table[unit.Instance, struct{}]{}
		s.appendCleared(dc, right, now)
		s.sendHandover(dc, g, now)
	}
}

// appendCleared appends a claim which records that the rights of all former
// owners have ended, so that a later owner doesn't wait for them.
func (s *State) appendCleared(dc unit.DataCentre, right tenure.Right, now clock.Millis) {
	r := s.node.Tenures.Get(dc)
	if len(r.FormerOwners) > 0 && right.Quick(now) && right.Slow(now) && now.Sub(r.ClearAppendedAt) >= claimRetryInterval {
		r.ClearAppendedAt = now
		s.records.Append(tenure.Claim{DataCentre: dc, Epoch: r.Epoch, Instance: s.Self.Instance, ClearedBelow: r.Epoch})
	}
}

// sendHandover sends the outstanding grants to the successor, repeatedly until
// the successor's claim is read.
func (s *State) sendHandover(dc unit.DataCentre, g *granterRow, now clock.Millis) {
	if !s.node.Leaving || g.lastHandover > 0 && now.Sub(g.lastHandover) < heartbeatInterval {
		return
	}
	r := s.node.Tenures.Get(dc)
	if len(r.FormerOwners) > 0 { // rights of former owners may not have ended, so the granter may lack outstanding grants
		return
	}
	g.lastHandover = max(now, 1)
	if to := s.successor(dc, now); to != "" {
		s.post(to, &Handover{DataCentre: dc, Epoch: r.Epoch, Outstanding: g.OutstandingGrants(now)}, now)
	}
}

// successor returns the live member that takes over the data centre: the first
// one in the data centre by instance, or else the first one anywhere. It
// returns "" if there is none.
func (s *State) successor(dc unit.DataCentre, now clock.Millis) unit.Instance {
	var candidate *member.Row
	for _, m := range s.node.Members.All() {
		if m.Ended() || m.Leaving || m.SilentFor(now) >= s.node.Limits.QuickRight {
			continue
		}
		if candidate == nil || m.DataCentre == dc && candidate.DataCentre != dc ||
			(m.DataCentre == dc) == (candidate.DataCentre == dc) && m.Instance < candidate.Instance {
			candidate = m
		}
	}
	if candidate == nil {
		return ""
	}
	return candidate.Instance
}

// DemandSystem sends the demands and pin requests of this process to the owners.
func DemandSystem(s *State, now clock.Millis) {
	if !s.connected() {
		return
	}
	queued := s.queuedRequests
	if queued == nil {
		queued = func(slot.UpstreamSet) unit.Slots { return 0 }
	}
	s.holder.Observe(now)
	for dc, r := range s.node.Tenures.All() {
		if d, ok := s.holder.NextDemand(dc, now, queued); ok {
			s.post(r.Instance, &d, now)
		}
	}
	s.pinRequests = s.holder.DuePinRequests(s.pinRequests[:0], now)
	for i := range s.pinRequests {
		owner, _ := s.holder.Owner(s.pinRequests[i].DataCentre)
		s.post(owner, &s.pinRequests[i], now)
	}
	s.retryEndedPins()
}

// post sends a message to an instance, which can be this process. Messages to
// unknown or ended members are dropped.
func (s *State) post(to unit.Instance, body any, now clock.Millis) {
	if to == s.Self.Instance {
		PeerMessage{From: to, To: to, Body: body}.Apply(s, now)
		return
	}
	if m := s.node.Members.Get(to); m != nil && !m.Ended() {
		s.peers.Post(Outgoing{To: to, Address: m.Address, Body: body})
	}
}

// Apply applies the message to the tables. It drops messages to a former
// instance that ran at the same address.
func (m PeerMessage) Apply(s *State, now clock.Millis) {
	if !s.connected() || m.To != "" && m.To != s.Self.Instance {
		return
	}
	switch b := m.Body.(type) {
	case *tenure.Heartbeat:
		s.node.Receive(m.From, b, now)
		s.recordRevision(m.From, b.Revision, now)
		for _, address := range b.LeavingHosts {
			HostLeaving{Address: address}.Apply(s, now)
		}
	case *slot.Demand:
		s.handleDemand(m.From, b, now)
	case *slot.Grants:
		s.holder.Apply(b)
	case *slot.PinRequest:
		s.handlePinRequest(m.From, b, now)
	case *slot.PinReply:
		s.handlePinReply(b)
	case *Handover:
		s.handleHandover(m.From, b)
	case Deliverer:
		b.Deliver(s, m.From, now)
	}
}

// mayHoldSlots reports whether from is this process or a member that has not
// ended, so that it may receive slots. With needsJoin, its join record must be
// in the journal. Pinned grants outlast a takeover, so the successor must find
// their holder in the journal.
func (s *State) mayHoldSlots(from unit.Instance, needsJoin bool) bool {
	if from == s.Self.Instance {
		return !needsJoin || s.node.JoinedAt > 0
	}
	m := s.node.Members.Get(from)
	return m != nil && !m.Ended() && (!needsJoin || m.Joined)
}

func (s *State) handleDemand(from unit.Instance, d *slot.Demand, now clock.Millis) {
	g, _ := s.ownGranter(d.DataCentre)
	if g == nil || !s.mayHoldSlots(from, false) {
		return
	}
	d.Holder = from
	if g.RecordDemand(d, now) {
		g.unansweredHolders.Ensure(from)
	}
}

func (s *State) handlePinRequest(from unit.Instance, p *slot.PinRequest, now clock.Millis) {
	g, right := s.ownGranter(p.DataCentre)
	if g == nil || !s.mayHoldSlots(from, true) {
		return
	}
	p.Holder = from
	if reply, ok := g.DecidePin(p, now, right); ok {
		s.post(from, &reply, now)
	}
}

func (s *State) handleHandover(from unit.Instance, h *Handover) {
	r := s.node.Tenures.Get(h.DataCentre)
	if r == nil || r.Epoch != h.Epoch || r.Instance != from || len(r.FormerOwners) > 0 {
		return
	}
	r.HandedOver = true
	s.ensureGranter(h.DataCentre).handedOver = h.Outstanding
}
