// Package trace reads and writes recorded traces.
//
// A trace is a text of one JSON object per line: a [Header] and then [Event]
// values in the order of their instants. Files whose names end in .gz are
// compressed with gzip. The format is described in docs/traces.md.
package trace
