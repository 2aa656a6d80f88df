// Package table holds the entities of the scheduler in dense tables.
//
// A [Table] keeps its rows in one slice, so that a system which runs over all
// rows each tick reads memory in order, and an index from key to row. Tables
// are owned by one goroutine and are not safe for concurrent use.
package table
