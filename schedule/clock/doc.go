// Package clock provides the monotonic millisecond clock on which all decisions
// of the scheduler are based.
//
// An instant is a [Millis] on the monotonic clock of one process. Instants of
// different processes are not comparable. Messages between processes carry a
// [Span], or an instant that only the sender interprets. Decisions receive the
// current instant as an argument, so that tests and replays run in virtual time.
package clock
