// Package tally counts the answers of a load run by request id and keeps their
// latencies.
package tally
