package invariant

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// maxAdoptionTime is how long an accepted configuration may take until it is in force
// everywhere.
const maxAdoptionTime = 4 * clock.Second

// ProcessRevision is the configuration of one process.
type ProcessRevision struct {
	Revision        unit.Revision
	HighestRevision unit.Revision // that was ever in force there
	ReachableSince  clock.Millis  // instant since which the process lives and reaches others
	Isolated        bool          // dead, or cut off from everything
}

// Acceptance is a revision with the instant at which the journal took it.
type Acceptance struct {
	Revision unit.Revision
	At       clock.Millis
}

// CheckRevisions checks that every accepted revision is in force in time in
// every process that can have heard of it, and that no process reverts. The
// acceptances are in the order of their revisions.
func CheckRevisions(l *Ledger, now clock.Millis, accepted []Acceptance, processes *table.Table[unit.Instance, ProcessRevision]) {
	for name, p := range processes.All() {
		l.RecordCheck(RevisionAdoption)
		if p.Revision < p.HighestRevision {
			l.RecordViolation(RevisionAdoption, now, "process %s went from revision %d to %d", name, p.HighestRevision, p.Revision)
		}
		p.HighestRevision = max(p.HighestRevision, p.Revision)
		if a, ok := firstNewer(accepted, p.Revision); ok && !p.Isolated && now.Sub(max(a.At, p.ReachableSince)) > maxAdoptionTime {
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
