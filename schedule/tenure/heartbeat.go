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
	Base         member.Version    `json:"base" cbor:"4,keyasint,omitempty"`    // the news are those after it
	Version      member.Version    `json:"version" cbor:"5,keyasint,omitempty"` // the news are those up to it
	Merged       member.Version    `json:"merged" cbor:"6,keyasint,omitempty"`  // what the sender has merged of the receiver
	Members      []member.Card     `json:"members,omitempty" cbor:"7,keyasint,omitempty"`
	Claims       []Claim           `json:"claims,omitempty" cbor:"8,keyasint,omitempty"`
	Partial      bool              `json:"partial,omitempty" cbor:"9,keyasint,omitempty"` // more news follow; no promise
	Claiming     []unit.DataCentre `json:"claiming,omitempty" cbor:"10,keyasint,omitempty"`
	Introducing  bool              `json:"introducing,omitempty" cbor:"11,keyasint,omitempty"`  // the sender asks to be acknowledged
	Acknowledged bool              `json:"acknowledged,omitempty" cbor:"12,keyasint,omitempty"` // the sender acknowledges the receiver
	Leaving      bool              `json:"leaving,omitempty" cbor:"13,keyasint,omitempty"`
	Card         *member.Card      `json:"card,omitempty" cbor:"14,keyasint,omitempty"` // of the sender, until the receiver has merged something
	Revision     unit.Revision     `json:"revision,omitempty" cbor:"15,keyasint,omitempty"`
	TextHash     uint64            `json:"textHash,omitempty" cbor:"16,keyasint,omitempty"`
	LeavingHosts []string          `json:"leavingHosts,omitempty" cbor:"18,keyasint,omitempty"` // addresses that lately told a process that they are going away
	JournalEnd   unit.Offset       `json:"journalEnd,omitempty" cbor:"17,keyasint,omitempty"`
}

// maxNews bounds the facts of one heartbeat.
const maxNews = 64

// Node is what one process knows of members and tenures and of its own part.
// The zero value knows nothing; Self and Limits must be set.
type Node struct {
	Self     Standing
	Limits   Limits
	Members  member.Table
	Tenures  Table
	Bids     Bids
	JoinedAt clock.Millis // when the own join record was seen in the journal; zero before
	Offset   unit.Offset  // of the own join record
	Leaving  bool
}

// fact is a news of a heartbeat with its version.
type fact struct {
	version member.Version
	card    *member.Card
	claim   *Claim
}

// Beat returns the next heartbeat to m. A nil m stands for an address where a
// member is expected.
func (n *Node) Beat(m *member.Row, now clock.Millis) Heartbeat {
	b := Heartbeat{Sent: max(now, 1), Introducing: n.Self.Acknowledged == 0 && !n.Self.Founder, Leaving: n.Leaving}
	if m == nil {
		b.Card, b.Partial = &n.Self.Card, true
		return b
	}
	b.Echo, b.Read, b.Merged, b.Base = m.Sent, m.Read, m.Known, m.Merged
	b.Acknowledged = m.Acknowledged
	if m.Merged == 0 {
		b.Card = &n.Self.Card
	}
	n.addNews(&b)
	for dc := range n.Bids.All() {
		b.Claiming = append(b.Claiming, dc)
	}
	return b
}

func (n *Node) addNews(b *Heartbeat) {
	b.Version = n.Members.Version()
	if b.Base >= b.Version {
		return
	}
	var facts []fact
	for _, m := range n.Members.All() {
		if m.Version > b.Base && !m.Ended() { // one that has ended claims nothing
			facts = append(facts, fact{version: m.Version, card: &m.Card})
		}
	}
	for _, r := range n.Tenures.All() {
		if r.Version > b.Base {
			facts = append(facts, fact{version: r.Version, claim: &r.Claim})
		}
	}
	if len(facts) > maxNews {
		slices.SortFunc(facts, func(x, y fact) int { return cmp.Compare(x.version, y.version) })
		facts, b.Partial = facts[:maxNews], true
		b.Version = facts[maxNews-1].version
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
		if b.Card == nil || b.Card.Instance != from {
			return
		}
		m = n.Members.Learn(*b.Card, now)
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
	Join    *member.Card
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

// Bid starts, drops and completes bids for the data centres and appends the
// claims that are due to dst. Repeat is the time after which an append without
// a known outcome is repeated.
func (n *Node) Bid(dst []Claim, centres []unit.DataCentre, now clock.Millis, repeat clock.Span) []Claim {
	for _, dc := range centres {
		row := n.Tenures.Ensure(dc)
		bid := n.Bids.Get(dc)
		if bid != nil && row.Epoch >= bid.Epoch {
			n.Bids.Delete(dc)
			bid = nil
		}
		if n.Leaving || !Due(row, dc, &n.Members, &n.Self, now, n.Limits) {
			if bid != nil && bid.Appended == 0 {
				n.Bids.Delete(dc)
			}
			continue
		}
		if bid == nil {
			bid = n.Bids.Put(dc, Bid{Epoch: row.Epoch + 1, Since: now})
		}
		if bid.Appended > 0 && now.Sub(bid.Appended) < repeat || !bid.Ready(row, &n.Members, &n.Self, now, n.Limits) {
			continue
		}
		if bid.Appended > 0 {
			bid.Unsure++
		}
		bid.Appended = max(now, 1)
		dst = append(dst, Claim{DataCentre: dc, Epoch: bid.Epoch, Instance: n.Self.Instance, Cleared: row.Cleared})
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
