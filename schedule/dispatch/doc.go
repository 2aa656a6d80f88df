// Package dispatch decides which task of which job runs on which executor.
//
// A job is submitted to a queue and consists of steps, which may depend on
// earlier steps. A step is a set of identical tasks. A repeated job has several
// occurrences, each of which runs all steps. A run is one attempt to execute a
// task; the runs of a task are numbered from 1. A gang is a step whose tasks
// start and end together.
//
// Jobs and executors are distributed over shards by a hash of their ids. The
// owner of a shard is the scheduler process to which the store has assigned it.
// Its epoch is the generation of the group of owners at that assignment.
//
// A [Shard] holds the tables of one shard. Its owner calls a method for each
// input (a submission, a list of registrations, the answer to an order) and
// [Shard.Tick] at regular intervals. Tick runs the systems over the tables and
// returns the changes to store and the orders to send. The package does no
// networking, does not encode messages of the platform and starts no
// goroutines. Time is an argument.
//
// Three rules keep a task from running twice. A run is stored before its start
// is ordered. The end of a run is stored before the executor may discard it. A
// run is released, so that its task may start again, only when it can no
// longer start or continue: its executor reported so, that incarnation of the
// executor has ended, or its lease must have expired.
//
// An incarnation is one process of an executor and is identified by its start
// time. A hold is a long-polled heartbeat: it renews the lease of an
// executor, and its answer carries the run lists, which are the running and
// the finished runs there. The end of a run is numbered by the executor. The
// executor may discard an end once a hold acknowledges its number.
//
// A perpetual task runs until its job is cancelled. A serving task is
// latency-critical: its step has a target for the tail latency. A task may be
// both. A best-effort task ([Step].Fills) uses processor time that other tasks
// leave idle, at a pace that the shard sets. A batch task is none of these.
package dispatch
