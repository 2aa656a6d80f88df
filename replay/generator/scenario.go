package generator

import (
	"fmt"
	"maps"
	"slices"

	"mimosadock/replay/trace"
)

// scenario generates the trace with the given name from seed.
type scenario func(name string, seed uint64) *trace.Trace

var scenarios = map[string]scenario{
	"marts-swing":   martsSwing,
	"marts-faults":  martsFaults,
	"marts-work":    martsWork,
	"tiles-watches": tilesWatches,
	"tiles-orders":  tilesOrders,
	"tiles-work":    tilesWork,
	"tiles-changes": tilesChanges,
}

// Names returns the sorted names of all scenarios.
func Names() []string { return slices.Sorted(maps.Keys(scenarios)) }

// Generate returns the trace of the named scenario for seed. It returns an
// error for an unknown name.
func Generate(name string, seed uint64) (*trace.Trace, error) {
	s := scenarios[name]
	if s == nil {
		return nil, fmt.Errorf("generator: unknown scenario %q", name)
	}
	return s(name, seed), nil
}
