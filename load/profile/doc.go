// Package profile computes the send times of the requests of an open-loop load
// tool.
//
// The times are computed before the run and do not depend on the answers.
package profile
