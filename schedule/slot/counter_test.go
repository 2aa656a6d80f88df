package slot

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// TestCounterTake guards against requests that are admitted although they end
// after the grant of their slot.
func TestCounterTake(t *testing.T) {
	tests := map[string]struct {
		held        Parts
		quick, slow clock.Millis // instants until which the parts may be used
		deadlines   []clock.Millis
		want        []bool
	}{
		"nothing held":                     {deadlines: []clock.Millis{0, 1}, want: []bool{false, false}},
		"within both":                      {held: Parts{1, 1}, quick: 10, slow: 10, deadlines: []clock.Millis{10, 9, 9}, want: []bool{true, true, false}},
		"after both":                       {held: Parts{1, 1}, quick: 10, slow: 10, deadlines: []clock.Millis{11}, want: []bool{false}},
		"quick has ended":                  {held: Parts{2, 1}, quick: 5, slow: 10, deadlines: []clock.Millis{9, 9}, want: []bool{true, false}},
		"short requests before a long one": {held: Parts{2, 1}, quick: 5, slow: 10, deadlines: []clock.Millis{5, 9, 5, 5}, want: []bool{true, false, true, true}},
		"slow has ended":                   {held: Parts{1, 1}, quick: 10, deadlines: []clock.Millis{9, 9}, want: []bool{true, false}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var c Counter
			c.HoldParts(tc.held, tc.quick, tc.slow)
			used := unit.Slots(0)
			for i, d := range tc.deadlines {
				is.Equal(c.Take(d), tc.want[i]) // request i
				if tc.want[i] {
					used++
				}
				is.Equal(c.Used(), used)
			}
		})
	}
}

// TestCounterTakeAllocations guards against allocations on the request path.
func TestCounterTakeAllocations(t *testing.T) {
	var c Counter
	c.Hold(1, 10)
	if n := testing.AllocsPerRun(100, func() {
		c.Take(5)
		c.Release()
	}); n != 0 {
		t.Errorf("Take and Release made %v allocations, want 0", n)
	}
}
