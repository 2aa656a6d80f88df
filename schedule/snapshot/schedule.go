package snapshot

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// RetryAfter is how long a writer waits for the snapshot that it has written
// to be read back before it writes another.
const RetryAfter = 30 * clock.Second

// Limits say how much journal may follow a snapshot before the next one is
// due. A limit of zero is none.
type Limits struct {
	Entries unit.Offset // retention of the journal by count
	Age     clock.Span  // retention of the journal by age
	Tail    unit.Bytes  // bounds the time that a recovery takes
	Changes int         // configuration changes; each costs a check of the text at recovery
}

// DefaultLimits are for a journal that keeps a day or a million entries.
var DefaultLimits = Limits{Entries: 1_000_000, Age: 24 * clock.Hour, Tail: 8 << 20, Changes: 32}

// progress is what has happened since the newest snapshot of a scope.
type progress struct {
	hasSnapshot    bool        // false until a snapshot was read
	coveredTo      unit.Offset // covers everything before
	firstOffset    unit.Offset // first record of the snapshot; of the scope if there is none
	readAt         clock.Millis
	dueAtOnce      bool // found at recovery, so that its age is unknown, or fresh
	tailBytes      unit.Bytes
	changes        int
	attemptPending bool
	attemptedAt    clock.Millis
}

// Schedule knows the newest snapshot of each scope. The zero value knows none
// and has no limits.
type Schedule struct {
	Limits Limits

	rows table.Table[Scope, progress]
}

// Note takes in a complete snapshot that was read at the instant now. One
// found at recovery is of unknown age, which counts as due. So does a fresh
// one, since a reader that finds no other has to look through the whole
// journal.
func (s *Schedule) Note(f Found, now clock.Millis, recovered bool) {
	row := s.rows.Get(f.Scope)
	if row != nil && row.hasSnapshot && f.At < row.coveredTo {
		return
	}
	s.rows.Put(f.Scope, progress{hasSnapshot: true, coveredTo: f.At, firstOffset: f.From, readAt: now, dueAtOnce: recovered || f.Fresh})
}

// Touch notes that the scope has records from the offset on, so that readers
// look for them while it has no snapshot.
func (s *Schedule) Touch(scope Scope, at unit.Offset) {
	if s.rows.Get(scope) == nil {
		s.rows.Put(scope, progress{firstOffset: at})
	}
}

// Grow takes in that entries of n bytes with the given number of changes were
// read.
func (s *Schedule) Grow(n unit.Bytes, changes int) {
	for _, row := range s.rows.All() {
		row.tailBytes += n
		row.changes += changes
	}
}

// Tried notes that a snapshot of the scope was handed to the journal.
func (s *Schedule) Tried(scope Scope, now clock.Millis) {
	row := s.rows.Get(scope)
	if row == nil {
		row = s.rows.Put(scope, progress{})
	}
	row.attemptedAt, row.attemptPending = now, true
}

// Shares of the retention after which a snapshot is due, in quarters. The
// first leaves the writer time to fail; the second lets another process step
// in before retention has passed.
const (
	dueQuarters     = 2
	overdueQuarters = 3
)

// Failed notes that the journal didn't take the snapshot that was tried.
func (s *Schedule) Failed(scope Scope) {
	if row := s.rows.Get(scope); row != nil {
		row.attemptPending = false
	}
}

// Idle reports whether no snapshot of the scope is on its way to the journal.
func (s *Schedule) Idle(scope Scope, now clock.Millis) bool {
	row := s.rows.Get(scope)
	return row == nil || !row.attemptPending || now.Sub(row.attemptedAt) >= RetryAfter
}

// Due reports whether the scope needs a snapshot when next is the offset that
// is read next. It does once half of the retention has passed, and when none
// is known.
func (s *Schedule) Due(scope Scope, next unit.Offset, now clock.Millis) bool {
	row := s.rows.Get(scope)
	if row == nil {
		return true
	}
	if !s.Idle(scope, now) {
		return false
	}
	return !row.hasSnapshot || row.dueAtOnce || s.limitPassed(row, next, now, dueQuarters)
}

// Overdue reports whether three quarters of the retention have passed, so
// that any owner has to write the snapshot.
func (s *Schedule) Overdue(scope Scope, next unit.Offset, now clock.Millis) bool {
	row := s.rows.Get(scope)
	return row != nil && row.hasSnapshot && s.Due(scope, next, now) && s.limitPassed(row, next, now, overdueQuarters)
}

// limitPassed compares the retention with quarters/4, and the limits of the tail
// with quarters/2, which is all of them when a snapshot is due.
func (s *Schedule) limitPassed(row *progress, next unit.Offset, now clock.Millis, quarters int) bool {
	l := s.Limits
	return l.Entries > 0 && (next-row.coveredTo)*4 >= l.Entries*unit.Offset(quarters) ||
		l.Age > 0 && now.Sub(row.readAt)*4 >= l.Age*clock.Span(quarters) ||
		l.Tail > 0 && row.tailBytes*2 >= l.Tail*unit.Bytes(quarters) ||
		l.Changes > 0 && row.changes*2 >= l.Changes*quarters
}

// Forget drops a scope that no longer exists, such as that of a data centre
// that the services text no longer lists.
func (s *Schedule) Forget(scope Scope) { s.rows.Delete(scope) }

// Scopes appends the known scopes to dst.
func (s *Schedule) Scopes(dst []Scope) []Scope {
	for scope := range s.rows.All() {
		dst = append(dst, scope)
	}
	return dst
}

// Others returns references to all known scopes but the given one.
func (s *Schedule) Others(scope Scope) []Ref {
	var out []Ref
	for k, row := range s.rows.All() {
		if k != scope {
			out = append(out, Ref{Scope: k, From: row.firstOffset})
		}
	}
	return out
}

// Owner is a live owner of a data centre.
type Owner struct {
	DataCentre unit.DataCentre
	Instance   unit.Instance
}

// Writer returns the process that writes the snapshots of the scope: the owner
// of the data centre, and for [Common] the owner of the first data centre by
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
