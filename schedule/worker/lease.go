package worker

import "mimosadock/schedule/clock"

// Terms of the leases of attempts.
const (
	Lease         = 30 * clock.Second
	RenewInterval = 2 * clock.Second
	// PollInterval is how soon a stop or a checkpoint is asked about.
	PollInterval = 250 * clock.Millisecond
	// MaxReportAge is how old the last report of a worker may be for a start. A
	// start under an older one would begin with most of its lease gone.
	MaxReportAge = 15 * clock.Second
	// driftDivisor and driftMargin bound how much two clocks drift apart.
	driftDivisor = 100 // one part in 100
	driftMargin  = 50 * clock.Millisecond
)

// WithDrift returns the time to wait on the own clock so that s has certainly
// passed on the clock of another host.
func WithDrift(s clock.Span) clock.Span { return s + s/driftDivisor + driftMargin }

// LeaseEnd returns the instant from which a lease has certainly ended that was
// given under a report received at the given instant. The worker counts the
// lease from the writing of that report, which lies before its receipt.
func LeaseEnd(received clock.Millis) clock.Millis { return received.Add(WithDrift(Lease)) }
