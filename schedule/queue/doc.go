// Package queue orders the requests that wait for a slot.
//
// A [Queue] has one bounded heap per class, ordered by deadline. It refuses a
// request at once if the estimated response time lies after the deadline.
// [PressureDetector] and [BulkSlots] limit bulk requests to a share of the
// slots while urgent requests wait or their number rises. The package reads no
// clock, and its types are not safe for concurrent use.
package queue
