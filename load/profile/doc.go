// Package profile says when an open-loop load tool sends its requests.
//
// The instants are computed before the run and don't depend on the answers.
package profile
