// Package control runs the control goroutine of an entry process.
//
// A [Loop] owns every table of the process. Other goroutines send it typed
// messages over a bounded channel. On each tick the loop runs its systems over
// the tables and publishes an immutable [View].
package control
