package control

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/service"
	"mimosadock/schedule/table"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
)

// heartbeatInterval is the time between two heartbeats to the same member.
const heartbeatInterval = 500 * clock.Millisecond

// Outgoing is a message to another process. It may be lost. An empty To stands
// for whichever instance answers at the address.
type Outgoing struct {
	To      unit.Instance
	Address string
	Body    any // *tenure.Heartbeat, *slot.Demand, *slot.Grants, *slot.Pin, *slot.Pinned or *Handover
}

// Peers sends messages to other processes without waiting.
type Peers interface {
	Post(Outgoing)
}

// Records appends records to the journal without waiting. Their effect is seen
// by reading; see [MembersRead]. A record that certainly was not appended is
// told by [NotAppended].
type Records interface {
	Append(record any) // member.Identity (a join), member.Goodbye or tenure.Claim
}

// memberState holds the tables of membership.
type memberState struct {
	node            tenure.Node
	hosts           member.Hosts
	leaveNotices    table.Table[string, clock.Millis] // hosts that told that they are leaving
	checker         Checker
	dueChecks       []string
	peers           Peers
	records         Records
	seeds           []string // addresses of peers from the settings
	lastHeartbeats  table.Table[unit.Instance, clock.Millis]
	lastPrune       clock.Millis // last removal of members that ended long ago
	lastSeeding     clock.Millis // last heartbeats to the seeds
	lastJoin        clock.Millis // last append of the join record; zero before
	leaveDone       chan struct{}
	goodbyeAppended bool

	memberEntries []tenure.Entry // of the batch that is being applied
}

// Connect makes the process a member: it sends to peers and appends to the
// journal. A process that is not connected keeps all slots to itself. It must
// be called before Run.
func (l *Loop) Connect(peers Peers, records Records, limits tenure.Limits, seeds []string) {
	s := &l.state
	s.peers, s.records, s.seeds = peers, records, seeds
	s.node.Limits = limits
	s.node.Self.Identity = member.Identity{
		Instance: s.Self.Instance, Address: s.Self.Address, Host: s.Self.Host, DataCentre: s.Self.DataCentre,
	}
	s.holder.Self = s.Self.Instance
}

func (s *State) connected() bool { return s.peers != nil }

// MembersRead tells what a read of the journal found about members and tenures,
// in journal order. Asked is an instant before the read began; a complete read
// reached the end. A tenure needs a complete read in each confirm time, so they
// should come several times as often.
type MembersRead struct {
	StartedAt clock.Millis
	Entries   []tenure.Entry
	Complete  bool
}

// Apply learns the members and claims and confirms the own tenures.
func (m MembersRead) Apply(s *State, now clock.Millis) {
	s.node.Read(m.Entries, m.StartedAt, m.Complete, now)
}

// NotAppended tells that a record certainly was not appended.
type NotAppended struct{ Record any }

// Apply makes the record due again.
func (m NotAppended) Apply(s *State, _ clock.Millis) {
	switch r := m.Record.(type) {
	case member.Identity:
		s.lastJoin = 0
	case tenure.Claim:
		if b := s.node.Pending.Get(r.DataCentre); b != nil && b.Epoch == r.Epoch && b.Unsure == 0 {
			b.Appended = 0
		}
	}
}

// PeerGone tells that the death of an instance is proven: its address refused a
// connection, or another instance answered there.
type PeerGone struct{ Instance unit.Instance }

// Apply records the proof.
func (m PeerGone) Apply(s *State, now clock.Millis) { s.node.Members.Prove(m.Instance, now) }

// AddressRefused tells that a connection to an address was refused. The attempt
// began at Began.
type AddressRefused struct {
	Address string
	Began   clock.Millis
}

// Apply records the death of the instances that were known to listen there
// before. One that was learned of later may have started since.
func (m AddressRefused) Apply(s *State, now clock.Millis) {
	s.node.Members.ProveAll(func(r *member.Row) bool {
		return r.Address == m.Address && r.Learned < m.Began
	}, now)
}

// Leave starts the hand-over of the tenures. The process must have ended its
// requests. Done is closed when no tenure is left and the goodbye record has
// been passed on; it may be nil.
type Leave struct{ Done chan struct{} }

// Apply ends the grants of this process.
func (m Leave) Apply(s *State, _ clock.Millis) {
	s.node.Leaving, s.holder.Leaving, s.leaveDone = true, true, m.Done
	s.RequestStep()
}

// appendGoodbye appends the goodbye record once no tenure is left that a live member
// could take over.
func (s *State) appendGoodbye(now clock.Millis) {
	if !s.node.Leaving || s.goodbyeAppended {
		return
	}
	alone := s.successor(s.Self.DataCentre, now) == ""
	for _, r := range s.node.Tenures.All() {
		if !alone && r.Epoch > 0 && r.Instance == s.Self.Instance {
			return
		}
	}
	s.goodbyeAppended = true
	s.records.Append(member.Goodbye{Instance: s.Self.Instance})
	if s.leaveDone != nil {
		close(s.leaveDone)
	}
}

// Delivered is a message that came from another process.
type Delivered struct {
	From unit.Instance
	To   unit.Instance // empty if the sender did not know the instance
	Body any
}

// Body is a message of another concern. It runs in the control goroutine.
type Body interface {
	Deliver(s *State, from unit.Instance, now clock.Millis)
}

// MembershipSystem sends heartbeats, joins, acknowledges new members, and
// applies the deaths that the operator declares.
func MembershipSystem(s *State, now clock.Millis) {
	if !s.connected() {
		return
	}
	s.proveKnownDeaths(now)
	s.appendJoin(now)
	if now.Sub(s.lastPrune) >= clock.Minute {
		s.lastPrune = now
		s.node.Prune(now)
	}
	s.appendGoodbye(now)
	if s.node.Full() {
		member.Acknowledge(&s.node.Members, now, tenure.Allow(s.node.Limits.Confirm))
	}
	for id, m := range s.node.Members.All() {
		last := s.lastHeartbeats.Ensure(id)
		if m.Ended() || *last > 0 && now.Sub(*last) < heartbeatInterval {
			continue
		}
		*last = max(now, 1)
		s.sendHeartbeat(m, m.Address, now)
	}
	if !s.hasLiveMember() && (s.lastSeeding == 0 || now.Sub(s.lastSeeding) >= heartbeatInterval) {
		s.lastSeeding = max(now, 1)
		for _, address := range s.seeds {
			s.introduce(address, now)
		}
		for address, h := range s.hosts.All() {
			if h.Role == member.Entry {
				s.introduce(address, now)
			}
		}
	}
}

// hasLiveMember reports whether a member is known that may live.
func (s *State) hasLiveMember() bool {
	for _, m := range s.node.Members.All() {
		if !m.Ended() {
			return true
		}
	}
	return false
}

// introduce introduces the process at an address where a member may be.
func (s *State) introduce(address string, now clock.Millis) {
	if address != s.Self.Address {
		s.sendHeartbeat(nil, address, now)
	}
}

func (s *State) sendHeartbeat(m *member.Row, address string, now clock.Millis) {
	b := s.node.Beat(m, now)
	b.Revision, b.LeavingHosts = s.Revision, s.appendNotices(nil, now)
	out := Outgoing{Address: address, Body: &b}
	if m != nil {
		out.To = m.Instance
	}
	s.peers.Post(out)
}

// joinRetryInterval is the time after which a join record without a known outcome is
// appended again.
const joinRetryInterval = 5 * clock.Second

func (s *State) appendJoin(now clock.Millis) {
	if s.node.JoinedAt > 0 || s.lastJoin > 0 && now.Sub(s.lastJoin) < joinRetryInterval {
		return
	}
	s.lastJoin = max(now, 1)
	s.records.Append(s.node.Self.Identity)
}

// proveKnownDeaths applies the data centres that the services text declares lost,
// and the fact that no other instance runs at the own address.
func (s *State) proveKnownDeaths(now clock.Millis) {
	s.node.Members.ProveAll(func(m *member.Row) bool {
		if m.Address == s.Self.Address {
			return true
		}
		dc := s.dataCentre(m.DataCentre)
		return dc != nil && dc.Lost
	}, now)
}

func (s *State) dataCentre(name unit.DataCentre) *service.DataCentre {
	if s.Text == nil {
		return nil
	}
	return s.Text.DataCentre(name)
}
