package tenure

import (
	"cmp"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/unit"
)

// Heartbeat is sent by every member to every other one. It tells what the
// sender has learned since what the receiver is known to have merged, and
// promises for the confirm time that there is nothing else; see
// [member.Promise].
type Heartbeat struct {
	Sent         clock.Millis      `json:"sent" cbor:"1,keyasint"`              // on the clock of the sender
	Echo         clock.Millis      `json:"echo" cbor:"2,keyasint,omitempty"`    // last Sent that came from the receiver
	Read         clock.Millis      `json:"read" cbor:"3,keyasint,omitempty"`    // the journal was read to its end after this Sent of the receiver came
	Base         member.Version    `json:"base" cbor:"4,keyasint,omitempty"`    // the updates are those after it
	Version      member.Version    `json:"version" cbor:"5,keyasint,omitempty"` // the updates are those up to it
	Merged       member.Version    `json:"merged" cbor:"6,keyasint,omitempty"`  // what the sender has merged of the receiver
	Members      []member.Identity `json:"members,omitempty" cbor:"7,keyasint,omitempty"`
	Claims       []Claim           `json:"claims,omitempty" cbor:"8,keyasint,omitempty"`
	Partial      bool              `json:"partial,omitempty" cbor:"9,keyasint,omitempty"` // more updates follow; no promise
	Claiming     []unit.DataCentre `json:"claiming,omitempty" cbor:"10,keyasint,omitempty"`
	Introducing  bool              `json:"introducing,omitempty" cbor:"11,keyasint,omitempty"`  // the sender asks to be acknowledged
	Acknowledged bool              `json:"acknowledged,omitempty" cbor:"12,keyasint,omitempty"` // the sender acknowledges the receiver
	Leaving      bool              `json:"leaving,omitempty" cbor:"13,keyasint,omitempty"`
	Identity     *member.Identity  `json:"identity,omitempty" cbor:"14,keyasint,omitempty"` // of the sender, until the receiver has merged something
	Revision     unit.Revision     `json:"revision,omitempty" cbor:"15,keyasint,omitempty"`
	TextHash     uint64            `json:"textHash,omitempty" cbor:"16,keyasint,omitempty"`
	LeavingHosts []string          `json:"leavingHosts,omitempty" cbor:"18,keyasint,omitempty"` // addresses that lately told a process that they are going away
	JournalEnd   unit.Offset       `json:"journalEnd,omitempty" cbor:"17,keyasint,omitempty"`
}

// maxUpdates bounds the facts of one heartbeat.
const maxUpdates = 64

// Node is what one process knows of members and tenures and of its own part.
// The zero value knows nothing; Self and Limits must be set.
type Node struct {
	Self     Standing
	Limits   Limits
	Members  member.Table
	Tenures  Table
	Pending  PendingClaims
	JoinedAt clock.Millis // when the own join record was seen in the journal; zero before
	Offset   unit.Offset  // of the own join record
	Leaving  bool
}

// fact is one update in a heartbeat with its version.
type fact struct {
	version member.Version
	card    *member.Identity
	claim   *Claim
}

// Beat returns the next heartbeat to m. A nil m stands for an address where a
// member is expected.
func (n *Node) Beat(m *member.Row, now clock.Millis) Heartbeat {
	b := Heartbeat{Sent: max(now, 1), Introducing: n.Self.Acknowledged == 0 && !n.Self.Founder, Leaving: n.Leaving}
	if m == nil {
		b.Identity, b.Partial = &n.Self.Identity, true
		return b
	}
	b.Echo, b.Read, b.Merged, b.Base = m.Sent, m.Read, m.Known, m.Merged
	b.Acknowledged = m.Acknowledged
	if m.Merged == 0 {
		b.Identity = &n.Self.Identity
	}
	n.addUpdates(&b)
	for dc := range n.Pending.All() {
		b.Claiming = append(b.Claiming, dc)
	}
	return b
}

func (n *Node) addUpdates(b *Heartbeat) {
	b.Version = n.Members.Version()
	if b.Base >= b.Version {
		return
	}
	var facts []fact
	for _, m := range n.Members.All() {
		if m.Version > b.Base && !m.Ended() { // one that has ended claims nothing
			facts = append(facts, fact{version: m.Version, card: &m.Identity})
		}
	}
	for _, r := range n.Tenures.All() {
		if r.Version > b.Base {
			facts = append(facts, fact{version: r.Version, claim: &r.Claim})
		}
	}
	if len(facts) > maxUpdates {
		slices.SortFunc(facts, func(x, y fact) int { return cmp.Compare(x.version, y.version) })
		facts, b.Partial = facts[:maxUpdates], true
		b.Version = facts[maxUpdates-1].version
	}
	for _, f := range facts {
		if f.card != nil {
			b.Members = append(b.Members, *f.card)
		} else {
			b.Claims = append(b.Claims, *f.claim)
		}
	}
}

// Receive applies a heartbeat of the instance from. Old and repeated ones
// change nothing.
func (n *Node) Receive(from unit.Instance, b *Heartbeat, now clock.Millis) {
	m := n.Members.Get(from)
	if m == nil {
		if b.Identity == nil || b.Identity.Instance != from {
			return
		}
		m = n.Members.Learn(*b.Identity, now)
	}
	if !m.Hear(b.Sent, now) {
		return
	}
	m.Leaving = m.Leaving || b.Leaving
	m.Merged = max(m.Merged, b.Merged)
	if b.Introducing {
		m.Introduce(now)
	}
	for _, c := range b.Members {
		if c.Instance != n.Self.Instance {
			n.Members.Learn(c, now)
		}
	}
	for _, c := range b.Claims {
		n.Tenures.Learn(c, now, &n.Members)
	}
	m = n.Members.Get(from) // learning may have moved the row
	if b.Base > m.Known {
		return
	}
	m.Known = max(m.Known, b.Version)
	if b.Partial {
		return
	}
	m.Settled = max(m.Settled, b.Merged)
	m.Promise = member.Promise{From: b.Echo, Claiming: b.Claiming}
	if b.Read > 0 {
		ConfirmRead(&n.Tenures, n.Self.Instance, b.Read)
	}
	if b.Acknowledged && n.JoinedAt > 0 && b.Echo >= n.JoinedAt && n.Self.Acknowledged == 0 {
		n.Self.Acknowledged = max(now, 1)
	}
}

// Full reports whether the process is an acknowledged member.
func (n *Node) Full() bool { return n.Self.Founder || n.Self.Acknowledged > 0 }

// Entry is one record of the journal that concerns members and tenures. One of
// the bodies is set.
type Entry struct {
	Offset  unit.Offset
	Join    *member.Identity
	Goodbye *member.Goodbye
	Claim   *Claim
}

// Read applies entries in journal order. A complete read, which reached the
// end, confirms the own tenures from the instant at which it began.
func (n *Node) Read(entries []Entry, asked clock.Millis, complete bool, now clock.Millis) {
	for _, e := range entries {
		n.apply(e, now)
	}
	if !complete {
		return
	}
	n.Self.LastRead = max(n.Self.LastRead, asked)
	n.Members.CompleteRead(asked)
	ConfirmRead(&n.Tenures, n.Self.Instance, asked)
	if n.JoinedAt > 0 && !n.Full() {
		n.Self.Founder = n.first()
	}
}

func (n *Node) apply(e Entry, now clock.Millis) {
	switch {
	case e.Join != nil && e.Join.Instance == n.Self.Instance:
		if n.JoinedAt == 0 {
			n.JoinedAt, n.Offset = max(now, 1), e.Offset
		}
	case e.Join != nil:
		if m := n.Members.Learn(*e.Join, now); !m.Joined {
			m.Joined, m.Offset = true, e.Offset
		}
	case e.Goodbye != nil:
		if m := n.Members.Get(e.Goodbye.Instance); m != nil {
			m.Gone = true
		}
	case e.Claim != nil:
		n.Tenures.Learn(*e.Claim, now, &n.Members)
	}
}

// first reports whether every member that joined before this process is known
// to have ended.
func (n *Node) first() bool {
	for _, m := range n.Members.All() {
		if m.Joined && m.Offset < n.Offset && !m.Ended() {
			return false
		}
	}
	return true
}

// ClaimDue starts, drops and completes pending claims for the data centres and
// appends the claims that are due to dst. Repeat is the time after which an
// append without a known outcome is repeated, even if the owner is heard of
// again: until a claim of that epoch is known, this process can promise nothing.
func (n *Node) ClaimDue(dst []Claim, centres []unit.DataCentre, now clock.Millis, repeat clock.Span) []Claim {
	for _, dc := range centres {
		row := n.Tenures.Ensure(dc)
		pending := n.Pending.Get(dc)
		if pending != nil && row.Epoch >= pending.Epoch {
			n.Pending.Delete(dc)
			pending = nil
		}
		appended := pending != nil && pending.Appended > 0
		if n.Leaving || !appended && !Due(row, dc, &n.Members, &n.Self, now, n.Limits) {
			if !appended {
				n.Pending.Delete(dc)
			}
			continue
		}
		if pending == nil {
			pending = n.Pending.Put(dc, PendingClaim{Epoch: row.Epoch + 1, Since: now})
		}
		if appended && now.Sub(pending.Appended) < repeat || !pending.Ready(row, &n.Members, &n.Self, now, n.Limits) {
			continue
		}
		if appended {
			pending.Unsure++
		}
		pending.Appended = max(now, 1)
		dst = append(dst, Claim{DataCentre: dc, Epoch: pending.Epoch, Instance: n.Self.Instance, Cleared: row.Cleared})
	}
	return dst
}

// Prune forgets the members that ended before the isolation bound and whose
// rights nothing waits for any more.
func (n *Node) Prune(now clock.Millis) {
	n.Members.Prune(now, n.Limits.Outstanding(n.Limits.Isolated), func(id unit.Instance) bool {
		for _, r := range n.Tenures.All() {
			if r.Instance == id {
				return true
			}
			for _, f := range r.Formers {
				if f.Instance == id {
					return true
				}
			}
		}
		return false
	})
}
