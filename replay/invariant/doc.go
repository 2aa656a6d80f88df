// Package invariant checks the invariants of the design page during a replay and
// counts the violations.
//
// The checks use the actual behaviour of the stand-ins of a replay, never the
// state of the decision code.
package invariant
