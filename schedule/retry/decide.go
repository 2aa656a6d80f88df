package retry

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/verdict"
)

// MaxRetries is the most retries of one request.
const MaxRetries = 2

// Attempt describes a request after an attempt that failed.
type Attempt struct {
	Verdict    verdict.Verdict
	Idempotent bool       // the service may run the request twice
	Replayable bool       // the body can be sent again
	Retries    int        // so far
	Remaining  clock.Span // until the deadline
	Service    clock.Span // median time of an answer, zero if unknown
}

// Allowed reports whether a may be repeated. The budget is not looked at.
func Allowed(a Attempt) bool {
	return a.Replayable &&
		(a.Verdict == verdict.DidNotRun || a.Verdict == verdict.MayHaveRun && a.Idempotent) &&
		a.Retries < MaxRetries &&
		a.Remaining > a.Service
}

// HedgeAfter returns how long after its start a request of s may be sent a
// second time, and false if it may not. A hedge that could not answer before
// the deadline is useless and is not sent.
func HedgeAfter(s *service.Service, p50, p95, remaining clock.Span) (clock.Span, bool) {
	if !s.Hedge || !s.Idempotent || s.Class == service.Long || p95 == 0 || p95+p50 >= remaining {
		return 0, false
	}
	return p95, true
}
