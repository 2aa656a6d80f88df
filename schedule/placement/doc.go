// Package placement decides where work runs and what gives way to it.
//
// Placement score, choice of victims and order of the queue are policies; each
// has a plain baseline beside it that the tests compare it with.
package placement
