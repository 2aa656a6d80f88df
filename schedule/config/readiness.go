package config

import "mimosadock/schedule/unit"

// Readiness decides whether a process may accept requests after its start. Its
// configuration must not be older than the one in force. The zero value isn't
// ready.
type Readiness struct {
	journalRead        bool
	journalUnreachable bool
	localPeerSeen      bool          // an entry process of the same data centre has reported its revision
	maxRevision        unit.Revision // highest revision that a peer has reported
	ready              bool
}

// SetJournalRead records that the journal was read up to its end.
func (r *Readiness) SetJournalRead() { r.journalRead = true }

// SetJournalUnreachable records that a read of the journal failed.
func (r *Readiness) SetJournalUnreachable() { r.journalUnreachable = true }

// RecordRevision records the revision that a peer, another entry process,
// reported. The argument sameDataCentre reports whether the peer is in the
// process's own data centre.
func (r *Readiness) RecordRevision(revision unit.Revision, sameDataCentre bool) {
	r.maxRevision = max(r.maxRevision, revision)
	r.localPeerSeen = r.localPeerSeen || sameDataCentre
}

// Ready reports whether a process with the given revision in force may accept
// requests. It is ready once it has a configuration and has read the journal up
// to its end. If the journal is unreachable, a peer in its data centre must have
// reported its revision, and no peer may have reported a higher one. A process
// that was ready stays ready.
func (r *Readiness) Ready(inForce unit.Revision) bool {
	if inForce > 0 && (r.journalRead || r.journalUnreachable && r.localPeerSeen && inForce >= r.maxRevision) {
		r.ready = true
	}
	return r.ready
}
