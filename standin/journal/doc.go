// Package journal simulates the append-only log service of the platform, in
// process and over HTTP.
//
// It has one topic and no consumer groups. Package fleet simulates a store with
// both.
//
// Retention and failures can be changed at run time. [Handler] serves the
// journal. [Control] serves the requests that change retention and failures,
// and belongs on a port for operators.
package journal
