// Package dispatch decides which task of which job runs on which executor.
//
// Jobs and executors are distributed over shards by a hash of their ids. A
// [Shard] holds the tables of one shard. Its owner passes it events (a
// submission, a list of registrations, the answer to an order) and calls
// [Shard.Tick] at regular intervals. Tick runs the systems over the tables and
// returns the changes to store and the orders to send. The package does no networking, does not
// encode messages of the platform and starts no goroutines. Time is an
// argument.
//
// Three rules keep a task from running twice. A run is stored before its start
// is ordered. The end of a run is stored before the executor may discard it. A
// run is released, so that its task may start again, only when it can no
// longer start or continue: its executor reported so, that incarnation of the
// executor has ended, or its lease must have expired.
//
// An incarnation is one process start of an executor and is identified by its
// start time. A hold is a long-polled heartbeat: it renews the lease of an
// executor, and its answer carries the run lists, which are the running and
// the finished runs there.
//
// A perpetual task runs until its job is cancelled. A serving task is
// latency-critical: its step has a target for the tail latency. A task may be
// both. A best-effort task ([Step].Fills) uses processor time that other tasks
// leave idle, at a pace that the shard sets. A batch task is none of these.
package dispatch
