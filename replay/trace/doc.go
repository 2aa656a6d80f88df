// Package trace reads and writes traces of requests, jobs, configuration changes
// and faults.
//
// A trace has one JSON object per line: a [Header] and then [Event] values in
// the order of their instants. Files whose names end in .gz are compressed with
// gzip. docs/traces.md describes the format.
package trace
