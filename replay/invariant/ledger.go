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
	Capacity         Invariant = iota + 1 // I1
	SinglePlacement                       // I2
	ResumeOnce                            // I3
	CorrectAnswer                         // I4
	NotRunVerdict                         // I5
	AtMostOnce                            // I6
	LeavingUpstream                       // I7
	GracefulDrain                         // I8
	RevisionAdoption                      // I9
)

// Violation is one observed violation.
type Violation struct {
	Invariant Invariant
	At        clock.Millis
	Detail    string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %d ms: %s", v.Invariant, v.At, v.Detail)
}

// maxStoredViolations bounds the violations that are kept in full.
const maxStoredViolations = 20

// Ledger counts violations. The zero value is empty and ready to use.
type Ledger struct {
	counts     [RevisionAdoption + 1]int
	checks     [RevisionAdoption + 1]int
	violations []Violation
}

// RecordCheck counts one check of i, so that an invariant that was never checked
// doesn't pass for one that held.
func (l *Ledger) RecordCheck(i Invariant) { l.checks[i]++ }

// RecordViolation counts a violation.
func (l *Ledger) RecordViolation(i Invariant, at clock.Millis, format string, args ...any) {
	l.counts[i]++
	if len(l.violations) < maxStoredViolations {
		l.violations = append(l.violations, Violation{i, at, fmt.Sprintf(format, args...)})
	}
}

// ViolationCount returns the violations of i.
func (l *Ledger) ViolationCount(i Invariant) int { return l.counts[i] }

// CheckCount returns how often i was checked.
func (l *Ledger) CheckCount(i Invariant) int { return l.checks[i] }

// FirstViolations returns the first violations.
func (l *Ledger) FirstViolations() []Violation { return l.violations }
