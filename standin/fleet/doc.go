// Package fleet simulates the users' platform in the tests of the scheduler and
// of the soak runs. It has a store with topics, keyed topics and consumer
// groups, executors that run tasks under leases, the machines API and the
// advice service. It implements the published wire protocol and can lose or
// delay answers and orders on request.
package fleet
