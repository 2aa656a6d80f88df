package limit

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Guards against a bucket that admits more or less than its rate and burst. The
// reference is a token bucket that stores its token level.
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

// Guards against a race that admits more requests than the concurrency limit.
func TestGateConcurrency(t *testing.T) {
	is := is.New(t)
	var g Gate
	var wg sync.WaitGroup
	var in, overLimit atomic.Int64
	for range 16 {
		wg.Go(func() {
			for range 500 {
				if ok, _ := g.Enter(Limits{Concurrent: 3}, 0); ok {
					if n := in.Add(1); n > 3 {
						overLimit.Store(n)
					}
					in.Add(-1)
					g.Leave()
				}
			}
		})
	}
	wg.Wait()
	is.Equal(overLimit.Load(), int64(0))
	is.Equal(g.InFlight(), 0)
}

// Guards against a table that grows with the number of callers, that resets the
// bucket of an active caller, or in which new keys displace known ones.
func TestTableRows(t *testing.T) {
	l := Limits{PerSecond: 1, Burst: 1}
	tests := map[string]struct {
		use      func(t *Table) // requests other keys of the set of key 1
		now      clock.Millis
		admitted bool
	}{
		"same key keeps its bucket":    {use: func(*Table) {}, now: 1, admitted: false},
		"bucket refills":               {use: func(*Table) {}, now: 1001, admitted: true},
		"active row survives new keys": {use: fillWithOtherKeys(l), now: 1, admitted: false},
		"new keys take only idle rows": {use: fillWithOtherKeys(Limits{}), now: 1, admitted: false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tab := NewTable()
			ok, _ := tab.gateOfHash(1, 1).Enter(l, 1)
			is.True(ok)
			tab.gateOfHash(1, 1).Leave()
			tc.use(tab)
			ok, _ = tab.gateOfHash(1, tc.now).Enter(l, tc.now)
			is.Equal(ok, tc.admitted)
		})
	}
	is := is.New(t)
	tab := NewTable()
	a := tab.Gate("key", 0)
	is.Equal(a, tab.Gate("key", 0))
	is.True(a != tab.Gate("other", 0))
}

// fillWithOtherKeys returns a function that requests the gates of more other
// keys than fit into the set of key 1.
func fillWithOtherKeys(l Limits) func(*Table) {
	return func(t *Table) {
		for i := range uint64(4 * ways) {
			g := t.gateOfHash(1+(i+1)*2*sets, 1)
			if ok, _ := g.Enter(l, 1); ok {
				g.Leave()
			}
		}
	}
}

// Guards against an upstream that stays overloaded because its configured slots
// exceed its capacity, against a limit that stays low after recovery or rises
// above the slots held, and against a limit caused by heavy-tailed latencies or
// by an upstream that is slow without overload.
func TestAdaptiveFollowsCapacity(t *testing.T) {
	tests := map[string]struct {
		capacity, slowness, tail float64
		minAverage, maxAverage   unit.Slots // requests in flight; 8 slots are held
	}{
		"capacity 1":        {1, 1, 0, 1, 3},
		"capacity 16":       {16, 1, 0, 8, 8},
		"capacity 2":        {2, 1, 0, 2, 5},
		"capacity 4":        {4, 1, 0, 4, 8},
		"capacity 8":        {8, 1, 0, 8, 8},
		"slow, no overload": {8, 3, 0, 7, 8},
		"heavy tail":        {8, 1, 8, 7, 8},
		"capacity 2, fast":  {2, 0.9, 0, 2, 5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(1, 1))
			var a AdaptiveLimit
			const slots, rounds = unit.Slots(8), 4000
			in, total := slots, unit.Slots(0)
			run := func(capacity float64) {
				latency := 0.0
				for range 16 {
					f := tc.slowness * max(1, float64(in)/capacity)
					if r.IntN(20) == 0 {
						f *= 1 + tc.tail
					}
					latency += 1000 * f * r.ExpFloat64() / 16
				}
				l := a.Update(TickStats{Responses: 16, Latency: latency, GroupMedian: 1000, PeakInFlight: in, Slots: slots})
				is.True(l >= 0 && l < slots)
				if in = slots; l > 0 {
					in = l
				}
			}
			for range rounds {
				run(tc.capacity)
				total += in
			}
			is.True(total >= tc.minAverage*rounds*95/100)
			is.True(total <= tc.maxAverage*rounds)
			tc.tail = 0
			for range 100 { // the upstream recovers
				run(1000)
			}
			is.Equal(in, slots)
		})
	}
}
