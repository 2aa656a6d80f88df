// Package stream connects a process to the journal with two goroutines: a
// [Reader] that hands over the records in journal order and a [Writer] that
// appends records in groups.
package stream
