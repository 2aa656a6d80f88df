package limit

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Guards against a bucket that admits more than its rate and burst. The
// reference is the plain form with a level of tokens.
func TestGateMatchesTokenBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{PerSecond: float64(rapid.SampledFrom([]int{1, 2, 10, 100, 1000}).Draw(t, "rate")), Burst: rapid.IntRange(1, 20).Draw(t, "burst")}
		var g Gate
		now, last, level := clock.Millis(1), clock.Millis(1), float64(l.Burst)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(clock.Span(rapid.IntRange(0, 500).Draw(t, "pause")))
			level = min(float64(l.Burst), level+l.PerSecond*float64(now.Sub(last))/1000)
			last = now
			want := level >= 1-1e-9
			got, retry := g.Enter(l, now)
			if got != want || got == (retry > 0) {
				t.Fatalf("at %d: got %v, retry after %d, level %f", now, got, retry, level)
			}
			if got {
				level--
				g.Leave()
			}
		}
	})
}

// Guards against a cap on concurrency that a race exceeds.
func TestGateConcurrency(t *testing.T) {
	is := is.New(t)
	var g Gate
	var wg sync.WaitGroup
	var in, peak atomic.Int64
	for range 16 {
		wg.Go(func() {
			for range 500 {
				if ok, _ := g.Enter(Limits{Concurrent: 3}, 0); ok {
					if n := in.Add(1); n > 3 {
						peak.Store(n)
					}
					in.Add(-1)
					g.Leave()
				}
			}
		})
	}
	wg.Wait()
	is.Equal(peak.Load(), int64(0))
	is.Equal(g.InFlight(), 0)
}

// Guards against a table that grows with the callers, that forgets a caller who
// used up its bucket, or that lets new keys lock known ones out.
func TestTableRows(t *testing.T) {
	l := Limits{PerSecond: 1, Burst: 1}
	tests := map[string]struct {
		use      func(t *Table) // fills the set of key 1 with other keys
		at       clock.Millis
		admitted bool
	}{
		"same key is held to its bucket":  {use: func(*Table) {}, at: 1, admitted: false},
		"bucket refills":                  {use: func(*Table) {}, at: 1001, admitted: true},
		"busy row survives new keys":      {use: flood(l), at: 1, admitted: false},
		"idle rows are given to new keys": {use: flood(Limits{}), at: 1, admitted: false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tab := NewTable()
			ok, _ := tab.gate(1, 1).Enter(l, 1)
			is.True(ok)
			tab.gate(1, 1).Leave()
			tc.use(tab)
			ok, _ = tab.gate(1, tc.at).Enter(l, tc.at)
			is.Equal(ok, tc.admitted)
		})
	}
	is := is.New(t)
	tab := NewTable()
	a := tab.Gate("key", 0)
	is.Equal(a, tab.Gate("key", 0))
	is.True(a != tab.Gate("other", 0))
}

func flood(l Limits) func(*Table) {
	return func(t *Table) {
		for i := range uint64(4 * ways) {
			g := t.gate(1+(i+1)*2*sets, 1)
			if ok, _ := g.Enter(l, 1); ok {
				g.Leave()
			}
		}
	}
}

// Guards against an upstream with a wrong figure that stays overloaded, and
// against a limit that stays low after the fault or rises above the slots held.
func TestAdaptiveFollowsTrueCapacity(t *testing.T) {
	for _, capacity := range []float64{1, 2, 4, 8, 16} {
		t.Run(fmt.Sprintf("capacity %v of 8 slots", capacity), func(t *testing.T) {
			is := is.New(t)
			var a Adaptive
			const slots = unit.Slots(8)
			in := unit.Slots(1) // demand rises from 1 to more than there is
			lowest := slots
			for i := range 2000 {
				latency := 1000 * max(1, float64(in)/capacity)
				l := a.Update(Tick{Answers: 1, Latency: latency, Peak: in, Slots: slots})
				is.True(l >= 0 && l < slots)
				in = min(slots, unit.Slots(1+i/10))
				if l > 0 {
					in = min(in, l)
				}
				if i > 100 && i < 600 {
					lowest = min(lowest, in)
				}
			}
			is.True(float64(in) <= min(8, 2*capacity+1))
			is.True(float64(lowest) >= min(8, capacity))
			for range 200 { // the upstream recovers
				a.Update(Tick{Answers: 1, Latency: 1000, Peak: slots, Slots: slots})
			}
			is.Equal(a.Update(Tick{Slots: slots}), unit.Slots(0))
		})
	}
}
