package dispatch

import (
	"cmp"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// boundDelay is how long a reconciled executor with runs must be silent before
	// the bound of its lease is stored. A bound that is stored keeps the lease from being
	// renewed until a later append.
	boundDelay = clock.Second
	// boundInterval is the interval between two records of the same bounds. Each
	// lowers the remaining times that a successor without a reference clock sees.
	boundInterval = 500 * clock.Millisecond
	// maxReferenceWait is how long the first record of an owner waits for a reading
	// of a clock, and of a clock of the record before. Without them, the record would
	// say less than the one that it replaces.
	maxReferenceWait = 300 * clock.Millisecond
	// maxReferences is the number of reference clocks in a record.
	maxReferences = 3
	// maxReferenceAge is the age up to which a clock reading is used as a reference.
	maxReferenceAge = 5 * clock.Second
)

// LeaseRecord is what an owner stores about the leases of executors, for its
// successor. The record of a successor replaces it.
//
// A successor does not know until when its predecessor renewed a lease. Without
// the record, each of several owners in a row would wait anew for the leases of
// the executors that it can't reach.
type LeaseRecord struct {
	Member  unit.Member  `cbor:"1,keyasint"` // the owner
	Lease   clock.Span   `cbor:"2,keyasint"` // longest lease that it grants
	Renewal clock.Span   `cbor:"3,keyasint"` // time after its last confirmed join up to which it renews leases
	TTL     clock.Span   `cbor:"6,keyasint"` // time after its last join at which the store removes it from the members
	Bounds  []LeaseBound `cbor:"4,keyasint,omitempty"`
	// References are clocks that the owner has read. A successor that reads one of
	// them knows how long ago the record was made at least.
	References []ReferenceClock `cbor:"5,keyasint,omitempty"`
}

// LeaseBound is the time by which the lease of an executor must have expired. No
// owner renews the lease of an executor with a stored bound.
type LeaseBound struct {
	_         struct{} `cbor:",toarray"`
	Executor  unit.Executor
	Remaining clock.Span // from the making of the record on
}

// ReferenceClock is the highest possible reading of the clock of an executor at
// the making of a record.
type ReferenceClock struct {
	_           struct{} `cbor:",toarray"`
	Executor    unit.Executor
	Incarnation unit.UnixMillis
	Reading     unit.ExecutorMillis
}

// leaseBounds is the state of the bounds of leases in a shard. The zero value is
// that of a shard without a predecessor.
type leaseBounds struct {
	recorded  bool                   // a record of this owner is stored
	stored    map[unit.Executor]bool // executors with a bound in the store or in the append in flight
	appending map[unit.Executor]bool // executors with a bound in the append in flight; nil if it has no record
	storedAt  clock.Millis           // when the last record was collected, 0 if none was

	predecessor LeaseRecord
	inherited   map[unit.Executor]clock.Span // bounds in the record of the predecessor
	madeBy      clock.Millis                 // latest time at which that record can have been made
	readAt      clock.Millis                 // when a reference clock of that record was first read, 0 if none was
	outdated    bool                         // bounds can be lower than in the last record
	goneAt      clock.Millis                 // when the store had removed the predecessor from the members, 0 if that is not known
	gainedAt    clock.Millis                 // when the shard was assigned to this owner
}

// legacyRecord stands for the record of a predecessor of a version that stores
// none.
var legacyRecord = LeaseRecord{Lease: 6 * clock.Second, Renewal: 2 * clock.Second}

// longestLease returns the time that a lease can last on the clock of an owner. The
// clock of an executor may be slow by maxClockDrift.
func longestLease(lease clock.Span) clock.Span {
	return lease + clock.Span(float64(lease)*maxClockDrift) + leaseMargin
}

// longestLeaseAfterRestart returns the time that a lease can last on the clock of an
// owner after a later incarnation has carried out a start. On its clock the deadline
// can lie far ahead, and it shortens the lease to MaxHold only.
func (s *Shard) longestLeaseAfterRestart() clock.Span {
	return longestLease(max(s.Limits.Lease, s.Limits.MaxHold))
}

// RestoreLeaseRecord sets the record of the predecessor, or nil if the store has
// none. It must be called before [Shard.StartOwnership]; now is the time at which
// the record was read.
func (s *Shard) RestoreLeaseRecord(now clock.Millis, r *LeaseRecord) {
	if r == nil {
		r = &legacyRecord
	}
	b := &s.leases
	b.predecessor, b.madeBy = *r, now
	b.inherited, b.stored = make(map[unit.Executor]clock.Span), make(map[unit.Executor]bool)
	for _, bound := range r.Bounds {
		b.inherited[bound.Executor] = bound.Remaining
		b.stored[bound.Executor] = true
	}
}

// Predecessor returns the member that owned the shard before, or "" if it is
// unknown.
func (s *Shard) Predecessor() unit.Member { return s.leases.predecessor.Member }

// HandlePredecessorGone records that the predecessor is no member any more, so
// that its last join was at least its TTL ago.
func (s *Shard) HandlePredecessorGone(now clock.Millis) {
	if s.leases.goneAt == 0 {
		s.leases.goneAt, s.leases.outdated = now, true
	}
}

// inheritedLeaseEnd returns the time by which the leases of an executor must have
// expired that earlier owners granted.
func (s *Shard) inheritedLeaseEnd(id unit.Executor) clock.Millis {
	b := &s.leases
	lease := longestLease(max(s.Limits.Lease, b.predecessor.Lease))
	end := b.gainedAt.Add(max(s.Limits.RenewalTimeout, b.predecessor.Renewal) + lease)
	if b.goneAt > 0 {
		end = min(end, b.goneAt.Add(max(0, b.predecessor.Renewal-b.predecessor.TTL)+lease))
	}
	if remaining, ok := b.inherited[id]; ok {
		end = min(end, b.madeBy.Add(remaining+1)) // a millisecond for rounding; remaining has all other margins
	}
	return end
}

// leaseEnd returns the time by which the lease of e must have expired.
func (s *Shard) leaseEnd(e *Executor) clock.Millis {
	if e.reconciledBefore {
		return e.leaseExpiresBy
	}
	return max(e.leaseExpiresBy, s.inheritedLeaseEnd(e.Executor))
}

// readReference takes the clock of an answer as evidence of how long ago the
// record of the predecessor was made. Clocks of executors are not fast.
func (b *leaseBounds) readReference(now clock.Millis, e *Executor, a *Answer) {
	for _, r := range b.predecessor.References {
		if r.Executor == e.Executor && r.Incarnation == e.Incarnation && a.Clock > r.Reading {
			b.madeBy = min(b.madeBy, now.Add(-clock.Span(a.Clock-r.Reading)))
			if b.readAt == 0 {
				b.readAt = now
			}
		}
	}
}

// references returns the clocks with the readings that are known most precisely.
func (s *Shard) references(now clock.Millis) []ReferenceClock {
	var candidates []*Executor
	for _, e := range s.executors.All() {
		if e.reconciled && !e.unresponsive && e.referenceSentAt > 0 && now.Sub(e.referenceSentAt) <= maxReferenceAge {
			candidates = append(candidates, e)
		}
	}
	slices.SortFunc(candidates, func(a, b *Executor) int {
		return cmp.Or(cmp.Compare(a.referenceDelay, b.referenceDelay), cmp.Compare(a.Executor, b.Executor))
	})
	var out []ReferenceClock
	for _, e := range candidates[:min(len(candidates), maxReferences)] {
		out = append(out, ReferenceClock{Executor: e.Executor, Incarnation: e.Incarnation, Reading: e.reference + unit.ExecutorMillis(now.Sub(e.referenceSentAt))})
	}
	return out
}

// recordReference keeps the clock reading of an answer to a hold if it is more
// precise than the one before or that one is old. The executor read its clock
// between the hold and the answer.
func (e *Executor) recordReference(now clock.Millis, h *HoldOrder, a *Answer) {
	if a.Clock <= 0 || h.Sent <= 0 {
		return
	}
	if delay := now.Sub(h.Sent); delay <= e.referenceDelay || e.referenceSentAt == 0 || now.Sub(e.referenceSentAt) > maxReferenceAge/2 {
		e.reference, e.referenceSentAt, e.referenceDelay = a.Clock, h.Sent, delay
	}
}

// collectLeases returns the record of the leases if it has to be stored: at the
// start of the ownership, when executors fall silent or answer again, and at
// boundInterval while there are bounds.
func (s *Shard) collectLeases(now clock.Millis) []Change {
	b := &s.leases
	if b.storedAt == 0 && now < b.gainedAt.Add(maxReferenceWait) && (len(s.references(now)) == 0 || len(b.predecessor.References) > 0 && b.readAt == 0) {
		return nil
	}
	bounds := s.silentExecutors(now)
	changed := len(bounds) != len(b.stored)
	for _, bound := range bounds {
		changed = changed || !b.stored[bound.Executor]
	}
	if b.storedAt > 0 && !changed && (len(bounds) == 0 || !b.outdated && now < b.storedAt.Add(boundInterval)) {
		return nil
	}
	b.storedAt, b.outdated = now, false
	b.appending = make(map[unit.Executor]bool, len(bounds))
	if b.stored == nil {
		b.stored = make(map[unit.Executor]bool, len(bounds))
	}
	for _, bound := range bounds {
		b.appending[bound.Executor], b.stored[bound.Executor] = true, true
	}
	record := &LeaseRecord{Member: s.Member, Lease: s.Limits.Lease, Renewal: s.Limits.RenewalTimeout, TTL: s.Limits.MemberTTL, Bounds: bounds}
	if len(bounds) > 0 {
		record.References = s.references(now)
	}
	return []Change{{Leases: record}}
}

// silentExecutors returns the bounds of the executors with runs that do not answer.
// At the start of the ownership, that are all of them: if the owner lasts for a
// moment only, its successor has to know what it knew.
func (s *Shard) silentExecutors(now clock.Millis) []LeaseBound {
	var bounds []LeaseBound
	for _, e := range s.executors.All() {
		answers := e.reconciled && (!e.unresponsive || now < e.silentSince.Add(boundDelay) && !s.leases.stored[e.Executor])
		if len(e.runs) == 0 || answers {
			continue
		}
		if remaining := s.leaseEnd(e).Sub(now); remaining > 0 {
			bounds = append(bounds, LeaseBound{Executor: e.Executor, Remaining: remaining})
		}
	}
	return bounds
}

// handleLeasesStored records that the lease record of the last append, if it had
// one, is in the store.
func (b *leaseBounds) handleLeasesStored() {
	if b.appending != nil {
		b.stored, b.appending, b.recorded = b.appending, nil, true
	}
}

// mayRenew reports whether the lease of e may be renewed. Before the first record
// of this owner is stored, a successor would take an earlier owner for the last
// one that renewed leases.
func (s *Shard) mayRenew(e *Executor) bool {
	return s.leases.recorded && !s.leases.stored[e.Executor]
}

// accepts reports whether new runs may be placed on e.
func (s *Shard) accepts(now clock.Millis, e *Executor) bool { return s.mayRenew(e) && e.accepts(now) }
