package invariant

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// adoptTime is how long an accepted configuration may take until it is in force
// everywhere.
const adoptTime = 4 * clock.Second

// InForce is the configuration of one process.
type InForce struct {
	Revision  unit.Revision
	Highest   unit.Revision // that was ever in force there
	Reachable clock.Millis  // instant since which the process lives and reaches others
	Cut       bool          // dead, or cut off from everything
}

// Acceptance is a revision with the instant at which the journal took it.
type Acceptance struct {
	Revision unit.Revision
	At       clock.Millis
}

// CheckRevisions checks that every accepted revision is in force in time in
// every process that can have heard of it, and that no process reverts. The
// acceptances are in the order of their revisions.
func CheckRevisions(l *Ledger, now clock.Millis, accepted []Acceptance, processes *table.Table[unit.Instance, InForce]) {
	for name, p := range processes.All() {
		l.Checked(Adopted)
		if p.Revision < p.Highest {
			l.Violated(Adopted, now, "process %s went from revision %d to %d", name, p.Highest, p.Revision)
		}
		p.Highest = max(p.Highest, p.Revision)
		if a, ok := firstAbove(accepted, p.Revision); ok && !p.Cut && now.Sub(max(a.At, p.Reachable)) > adoptTime {
			l.Violated(Adopted, now, "process %s is at revision %d, %d was accepted %d ms ago", name, p.Revision, a.Revision, now.Sub(a.At))
		}
	}
}

func firstAbove(accepted []Acceptance, r unit.Revision) (Acceptance, bool) {
	for _, a := range accepted {
		if a.Revision > r {
			return a, true
		}
	}
	return Acceptance{}, false
}
