package generator

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"mimosadock/replay/trace"
)

const tracesDir = "../../testdata/traces"

// Guards against committed traces that can't be generated again from their
// seed, and against a format that loses fields when a trace is saved and
// loaded.
func TestCommittedTracesComeFromTheirSeed(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			committed, err := trace.Load(filepath.Join(tracesDir, name+".jsonl.gz"))
			is.NoErr(err)
			made, err := Generate(name, committed.Header.Seed)
			is.NoErr(err)
			var want, got bytes.Buffer
			is.NoErr(committed.Write(&want))
			is.NoErr(made.Write(&got))
			is.True(bytes.Equal(want.Bytes(), got.Bytes()))
		})
	}
}

// Guards against traces that are too large for the repository.
func TestCommittedTracesAreSmall(t *testing.T) {
	const limit = 2 << 20
	is := is.New(t)
	files, err := os.ReadDir(tracesDir)
	is.NoErr(err)
	total := int64(0)
	for _, f := range files {
		info, err := f.Info()
		is.NoErr(err)
		total += info.Size()
	}
	is.True(total < limit)
}

// Guards against deployments that differ from section 1 of the design page.
func TestDeploymentsMatchDesign(t *testing.T) {
	tests := map[string]struct {
		layout                               layout
		centres, entries, upstreams, workers int
		smallestEntries, largestRackSize     int
	}{
		"tweedside": {layout: martLayout(), centres: 3, entries: 7, upstreams: 65, workers: 65, smallestEntries: 1, largestRackSize: 10},
		"lampang":   {layout: tileLayout(), centres: 4, entries: 7, upstreams: 50, workers: 50, smallestEntries: 1, largestRackSize: 6},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := tc.layout.deployment()
			is.Equal(len(d.DataCentres), tc.centres)
			is.Equal(len(d.Entries), tc.entries)
			is.Equal(len(d.Upstreams), tc.upstreams)
			is.Equal(len(d.Workers), tc.workers)
			racks, largest := map[string]int{}, 0
			for _, w := range d.Workers {
				racks[string(w.Rack)]++
				largest = max(largest, racks[string(w.Rack)])
			}
			is.Equal(largest, tc.largestRackSize)
			per := map[string]int{}
			for _, e := range d.Entries {
				per[string(e.DataCentre)]++
			}
			smallest := tc.entries
			for _, n := range per {
				smallest = min(smallest, n)
			}
			is.Equal(smallest, tc.smallestEntries)
		})
	}
}

// Guards against a load swing that takes longer than a second or is smaller than
// tenfold. The replays must prove the targets for that swing.
func TestSwingReachesTenTimesWithinASecond(t *testing.T) {
	is := is.New(t)
	r := swingRate(600, 10, 10000, 13000)
	is.Equal(r(9999), 600.0)
	is.Equal(r(11000), 6000.0)
	is.Equal(r(12999), 6000.0)
	is.Equal(r(14000), 600.0)
}
