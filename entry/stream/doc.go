// Package stream connects a process to the journal with two goroutines. A
// [Reader] delivers the records in journal order, and a [Writer] appends
// records, several in one entry.
package stream
