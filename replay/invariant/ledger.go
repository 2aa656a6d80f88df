package invariant

import (
	"fmt"

	"mimosadock/schedule/clock"
)

//go:generate go tool stringer -type=Invariant -linecomment

// Invariant is one invariant of section 2 of the design page.
type Invariant int

// The invariants. The text of each is its number on the design page.
const (
	// Capacity requires that no upstream or worker runs more than it can hold.
	Capacity Invariant = iota + 1 // I1
	// SinglePlacement requires that no task runs in two places.
	SinglePlacement // I2
	// ResumeOnce requires that interrupted work is resumed exactly once per
	// interruption, for example an eviction.
	ResumeOnce // I3
	// CorrectAnswer requires that a caller receives one complete answer, to its
	// own request.
	CorrectAnswer // I4
	// NotRunVerdict requires that a request reported as not run never started.
	NotRunVerdict // I5
	// AtMostOnce requires that a request that isn't idempotent starts at most
	// once.
	AtMostOnce // I6
	// LeavingUpstream requires that a leaving upstream receives no new work.
	LeavingUpstream // I7
	// GracefulDrain requires that a graceful shutdown cuts off no request.
	GracefulDrain // I8
	// RevisionAdoption requires that every process adopts accepted revisions in
	// time and never reverts.
	RevisionAdoption // I9
)

// Violation is one observed violation of an invariant.
type Violation struct {
	Invariant Invariant
	At        clock.Millis
	Detail    string
}

// String formats the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %d ms: %s", v.Invariant, v.At, v.Detail)
}

// maxStoredViolations is the maximum number of violations stored with their
// details.
const maxStoredViolations = 20

// Ledger counts the checks and violations of each invariant. The zero value is
// empty and ready to use.
type Ledger struct {
	violationCounts [RevisionAdoption + 1]int
	checkCounts     [RevisionAdoption + 1]int
	violations      []Violation
}

// RecordCheck counts one check of i. The count distinguishes an invariant that
// held from one that was never checked.
func (l *Ledger) RecordCheck(i Invariant) { l.checkCounts[i]++ }

// RecordViolation counts a violation of i and stores its details, up to
// maxStoredViolations.
func (l *Ledger) RecordViolation(i Invariant, at clock.Millis, format string, args ...any) {
	l.violationCounts[i]++
	if len(l.violations) < maxStoredViolations {
		l.violations = append(l.violations, Violation{i, at, fmt.Sprintf(format, args...)})
	}
}

// ViolationCount returns the number of violations of i.
func (l *Ledger) ViolationCount(i Invariant) int { return l.violationCounts[i] }

// CheckCount returns the number of checks of i.
func (l *Ledger) CheckCount(i Invariant) int { return l.checkCounts[i] }

// FirstViolations returns the stored violations, at most maxStoredViolations.
func (l *Ledger) FirstViolations() []Violation { return l.violations }
