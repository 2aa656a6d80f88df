package tenure

import (
	"cmp"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/unit"
)

// Heartbeat is a message that every member sends to every other member. It
// lists the members and claims that the sender has recorded after version Base.
// The receiver has merged all updates up to Base. Unless Partial is set, the
// sender also promises for [Limits.QuickRight] that it has recorded no member or
// claim beyond these; see [member.Promise].
type Heartbeat struct {
	Sent          clock.Millis      `json:"sent" cbor:"1,keyasint"`              // time of sending, on the clock of the sender
	Echo          clock.Millis      `json:"echo" cbor:"2,keyasint,omitempty"`    // last Sent that the sender received from the receiver
	ReadCovers    clock.Millis      `json:"read" cbor:"3,keyasint,omitempty"`    // a Sent of the receiver; after it arrived, the sender began and completed a journal read, which the receiver may count as its own read begun at this time
	Base          member.Version    `json:"base" cbor:"4,keyasint,omitempty"`    // the updates are later than this version
	Version       member.Version    `json:"version" cbor:"5,keyasint,omitempty"` // the updates are not later than this version
	MergedVersion member.Version    `json:"merged" cbor:"6,keyasint,omitempty"`  // version of the receiver that the sender has merged
	Members       []member.Identity `json:"members,omitempty" cbor:"7,keyasint,omitempty"`
	Claims        []Claim           `json:"claims,omitempty" cbor:"8,keyasint,omitempty"`
	Partial       bool              `json:"partial,omitempty" cbor:"9,keyasint,omitempty"`       // more updates follow; the heartbeat makes no promise
	Claiming      []unit.DataCentre `json:"claiming,omitempty" cbor:"10,keyasint,omitempty"`     // not covered by the promise: the sender may claim them
	Introducing   bool              `json:"introducing,omitempty" cbor:"11,keyasint,omitempty"`  // the sender requests an acknowledgement
	Acknowledged  bool              `json:"acknowledged,omitempty" cbor:"12,keyasint,omitempty"` // the sender acknowledges the receiver
	Leaving       bool              `json:"leaving,omitempty" cbor:"13,keyasint,omitempty"`
	Identity      *member.Identity  `json:"identity,omitempty" cbor:"14,keyasint,omitempty"` // of the sender, until the receiver has merged an update
	Revision      unit.Revision     `json:"revision,omitempty" cbor:"15,keyasint,omitempty"`
	TextHash      uint64            `json:"textHash,omitempty" cbor:"16,keyasint,omitempty"`
	LeavingHosts  []string          `json:"leavingHosts,omitempty" cbor:"18,keyasint,omitempty"` // addresses of hosts that recently reported to a process that they are leaving
	JournalEnd    unit.Offset       `json:"journalEnd,omitempty" cbor:"17,keyasint,omitempty"`
}

// maxUpdates is the maximum number of updates in one heartbeat.
const maxUpdates = 64

// Node is what one entry process has recorded: the members, the tenures, its
// pending claims and its own membership. Self and Limits must be set; otherwise the zero value is empty.
type Node struct {
	Self       SelfState
	Limits     Limits
	Members    member.Table
	Tenures    Table
	Pending    PendingClaims
	JoinedAt   clock.Millis // when the join record of this process was read from the journal; zero before
	JoinOffset unit.Offset  // of that join record
	Leaving    bool         // this process is shutting down and claims nothing more
}

// update is one update of a heartbeat with its version. Either identity or claim
// is set.
type update struct {
	version  member.Version
	identity *member.Identity
	claim    *Claim
}

// NextHeartbeat returns the next heartbeat to m. If m is nil, the heartbeat is
// for an address where a member is expected, and carries only the identity of
// the sender.
func (n *Node) NextHeartbeat(m *member.Row, now clock.Millis) Heartbeat {
	hb := Heartbeat{Sent: max(now, 1), Introducing: n.Self.AcknowledgedAt == 0 && !n.Self.Founder, Leaving: n.Leaving}
	if m == nil {
		hb.Identity, hb.Partial = &n.Self.Identity, true
		return hb
	}
	hb.Echo, hb.ReadCovers, hb.MergedVersion, hb.Base = m.LastSent, m.ReadCovers, m.ReceivedVersion, m.MergedVersion
	hb.Acknowledged = m.Acknowledged
	if m.MergedVersion == 0 {
		hb.Identity = &n.Self.Identity
	}
	n.addUpdates(&hb)
	for dc := range n.Pending.All() {
		hb.Claiming = append(hb.Claiming, dc)
	}
	return hb
}

// addUpdates adds the updates after hb.Base, at most maxUpdates, oldest first. It
// sets Partial if there are more.
func (n *Node) addUpdates(hb *Heartbeat) {
	hb.Version = n.Members.Version()
	if hb.Base >= hb.Version {
		return
	}
	var updates []update
	for _, m := range n.Members.All() {
		if m.Version > hb.Base && !m.Ended() { // an ended instance claims nothing
			updates = append(updates, update{version: m.Version, identity: &m.Identity})
		}
	}
	for _, r := range n.Tenures.All() {
		if r.Version > hb.Base {
			updates = append(updates, update{version: r.Version, claim: &r.Claim})
		}
	}
	if len(updates) > maxUpdates {
		slices.SortFunc(updates, func(x, y update) int { return cmp.Compare(x.version, y.version) })
		updates, hb.Partial = updates[:maxUpdates], true
		hb.Version = updates[maxUpdates-1].version
	}
	for _, u := range updates {
		if u.identity != nil {
			hb.Members = append(hb.Members, *u.identity)
		} else {
			hb.Claims = append(hb.Claims, *u.claim)
		}
	}
}

// Receive applies a heartbeat of the instance from. It ignores heartbeats that
// are not newer than the last one, and heartbeats of an unknown instance without
// its identity.
func (n *Node) Receive(from unit.Instance, hb *Heartbeat, now clock.Millis) {
	m := n.Members.Get(from)
	if m == nil {
		if hb.Identity == nil || hb.Identity.Instance != from {
			return
		}
		m = n.Members.Add(*hb.Identity, now)
	}
	if !m.RecordHeartbeat(hb.Sent, now) {
		return
	}
	m.Leaving = m.Leaving || hb.Leaving
	m.MergedVersion = max(m.MergedVersion, hb.MergedVersion)
	if hb.Introducing {
		m.RecordIntroduction(now)
	}
	for _, identity := range hb.Members {
		if identity.Instance != n.Self.Instance {
			n.Members.Add(identity, now)
		}
	}
	for _, claim := range hb.Claims {
		n.Tenures.Add(claim, now, &n.Members)
	}
	m = n.Members.Get(from) // adding members may have moved the row
	if hb.Base > m.ReceivedVersion {
		return
	}
	m.ReceivedVersion = max(m.ReceivedVersion, hb.Version)
	if hb.Partial {
		return
	}
	m.CompleteMergedVersion = max(m.CompleteMergedVersion, hb.MergedVersion)
	m.Promise = member.Promise{From: hb.Echo, Claiming: hb.Claiming}
	if hb.ReadCovers > 0 {
		ConfirmRead(&n.Tenures, n.Self.Instance, hb.ReadCovers)
	}
	if hb.Acknowledged && n.JoinedAt > 0 && hb.Echo >= n.JoinedAt && n.Self.AcknowledgedAt == 0 {
		n.Self.AcknowledgedAt = max(now, 1)
	}
}

// IsMember reports whether this process is a member: it is the founder, or
// another member has acknowledged it.
func (n *Node) IsMember() bool { return n.Self.Founder || n.Self.AcknowledgedAt > 0 }

// JournalRecord is a journal record about a member or a tenure. Exactly one of Join,
// Goodbye and Claim is set.
type JournalRecord struct {
	Offset  unit.Offset
	Join    *member.Identity
	Goodbye *member.Goodbye
	Claim   *Claim
}

// ApplyJournal applies records, which must be in journal order. The read of the
// journal began at startedAt. If it reached the end of the journal, complete is
// true, and the read confirms the tenures of this process as of startedAt.
func (n *Node) ApplyJournal(records []JournalRecord, startedAt clock.Millis, complete bool, now clock.Millis) {
	for _, r := range records {
		n.applyRecord(r, now)
	}
	if !complete {
		return
	}
	n.Self.LastReadStart = max(n.Self.LastReadStart, startedAt)
	n.Members.CompleteRead(startedAt)
	ConfirmRead(&n.Tenures, n.Self.Instance, startedAt)
	if n.JoinedAt > 0 && !n.IsMember() {
		n.Self.Founder = n.isEarliestMember()
	}
}

func (n *Node) applyRecord(r JournalRecord, now clock.Millis) {
	switch {
	case r.Join != nil && r.Join.Instance == n.Self.Instance:
		if n.JoinedAt == 0 {
			n.JoinedAt, n.JoinOffset = max(now, 1), r.Offset
		}
	case r.Join != nil:
		if m := n.Members.Add(*r.Join, now); !m.Joined {
			m.Joined, m.JoinOffset = true, r.Offset
		}
	case r.Goodbye != nil:
		if m := n.Members.Get(r.Goodbye.Instance); m != nil {
			m.Left = true
		}
	case r.Claim != nil:
		n.Tenures.Add(*r.Claim, now, &n.Members)
	}
}

// isEarliestMember reports whether every member that joined before this process
// has ended.
func (n *Node) isEarliestMember() bool {
	for _, m := range n.Members.All() {
		if m.Joined && m.JoinOffset < n.JoinOffset && !m.Ended() {
			return false
		}
	}
	return true
}

// DueClaims starts, cancels and completes pending claims for the data centres
// and adds the claims that are due to dst. A journal append without a known
// outcome is repeated after retryInterval, even if heartbeats of the owner
// arrive again. Until a claim of that epoch is received, this process can make
// no promise for the data centre.
func (n *Node) DueClaims(dst []Claim, dataCentres []unit.DataCentre, now clock.Millis, retryInterval clock.Span) []Claim {
	for _, dc := range dataCentres {
		row := n.Tenures.Ensure(dc)
		pending := n.Pending.Get(dc)
		if pending != nil && row.Epoch >= pending.Epoch {
			n.Pending.Delete(dc)
			pending = nil
		}
		appended := pending != nil && pending.AppendedAt > 0
		if n.Leaving || !appended && !ShouldClaim(row, dc, &n.Members, &n.Self, now, n.Limits) {
			if !appended {
				n.Pending.Delete(dc)
			}
			continue
		}
		if pending == nil {
			pending = n.Pending.Put(dc, PendingClaim{Epoch: row.Epoch + 1, StartedAt: now})
		}
		if appended && now.Sub(pending.AppendedAt) < retryInterval || !pending.ReadyToAppend(row, &n.Members, &n.Self, now, n.Limits) {
			continue
		}
		if appended {
			pending.UnknownAppends++
		}
		pending.AppendedAt = max(now, 1)
		dst = append(dst, Claim{DataCentre: dc, Epoch: pending.Epoch, Instance: n.Self.Instance, ClearedBelow: row.ClearedBelow})
	}
	return dst
}

// Prune removes the ended members that have been silent for longer than a slow
// right and the grants under it can last, and that are neither owner nor former
// owner of a tenure.
func (n *Node) Prune(now clock.Millis) {
	n.Members.Prune(now, n.Limits.ReleaseDelay(n.Limits.SlowRight), func(id unit.Instance) bool {
		for _, r := range n.Tenures.All() {
			if r.Instance == id {
				return true
			}
			for _, f := range r.FormerOwners {
				if f.Instance == id {
					return true
				}
			}
		}
		return false
	})
}
