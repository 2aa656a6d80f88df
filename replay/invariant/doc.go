// Package invariant checks the invariants of the design page on what a replay
// observes, and counts every violation.
//
// The checks look at what the stand-ins of a replay really did, never at what
// the decision code believes.
package invariant
