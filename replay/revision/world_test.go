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
	h.Deployment.Between = 1500
	for _, dc := range []unit.DataCentre{"mueang", "mueang", "kokha"} {
		h.Deployment.Entries = append(h.Deployment.Entries, trace.Entry{DataCentre: dc})
	}
	for i := range h.Deployment.Entries {
		h.Deployment.Entries[i].Host = unit.Host(rune('a' + i))
	}
	return h
}

// Guards against two accepted changes from one base, and against a process that
// misses or forgets an accepted revision; the last cases break the rule on
// purpose, so that the check is known to fail.
func TestChanges(t *testing.T) {
	tests := map[string]struct {
		events   []trace.Event
		sabotage func(w *World)
		accepted int
		stale    int
		violated bool
	}{
		"race": {
			events:   []trace.Event{{At: 1000, What: trace.Change, Author: "a"}, {At: 1000, What: trace.Change, Entry: 2, Author: "b"}},
			accepted: 2, stale: 1,
		},
		"behind": {
			events:   []trace.Event{{At: 1000, What: trace.Change, Author: "a"}, {At: 2000, What: trace.Change, Behind: 1, Author: "b"}},
			accepted: 2, stale: 1,
		},
		"restart in an outage": {
			events: []trace.Event{
				{At: 1000, What: trace.Change, Author: "a"},
				{At: 2000, What: trace.JournalDown},
				{At: 3000, What: trace.EntryDown, Entry: 1},
				{At: 4000, What: trace.EntryUp, Entry: 1},
				{At: 5000, What: trace.Change, Author: "b"},
				{At: 15000, What: trace.JournalUp},
			},
			accepted: 2,
		},
		"reverted": {
			events:   []trace.Event{{At: 1000, What: trace.Change, Author: "a"}},
			sabotage: func(w *World) { w.processes.Get(0).register = config.Register{} },
			accepted: 2, violated: true,
		},
		"not adopted": {
			events:   []trace.Event{{At: 8000, What: trace.Change, Entry: 1, Author: "a"}},
			sabotage: func(w *World) { w.processes.Get(0).register.Advance(1 << 40); w.cutAll() },
			accepted: 2, violated: true,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := New(header())
			w.events = tc.events
			is.NoErr(w.change(&trace.Event{What: trace.Change, Author: "operator"}))
			is.NoErr(w.runTo(6_000))
			if tc.sabotage != nil {
				tc.sabotage(w)
			}
			is.NoErr(w.runTo(26_000))
			is.Equal(len(w.Accepted), tc.accepted)
			is.Equal(w.Results[config.Stale], tc.stale)
			is.Equal(w.Ledger.Count(invariant.Adopted) > 0, tc.violated)
			is.True(w.Ledger.Checks(invariant.Adopted) > 0)
		})
	}
}

func (w *World) cutAll() {
	for _, a := range w.header.Deployment.DataCentres {
		for _, b := range w.header.Deployment.DataCentres {
			w.cut.Put([2]unit.DataCentre{a, b}, true)
		}
	}
}
