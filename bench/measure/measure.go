package measure

import (
	"cmp"
	"flag"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"mimosadock/replay/outcome"
)

// Measure computes one figure and has the bound of that figure.
type Measure struct {
	Side  outcome.Side // whether Bound is a maximum or a minimum
	Bound float64
	// Run returns the figure, and further figures for the same printed line.
	Run func() (float64, []outcome.Figure)
}

// Group is a set of measures by name.
type Group map[string]Measure

// Run runs the measures whose names contain match, in the order of their names,
// and passes each line to emit. It reports whether all of them meet their bounds.
func (g Group) Run(match string, emit func(outcome.Line)) bool {
	ok := true
	for _, name := range slices.SortedFunc(maps.Keys(g), cmp.Compare[string]) {
		if !strings.Contains(name, match) {
			continue
		}
		m := g[name]
		value, figures := m.Run()
		l := outcome.Line{Name: name, Value: value, Side: m.Side, Bound: m.Bound, Baselines: figures}
		emit(l)
		ok = ok && l.OK()
	}
	return ok
}

// SetTime sets the duration of each benchmark. It must be called before the
// first benchmark runs.
func SetTime(d time.Duration) error {
	testing.Init()
	return flag.Set("test.benchtime", d.String())
}

// Allocations returns a measure of the number of allocations per operation of f.
func Allocations(bound float64, f func(b *testing.B)) Measure {
	return Measure{Bound: bound, Run: func() (float64, []outcome.Figure) {
		r := benchmark(f)
		return float64(r.AllocsPerOp()), []outcome.Figure{{Name: "nsPerOp", Value: nanos(r)}}
	}}
}

// Ratio returns a measure of the time of f divided by the time of reference.
func Ratio(bound float64, f, reference func(b *testing.B)) Measure {
	return Measure{Bound: bound, Run: func() (float64, []outcome.Figure) {
		// The two benchmarks alternate and the shortest time of each counts,
		// because other load on the host can only add time.
		best, ref := math.Inf(1), math.Inf(1)
		for range rounds {
			best, ref = min(best, nanos(benchmark(f))), min(ref, nanos(benchmark(reference)))
		}
		return best / ref, []outcome.Figure{{Name: "nsPerOp", Value: best}, {Name: "referenceNsPerOp", Value: ref}}
	}}
}

// Yardsticks returns a measure of the time of one operation of f in units of
// [Yardstick].
func Yardsticks(bound float64, f func(b *testing.B)) Measure { return Ratio(bound, f, Yardstick) }

// Count returns a measure of a figure that does not depend on time.
func Count(side outcome.Side, bound float64, f func() float64) Measure {
	return Measure{Side: side, Bound: bound, Run: func() (float64, []outcome.Figure) { return f(), nil }}
}

// rounds is the number of measurements of each side of a ratio.
const rounds = 3

// YardstickSteps is the number of dependent multiplications of a yardstick. A
// multiplication has a latency of 3 cycles on current processors, so a yardstick
// takes 1 us at 3 GHz. A target in microseconds is therefore the same number in
// yardsticks.
const YardstickSteps = 1000

// multiplier is odd, so that the product never becomes zero.
const multiplier = 0x9e3779b97f4a7c15

// sink stores results, so that the compiler does not remove their computation.
var sink uint64

// Yardstick is the reference benchmark for targets that are given as times. One
// operation is [YardstickSteps] dependent multiplications.
func Yardstick(b *testing.B) {
	x := uint64(b.N) | 1
	for range b.N {
		for range YardstickSteps {
			x *= multiplier
		}
	}
	sink += x
}

func benchmark(f func(b *testing.B)) testing.BenchmarkResult {
	return testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		f(b)
	})
}

// Nanos returns the time of one operation of f in nanoseconds, or NaN if the
// benchmark f failed.
func Nanos(f func(b *testing.B)) float64 { return nanos(benchmark(f)) }

func nanos(r testing.BenchmarkResult) float64 {
	if r.N == 0 {
		return math.NaN() // the benchmark failed; NaN meets no bound
	}
	return float64(r.T.Nanoseconds()) / float64(r.N)
}
