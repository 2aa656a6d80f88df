// Package queue orders the requests that wait for a slot.
//
// A [Queue] has one bounded heap per class, ordered by deadline. It refuses a
// request at once if the estimated response time lies after the deadline.
// [BulkSlots] limits bulk requests to seven eighths of the slots, or to one
// eighth under pressure. A [PressureDetector] reports pressure while urgent or
// standard requests wait or their number rises, and for one second afterwards.
// The package reads no clock, and its types are not safe for concurrent use.
package queue
