// Package journal measures the journal at the target scale: the bytes that a
// process writes and reads, and the cost of a recovery from a snapshot and the
// records after it.
package journal
