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

// CheckRevisions checks that the revision accepted at the given instant is in
// force in every process that can have heard of it, and that none reverts.
func CheckRevisions(l *Ledger, now clock.Millis, accepted unit.Revision, at clock.Millis, processes *table.Table[unit.Instance, InForce]) {
	for name, p := range processes.All() {
		l.Checked(Adopted)
		if p.Revision < p.Highest {
			l.Violated(Adopted, now, "process %s went from revision %d to %d", name, p.Highest, p.Revision)
		}
		p.Highest = max(p.Highest, p.Revision)
		since := max(at, p.Reachable)
		if !p.Cut && p.Revision < accepted && now.Sub(since) > adoptTime {
			l.Violated(Adopted, now, "process %s is at revision %d, %d was accepted %d ms ago", name, p.Revision, accepted, now.Sub(at))
		}
	}
}
