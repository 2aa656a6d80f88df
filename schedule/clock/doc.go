// Package clock gives the millisecond clock that every decision of the
// scheduler takes its time from.
//
// An instant is a [Millis] on the monotonic axis of one process. Instants of
// two processes can't be compared; messages between processes carry a [Span]
// or an instant that only its sender interprets. Decisions receive the instant
// as an argument, so that tests and replays run in virtual time.
package clock
