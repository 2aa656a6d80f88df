package retry

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/verdict"
)

// Guards against a non-idempotent request that runs twice and against retries
// that can't succeed.
func TestAllowed(t *testing.T) {
	base := FailedAttempt{Verdict: verdict.MayHaveRun, Idempotent: true, Replayable: true, Remaining: 100, ResponseTime: 10}
	tests := map[string]struct {
		change func(*FailedAttempt)
		want   bool
	}{
		"idempotent":                   {func(*FailedAttempt) {}, true},
		"not idempotent, may have run": {func(a *FailedAttempt) { a.Idempotent = false }, false},
		"not idempotent, did not run":  {func(a *FailedAttempt) { a.Idempotent, a.Verdict = false, verdict.DidNotRun }, true},
		"ran":                          {func(a *FailedAttempt) { a.Verdict = verdict.Ran }, false},
		"body not replayable":          {func(a *FailedAttempt) { a.Replayable = false }, false},
		"third retry":                  {func(a *FailedAttempt) { a.Retries = MaxRetries }, false},
		"response after the deadline":  {func(a *FailedAttempt) { a.Remaining = 10 }, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			a := base
			tc.change(&a)
			is.New(t).Equal(Allowed(a), tc.want)
		})
	}
}

// Guards against a hedge of a request that must not run twice or that belongs to
// the long class, and against a hedge that can't meet the deadline.
func TestHedgeDelay(t *testing.T) {
	tests := map[string]struct {
		service   service.Service
		p95       clock.Span
		remaining clock.Span
		want      bool
	}{
		"hedged":            {service.Service{Hedge: true, Idempotent: true}, 20, 100, true},
		"not idempotent":    {service.Service{Hedge: true}, 20, 100, false},
		"hedging disabled":  {service.Service{Idempotent: true}, 20, 100, false},
		"long":              {service.Service{Hedge: true, Idempotent: true, Class: service.Long}, 20, 100, false},
		"p95 unknown":       {service.Service{Hedge: true, Idempotent: true}, 0, 100, false},
		"past the deadline": {service.Service{Hedge: true, Idempotent: true}, 95, 100, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, ok := HedgeDelay(&tc.service, 10, tc.p95, tc.remaining)
			is.New(t).Equal(ok, tc.want)
		})
	}
}

// Guards against a budget that lets a burst of failures double the load. The
// reference stores the time of every request and retry.
func TestBudgetMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		var requests, repeats []clock.Millis
		recent := func(at []clock.Millis, now clock.Millis) int {
			n := 0
			for _, x := range at {
				if now/1000-x/1000 < bucketCount {
					n++
				}
			}
			return n
		}
		now := clock.Millis(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(clock.Span(rapid.IntRange(0, 400).Draw(t, "pause")))
			if rapid.IntRange(0, 2).Draw(t, "op") > 0 {
				b.CountRequest(now)
				requests = append(requests, now)
				continue
			}
			want := recent(repeats, now) < recent(requests, now)/10+10
			if b.Spend(now) != want {
				t.Fatalf("at %d: want %v", now, want)
			}
			if want {
				repeats = append(repeats, now)
			}
		}
	})
}
