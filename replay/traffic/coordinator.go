package traffic

import (
	"fmt"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/route"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/table"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
)

// Intervals between repeated messages and records. An entry process uses the
// same values.
const (
	heartbeatInterval = 500 * clock.Millisecond
	claimInterval     = 2 * clock.Second
	joinInterval      = 5 * clock.Second
)

// allUpstreams is the one upstream set of a replay.
const allUpstreams slot.UpstreamSet = "all"

// peer is the part of a process that handles membership, tenures and grants. Its
// systems run over the tables of the packages tenure, member and slot once per
// tick.
type peer struct {
	sim              *Simulation
	process          *processRow
	node             tenure.Node
	holder           slot.Holder
	granters         table.Table[unit.DataCentre, *granterRow]
	lastHeartbeats   table.Table[unit.Instance, clock.Millis] // by receiver; 0 before the first, instant 0 is stored as 1
	lastSeeding      clock.Millis                             // last heartbeats to all processes, which a process without members sends; stored in the same way
	lastJoin         clock.Millis                             // stored in the same way
	journalOffset    int                                      // of the next journal entry to read
	queuedSlots      func(slot.UpstreamSet) unit.Slots
	onPinned         func(*slot.PinReply) // called for the answer to a pin request
	onGranted        func()               // called after grants were applied
	leavingUpstreams map[unit.Upstream]bool
}

// granterRow is the granter of one data centre.
type granterRow struct {
	slot.Granter
	pendingAnswers table.Table[unit.Instance, struct{}] // holders with an unanswered demand
	handedOver     []slot.Outstanding                   // received from the former owner
	lastHandover   clock.Millis                         // 0 before the first; instant 0 is stored as 1
}

// handover is the message of an owner that leaves to its successor. It lists the
// outstanding grants.
type handover struct {
	dataCentre  unit.DataCentre
	epoch       unit.Epoch
	outstanding []slot.Outstanding
}

func (p *peer) setUp(sim *Simulation, row *processRow) {
	p.sim, p.process = sim, row
	p.node.Limits = tenure.DefaultLimits()
	p.node.Self.Identity = member.Identity{
		Instance: row.Instance(), Host: row.Host, DataCentre: row.DataCentre,
		// The platform replaces a host by one with a different address.
		Address: fmt.Sprintf("%s:%d", row.Host, 9000+row.incarnation),
	}
	p.holder.Self = row.Instance()
}

func (p *peer) track(u *route.Upstream) {
	p.holder.Track(u.Address, u.DataCentre, allUpstreams, u.Slots, u.Pinned)
}

// readJournal reads the new entries of the journal. It has no effect while the
// journal is down.
func (p *peer) readJournal(now clock.Millis) {
	if p.sim.journalDown {
		return
	}
	entries := p.sim.journal[p.journalOffset:]
	p.journalOffset = len(p.sim.journal)
	p.node.ApplyJournal(entries, now, true, now)
}

// updateMembership records the join of this process, acknowledges members and
// sends heartbeats. A process without members sends its heartbeats to all other
// processes.
func (p *peer) updateMembership(now clock.Millis) {
	if p.node.JoinedAt == 0 && (p.lastJoin == 0 || now.Sub(p.lastJoin) >= joinInterval) {
		p.lastJoin = max(now, 1)
		identity := p.node.Self.Identity
		p.sim.appendJournal(tenure.JournalRecord{Join: &identity})
	}
	if p.node.IsMember() {
		member.Acknowledge(&p.node.Members, now, tenure.WithClockDrift(p.node.Limits.QuickRight))
	}
	for id, m := range p.node.Members.All() {
		last := p.lastHeartbeats.Ensure(id)
		if m.Ended() || *last > 0 && now.Sub(*last) < heartbeatInterval {
			continue
		}
		*last = max(now, 1)
		b := p.node.NextHeartbeat(m, now)
		p.send(id, &b, now)
	}
	if p.node.Members.Len() > 0 || p.lastSeeding > 0 && now.Sub(p.lastSeeding) < heartbeatInterval {
		return
	}
	p.lastSeeding = max(now, 1)
	for _, other := range p.sim.processes {
		if other != p.process && other.up {
			b := p.node.NextHeartbeat(nil, now)
			p.send(other.Instance(), &b, now)
		}
	}
}

// updateTenures confirms and claims tenures and starts the granters of new
// tenures.
func (p *peer) updateTenures(now clock.Millis) {
	tenure.ConfirmPromises(&p.node.Tenures, &p.node.Members, p.node.Self.Instance, p.node.Limits, now)
	for _, c := range p.node.DueClaims(nil, p.sim.header.Deployment.DataCentres, now, claimInterval) {
		p.sim.appendJournal(tenure.JournalRecord{Claim: &c})
	}
	for dc, r := range p.node.Tenures.All() {
		if r.Epoch == 0 {
			continue
		}
		p.holder.SetOwner(dc, r.Epoch, r.Instance)
		if r.Instance == p.node.Self.Instance {
			p.startGranter(dc, r, now)
		}
	}
}

func (p *peer) ensureGranter(dc unit.DataCentre) *granterRow {
	if g := p.granters.Get(dc); g != nil {
		return *g
	}
	return *p.granters.Put(dc, new(granterRow))
}

func (p *peer) startGranter(dc unit.DataCentre, r *tenure.Row, now clock.Millis) {
	g := p.ensureGranter(dc)
	if g.Epoch() == r.Epoch {
		return
	}
	g.Limits = p.node.Limits
	g.BeginEpoch(dc, r.Epoch)
	g.pendingAnswers = table.Table[unit.Instance, struct{}]{}
	p.syncUpstreams(dc, g)
	if n := len(r.FormerOwners); n > 0 && r.FormerOwners[n-1].HandedOver {
		g.TakeOver(g.handedOver, now)
	}
	g.handedOver = nil
}

// syncUpstreams passes the upstreams of a data centre to its granter. A leaving
// upstream has no slots, so it receives no new grants.
func (p *peer) syncUpstreams(dc unit.DataCentre, g *granterRow) {
	for _, u := range p.sim.header.Deployment.Upstreams {
		slots := u.Slots
		if p.leavingUpstreams[u.Address] {
			slots = 0
		}
		if u.DataCentre == dc {
			g.SetUpstream(u.Address, allUpstreams, slots)
		}
	}
}

// ownedGranter returns the granter of a data centre and its right to grant, or
// nil if this process is not the owner. A process that leaves has no right to
// grant.
func (p *peer) ownedGranter(dc unit.DataCentre) (*granterRow, tenure.Right) {
	r, g := p.node.Tenures.Get(dc), p.granters.Get(dc)
	if r == nil || g == nil || r.Instance != p.node.Self.Instance || (*g).Epoch() != r.Epoch {
		return nil, tenure.Right{}
	}
	if p.node.Leaving {
		return *g, tenure.Right{}
	}
	start := tenure.TakeoverTimes(r, &p.node.Members, *g, p.node.Limits, p.node.Self.LastReadStart)
	return *g, tenure.RightOf(r, start, p.node.Limits)
}

// runGranters divides the slots of the data centres that this process owns and
// answers demands.
func (p *peer) runGranters(now clock.Millis) {
	for dc := range p.granters.All() {
		g, right := p.ownedGranter(dc)
		if g == nil {
			continue
		}
		for id, m := range p.node.Members.All() {
			if m.Dead {
				g.ShortenPins(id, now)
			}
		}
		p.syncUpstreams(dc, g)
		g.Tick(now, right)
		for id := range g.pendingAnswers.All() {
			if answer, ok := g.GrantsFor(id, now, right); ok {
				p.send(id, &answer, now)
			}
		}
		g.pendingAnswers = table.Table[unit.Instance, struct{}]{}
		p.recordClearance(dc, right, now)
		p.sendHandover(dc, g, now)
	}
}

// recordClearance appends a journal record when the rights of all former owners
// have ended.
func (p *peer) recordClearance(dc unit.DataCentre, right tenure.Right, now clock.Millis) {
	r := p.node.Tenures.Get(dc)
	if len(r.FormerOwners) > 0 && right.Quick(now) && right.Slow(now) && now.Sub(r.ClearAppendedAt) >= claimInterval {
		r.ClearAppendedAt = now
		p.sim.appendJournal(tenure.JournalRecord{Claim: &tenure.Claim{DataCentre: dc, Epoch: r.Epoch, Instance: p.node.Self.Instance, ClearedBelow: r.Epoch}})
	}
}

// sendHandover sends the outstanding grants of a data centre to a member there
// if this process leaves. It repeats the message every heartbeatInterval.
func (p *peer) sendHandover(dc unit.DataCentre, g *granterRow, now clock.Millis) {
	r := p.node.Tenures.Get(dc)
	if !p.node.Leaving || len(r.FormerOwners) > 0 || g.lastHandover > 0 && now.Sub(g.lastHandover) < heartbeatInterval {
		return
	}
	g.lastHandover = max(now, 1)
	for id, m := range p.node.Members.All() {
		if !m.Ended() && !m.Leaving && m.DataCentre == dc {
			p.send(id, &handover{dc, r.Epoch, g.OutstandingGrants(now)}, now)
			return
		}
	}
}

// sendDemands sends the demands of this process to the owners, and the pins that
// are due.
func (p *peer) sendDemands(now clock.Millis) {
	p.holder.Observe(now)
	for dc, r := range p.node.Tenures.All() {
		if d, ok := p.holder.NextDemand(dc, now, p.queuedSlots); ok {
			p.send(r.Instance, &d, now)
		}
	}
	p.sendPins(now)
}

// sendPins sends the pin requests that are due to their owners.
func (p *peer) sendPins(now clock.Millis) {
	for _, pin := range p.holder.DuePinRequests(nil, now) {
		owner, _ := p.holder.Owner(pin.DataCentre)
		p.send(owner, &pin, now)
	}
}

// send sends a message to an instance, possibly to this one. If the instance has
// ended, its host refuses the connection, which proves the end of the instance.
func (p *peer) send(to unit.Instance, body any, now clock.Millis) {
	if to == p.node.Self.Instance {
		p.receive(to, body, now)
		return
	}
	receiver := p.sim.processByID(to)
	switch {
	case receiver == nil:
		p.node.Members.MarkDead(to, now)
	case p.sim.peerOf(receiver) != nil:
		from := p.node.Self.Instance
		p.sim.sendMessage(p.process, receiver, func() { p.sim.peerOf(receiver).receive(from, body, p.sim.now.Millis()) })
	}
}

// receive applies a message to the tables.
func (p *peer) receive(from unit.Instance, body any, now clock.Millis) {
	switch message := body.(type) {
	case *tenure.Heartbeat:
		p.node.Receive(from, message, now)
	case *slot.Demand:
		if g, _ := p.ownedGranter(message.DataCentre); g != nil {
			d := *message
			d.Holder = from
			if g.RecordDemand(&d, now) {
				g.pendingAnswers.Ensure(from)
			}
		}
	case *slot.Grants:
		p.holder.Apply(message)
		p.onGranted()
	case *slot.PinRequest:
		if g, right := p.ownedGranter(message.DataCentre); g != nil && p.hasJoined(from) {
			pin := *message
			pin.Holder = from
			if answer, ok := g.DecidePin(&pin, now, right); ok {
				p.send(from, &answer, now)
			}
		}
	case *slot.PinReply:
		p.onPinned(message)
	case *handover:
		r := p.node.Tenures.Get(message.dataCentre)
		if r != nil && r.Epoch == message.epoch && r.Instance == from && len(r.FormerOwners) == 0 {
			r.HandedOver = true
			p.ensureGranter(message.dataCentre).handedOver = message.outstanding
		}
	}
}

// hasJoined reports whether this process has read the join record of an instance
// from the journal and the instance has not ended.
func (p *peer) hasJoined(id unit.Instance) bool {
	if id == p.node.Self.Instance {
		return p.node.JoinedAt > 0
	}
	m := p.node.Members.Get(id)
	return m != nil && !m.Ended() && m.Joined
}
