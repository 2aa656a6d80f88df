// Package work schedules the batch and standing work of one data centre.
//
// A [Board] holds the tables of jobs, workers, estimates and teams. Its systems
// run once a tick, in the order of [Board.Tick]. Their decisions leave the
// board as batches of calls to workers and as records for the journal. The
// results return through [Board.HandleAnswer] and [Board.HandleWritten]. The
// board has no goroutine, no network and no encoding.
package work
