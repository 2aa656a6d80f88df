// Package worker simulates the workers of the platform.
//
// A [Worker] runs attempts in the time of a given clock, without a goroutine:
// each call first advances the attempts to the current time. Leases, fencing,
// the duration of checkpoints and the lag of reported usage work like the
// platform's. The actual resource use of a task can differ from the declared
// one. [Agents] implements the scheduler's interface for a set of workers, and a
// [Server] serves one worker over HTTP.
package worker
