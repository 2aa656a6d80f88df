// Package worker holds the workers of a data centre: their allocations,
// leases, fencing tokens and health.
package worker
