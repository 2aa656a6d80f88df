package journal

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/journal"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// Guards against retention that keeps too many entries, removes too many or
// changes the offsets of those that stay.
func TestRetention(t *testing.T) {
	tests := map[string]struct {
		retention Retention
		first     unit.Offset
	}{
		"none":     {Retention{}, 0},
		"by count": {Retention{Entries: 3}, 7},
		"by age":   {Retention{Age: 4 * clock.Second}, 6},
		"both":     {Retention{Entries: 5, Age: 2 * clock.Second}, 8},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			c := new(clock.Manual)
			m := &Memory{Clock: c}
			m.SetRetention(tc.retention)
			for i := range 10 {
				offset, err := m.Append(ctx, []byte{byte(i)})
				is.NoErr(err)
				is.Equal(offset, unit.Offset(i))
				c.Advance(clock.Second)
			}
			b, err := m.Bounds(ctx)
			is.NoErr(err)
			is.Equal(b, journal.Bounds{First: tc.first, Next: 10})
			entries, err := m.Read(ctx, tc.first, 2)
			is.NoErr(err)
			is.Equal(entries[0].Data, []byte{byte(tc.first)})
			if tc.first > 0 {
				_, err = m.Read(ctx, tc.first-1, 1)
				is.True(errors.Is(err, journal.ErrExpired))
			}
		})
	}
}

// Guards against a simulated failure whose verdict contradicts the outcome of the
// append: an entry that is stored after DidNotRun, or is missing after Ran.
func TestFailures(t *testing.T) {
	tests := map[string]struct {
		failures Failures
		verdict  verdict.Verdict
		kept     int
	}{
		"none":                           {Failures{}, verdict.Ran, 1},
		"refuse":                         {Failures{Refuse: true}, verdict.DidNotRun, 0},
		"silent":                         {Failures{Silent: true}, verdict.MayHaveRun, 0},
		"lost answer":                    {Failures{LoseAnswers: 1}, verdict.MayHaveRun, 1},
		"delayed answer, cancelled call": {Failures{Delay: clock.Hour}, verdict.MayHaveRun, 1},
		"delayed answer":                 {Failures{Delay: 1}, verdict.Ran, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var m Memory
			m.SetFailures(tc.failures)
			ctx, cancel := context.WithCancel(context.Background())
			if tc.failures.Silent || tc.failures.Delay > 1 {
				cancel()
			}
			_, err := m.Append(ctx, []byte("x"))
			cancel()
			is.Equal(verdict.Of(err), tc.verdict)
			m.SetFailures(Failures{})
			entries, err := m.Read(context.Background(), 0, 10)
			is.NoErr(err)
			is.Equal(len(entries), tc.kept)
		})
	}
}
