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

// Intervals between repeated messages and records, those of an entry process.
const (
	beatEvery   = 500 * clock.Millisecond
	claimRepeat = 2 * clock.Second
	joinRepeat  = 5 * clock.Second
)

// allUpstreams is the one upstream set of a replay.
const allUpstreams slot.Set = "all"

// peer is the part of a process that takes part in membership, tenure and
// grants. Its systems run over the tables of the packages tenure, member and
// slot once a tick.
type peer struct {
	world    *World
	process  *processRow
	node     tenure.Node
	holder   slot.Holder
	granters table.Table[unit.DataCentre, *granterRow]
	beats    table.Table[unit.Instance, clock.Millis]
	seeded   clock.Millis
	joining  clock.Millis
	offset   int // next entry of the journal
	queued   func(slot.Set) unit.Slots
	pinned   func(*slot.PinReply)
	granted  func()
	leaving  map[unit.Upstream]bool // upstreams
}

// granterRow is the granter of one data centre and the holders to answer.
type granterRow struct {
	slot.Granter
	due     table.Table[unit.Instance, struct{}]
	handed  []slot.Outstanding
	handing clock.Millis
}

// handover is what an owner that leaves tells its successor.
type handover struct {
	dataCentre  unit.DataCentre
	epoch       unit.Epoch
	outstanding []slot.Outstanding
}

func (p *peer) open(w *World, row *processRow) {
	p.world, p.process = w, row
	p.node.Limits = tenure.DefaultLimits()
	p.node.Self.Identity = member.Identity{
		Instance: row.Instance(), Host: row.Host, DataCentre: row.DataCentre,
		// The platform replaces a host by one with another address.
		Address: fmt.Sprintf("%s:%d", row.Host, 9000+row.life),
	}
	p.holder.Self = row.Instance()
}

func (p *peer) track(u *route.Upstream) {
	p.holder.Track(u.Address, u.DataCentre, allUpstreams, u.Slots, u.Pinned)
}

// read follows the journal.
func (p *peer) read(now clock.Millis) {
	if p.world.journalDown {
		return
	}
	entries := p.world.journal[p.offset:]
	p.offset = len(p.world.journal)
	p.node.ApplyJournal(entries, now, true, now)
}

func (p *peer) membership(now clock.Millis) {
	if p.node.JoinedAt == 0 && (p.joining == 0 || now.Sub(p.joining) >= joinRepeat) {
		p.joining = max(now, 1)
		card := p.node.Self.Identity
		p.world.record(tenure.Entry{Join: &card})
	}
	if p.node.IsMember() {
		member.Acknowledge(&p.node.Members, now, tenure.WithClockDrift(p.node.Limits.Confirm))
	}
	for id, m := range p.node.Members.All() {
		last := p.beats.Ensure(id)
		if m.Ended() || *last > 0 && now.Sub(*last) < beatEvery {
			continue
		}
		*last = max(now, 1)
		b := p.node.NextHeartbeat(m, now)
		p.post(id, &b, now)
	}
	if p.node.Members.Len() > 0 || p.seeded > 0 && now.Sub(p.seeded) < beatEvery {
		return
	}
	p.seeded = max(now, 1)
	for _, other := range p.world.processes {
		if other != p.process && other.up {
			b := p.node.NextHeartbeat(nil, now)
			p.post(other.Instance(), &b, now)
		}
	}
}

// own confirms and claims tenures and starts the granters of new ones.
func (p *peer) own(now clock.Millis) {
	tenure.ConfirmPromises(&p.node.Tenures, &p.node.Members, p.node.Self.Instance, p.node.Limits, now)
	for _, c := range p.node.DueClaims(nil, p.world.header.Deployment.DataCentres, now, claimRepeat) {
		p.world.record(tenure.Entry{Claim: &c})
	}
	for dc, r := range p.node.Tenures.All() {
		if r.Epoch == 0 {
			continue
		}
		p.holder.Adopt(dc, r.Epoch, r.Instance)
		if r.Instance == p.node.Self.Instance {
			p.begin(dc, r, now)
		}
	}
}

func (p *peer) granter(dc unit.DataCentre) *granterRow {
	if g := p.granters.Get(dc); g != nil {
		return *g
	}
	return *p.granters.Put(dc, new(granterRow))
}

func (p *peer) begin(dc unit.DataCentre, r *tenure.Row, now clock.Millis) {
	g := p.granter(dc)
	if g.Epoch() == r.Epoch {
		return
	}
	g.Limits = p.node.Limits
	g.BeginEpoch(dc, r.Epoch)
	g.due = table.Table[unit.Instance, struct{}]{}
	p.sync(dc, g)
	if n := len(r.FormerOwners); n > 0 && r.FormerOwners[n-1].HandedOver {
		g.TakeOver(g.handed, now)
	}
	g.handed = nil
}

// sync tells a granter its upstreams. Those that are leaving get nothing new.
func (p *peer) sync(dc unit.DataCentre, g *granterRow) {
	for _, u := range p.world.header.Deployment.Upstreams {
		slots := u.Slots
		if p.leaving[u.Address] {
			slots = 0
		}
		if u.DataCentre == dc {
			g.SetUpstream(u.Address, allUpstreams, slots)
		}
	}
}

// owned returns the granter of the data centre and its rights, or nil if this
// process is not the owner.
func (p *peer) owned(dc unit.DataCentre) (*granterRow, tenure.Right) {
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

// grant divides the slots of the own tenures and answers demands.
func (p *peer) grant(now clock.Millis) {
	for dc := range p.granters.All() {
		g, right := p.owned(dc)
		if g == nil {
			continue
		}
		for id, m := range p.node.Members.All() {
			if m.Dead {
				g.ShortenPins(id, now)
			}
		}
		p.sync(dc, g)
		g.Tick(now, right)
		for id := range g.due.All() {
			if answer, ok := g.GrantsFor(id, now, right); ok {
				p.post(id, &answer, now)
			}
		}
		g.due = table.Table[unit.Instance, struct{}]{}
		p.clear(dc, right, now)
		p.handOver(dc, g, now)
	}
}

// clear records that the rights of former owners have ended.
func (p *peer) clear(dc unit.DataCentre, right tenure.Right, now clock.Millis) {
	r := p.node.Tenures.Get(dc)
	if len(r.FormerOwners) > 0 && right.Quick(now) && right.Slow(now) && now.Sub(r.ClearedAt) >= claimRepeat {
		r.ClearedAt = now
		p.world.record(tenure.Entry{Claim: &tenure.Claim{DataCentre: dc, Epoch: r.Epoch, Instance: p.node.Self.Instance, Cleared: r.Epoch}})
	}
}

func (p *peer) handOver(dc unit.DataCentre, g *granterRow, now clock.Millis) {
	r := p.node.Tenures.Get(dc)
	if !p.node.Leaving || len(r.FormerOwners) > 0 || g.handing > 0 && now.Sub(g.handing) < beatEvery {
		return
	}
	g.handing = max(now, 1)
	for id, m := range p.node.Members.All() {
		if !m.Ended() && !m.Leaving && m.DataCentre == dc {
			p.post(id, &handover{dc, r.Epoch, g.HandOver(now)}, now)
			return
		}
	}
}

// hold tells the owners what this process needs.
func (p *peer) hold(now clock.Millis) {
	p.holder.Observe(now)
	for dc, r := range p.node.Tenures.All() {
		if d, ok := p.holder.NextDemand(dc, now, p.queued); ok {
			p.post(r.Instance, &d, now)
		}
	}
	p.ask(now)
}

// ask sends the pins that are due.
func (p *peer) ask(now clock.Millis) {
	for _, pin := range p.holder.DuePinRequests(nil, now) {
		owner, _ := p.holder.Owner(pin.DataCentre)
		p.post(owner, &pin, now)
	}
}

// post sends a message to an instance, which may be this one. A refused
// connection proves that the instance has ended.
func (p *peer) post(to unit.Instance, body any, now clock.Millis) {
	if to == p.node.Self.Instance {
		p.receive(to, body, now)
		return
	}
	row := p.world.instance(to)
	switch {
	case row == nil:
		p.node.Members.MarkDead(to, now)
	case p.world.peerOf(row) != nil:
		from := p.node.Self.Instance
		p.world.tell(p.process, row, func() { p.world.peerOf(row).receive(from, body, p.world.now.Millis()) })
	}
}

// receive hands a message to the tables.
func (p *peer) receive(from unit.Instance, body any, now clock.Millis) {
	switch b := body.(type) {
	case *tenure.Heartbeat:
		p.node.Receive(from, b, now)
	case *slot.Demand:
		if g, _ := p.owned(b.DataCentre); g != nil {
			d := *b
			d.Holder = from
			if g.RecordDemand(&d, now) {
				g.due.Ensure(from)
			}
		}
	case *slot.Grants:
		p.holder.Apply(b)
		p.granted()
	case *slot.PinRequest:
		if g, right := p.owned(b.DataCentre); g != nil && p.joined(from) {
			pin := *b
			pin.Holder = from
			if answer, ok := g.DecidePin(&pin, now, right); ok {
				p.post(from, &answer, now)
			}
		}
	case *slot.PinReply:
		p.pinned(b)
	case *handover:
		r := p.node.Tenures.Get(b.dataCentre)
		if r != nil && r.Epoch == b.epoch && r.Instance == from && len(r.FormerOwners) == 0 {
			r.HandedOver = true
			p.granter(b.dataCentre).handed = b.outstanding
		}
	}
}

// joined reports whether the journal has the join record of an instance.
func (p *peer) joined(id unit.Instance) bool {
	if id == p.node.Self.Instance {
		return p.node.JoinedAt > 0
	}
	m := p.node.Members.Get(id)
	return m != nil && !m.Ended() && m.Joined
}
