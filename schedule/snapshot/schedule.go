package snapshot

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// RetryAfter is how long a writer waits to read a snapshot back from the
// journal before it writes the snapshot again.
const RetryAfter = 30 * clock.Second

// Limits determine when the next snapshot is due. They apply to the entries that
// were read from the journal since the last snapshot. Zero means no limit.
type Limits struct {
	Entries   unit.Offset // retention of the journal by count
	Age       clock.Span  // retention of the journal by age
	TailBytes unit.Bytes  // size of the entries after the snapshot; limits the duration of a recovery
	Changes   int         // configuration changes; recovery must check the text of each
}

// DefaultLimits are the limits for a journal with a retention of one day or one
// million entries.
var DefaultLimits = Limits{Entries: 1_000_000, Age: 24 * clock.Hour, TailBytes: 8 << 20, Changes: 32}

// progress describes the newest snapshot of a scope and the entries that were
// read from the journal since then.
type progress struct {
	hasSnapshot    bool        // a snapshot was read
	coveredTo      unit.Offset // the snapshot covers all records before this offset
	firstOffset    unit.Offset // first record of the snapshot, or of the scope without a snapshot
	readAt         clock.Millis
	dueAtOnce      bool // the snapshot is fresh, or was read at recovery and has an unknown age
	tailBytes      unit.Bytes
	changes        int
	attemptPending bool
	attemptedAt    clock.Millis
}

// Schedule decides when each scope needs a new snapshot. The zero value has no
// scopes and no limits.
type Schedule struct {
	Limits Limits

	rows table.Table[Scope, progress]
}

// RecordSnapshot records a complete snapshot that was read at now. It does
// nothing if a snapshot that covers more records is known. A snapshot read at
// recovery has an unknown age, so the next one is due at once. The next one is
// also due at once after a fresh snapshot, because a reader that finds only
// fresh snapshots must search the whole journal.
func (s *Schedule) RecordSnapshot(found Snapshot, now clock.Millis, recovered bool) {
	row := s.rows.Get(found.Scope)
	if row != nil && row.hasSnapshot && found.At < row.coveredTo {
		return
	}
	s.rows.Put(found.Scope, progress{hasSnapshot: true, coveredTo: found.At, firstOffset: found.FirstOffset, readAt: now, dueAtOnce: recovered || found.Fresh})
}

// RecordScope records that the scope has records from the offset on. While the
// scope has no snapshot, [Schedule.Others] refers readers to this offset. It
// does nothing for a known scope.
func (s *Schedule) RecordScope(scope Scope, offset unit.Offset) {
	if s.rows.Get(scope) == nil {
		s.rows.Put(scope, progress{firstOffset: offset})
	}
}

// RecordEntries records that entries of n bytes in total with the given number
// of configuration changes were read.
func (s *Schedule) RecordEntries(n unit.Bytes, changes int) {
	for _, row := range s.rows.All() {
		row.tailBytes += n
		row.changes += changes
	}
}

// RecordAttempt records that an append of a snapshot of the scope has begun.
func (s *Schedule) RecordAttempt(scope Scope, now clock.Millis) {
	row := s.rows.Get(scope)
	if row == nil {
		row = s.rows.Put(scope, progress{})
	}
	row.attemptedAt, row.attemptPending = now, true
}

// Numerators of the shares of a limit at which a snapshot is due or overdue. A
// snapshot is due at 2/4 of a retention limit (Entries, Age) or at 2/2 of another
// limit (TailBytes, Changes), and overdue at 3/4 or 3/2. Half of the retention
// leaves the writer time for retries. At three quarters another process still has
// time to write the snapshot before retention removes the records.
const (
	dueNumerator     = 2
	overdueNumerator = 3
)

// RecordFailure records that the append of a snapshot of the scope failed.
func (s *Schedule) RecordFailure(scope Scope) {
	if row := s.rows.Get(scope); row != nil {
		row.attemptPending = false
	}
}

// NoAppendPending reports whether no append of a snapshot of the scope is
// pending. A pending append expires after [RetryAfter].
func (s *Schedule) NoAppendPending(scope Scope, now clock.Millis) bool {
	row := s.rows.Get(scope)
	return row == nil || !row.attemptPending || now.Sub(row.attemptedAt) >= RetryAfter
}

// Due reports whether the scope needs a snapshot and no append is pending. Next
// is the offset of the next read. A snapshot is due in three cases: none is
// known, the last one is fresh or of unknown age, or half of the retention or
// the whole of another limit has been reached.
func (s *Schedule) Due(scope Scope, next unit.Offset, now clock.Millis) bool {
	row := s.rows.Get(scope)
	if row == nil {
		return true
	}
	if !s.NoAppendPending(scope, now) {
		return false
	}
	return !row.hasSnapshot || row.dueAtOnce || s.limitPassed(row, next, now, dueNumerator)
}

// Overdue reports whether a snapshot is due and three quarters of the retention
// or one and a half times another limit have been reached. Any owner must then
// write the snapshot.
func (s *Schedule) Overdue(scope Scope, next unit.Offset, now clock.Millis) bool {
	row := s.rows.Get(scope)
	return row != nil && row.hasSnapshot && s.Due(scope, next, now) && s.limitPassed(row, next, now, overdueNumerator)
}

// limitPassed reports whether numerator/4 of Limits.Entries or Limits.Age, or
// numerator/2 of Limits.TailBytes or Limits.Changes, has been reached. The
// numerator is dueNumerator or overdueNumerator.
func (s *Schedule) limitPassed(row *progress, next unit.Offset, now clock.Millis, numerator int) bool {
	l := s.Limits
	return l.Entries > 0 && (next-row.coveredTo)*4 >= l.Entries*unit.Offset(numerator) ||
		l.Age > 0 && now.Sub(row.readAt)*4 >= l.Age*clock.Span(numerator) ||
		l.TailBytes > 0 && row.tailBytes*2 >= l.TailBytes*unit.Bytes(numerator) ||
		l.Changes > 0 && row.changes*2 >= l.Changes*numerator
}

// Forget removes a scope that no longer exists, such as the scope of a data
// centre that was removed from the services text.
func (s *Schedule) Forget(scope Scope) { s.rows.Delete(scope) }

// Scopes appends the known scopes to dst.
func (s *Schedule) Scopes(dst []Scope) []Scope {
	for scope := range s.rows.All() {
		dst = append(dst, scope)
	}
	return dst
}

// Others returns references to all known scopes except the given one.
func (s *Schedule) Others(scope Scope) []Ref {
	var out []Ref
	for k, row := range s.rows.All() {
		if k != scope {
			out = append(out, Ref{Scope: k, From: row.firstOffset})
		}
	}
	return out
}

// Owner is a live instance that owns a data centre.
type Owner struct {
	DataCentre unit.DataCentre
	Instance   unit.Instance
}

// Writer returns the instance that writes the snapshots of the scope: the owner
// of the data centre or, for [Common], the owner of the first data centre by
// name. It returns "" if there is no such owner.
func Writer(scope Scope, owners []Owner) unit.Instance {
	var first *Owner
	for i := range owners {
		o := &owners[i]
		if scope == ScopeOf(o.DataCentre) {
			return o.Instance
		}
		if first == nil || o.DataCentre < first.DataCentre {
			first = o
		}
	}
	if scope != Common || first == nil {
		return ""
	}
	return first.Instance
}
