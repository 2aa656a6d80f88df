// Package journal measures the journal at the target scale: how much a process
// writes and reads, and what a recovery from snapshot and tail costs.
package journal
