// Package invariant checks the invariants of the design page during a replay and
// counts the violations.
//
// The checks use the actual state of the simulated upstreams, workers and
// processes, never the state of the decision code.
package invariant
