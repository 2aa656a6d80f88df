package measure

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosadock/replay/outcome"
)

// Guards against a run of bench that passes although a figure misses its bound
// or a benchmark failed.
func TestGroupReportsShortfalls(t *testing.T) {
	is := is.New(t)
	is.NoErr(SetTime(time.Millisecond))
	tests := map[string]struct {
		measure Measure
		ok      bool
	}{
		"at the maximum":                {Count(outcome.AtMost, 1, func() float64 { return 1 }), true},
		"above the maximum":             {Count(outcome.AtMost, 1, func() float64 { return 2 }), false},
		"below the minimum":             {Count(outcome.AtLeast, 1, func() float64 { return 0 }), false},
		"allocation above a bound of 0": {Allocations(0, func(b *testing.B) { allocate(b.N) }), false},
		"ratio within the bound":        {Ratio(1e9, Yardstick, Yardstick), true},
		"ratio with a failed benchmark": {Ratio(1e9, func(b *testing.B) { b.FailNow() }, Yardstick), false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lines := 0
			ok := Group{name: tc.measure}.Run("", func(outcome.Line) { lines++ })
			is.Equal(ok, tc.ok)
			is.Equal(lines, 1)
		})
	}
}

// allocated makes the allocations of the test escape to the heap.
var allocated []*[64]byte

func allocate(n int) {
	for range n {
		allocated = append(allocated[:0], new([64]byte))
	}
}
