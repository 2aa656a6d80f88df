// Package unit defines the types of identifiers and quantities in the scheduler.
//
// Identifiers have distinct string types, so that the compiler rejects a host in
// place of an upstream. The type of a quantity determines its unit. The types
// are names and numbers and not the entities: a [Service] is the name of a
// service, and a [Wave] is the number of a maintenance wave.
//
// The scheduler consists of two systems with identifiers of their own:
//   - The entry processes receive the requests of callers and forward them to
//     upstreams. They also run tasks on workers: an [Attempt] of a task runs on
//     a [Worker] and is fenced by the [Epoch] of a tenure. An [Instance] is one
//     start of an entry process or a worker.
//   - The scheduler processes run the platform's jobs on executors: a [Run] of a
//     task runs on an [Executor] and is fenced by a [Token]. A [Member] is one
//     start of a scheduler process.
package unit
