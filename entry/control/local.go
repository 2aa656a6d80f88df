package control

import (
	"mimosadock/schedule/clock"
)

// LocalSlots holds all slots of every upstream, half of them for long requests.
// It serves a process that is the only one; grants of an owner replace it.
func LocalSlots(s *State, _ clock.Millis) {
	for _, row := range s.upstreams.All() {
		slow := row.slots / 2
		row.upstream.Slots.Hold(row.slots-slow, clock.Never)
		row.upstream.Pinned.Hold(slow, clock.Never)
	}
}
