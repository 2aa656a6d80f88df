package tenure

import "mimosadock/schedule/clock"

// Limits are the spans that bound the rights of a tenure. The zero value
// grants nothing; use [DefaultLimits].
type Limits struct {
	Confirm  clock.Span // T, how long a confirmation carries the quick right
	Quick    clock.Span // G, length of a quick grant
	Isolated clock.Span // H, how long a confirmation carries the slow right
	Grace    clock.Span // time an upstream may take to stop work after the deadline
}

// DefaultLimits returns the limits of production.
func DefaultLimits() Limits {
	return Limits{
		Confirm:  2 * clock.Second,
		Quick:    6 * clock.Second,
		Isolated: 2 * clock.Hour, // longer than a journal outage of an hour
		Grace:    500 * clock.Millisecond,
	}
}

// The clocks of two hosts drift apart by less than 1 in driftPart. The margin
// covers rounding and the drift of the grace.
const (
	driftDivisor = 100
	driftMargin  = 50 * clock.Millisecond
)

// Allow returns how long a process has to wait by its own clock until s has
// passed on the clock of any other process.
func Allow(s clock.Span) clock.Span { return s + s/driftDivisor + driftMargin }

// Outstanding returns the span after which nothing that was granted for s runs
// on an upstream any more.
func (l Limits) Outstanding(s clock.Span) clock.Span { return Allow(s) + l.Grace }
