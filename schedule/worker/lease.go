package worker

import "mimosadock/schedule/clock"

// Lengths and intervals of leases.
const (
	LeaseDuration = 30 * clock.Second
	RenewInterval = 2 * clock.Second
	// PollInterval is the time between two renewals while the report of a
	// stop or a checkpoint is awaited.
	PollInterval = 250 * clock.Millisecond
	// MaxReportAge is the maximum age of the last report of a worker for a
	// start. A start under an older report would begin with most of its
	// lease already used up.
	MaxReportAge = 15 * clock.Second
	// driftDivisor and driftMargin bound the drift between two clocks:
	// 1/driftDivisor of the measured time, plus driftMargin.
	driftDivisor = 100
	driftMargin  = 50 * clock.Millisecond
)

// WithClockDrift returns the time to wait on the local clock until s has
// certainly passed on the clock of another host.
func WithClockDrift(s clock.Span) clock.Span { return s + s/driftDivisor + driftMargin }

// LeaseEndAfter returns the instant from which a lease has certainly ended
// if it was granted under a report received at the given instant. The worker
// counts the lease from the time when it wrote that report, which is before
// the receipt.
func LeaseEndAfter(received clock.Millis) clock.Millis {
	return received.Add(WithClockDrift(LeaseDuration))
}
