package retry

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/verdict"
)

// MaxRetries is the maximum number of retries of one request.
const MaxRetries = 2

// FailedAttempt describes a request whose last attempt failed.
type FailedAttempt struct {
	Verdict      verdict.Verdict
	Idempotent   bool       // the service is idempotent
	Replayable   bool       // the body can be sent again
	Retries      int        // number of retries so far
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

// HedgeDelay returns how long to wait for the first response before a hedge,
// which is p95. It returns false if s must not be hedged, if p95 is unknown
// (zero), or if the response of the hedge would miss the deadline. That response
// is expected after p95 + p50.
func HedgeDelay(s *service.Service, p50, p95, remaining clock.Span) (clock.Span, bool) {
	if !s.Hedge || !s.Idempotent || s.Class == service.Long || p95 == 0 || p95+p50 >= remaining {
		return 0, false
	}
	return p95, true
}
