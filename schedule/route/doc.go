// Package route chooses the upstream of a request.
//
// A [View] is immutable and published by the control goroutine; what moves
// between two views is in counters. Choosing takes a slot, does not allocate
// and does not depend on the number of upstreams.
package route
