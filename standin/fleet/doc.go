// Package fleet simulates the platform in the tests of the scheduler and in the
// soak runs. It has a store with topics, keyed topics and consumer groups,
// executors that run tasks under leases, the machines API and the advice
// service. It implements the published wire protocol and can lose or delay
// answers and orders on request.
//
// An [Executor] runs tasks. An executor in the list of hosts of an entry process
// is an upstream instead, which package upstream simulates.
package fleet
