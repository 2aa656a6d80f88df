// Package tally counts the outcomes of the requests of a load run and records
// their latencies. It detects lost and duplicated answers by request id.
package tally
