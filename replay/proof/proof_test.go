package proof

import (
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"

	"mimosadock/replay/generator"
	"mimosadock/replay/outcome"
	"mimosadock/replay/trace"
	"mimosadock/replay/traffic"
	"mimosadock/schedule/clock"
)

const tracesDir = "../../testdata/traces"

// Guards against a trace without an outcomes file, and against an outcome
// without the target that its bound comes from.
func TestEveryTraceHasExpectedOutcomes(t *testing.T) {
	is := is.New(t)
	names, err := Names(tracesDir)
	is.NoErr(err)
	is.Equal(len(names), 7)
	for _, name := range names {
		f, err := outcome.Load(filepath.Join(tracesDir, name+outcomeSuffix))
		is.NoErr(err)
		is.Equal(f.Trace, name)
	}
}

// Guards against a replay whose figures differ between runs.
func TestReplayIsRepeatable(t *testing.T) {
	const length = 7 * clock.Second // includes the first faults
	is := is.New(t)
	tr, err := generator.Generate("marts-faults", 1)
	is.NoErr(err)
	tr.Header.Length = length
	tr.Events = slices.DeleteFunc(tr.Events, func(e trace.Event) bool { return e.At >= clock.Millis(length) })
	first, err := traffic.Replay(tr, traffic.NewEntryScheme)
	is.NoErr(err)
	second, err := traffic.Replay(tr, traffic.NewEntryScheme)
	is.NoErr(err)
	is.Equal(first.Latencies("lookup", traffic.WholeTrace), second.Latencies("lookup", traffic.WholeTrace))
}
