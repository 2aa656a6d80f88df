// Package worker holds the workers of a data centre with their allocations,
// leases and health, and defines the commands to them and their reports.
//
// The epoch of a command is its fencing token. A worker that fails attempts of
// several kinds is quarantined; see [Health].
package worker
