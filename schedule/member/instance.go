package member

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// Version counts the updates about members and claims that one process has
// recorded. A peer that has merged version v has merged all updates up to v.
type Version uint64

// Identity describes an instance to its peers. It is also the body of a join
// record in the journal.
type Identity struct {
	Instance   unit.Instance   `json:"instance" cbor:"1,keyasint"`
	Address    string          `json:"address" cbor:"2,keyasint"` // for peers, "ip:port"
	Host       unit.Host       `json:"host" cbor:"3,keyasint"`
	DataCentre unit.DataCentre `json:"dataCentre" cbor:"4,keyasint"`
}

// Goodbye is the body of the journal record that an instance writes after it has
// ended its requests and handed over its tenures.
type Goodbye struct {
	Instance unit.Instance `json:"instance" cbor:"1,keyasint"`
}

// Promise is a statement of a member to the receiver of its heartbeats. It is
// valid for tenure.Limits.QuickRight after From. The member states that it has
// recorded no claim or member that it has not sent, that it appends no claim
// except for the data centres in Claiming, and that it acknowledges no member
// that the receiver has not recorded.
type Promise struct {
	From     clock.Millis // start, on the clock of the receiver; zero if there is no promise
	Claiming []unit.DataCentre
}

// Excludes reports whether the promise does not cover dc.
func (p *Promise) Excludes(dc unit.DataCentre) bool {
	for _, c := range p.Claiming {
		if c == dc {
			return true
		}
	}
	return false
}

// Row is the state of one other instance of the entry process, which is a member
// or about to become one. All instants are on the clock of this process except
// those marked as on the sender's clock.
type Row struct {
	Identity
	Version       Version      // version of this process's update that added the instance
	AddedAt       clock.Millis // when it was added
	Joined        bool         // its join record was read from the journal
	JoinOffset    unit.Offset  // of the join record
	Left          bool         // its [Goodbye] record was read from the journal
	Leaving       bool         // it reported that it is shutting down
	Dead          bool         // it is proven to run no more
	DeadAt        clock.Millis // when it was proven dead
	ReadSinceDead bool         // a journal read that began after DeadAt has reached the end

	LastHeartbeatAt clock.Millis // arrival of its last heartbeat; AddedAt before the first one
	LastSent        clock.Millis // Sent of that heartbeat, on the sender's clock
	MergedVersion   Version      // version of this process that the instance has merged
	// CompleteMergedVersion is MergedVersion of the last heartbeat that was not
	// partial. After such a heartbeat this process has merged every member that
	// the instance had recorded and that had not ended. A takeover counts only
	// this version, because it waits for the reports of all these members.
	CompleteMergedVersion Version
	ReceivedVersion       Version // version of the instance that this process has merged
	Promise               Promise

	// ReadCovers is Sent of a heartbeat of the instance. After that heartbeat
	// arrived, this process began and completed a journal read. The instance may
	// count that read as its own read that began at this time.
	ReadCovers      clock.Millis // on the sender's clock
	pendingReadSent clock.Millis // Sent of the heartbeat that waits for a complete read, on the sender's clock
	pendingReadAt   clock.Millis // when that heartbeat arrived; zero if none waits

	IntroducedAt clock.Millis // when it first requested an acknowledgement; zero before
	Acknowledged bool         // this process acknowledges it
}

// Ended reports whether the instance has left or is proven dead.
func (r *Row) Ended() bool { return r.Left || r.Dead }

// SilentFor returns the time since the last heartbeat of the instance.
func (r *Row) SilentFor(now clock.Millis) clock.Span { return now.Sub(r.LastHeartbeatAt) }

// Table holds the other instances by name. The zero value is empty.
type Table struct {
	table.Table[unit.Instance, Row]
	version Version
}

// Version returns the version of the last update of this process.
func (t *Table) Version() Version { return t.version }

// NextVersion increments and returns the version, for a new update to send to the
// peers.
func (t *Table) NextVersion() Version {
	t.version++
	return t.version
}

// Add adds an instance unless the table has it, and returns its row.
func (t *Table) Add(identity Identity, now clock.Millis) *Row {
	if r := t.Get(identity.Instance); r != nil {
		return r
	}
	return t.Put(identity.Instance, Row{Identity: identity, Version: t.NextVersion(), AddedAt: now, LastHeartbeatAt: now})
}

// MarkDead records that an instance is proven dead: its address refused the
// connection, another instance responded there, or the operator declared its data
// centre lost.
func (t *Table) MarkDead(id unit.Instance, now clock.Millis) {
	if r := t.Get(id); r != nil && !r.Dead {
		r.Dead, r.DeadAt = true, now
	}
}

// MarkAllDead records every instance that matches selects as proven dead.
func (t *Table) MarkAllDead(matches func(*Row) bool, now clock.Millis) {
	for id, r := range t.All() {
		if !r.Dead && matches(r) {
			t.MarkDead(id, now)
		}
	}
}

// Prune removes the ended instances that have been silent for longer than maxAge,
// except those that keep selects. A dead instance is removed only after a
// complete journal read. Version numbers are not reused.
func (t *Table) Prune(now clock.Millis, maxAge clock.Span, keep func(unit.Instance) bool) {
	t.DeleteFunc(func(id unit.Instance, r *Row) bool {
		return (r.Left || r.ReadSinceDead) && r.SilentFor(now) > maxAge && !keep(id)
	})
}

// RecordHeartbeat records the arrival of a heartbeat and reports whether it is
// newer than all previous ones. sent is on the sender's clock.
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

// CompleteRead records that a journal read which began at startedAt has reached
// the end.
func (t *Table) CompleteRead(startedAt clock.Millis) {
	for _, r := range t.All() {
		if r.pendingReadAt > 0 && r.pendingReadAt <= startedAt {
			r.ReadCovers, r.pendingReadAt = r.pendingReadSent, 0
		}
		if r.Dead && startedAt >= r.DeadAt {
			r.ReadSinceDead = true
		}
	}
}

// PromiseNeeded reports whether a confirmation of dc by promises needs the
// promise of r. The promise of a dead member can be left out only if that
// member cannot have acknowledged a member that this process does not have: the
// proof of death came while its last promise was valid, or a journal read after
// the proof shows every joined member.
func (r *Row) PromiseNeeded(dc unit.DataCentre, confirm clock.Span) bool {
	if r.Left || r.ReadSinceDead {
		return false
	}
	return !r.Dead || r.Promise.From == 0 || r.DeadAt >= r.Promise.From.Add(confirm) || r.Promise.Excludes(dc)
}

// RecordIntroduction records that r requests an acknowledgement.
func (r *Row) RecordIntroduction(now clock.Millis) {
	if r.IntroducedAt == 0 {
		r.IntroducedAt = max(now, 1)
	}
}

// Acknowledge acknowledges the introduced members for which this is safe. It is
// safe if every other member has merged the new member, or if the promises that
// this process gave before it recorded the new member have expired, which is the
// case when wait has passed since the new member was added.
func Acknowledge(t *Table, now clock.Millis, wait clock.Span) {
	for _, r := range t.All() {
		if r.Acknowledged || r.IntroducedAt == 0 {
			continue
		}
		r.Acknowledged = now >= r.AddedAt.Add(wait) || mergedByAll(t, r)
	}
}

// mergedByAll reports whether every other member that has not ended has merged r.
func mergedByAll(t *Table, r *Row) bool {
	for id, other := range t.All() {
		if id != r.Instance && !other.Ended() && other.MergedVersion < r.Version {
			return false
		}
	}
	return true
}
