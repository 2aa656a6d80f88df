package control

import (
	"hash/fnv"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

const (
	// ownerShare is the share of its processor that a process may spend on the
	// shards that it owns. The rest is for callers, peaks and turns that must not
	// wait.
	ownerShare = 0.75
	// ownerlessLooks is how many looks in a row must show a shard without an
	// owner before a weak process takes part. Shards lie bare for up to a TTL
	// when a stronger owner is replaced.
	ownerlessLooks = 2
	// standbyEvery is the span between two looks of a weak process for owners.
	standbyEvery = clock.Second
	// standbyStagger spreads the looks of weak processes, so that the first to
	// take part spare the others.
	standbyStagger = 700 * clock.Millisecond
)

// standby decides whether a process takes part in the ownership of shards. One
// whose processor carries a shard always does. A weaker one does so only while
// a shard has no owner otherwise, and leaves when stronger ones carry all.
type standby struct {
	self    unit.Member
	layout  dispatch.Layout
	taking  bool // takes part although it is weak
	missing int  // looks in a row that showed a shard without an owner
}

// strong reports whether the process carries a shard of the layout.
func (s *standby) strong() bool {
	return ownerShare*float64(abilityOf(s.self)) >= float64(s.layout.OwnerLoad())
}

// needed takes a look at the owners and reports whether the process takes part
// from now on.
func (s *standby) needed(owners map[unit.Shard]unit.Member) bool {
	if s.strong() {
		return true
	}
	if s.taking {
		s.taking = !s.spared(owners)
		s.missing = 0
		return s.taking
	}
	s.missing++
	if s.owned(owners) {
		s.missing = 0
	}
	s.taking = s.missing >= ownerlessLooks
	return s.taking
}

// stagger returns a span that differs from process to process.
func (s *standby) stagger() clock.Span {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.self)) // never fails
	return clock.Span(h.Sum32()) % standbyStagger
}

// owned reports whether each shard has an owner.
func (s *standby) owned(owners map[unit.Shard]unit.Member) bool {
	for i := range s.layout.Shards {
		if owners[unit.Shard(i)] == "" {
			return false
		}
	}
	return true
}

// spared reports whether stronger owners carry all shards. The platform lists
// owners of all partitions, so a strong process is seen even if none of the
// shards is dealt to it.
func (s *standby) spared(owners map[unit.Shard]unit.Member) bool {
	stronger := make(map[unit.Member]unit.MilliCPU)
	for _, m := range owners {
		if a := abilityOf(m); a > abilityOf(s.self) {
			stronger[m] = a
		}
	}
	total := 0.0
	for _, a := range stronger {
		total += ownerShare * float64(a)
	}
	return total >= float64(s.layout.OwnerLoad())*float64(s.layout.Shards)
}
