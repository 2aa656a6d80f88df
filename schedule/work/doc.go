// Package work schedules the batch and standing work of one data centre.
// Standing work consists of tasks that run until they are cancelled; tasks of
// batch work end by themselves.
//
// A [Board] is the scheduling state of one data centre: its jobs and workers,
// the estimates and the teams. Its systems run once a tick, in the order of
// [Board.Tick]. Their decisions are fetched as batches of commands to workers,
// with [Board.DueCommandBatches], and as records for the journal, with
// [Board.TakeRecords]. The results return through
// [Board.HandleCommandBatchResult] and [Board.HandleWriteResult]. The board has
// no goroutine, no network and no encoding.
package work
