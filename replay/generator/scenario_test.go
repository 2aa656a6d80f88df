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
			generated, err := Generate(name, committed.Header.Seed)
			is.NoErr(err)
			var want, got bytes.Buffer
			is.NoErr(committed.Write(&want))
			is.NoErr(generated.Write(&got))
			is.True(bytes.Equal(want.Bytes(), got.Bytes()))
		})
	}
}

// Guards against traces that are too large for the repository.
func TestCommittedTracesAreSmall(t *testing.T) {
	const maxTotalBytes = 2 << 20
	is := is.New(t)
	files, err := os.ReadDir(tracesDir)
	is.NoErr(err)
	total := int64(0)
	for _, f := range files {
		info, err := f.Info()
		is.NoErr(err)
		total += info.Size()
	}
	is.True(total < maxTotalBytes)
}

// Guards against deployments that differ from section 1 of the design page.
func TestDeploymentsMatchDesign(t *testing.T) {
	tests := map[string]struct {
		layout                                   layout
		dataCentres, entries, upstreams, workers int
		minEntriesPerDataCentre, maxRackSize     int
	}{
		"tweedside": {layout: martLayout(), dataCentres: 3, entries: 7, upstreams: 65, workers: 65, minEntriesPerDataCentre: 1, maxRackSize: 10},
		"lampang":   {layout: tileLayout(), dataCentres: 4, entries: 7, upstreams: 50, workers: 50, minEntriesPerDataCentre: 1, maxRackSize: 6},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := tc.layout.deployment()
			is.Equal(len(d.DataCentres), tc.dataCentres)
			is.Equal(len(d.Entries), tc.entries)
			is.Equal(len(d.Upstreams), tc.upstreams)
			is.Equal(len(d.Workers), tc.workers)
			racks, maxSize := map[string]int{}, 0
			for _, w := range d.Workers {
				racks[string(w.Rack)]++
				maxSize = max(maxSize, racks[string(w.Rack)])
			}
			is.Equal(maxSize, tc.maxRackSize)
			entriesPerDataCentre := map[string]int{}
			for _, e := range d.Entries {
				entriesPerDataCentre[string(e.DataCentre)]++
			}
			minEntries := tc.entries
			for _, n := range entriesPerDataCentre {
				minEntries = min(minEntries, n)
			}
			is.Equal(minEntries, tc.minEntriesPerDataCentre)
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
