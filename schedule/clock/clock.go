package clock

import (
	"sync/atomic"
	"time"
)

// Millis is an instant on the monotonic clock of one process, in milliseconds.
// Zero is the instant at which the process started. The exception is
// [SinceBoot], which counts from the boot of the host.
type Millis int64

// Span is a duration in milliseconds.
type Span int64

// Common spans.
const (
	Millisecond Span = 1
	Second      Span = 1000 * Millisecond
	Minute      Span = 60 * Second
	Hour        Span = 60 * Minute
)

// Never is the maximum instant. It stands for an event that never happens.
const Never Millis = 1<<63 - 1

// Add returns the instant s after m, or before m if s is negative. It returns
// [Never] on overflow.
func (m Millis) Add(s Span) Millis {
	if s > 0 && m > Never-Millis(s) {
		return Never
	}
	return m + Millis(s)
}

// Sub returns the span from u to m. It is negative if m is before u.
func (m Millis) Sub(u Millis) Span { return Span(m - u) }

// Duration returns s as a time.Duration.
func (s Span) Duration() time.Duration { return time.Duration(s) * time.Millisecond }

// SpanOf returns d in whole milliseconds, rounded towards zero.
func SpanOf(d time.Duration) Span { return Span(d / time.Millisecond) }

// Clock is a source of the current instant.
type Clock interface {
	// Now returns the current instant. It never decreases.
	Now() Millis
}

var (
	_ Clock = System{}
	_ Clock = (*Manual)(nil)
)

var startTime = time.Now()

// System is the monotonic clock of the process.
type System struct{}

// Now returns the milliseconds since the process started.
func (System) Now() Millis { return Millis(time.Since(startTime) / time.Millisecond) }

// Manual is a clock that only advances through its methods, for tests and
// simulations. The zero value is at instant zero. It is safe for concurrent use.
type Manual struct{ now atomic.Int64 }

// Now returns the instant of the clock.
func (m *Manual) Now() Millis { return Millis(m.now.Load()) }

// Advance advances the clock by s. It panics if s is negative.
func (m *Manual) Advance(s Span) {
	if s < 0 {
		panic("clock: negative advance")
	}
	m.now.Add(int64(s))
}

// Set sets the clock to t. It panics if t is before the current instant.
func (m *Manual) Set(t Millis) {
	if t < m.Now() {
		panic("clock: set to an earlier instant")
	}
	m.now.Store(int64(t))
}
