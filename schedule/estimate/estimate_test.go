package estimate

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Guards against an estimated size that is below the declared one, above the
// capacity or based on too few samples, and against a wrong limit for
// stragglers.
func TestKind(t *testing.T) {
	tests := map[string]struct {
		samples []unit.MiB
		want    unit.MiB
	}{
		"no samples":                {nil, 1000},
		"too few":                   {[]unit.MiB{5000, 5000, 5000, 5000}, 1000},
		"estimated":                 {[]unit.MiB{2000, 2000, 2000, 2000, 2000}, 2000},
		"four tasks share a worker": {[]unit.MiB{1900, 2100, 1900, 2100, 2000}, 2100},
		"a worker holds one task":   {[]unit.MiB{4900, 5100, 4900, 5100, 5000}, 5200},
		"declared size is larger":   {[]unit.MiB{10, 10, 10, 10, 10}, 1000},
		"over capacity":             {[]unit.MiB{9000, 9000, 9000, 9000, 9000}, 8000},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var k KindEstimate
			for _, m := range tc.samples {
				k.AddUsage(unit.Resources{Memory: m})
				k.AddRunTime(clock.Span(m))
			}
			size := k.Size(unit.Resources{Memory: 1000, Accelerators: 1}, unit.Resources{Memory: 8000})
			is.Equal(size, unit.Resources{Memory: tc.want, Accelerators: 1})
			p := k.P90()
			is.Equal(p > 0, len(tc.samples) >= minSamples)
			is.Equal(k.IsStraggler(3*p+1), p > 0)
			is.Equal(k.IsStraggler(3*p), false)
		})
	}
}

// Guards against interference that is credited to the wrong pair. The
// estimates are compared with the actual slowdowns behind noisy
// measurements.
func TestInterferenceMatchesSlowdowns(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	actual := map[unit.Kind]float64{"quiet": 0, "loud": 0.5, "louder": 0.9}
	kinds := []unit.Kind{"quiet", "loud", "louder"}
	var x Interference
	for range 4000 {
		var neighbours []unit.Kind
		sum := 0.0
		for range 1 + rng.IntN(3) {
			k := kinds[rng.IntN(3)]
			neighbours = append(neighbours, k)
			sum += actual[k]
		}
		x.Update("victim", neighbours, 1, max(0, sum+0.1*rng.NormFloat64()))
	}
	for k, want := range actual {
		is.True(math.Abs(x.Slowdown("victim", k, 1)-want) < 0.15)
		is.Equal(x.Slowdown("victim", k, 0), 0.0) // no sample has this load level
	}
}

// Guards against a delayed measurement that is credited to work placed after
// it was taken, and against headroom for a peak that is no longer kept.
func TestHistoryAndRecentPeak(t *testing.T) {
	is := is.New(t)
	var h History
	h.Record(1000, []unit.Kind{"a"})
	h.Record(5000, []unit.Kind{"a", "b"})
	is.Equal(h.At(500), nil)
	is.Equal(h.At(4999), []unit.Kind{"a"})
	is.Equal(h.At(5000), []unit.Kind{"a", "b"})

	var peak RecentPeak
	batchCapacity := unit.Resources{CPU: 1000}
	peak.Add(0, unit.Resources{CPU: 40})
	is.Equal(peak.Headroom(unit.Resources{CPU: 10}, batchCapacity), unit.Resources{CPU: 30})
	is.Equal(peak.Headroom(unit.Resources{CPU: 50}, batchCapacity), unit.Resources{})
	is.Equal(peak.Headroom(unit.Resources{CPU: 10}, unit.Resources{CPU: 80}), unit.Resources{CPU: 10}) // the limit is an eighth of batchCapacity
	peak.Add(clock.Millis(peakWindowCount*peakWindow), unit.Resources{CPU: 5})
	is.Equal(peak.Headroom(unit.Resources{}, batchCapacity), unit.Resources{CPU: 5})
}
