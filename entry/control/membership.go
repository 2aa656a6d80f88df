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

// Outgoing is a message to another process. It can be lost. An empty To
// addresses any instance that responds at the address.
type Outgoing struct {
	To      unit.Instance
	Address string
	Body    any // pointer to one of the message types that package peer lists
}

// PeerSender sends messages to other processes without blocking.
type PeerSender interface {
	Post(Outgoing)
}

// MemberRecordAppender appends the records of members and tenures to the
// journal without blocking. A record takes effect when it is read from the
// journal; see [Loop.HandleMembers]. [NotAppended] reports a record that was
// certainly not appended.
type MemberRecordAppender interface {
	Append(record any) // member.Identity (a join record), member.Goodbye or tenure.Claim
}

// memberState holds the tables of membership and of hosts.
type memberState struct {
	node             tenure.Node // members, tenures and pending claims
	hosts            member.Hosts
	leaveNotices     table.Table[string, clock.Millis] // time of the first notice, by address of the leaving host
	checker          HostChecker
	dueChecks        []string
	peers            PeerSender
	records          MemberRecordAppender
	seeds            []string                                 // peer addresses from the settings
	lastHeartbeats   table.Table[unit.Instance, clock.Millis] // time of the last heartbeat sent to each member
	lastPrune        clock.Millis                             // time of the last removal of old members that have ended
	lastSeeding      clock.Millis                             // time of the last heartbeats to the seeds; zero before the first
	lastJoin         clock.Millis                             // time of the last append of the join record; zero if it is due
	leaveDone        chan struct{}
	goodbyeSubmitted bool

	memberRecords []tenure.JournalRecord // records of the batch that is being applied
}

// Connect makes the process a member that sends messages to peers and appends
// records to the journal. A process that is not connected holds all slots
// itself. Connect must be called before Run.
func (l *Loop) Connect(peers PeerSender, records MemberRecordAppender, limits tenure.Limits, seeds []string) {
	s := &l.state
	s.peers, s.records, s.seeds = peers, records, seeds
	s.node.Limits = limits
	s.node.Self.Identity = member.Identity{
		Instance: s.Self.Instance, Address: s.Self.Address, Host: s.Self.Host, DataCentre: s.Self.DataCentre,
	}
	s.holder.Self = s.Self.Instance
}

func (s *State) connected() bool { return s.peers != nil }

// MembersRead is the message with the records about members and tenures of one
// journal read, in journal order. Only tests with a simulated journal send it;
// a process applies the records of its journal through [JournalRead]. StartedAt
// is an instant before the read began. Complete is set if the read reached the
// end of the journal. Where promises don't confirm a tenure, its owner needs a
// complete read within every Limits.QuickRight, so reads should be several
// times more frequent.
type MembersRead struct {
	StartedAt clock.Millis
	Records   []tenure.JournalRecord
	Complete  bool
}

// Apply applies the members and claims and confirms the tenures of this
// process.
func (m MembersRead) Apply(s *State, now clock.Millis) {
	s.node.ApplyJournal(m.Records, m.StartedAt, m.Complete, now)
}

// NotAppended reports that a record is certainly not in the journal.
type NotAppended struct{ Record any }

// Apply makes a join record or a claim due for another append. A goodbye record
// is not appended again.
func (m NotAppended) Apply(s *State, _ clock.Millis) {
	switch r := m.Record.(type) {
	case member.Identity:
		s.lastJoin = 0
	case tenure.Claim:
		if b := s.node.Pending.Get(r.DataCentre); b != nil && b.Epoch == r.Epoch && b.UnknownAppends == 0 {
			b.AppendedAt = 0
		}
	}
}

// PeerDead reports that an instance no longer runs, because another instance
// responded at its address.
type PeerDead struct{ Instance unit.Instance }

// Apply marks the instance as dead.
func (m PeerDead) Apply(s *State, now clock.Millis) { s.node.Members.MarkDead(m.Instance, now) }

// AddressRefused reports that an address refused a connection attempt, which
// began at Began.
type AddressRefused struct {
	Address string
	Began   clock.Millis
}

// Apply marks the instances at the address as dead that were added before the
// attempt began. An instance that was added later may have started after the
// refusal.
func (m AddressRefused) Apply(s *State, now clock.Millis) {
	s.node.Members.MarkAllDead(func(r *member.Row) bool {
		return r.Address == m.Address && r.AddedAt < m.Began
	}, now)
}

// Leave starts the hand-over of the tenures. The process must have finished its
// requests. Done is closed once the goodbye record is passed to the
// [MemberRecordAppender], when this process has no tenure left that a live
// member could take over. Done may be nil.
type Leave struct{ Done chan struct{} }

// Apply marks the process as leaving, which stops its grants.
func (m Leave) Apply(s *State, _ clock.Millis) {
	s.node.Leaving, s.holder.Leaving, s.leaveDone = true, true, m.Done
	s.RequestTick()
}

// appendGoodbye appends the goodbye record once this process has no tenure that
// a live member could take over.
func (s *State) appendGoodbye(now clock.Millis) {
	if !s.node.Leaving || s.goodbyeSubmitted {
		return
	}
	alone := s.successor(s.Self.DataCentre, now) == ""
	for _, r := range s.node.Tenures.All() {
		if !alone && r.Epoch > 0 && r.Instance == s.Self.Instance {
			return
		}
	}
	s.goodbyeSubmitted = true
	s.records.Append(member.Goodbye{Instance: s.Self.Instance})
	if s.leaveDone != nil {
		close(s.leaveDone)
	}
}

// PeerMessage is a message from another process.
type PeerMessage struct {
	From unit.Instance
	To   unit.Instance // empty if the instance was unknown to the sender
	Body any
}

// Deliverer is a message body with its own Deliver method. Other bodies are
// handled by [PeerMessage.Apply]. Deliver runs in the control goroutine.
type Deliverer interface {
	Deliver(s *State, from unit.Instance, now clock.Millis)
}

// MembershipSystem sends heartbeats, appends the join record, acknowledges new
// members, removes old ones, and marks as dead the members of the data centres
// that the services text declares lost. While there is no other member, or all
// others have ended, it sends heartbeats to the seeds and to the listed entry
// hosts.
func MembershipSystem(s *State, now clock.Millis) {
	if !s.connected() {
		return
	}
	s.markDeclaredDead(now)
	s.appendJoin(now)
	if now.Sub(s.lastPrune) >= clock.Minute {
		s.lastPrune = now
		s.node.Prune(now)
	}
	s.appendGoodbye(now)
	if s.node.IsMember() {
		member.Acknowledge(&s.node.Members, now, tenure.WithClockDrift(s.node.Limits.QuickRight))
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
			if h.Role == member.RoleEntry {
				s.introduce(address, now)
			}
		}
	}
}

// hasLiveMember reports whether any other member has not ended. A silent member
// counts, unlike in [State.LiveMembers].
func (s *State) hasLiveMember() bool {
	for _, m := range s.node.Members.All() {
		if !m.Ended() {
			return true
		}
	}
	return false
}

// introduce sends a heartbeat to an address at which a member may run.
func (s *State) introduce(address string, now clock.Millis) {
	if address != s.Self.Address {
		s.sendHeartbeat(nil, address, now)
	}
}

func (s *State) sendHeartbeat(m *member.Row, address string, now clock.Millis) {
	b := s.node.NextHeartbeat(m, now)
	b.Revision, b.LeavingHosts = s.Revision, s.appendNotices(nil, now)
	out := Outgoing{Address: address, Body: &b}
	if m != nil {
		out.To = m.Instance
	}
	s.peers.Post(out)
}

// joinRetryInterval is the time after which a join record with an unknown
// outcome is appended again.
const joinRetryInterval = 5 * clock.Second

func (s *State) appendJoin(now clock.Millis) {
	if s.node.JoinedAt > 0 || s.lastJoin > 0 && now.Sub(s.lastJoin) < joinRetryInterval {
		return
	}
	s.lastJoin = max(now, 1)
	s.records.Append(s.node.Self.Identity)
}

// markDeclaredDead marks as dead the members of the data centres that the
// services text declares lost, and all other instances at the address of this
// process.
func (s *State) markDeclaredDead(now clock.Millis) {
	s.node.Members.MarkAllDead(func(m *member.Row) bool {
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
