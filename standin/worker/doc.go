// Package worker is a stand-in for the workers of the platform.
//
// A [Worker] runs attempts in the time of its clock without a goroutine: it
// catches up whenever it is called. Leases, fencing, checkpoints that take
// time, usage that is reported with a lag, and true sizes apart from declared
// ones work as the platform's do. A [Fleet] is many of them behind the
// interface that the scheduler uses, and a [Server] puts one behind HTTP.
package worker
