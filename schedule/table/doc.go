// Package table provides dense tables for the entities of the scheduler.
//
// A [Table] stores its rows in one slice with an index from key to row. A loop
// over all rows, as it runs in each tick, reads memory sequentially. A table is
// owned by one goroutine and is not safe for concurrent use.
package table
