package retry

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/verdict"
)

// MaxRetries is the maximum number of retries of one request.
const MaxRetries = 2

// FailedAttempt describes a request after a failed attempt.
type FailedAttempt struct {
	Verdict      verdict.Verdict
	Idempotent   bool       // the service is idempotent
	Replayable   bool       // the body can be sent again
	Retries      int        // so far
	Remaining    clock.Span // time until the deadline
	ResponseTime clock.Span // median response time; zero if unknown
}

// Allowed reports whether the request of a may be retried. It does not check
// the budget.
func Allowed(a FailedAttempt) bool {
	return a.Replayable &&
		(a.Verdict == verdict.DidNotRun || a.Verdict == verdict.MayHaveRun && a.Idempotent) &&
		a.Retries < MaxRetries &&
		a.Remaining > a.ResponseTime
}

// HedgeDelay returns the delay after which a request of s may be hedged, which
// is p95. It returns false if the request must not be hedged. It rejects a
// hedge whose response, expected p50 later, would miss the deadline.
func HedgeDelay(s *service.Service, p50, p95, remaining clock.Span) (clock.Span, bool) {
	if !s.Hedge || !s.Idempotent || s.Class == service.Long || p95 == 0 || p95+p50 >= remaining {
		return 0, false
	}
	return p95, true
}
