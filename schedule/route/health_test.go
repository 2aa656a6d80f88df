package route

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// steadyRows returns n steady rows whose slowness, and so the median slowness, is
// 2000.
func steadyRows(n int) []*Health {
	rows := make([]*Health, n)
	for i := range rows {
		rows[i] = &Health{Phase: Steady, Slowness: 2000, Successes: 100, initialized: true}
	}
	return rows
}

// TestEjectUnhealthy guards against failing or slow upstreams that are not ejected, and
// against more ejections than the maximum share.
func TestEjectUnhealthy(t *testing.T) {
	fail := func(h *Health) { h.Failures = maxFailures }
	slow := func(h *Health) { h.Slowness = 6001 }
	tests := map[string]struct {
		n, bad  int
		degrade func(*Health)
		ejected int
	}{
		"healthy":             {n: 10, bad: 0, degrade: fail, ejected: 0},
		"one fails":           {n: 10, bad: 1, degrade: fail, ejected: 1},
		"one slow":            {n: 10, bad: 1, degrade: slow, ejected: 1},
		"at the slow limit":   {n: 10, bad: 1, degrade: func(h *Health) { h.Slowness = 6000 }, ejected: 0},
		"slow, few responses": {n: 10, bad: 1, degrade: func(h *Health) { h.Slowness, h.Successes = 9000, 2 }, ejected: 0},
		"one failure too few": {n: 10, bad: 1, degrade: func(h *Health) { h.Failures = maxFailures - 1 }, ejected: 0},
		"all fail":            {n: 10, bad: 10, degrade: fail, ejected: 3},
		"cap rounds down":     {n: 9, bad: 9, degrade: fail, ejected: 2},
		"too few to eject":    {n: 3, bad: 1, degrade: fail, ejected: 0},
		"cap counts trial":    {n: 10, bad: 10, degrade: func(h *Health) { h.Failures, h.Phase = maxFailures, Trial }, ejected: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rows := steadyRows(tc.n)
			for _, h := range rows[:tc.bad] {
				tc.degrade(h)
			}
			for range 5 { // the maximum also applies over several ticks
				EjectUnhealthy(rows, 0)
			}
			n := 0
			for _, h := range rows {
				if !h.AcceptsRequests() {
					n++
				}
			}
			is.Equal(n, tc.ejected)
		})
	}
}

// TestReturnAfterEjection guards against an upstream that never returns, returns
// with all its slots at once, or returns as soon after a consecutive ejection
// as after the first one.
func TestReturnAfterEjection(t *testing.T) {
	is := is.New(t)
	h, now := steadyRows(1)[0], clock.Millis(0)
	step := func(s clock.Span) Phase {
		now = now.Add(s)
		UpdatePhase(h, now)
		return h.Phase
	}
	h.eject(now)
	is.Equal(step(minEjectionTime-1), Ejected)
	is.Equal(step(1), Trial)
	is.Equal(h.Limit(8, now), unit.Slots(1))
	h.Failure()
	is.Equal(step(1), Ejected)
	is.Equal(step(minEjectionTime), Ejected) // the second ejection is twice as long
	is.Equal(step(minEjectionTime), Trial)
	for range minTrialSuccesses {
		h.Success(2000, 1)
	}
	is.Equal(step(1), Starting)
	last := unit.Slots(0)
	for range 9 {
		n := h.Limit(8, now)
		is.True(n >= last && n < 8)
		last = n
		is.Equal(step(slowStartTime/10), Starting)
	}
	is.True(last > 5)
	is.Equal(step(slowStartTime/10), Steady)
	is.Equal(h.Limit(8, now), unit.Slots(0))
	step(ejectionResetTime)
	is.Equal(h.Ejections, 0)
}
