package revision

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/replay/invariant"
	"mimosadock/replay/trace"
	"mimosadock/schedule/config"
	"mimosadock/schedule/unit"
)

func header() *trace.Header {
	h := &trace.Header{Length: 20_000}
	h.Deployment.DataCentres = []unit.DataCentre{"mueang", "kokha"}
	h.Deployment.DataCentreDelay = 1500
	for _, dc := range []unit.DataCentre{"mueang", "mueang", "kokha"} {
		h.Deployment.Entries = append(h.Deployment.Entries, trace.Entry{DataCentre: dc})
	}
	for i := range h.Deployment.Entries {
		h.Deployment.Entries[i].Host = unit.Host(rune('a' + i))
	}
	return h
}

// Guards against two accepted changes with the same base, and against a process
// that misses or reverts an accepted revision. The cases with
// breakInvariant violate the invariant deliberately to show that the check can
// fail.
func TestChanges(t *testing.T) {
	tests := map[string]struct {
		events         []trace.Event
		breakInvariant func(sim *Simulation)
		accepted       int
		stale          int
		violated       bool
	}{
		"two changes with the same base": {
			events:   []trace.Event{{At: 1000, Type: trace.Change, Author: "a"}, {At: 1000, Type: trace.Change, Entry: 2, Author: "b"}},
			accepted: 2, stale: 1,
		},
		"change with an old base": {
			events:   []trace.Event{{At: 1000, Type: trace.Change, Author: "a"}, {At: 2000, Type: trace.Change, BaseLag: 1, Author: "b"}},
			accepted: 2, stale: 1,
		},
		"restart in an outage": {
			events: []trace.Event{
				{At: 1000, Type: trace.Change, Author: "a"},
				{At: 2000, Type: trace.JournalDown},
				{At: 3000, Type: trace.EntryDown, Entry: 1},
				{At: 4000, Type: trace.EntryUp, Entry: 1},
				{At: 5000, Type: trace.Change, Author: "b"},
				{At: 15000, Type: trace.JournalUp},
			},
			accepted: 2,
		},
		"process that loses its register": {
			events:         []trace.Event{{At: 1000, Type: trace.Change, Author: "a"}},
			breakInvariant: func(sim *Simulation) { sim.processes.Get(0).register = config.Register{} },
			accepted:       2, violated: true,
		},
		"process that reads and receives no change": {
			events:         []trace.Event{{At: 8000, Type: trace.Change, Entry: 1, Author: "a"}},
			breakInvariant: func(sim *Simulation) { sim.processes.Get(0).register.Advance(1 << 40); sim.cutAllLinks() },
			accepted:       2, violated: true,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := New(header())
			sim.events = tc.events
			is.NoErr(sim.submitChange(&trace.Event{Type: trace.Change, Author: "operator"}))
			is.NoErr(sim.runUntil(6_000))
			if tc.breakInvariant != nil {
				tc.breakInvariant(sim)
			}
			is.NoErr(sim.runUntil(26_000))
			is.Equal(len(sim.Accepted), tc.accepted)
			is.Equal(sim.Results[config.Stale], tc.stale)
			is.Equal(sim.Ledger.ViolationCount(invariant.RevisionAdoption) > 0, tc.violated)
			is.True(sim.Ledger.CheckCount(invariant.RevisionAdoption) > 0)
		})
	}
}

func (sim *Simulation) cutAllLinks() {
	for _, a := range sim.header.Deployment.DataCentres {
		for _, b := range sim.header.Deployment.DataCentres {
			sim.cutLinks.Put([2]unit.DataCentre{a, b}, true)
		}
	}
}
