// Package work runs the batch and standing work of one data centre.
//
// A [Board] holds the tables of jobs, workers, estimates and teams. Its systems
// run once a tick in the order of [Board.Tick]. What they decide leaves the
// board as batches of calls to workers and as records for the journal; the
// answers come back through [Board.Answered] and [Board.Written]. The board has
// no goroutine, no network and no encoding.
package work
