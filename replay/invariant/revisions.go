package invariant

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// maxAdoptionTime is the maximum time from the acceptance of a configuration
// until it is in force in every process.
const maxAdoptionTime = 4 * clock.Second

// ProcessRevision is the configuration revision of one process.
type ProcessRevision struct {
	Revision           unit.Revision
	HighestRevision    unit.Revision // highest revision that was ever in force in the process
	ReadinessChangedAt clock.Millis  // instant at which NotReady last changed
	NotReady           bool          // the process serves no requests, so it needs no new revision
}

// Acceptance is a revision with the instant at which the journal accepted it.
type Acceptance struct {
	Revision unit.Revision
	At       clock.Millis
}

// CheckRevisions checks that every accepted revision is in force within
// maxAdoptionTime in every process that is ready, and that no process reverts to
// a lower revision. The acceptances must be in the order of their revisions.
func CheckRevisions(l *Ledger, now clock.Millis, accepted []Acceptance, processes *table.Table[unit.Instance, ProcessRevision]) {
	for name, p := range processes.All() {
		l.RecordCheck(RevisionAdoption)
		if p.Revision < p.HighestRevision {
			l.RecordViolation(RevisionAdoption, now, "process %s went from revision %d to %d", name, p.HighestRevision, p.Revision)
		}
		p.HighestRevision = max(p.HighestRevision, p.Revision)
		if a, ok := firstNewer(accepted, p.Revision); ok && !p.NotReady && now.Sub(max(a.At, p.ReadinessChangedAt)) > maxAdoptionTime {
			l.RecordViolation(RevisionAdoption, now, "process %s is at revision %d, %d was accepted %d ms ago", name, p.Revision, a.Revision, now.Sub(a.At))
		}
	}
}

func firstNewer(accepted []Acceptance, r unit.Revision) (Acceptance, bool) {
	for _, a := range accepted {
		if a.Revision > r {
			return a, true
		}
	}
	return Acceptance{}, false
}
