package tenure

import "mimosadock/schedule/clock"

// Limits are the durations that bound the rights of a tenure. With the zero
// value no rights exist; use [DefaultLimits].
type Limits struct {
	QuickRight clock.Span // how long the quick right lasts after a confirmation
	MaxGrant   clock.Span // maximum duration of an unpinned grant, quick or slow
	SlowRight  clock.Span // how long the slow right lasts after a confirmation
	Grace      clock.Span // time in which an upstream stops a request after its deadline
}

// DefaultLimits returns the limits for production.
func DefaultLimits() Limits {
	return Limits{
		QuickRight: 2 * clock.Second,
		MaxGrant:   6 * clock.Second,
		SlowRight:  2 * clock.Hour, // longer than a journal outage of an hour
		Grace:      500 * clock.Millisecond,
	}
}

// The clocks of two hosts drift apart by less than 1 in driftDivisor. driftMargin
// covers rounding and the drift during the grace time.
const (
	driftDivisor = 100
	driftMargin  = 50 * clock.Millisecond
)

// WithClockDrift returns how long a process must wait by its own clock until s
// has passed on the clock of any other process.
func WithClockDrift(s clock.Span) clock.Span { return s + s/driftDivisor + driftMargin }

// ReleaseDelay returns the time after which no request runs on an upstream any
// more under a grant of duration s.
func (l Limits) ReleaseDelay(s clock.Span) clock.Span { return WithClockDrift(s) + l.Grace }
