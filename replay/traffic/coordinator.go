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

// coordinator is the part of a process that handles membership, tenures and
// grants. Its systems run over the tables of the packages tenure, member and slot
// once per tick.
type coordinator struct {
	sim              *Simulation
	process          *processRow
	node             tenure.Node
	holder           slot.Holder
	granters         table.Table[unit.DataCentre, *granterRow]
	lastHeartbeats   table.Table[unit.Instance, clock.Millis] // by receiver; 0 before the first, instant 0 is stored as 1
	lastBroadcast    clock.Millis                             // of heartbeats to all processes, sent while this process had no members; stored in the same way
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

// handover is the message of a leaving owner to its successor. It lists the
// outstanding grants.
type handover struct {
	dataCentre  unit.DataCentre
	epoch       unit.Epoch
	outstanding []slot.Outstanding
}

func (c *coordinator) setUp(sim *Simulation, row *processRow) {
	c.sim, c.process = sim, row
	c.node.Limits = tenure.DefaultLimits()
	c.node.Self.Identity = member.Identity{
		Instance: row.Instance(), Host: row.Host, DataCentre: row.DataCentre,
		// The platform replaces a host by one with a different address.
		Address: fmt.Sprintf("%s:%d", row.Host, 9000+row.incarnation),
	}
	c.holder.Self = row.Instance()
}

func (c *coordinator) track(u *route.Upstream) {
	c.holder.Track(u.Address, u.DataCentre, allUpstreams, u.Slots, u.Pinned)
}

// readJournal reads the new entries of the journal. It has no effect while the
// journal is down.
func (c *coordinator) readJournal(now clock.Millis) {
	if c.sim.journalDown {
		return
	}
	entries := c.sim.journal[c.journalOffset:]
	c.journalOffset = len(c.sim.journal)
	c.node.ApplyJournal(entries, now, true, now)
}

// updateMembership records the join of this process, acknowledges members and
// sends heartbeats. A process without members sends its heartbeats to all other
// processes.
func (c *coordinator) updateMembership(now clock.Millis) {
	if c.node.JoinedAt == 0 && (c.lastJoin == 0 || now.Sub(c.lastJoin) >= joinInterval) {
		c.lastJoin = max(now, 1)
		identity := c.node.Self.Identity
		c.sim.appendJournal(tenure.JournalRecord{Join: &identity})
	}
	if c.node.IsMember() {
		member.Acknowledge(&c.node.Members, now, tenure.WithClockDrift(c.node.Limits.QuickRight))
	}
	for id, m := range c.node.Members.All() {
		last := c.lastHeartbeats.Ensure(id)
		if m.Ended() || *last > 0 && now.Sub(*last) < heartbeatInterval {
			continue
		}
		*last = max(now, 1)
		b := c.node.NextHeartbeat(m, now)
		c.send(id, &b, now)
	}
	if c.node.Members.Len() > 0 || c.lastBroadcast > 0 && now.Sub(c.lastBroadcast) < heartbeatInterval {
		return
	}
	c.lastBroadcast = max(now, 1)
	for _, other := range c.sim.processes {
		if other != c.process && other.up {
			b := c.node.NextHeartbeat(nil, now)
			c.send(other.Instance(), &b, now)
		}
	}
}

// updateTenures confirms and claims tenures and starts the granters of new
// tenures.
func (c *coordinator) updateTenures(now clock.Millis) {
	tenure.ConfirmPromises(&c.node.Tenures, &c.node.Members, c.node.Self.Instance, c.node.Limits, now)
	for _, claim := range c.node.DueClaims(nil, c.sim.header.Deployment.DataCentres, now, claimInterval) {
		c.sim.appendJournal(tenure.JournalRecord{Claim: &claim})
	}
	for dc, r := range c.node.Tenures.All() {
		if r.Epoch == 0 {
			continue
		}
		c.holder.SetOwner(dc, r.Epoch, r.Instance)
		if r.Instance == c.node.Self.Instance {
			c.startGranter(dc, r, now)
		}
	}
}

func (c *coordinator) ensureGranter(dc unit.DataCentre) *granterRow {
	if g := c.granters.Get(dc); g != nil {
		return *g
	}
	return *c.granters.Put(dc, new(granterRow))
}

func (c *coordinator) startGranter(dc unit.DataCentre, r *tenure.Row, now clock.Millis) {
	g := c.ensureGranter(dc)
	if g.Epoch() == r.Epoch {
		return
	}
	g.Limits = c.node.Limits
	g.BeginEpoch(dc, r.Epoch)
	g.pendingAnswers = table.Table[unit.Instance, struct{}]{}
	c.syncUpstreams(dc, g)
	if n := len(r.FormerOwners); n > 0 && r.FormerOwners[n-1].HandedOver {
		g.TakeOver(g.handedOver, now)
	}
	g.handedOver = nil
}

// syncUpstreams passes the upstreams of a data centre to its granter. A leaving
// upstream has no slots, so it receives no new grants.
func (c *coordinator) syncUpstreams(dc unit.DataCentre, g *granterRow) {
	for _, u := range c.sim.header.Deployment.Upstreams {
		slots := u.Slots
		if c.leavingUpstreams[u.Address] {
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
func (c *coordinator) ownedGranter(dc unit.DataCentre) (*granterRow, tenure.Right) {
	r, g := c.node.Tenures.Get(dc), c.granters.Get(dc)
	if r == nil || g == nil || r.Instance != c.node.Self.Instance || (*g).Epoch() != r.Epoch {
		return nil, tenure.Right{}
	}
	if c.node.Leaving {
		return *g, tenure.Right{}
	}
	start := tenure.TakeoverTimes(r, &c.node.Members, *g, c.node.Limits, c.node.Self.LastReadStart)
	return *g, tenure.RightOf(r, start, c.node.Limits)
}

// runGranters divides the slots of the data centres that this process owns and
// answers demands.
func (c *coordinator) runGranters(now clock.Millis) {
	for dc := range c.granters.All() {
		g, right := c.ownedGranter(dc)
		if g == nil {
			continue
		}
		for id, m := range c.node.Members.All() {
			if m.Dead {
				g.ShortenPins(id, now)
			}
		}
		c.syncUpstreams(dc, g)
		g.Tick(now, right)
		for id := range g.pendingAnswers.All() {
			if answer, ok := g.GrantsFor(id, now, right); ok {
				c.send(id, &answer, now)
			}
		}
		g.pendingAnswers = table.Table[unit.Instance, struct{}]{}
		c.recordClearance(dc, right, now)
		c.sendHandover(dc, g, now)
	}
}

// recordClearance appends a journal record when the rights of all former owners
// have ended.
func (c *coordinator) recordClearance(dc unit.DataCentre, right tenure.Right, now clock.Millis) {
	r := c.node.Tenures.Get(dc)
	if len(r.FormerOwners) > 0 && right.Quick(now) && right.Slow(now) && now.Sub(r.ClearAppendedAt) >= claimInterval {
		r.ClearAppendedAt = now
		c.sim.appendJournal(tenure.JournalRecord{Claim: &tenure.Claim{DataCentre: dc, Epoch: r.Epoch, Instance: c.node.Self.Instance, ClearedBelow: r.Epoch}})
	}
}

// sendHandover sends the outstanding grants of a data centre to a member there
// if this process leaves. It repeats the message every heartbeatInterval.
func (c *coordinator) sendHandover(dc unit.DataCentre, g *granterRow, now clock.Millis) {
	r := c.node.Tenures.Get(dc)
	if !c.node.Leaving || len(r.FormerOwners) > 0 || g.lastHandover > 0 && now.Sub(g.lastHandover) < heartbeatInterval {
		return
	}
	g.lastHandover = max(now, 1)
	for id, m := range c.node.Members.All() {
		if !m.Ended() && !m.Leaving && m.DataCentre == dc {
			c.send(id, &handover{dc, r.Epoch, g.OutstandingGrants(now)}, now)
			return
		}
	}
}

// sendDemands sends the demands of this process to the owners, and the pins that
// are due.
func (c *coordinator) sendDemands(now clock.Millis) {
	c.holder.Observe(now)
	for dc, r := range c.node.Tenures.All() {
		if d, ok := c.holder.NextDemand(dc, now, c.queuedSlots); ok {
			c.send(r.Instance, &d, now)
		}
	}
	c.sendPins(now)
}

// sendPins sends the pin requests that are due to their owners.
func (c *coordinator) sendPins(now clock.Millis) {
	for _, pin := range c.holder.DuePinRequests(nil, now) {
		owner, _ := c.holder.Owner(pin.DataCentre)
		c.send(owner, &pin, now)
	}
}

// send sends a message to an instance, possibly to this one. If the instance has
// ended, its host refuses the connection, which proves the end of the instance.
func (c *coordinator) send(to unit.Instance, body any, now clock.Millis) {
	if to == c.node.Self.Instance {
		c.receive(to, body, now)
		return
	}
	receiver := c.sim.processByID(to)
	switch {
	case receiver == nil:
		c.node.Members.MarkDead(to, now)
	case c.sim.coordinatorOf(receiver) != nil:
		from := c.node.Self.Instance
		c.sim.sendMessage(c.process, receiver, func() { c.sim.coordinatorOf(receiver).receive(from, body, c.sim.now.Millis()) })
	}
}

// receive applies a message to the tables.
func (c *coordinator) receive(from unit.Instance, body any, now clock.Millis) {
	switch message := body.(type) {
	case *tenure.Heartbeat:
		c.node.Receive(from, message, now)
	case *slot.Demand:
		if g, _ := c.ownedGranter(message.DataCentre); g != nil {
			d := *message
			d.Holder = from
			if g.RecordDemand(&d, now) {
				g.pendingAnswers.Ensure(from)
			}
		}
	case *slot.Grants:
		c.holder.Apply(message)
		c.onGranted()
	case *slot.PinRequest:
		if g, right := c.ownedGranter(message.DataCentre); g != nil && c.hasJoined(from) {
			pin := *message
			pin.Holder = from
			if answer, ok := g.DecidePin(&pin, now, right); ok {
				c.send(from, &answer, now)
			}
		}
	case *slot.PinReply:
		c.onPinned(message)
	case *handover:
		r := c.node.Tenures.Get(message.dataCentre)
		if r != nil && r.Epoch == message.epoch && r.Instance == from && len(r.FormerOwners) == 0 {
			r.HandedOver = true
			c.ensureGranter(message.dataCentre).handedOver = message.outstanding
		}
	}
}

// hasJoined reports whether this process has read the join record of an instance
// from the journal and the instance has not ended.
func (c *coordinator) hasJoined(id unit.Instance) bool {
	if id == c.node.Self.Instance {
		return c.node.JoinedAt > 0
	}
	m := c.node.Members.Get(id)
	return m != nil && !m.Ended() && m.Joined
}
