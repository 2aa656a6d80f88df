package control

import (
	"hash/fnv"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

const (
	// maxOwnerShare is the share of its CPU that a process may use for the shards
	// that it owns. The rest is for callers, load peaks and ticks that must not
	// wait.
	maxOwnerShare = 0.75
	// minOwnerlessChecks is the number of consecutive checks that must find a
	// shard without an owner before a process without enough CPU for a shard joins
	// the owners. When an owner is replaced, its shards have no owner for up to
	// one TTL.
	minOwnerlessChecks = 2
	// standbyCheckInterval is the time between two checks of the owners by a
	// process without enough CPU for a shard.
	standbyCheckInterval = clock.Second
	// maxStandbyStagger bounds the stagger that spreads the checks of several such
	// processes, so that those that join first make the others unnecessary.
	maxStandbyStagger = 700 * clock.Millisecond
)

// standby decides whether a process is a member of the group of owners. A process
// with enough CPU for one shard always is. Any other process becomes a member
// after minOwnerlessChecks consecutive checks found a shard without an owner, and
// leaves when the owners with a larger CPU share have enough CPU for all shards.
type standby struct {
	self            unit.Member
	layout          dispatch.Layout
	active          bool // the process is to be a member although it lacks the CPU for a shard
	ownerlessChecks int  // consecutive checks that found a shard without an owner
}

// canOwnShard reports whether the CPU share of the process suffices for one shard
// of the layout.
func (s *standby) canOwnShard() bool {
	return maxOwnerShare*float64(cpuShareOf(s.self)) >= float64(s.layout.OwnerLoad())
}

// decide updates the decision from the current owners and reports whether the
// process should be a member of the group of owners.
func (s *standby) decide(owners map[unit.Shard]unit.Member) bool {
	if s.canOwnShard() {
		return true
	}
	if s.active {
		s.active = !s.coveredByLargerMembers(owners)
		s.ownerlessChecks = 0
		return s.active
	}
	s.ownerlessChecks++
	if s.allOwned(owners) {
		s.ownerlessChecks = 0
	}
	s.active = s.ownerlessChecks >= minOwnerlessChecks
	return s.active
}

// stagger returns a delay that depends on the name of the process.
func (s *standby) stagger() clock.Span {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.self)) // never fails
	return clock.Span(h.Sum32()) % maxStandbyStagger
}

// allOwned reports whether each shard has an owner.
func (s *standby) allOwned(owners map[unit.Shard]unit.Member) bool {
	for i := range s.layout.Shards {
		if owners[unit.Shard(i)] == "" {
			return false
		}
	}
	return true
}

// coveredByLargerMembers reports whether the owners with a larger CPU share than
// this process have enough CPU for all shards. The platform lists the owners of
// all partitions, including those without a shard, so owners contains such a
// process even if no shard is assigned to it.
func (s *standby) coveredByLargerMembers(owners map[unit.Shard]unit.Member) bool {
	larger := make(map[unit.Member]unit.MilliCPU)
	for _, m := range owners {
		if share := cpuShareOf(m); share > cpuShareOf(s.self) {
			larger[m] = share
		}
	}
	total := 0.0
	for _, share := range larger {
		total += maxOwnerShare * float64(share)
	}
	return total >= float64(s.layout.OwnerLoad())*float64(s.layout.Shards)
}
