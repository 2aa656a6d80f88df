package config

import "mimosadock/schedule/unit"

// Readiness decides whether a process that has started may take requests: its
// configuration must not be older than what is in force. The zero value isn't
// ready.
type Readiness struct {
	journalRead        bool
	journalUnreachable bool
	neighbourSeen      bool
	maxRevision        unit.Revision
	ready              bool
}

// Read notes that the journal was read up to its end.
func (r *Readiness) Read() { r.journalRead = true }

// Unreachable notes that the journal could not be read.
func (r *Readiness) Unreachable() { r.journalUnreachable = true }

// Heard notes the revision of a member. Only a member of the process's own
// data centre counts as a neighbour.
func (r *Readiness) Heard(revision unit.Revision, neighbour bool) {
	r.maxRevision = max(r.maxRevision, revision)
	r.neighbourSeen = r.neighbourSeen || neighbour
}

// Ready reports whether a process with the given revision in force may take
// requests: it has read the journal up to its end or, while the journal is
// unreachable, has heard a neighbour and has the highest revision heard. A
// process that was ready stays ready.
func (r *Readiness) Ready(inForce unit.Revision) bool {
	if inForce > 0 && (r.journalRead || r.journalUnreachable && r.neighbourSeen && inForce >= r.maxRevision) {
		r.ready = true
	}
	return r.ready
}
