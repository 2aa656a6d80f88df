// Package worker keeps the workers of a data centre: what they hold, their
// leases and fencing tokens, and which of them fail what they start.
package worker
