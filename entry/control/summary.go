package control

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/config"
	"mimosadock/schedule/unit"
)

// InForce returns the configuration in force.
func (s *State) InForce() config.Version { return s.register.InForce() }

// History returns the known accepted changes, newest first.
func (s *State) History() []config.HistoryEntry {
	history := slices.Clone(s.register.History())
	slices.Reverse(history)
	return history
}

// SlotTotals holds the number of upstreams of an upstream set, and the slots on
// them that this process holds and uses.
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

// LiveMembers returns the number of live members, including this process. A
// member that has been silent for Limits.QuickRight doesn't count.
func (s *State) LiveMembers(now clock.Millis) int {
	n := 1
	for _, m := range s.node.Members.All() {
		if !m.Ended() && m.SilentFor(now) < s.node.Limits.QuickRight {
			n++
		}
	}
	return n
}

// Owned returns the data centres that this process owns, sorted by name.
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

// JournalReadState returns the state of reading the journal: "failing" after a
// failed read, "recovering" before a read has reached the end, else "followed".
func (s *State) JournalReadState() string {
	switch {
	case s.readFailing:
		return "failing"
	case !s.readToEnd:
		return "recovering"
	default:
		return "followed"
	}
}
