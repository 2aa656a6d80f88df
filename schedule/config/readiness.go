package config

import "mimosadock/schedule/unit"

// Readiness decides whether a process that has started may take requests: its
// configuration must not be older than what is in force. The zero value isn't
// ready.
type Readiness struct {
	read        bool
	unreachable bool
	neighbour   bool
	highest     unit.Revision
	ready       bool
}

// Read notes that the journal was read up to its end.
func (r *Readiness) Read() { r.read = true }

// Unreachable notes that the journal could not be read.
func (r *Readiness) Unreachable() { r.unreachable = true }

// Heard notes the revision of a member. Only a member of the process's own
// data centre counts as a neighbour.
func (r *Readiness) Heard(revision unit.Revision, neighbour bool) {
	r.highest = max(r.highest, revision)
	r.neighbour = r.neighbour || neighbour
}

// Ready reports whether a process with the given revision in force may take
// requests: it has read the journal up to its end or, while the journal is
// unreachable, has heard a neighbour and has the highest revision heard. A
// process that was ready stays ready.
func (r *Readiness) Ready(inForce unit.Revision) bool {
	if inForce > 0 && (r.read || r.unreachable && r.neighbour && inForce >= r.highest) {
		r.ready = true
	}
	return r.ready
}
