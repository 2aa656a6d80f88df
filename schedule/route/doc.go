// Package route chooses the upstream of a request.
//
// The control goroutine publishes a [View], which is immutable. State that
// changes between two views is in atomic counters. Choosing an upstream takes a
// slot and does not allocate. It samples the upstreams that have a free slot from
// a bitmap, so its cost hardly depends on the number of upstreams or on how many
// of them are full.
//
// The package also contains the health decisions of the control goroutine. A
// [Health] is the row of one upstream. On each tick, [UpdatePhase] runs on each
// row, and [EjectUnhealthy] runs over the rows of one service in one data
// centre.
package route
