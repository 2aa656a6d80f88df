// Package route chooses the upstream of a request.
//
// A [View] is immutable and published by the control goroutine; what moves
// between two views is in counters. Choosing takes a slot and does not
// allocate. It samples the upstreams that have a free slot from a bitmap, so
// its cost hardly depends on how many upstreams there are or how many are full.
//
// The decisions of the control goroutine are here too: a [Health] is the row of
// one upstream, and [Judge] and [Eject] run over the rows of a set each tick.
package route
