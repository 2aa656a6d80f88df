package invariant

import (
	"fmt"

	"mimosadock/schedule/clock"
)

//go:generate go tool stringer -type=Invariant -linecomment

// Invariant is one invariant of section 2 of the design page.
type Invariant int

// The invariants.
const (
	Capacity     Invariant = iota + 1 // I1
	OnePlace                          // I2
	ResumeOnce                        // I3
	OwnAnswer                         // I4
	NotRun                            // I5
	AtMostOnce                        // I6
	LeavingEmpty                      // I7
	WholeDrain                        // I8
	Adopted                           // I9
)

// Violation is one observed violation.
type Violation struct {
	Invariant Invariant
	At        clock.Millis
	What      string
}

// String returns the violation as one line.
func (v Violation) String() string { return fmt.Sprintf("%s at %d ms: %s", v.Invariant, v.At, v.What) }

// maxKept bounds the violations that are kept in full.
const maxKept = 20

// Ledger counts violations. The zero value is empty and ready to use.
type Ledger struct {
	counts [Adopted + 1]int
	checks [Adopted + 1]int
	kept   []Violation
}

// Checked counts one check of i, so that an invariant that was never checked
// doesn't pass for one that held.
func (l *Ledger) Checked(i Invariant) { l.checks[i]++ }

// Violated counts a violation.
func (l *Ledger) Violated(i Invariant, at clock.Millis, format string, args ...any) {
	l.counts[i]++
	if len(l.kept) < maxKept {
		l.kept = append(l.kept, Violation{i, at, fmt.Sprintf(format, args...)})
	}
}

// Count returns the violations of i.
func (l *Ledger) Count(i Invariant) int { return l.counts[i] }

// Checks returns how often i was checked.
func (l *Ledger) Checks(i Invariant) int { return l.checks[i] }

// Kept returns the first violations.
func (l *Ledger) Kept() []Violation { return l.kept }
