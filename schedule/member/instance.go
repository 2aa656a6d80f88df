package member

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// Version counts what one process has learned about members and claims. A
// peer that has merged version v knows everything up to v.
type Version uint64

// Identity is what is told about an instance. It is the body of a join record.
type Identity struct {
	Instance   unit.Instance   `json:"instance" cbor:"1,keyasint"`
	Address    string          `json:"address" cbor:"2,keyasint"` // for peers, "ip:port"
	Host       unit.Host       `json:"host" cbor:"3,keyasint"`
	DataCentre unit.DataCentre `json:"dataCentre" cbor:"4,keyasint"`
}

// Goodbye is the body of the record that an instance writes when it has ended
// its requests and handed its tenures over.
type Goodbye struct {
	Instance unit.Instance `json:"instance" cbor:"1,keyasint"`
}

// Promise is a statement of a member, valid for the confirm time after From:
// it knows no newer claim or member than it has told, appends no claim except
// for the data centres in Claiming, and acknowledges no member that the
// receiver does not know.
type Promise struct {
	From     clock.Millis // own instant from which it counts; zero if none was given
	Claiming []unit.DataCentre
}

// Excludes reports whether the promise leaves out dc.
func (p *Promise) Excludes(dc unit.DataCentre) bool {
	for _, c := range p.Claiming {
		if c == dc {
			return true
		}
	}
	return false
}

// Row is one other instance as this process knows it. All instants are on the
// clock of this process but for Sent.
type Row struct {
	Identity
	Version  Version      // of this process when it learned of the instance
	Learned  clock.Millis // when it did
	Joined   bool         // its join record was seen in the journal
	Offset   unit.Offset  // of the join record
	Gone     bool         // its goodbye record was seen
	Leaving  bool         // it said that it is shutting down
	Dead     bool         // its death is proven
	DeadAt   clock.Millis // when the proof came
	DeadRead bool         // a journal read that began after the proof is complete

	LastHeartbeatAt clock.Millis // arrival of its last heartbeat; Learned before the first
	LastSent        clock.Millis // instant of that heartbeat on the sender's clock
	Merged          Version      // what it has merged of this process
	MergedComplete  Version      // the same, as of a heartbeat that told everything the peer knew
	ReceivedVersion Version      // what this process has merged of it
	Promise         Promise

	// A heartbeat of the peer that arrived before a complete journal read
	// began; the peer may count that read as its own from that instant.
	Read            clock.Millis // on the sender's clock
	pendingReadSent clock.Millis // the next such instant
	pendingReadAt   clock.Millis // when that heartbeat arrived; zero if there is none

	IntroducedAt clock.Millis // when it asked to be acknowledged
	Acknowledged bool
}

// Ended reports whether the instance is known to run no more.
func (r *Row) Ended() bool { return r.Gone || r.Dead }

// Silent returns for how long nothing was heard of the instance.
func (r *Row) Silent(now clock.Millis) clock.Span { return now.Sub(r.LastHeartbeatAt) }

// Table holds the other instances. The zero value is empty.
type Table struct {
	table.Table[unit.Instance, Row]
	version Version
}

// Version returns the version of what this process knows.
func (t *Table) Version() Version { return t.version }

// NextVersion returns the next version, for a new fact to be told to the peers.
func (t *Table) NextVersion() Version {
	t.version++
	return t.version
}

// Add adds an instance unless it is known and returns its row.
func (t *Table) Add(identity Identity, now clock.Millis) *Row {
	if r := t.Get(identity.Instance); r != nil {
		return r
	}
	return t.Put(identity.Instance, Row{Identity: identity, Version: t.NextVersion(), Learned: now, LastHeartbeatAt: now})
}

// Prove records that the death of an instance is proven: the connection was
// refused at its address, another instance answered there, or the operator
// declared its data centre lost.
func (t *Table) Prove(id unit.Instance, now clock.Millis) {
	if r := t.Get(id); r != nil && !r.Dead {
		r.Dead, r.DeadAt = true, now
	}
}

// ProveAll records the death of every instance that pred selects.
func (t *Table) ProveAll(matches func(*Row) bool, now clock.Millis) {
	for id, r := range t.All() {
		if !r.Dead && matches(r) {
			t.Prove(id, now)
		}
	}
}

// Prune removes the instances that ended more than age ago, but for those that
// keep selects. Version numbers are not used again.
func (t *Table) Prune(now clock.Millis, maxAge clock.Span, keep func(unit.Instance) bool) {
	t.DeleteFunc(func(id unit.Instance, r *Row) bool {
		return (r.Gone || r.DeadRead) && r.Silent(now) > maxAge && !keep(id)
	})
}

// RecordHeartbeat notes the arrival of a heartbeat and reports whether it is newer than
// all before.
func (r *Row) RecordHeartbeat(sent, now clock.Millis) bool {
	if sent <= r.LastSent {
		return false
	}
	r.LastSent, r.LastHeartbeatAt = sent, now
	if r.pendingReadAt == 0 {
		r.pendingReadSent, r.pendingReadAt = sent, max(now, 1)
	}
	return true
}

// CompleteRead notes that a read which began at asked has reached the end of
// the journal.
func (t *Table) CompleteRead(startedAt clock.Millis) {
	for _, r := range t.All() {
		if r.pendingReadAt > 0 && r.pendingReadAt <= startedAt {
			r.Read, r.pendingReadAt = r.pendingReadSent, 0
		}
		if r.Dead && startedAt >= r.DeadAt {
			r.DeadRead = true
		}
	}
}

// PromiseNeeded reports whether a confirmation for dc that counts promises needs one
// of r. A member whose death is proven is left out only when it can't have
// acknowledged an unknown member before it died: the proof came while its last
// promise held, or a journal read after the proof shows every joined member.
func (r *Row) PromiseNeeded(dc unit.DataCentre, confirm clock.Span) bool {
	if r.Gone || r.DeadRead {
		return false
	}
	return !r.Dead || r.Promise.From == 0 || r.DeadAt >= r.Promise.From.Add(confirm) || r.Promise.Excludes(dc)
}

// RecordIntroduction notes that r asks to be acknowledged.
func (r *Row) RecordIntroduction(now clock.Millis) {
	if r.IntroducedAt == 0 {
		r.IntroducedAt = max(now, 1)
	}
}

// Acknowledge decides which introduced members can be acknowledged. Every
// other member must have merged the new one, or the last promise that did not
// name it must have ended; wait is the time that takes.
func Acknowledge(t *Table, now clock.Millis, wait clock.Span) {
	for _, r := range t.All() {
		if r.Acknowledged || r.IntroducedAt == 0 {
			continue
		}
		r.Acknowledged = now >= r.Learned.Add(wait) || mergedByAll(t, r)
	}
}

func mergedByAll(t *Table, r *Row) bool {
	for id, other := range t.All() {
		if id != r.Instance && !other.Ended() && other.Merged < r.Version {
			return false
		}
	}
	return true
}
