// Package hosts simulates the platform's list of hosts, in process and over
// HTTP. The returned list can be stale by a set lag or empty, and calls can be
// refused.
package hosts
