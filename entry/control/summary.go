package control

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/config"
	"mimosadock/schedule/unit"
)

// InForce returns the configuration in force.
func (s *State) InForce() config.Version { return s.register.InForce() }

// History returns the accepted changes that are known, newest first.
func (s *State) History() []config.Past {
	past := slices.Clone(s.register.History())
	slices.Reverse(past)
	return past
}

// SlotTotals are the upstreams of a service and the slots that this process
// holds and uses on them.
type SlotTotals struct {
	Upstreams int
	Held      unit.Slots
	Used      unit.Slots
}

// SlotTotals returns the totals by upstream set.
func (s *State) SlotTotals() map[string]SlotTotals {
	totals := make(map[string]SlotTotals)
	for _, row := range s.upstreams.All() {
		t := totals[row.set]
		used := row.upstream.InFlight()
		t.Upstreams++
		t.Used += used
		t.Held += used + row.upstream.Slots.Free() + row.upstream.Pinned.Free()
		totals[row.set] = t
	}
	return totals
}

// LiveMembers returns how many members are heard, with this process.
func (s *State) LiveMembers(now clock.Millis) int {
	n := 1
	for _, m := range s.node.Members.All() {
		if !m.Ended() && m.Silent(now) < s.node.Limits.Confirm {
			n++
		}
	}
	return n
}

// Owned returns the data centres whose tenure this process has.
func (s *State) Owned() []unit.DataCentre {
	var owned []unit.DataCentre
	for dc, r := range s.node.Tenures.All() {
		if r.Epoch > 0 && r.Instance == s.Self.Instance {
			owned = append(owned, dc)
		}
	}
	slices.Sort(owned)
	return owned
}

// JournalState says in a word whether the journal is followed.
func (s *State) JournalState() string {
	switch {
	case s.readFailing:
		return "failing"
	case !s.readToEnd:
		return "recovering"
	default:
		return "followed"
	}
}
