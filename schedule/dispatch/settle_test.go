package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Guards against an executor in use that is given up, or an executor that is
// held, because another writer left an entry under its key that can't be decoded.
func TestUndecodableEntriesChangeNoExecutor(t *testing.T) {
	first := Registration{Executor: "x0", Service: "s", Address: "a", Incarnation: 1, Capacity: unit.Resources{CPU: 8000, Memory: 16000}}
	second := first
	second.Executor = "x1"
	draining := first
	draining.Draining = true
	undecodable := []UndecodableEntry{{Executor: "x0"}, {Executor: "other"}, {}}
	for name, c := range map[string]struct {
		list   Registrations
		usable map[unit.Executor]bool
	}{
		"changes":                        {Registrations{Undecodable: undecodable}, map[unit.Executor]bool{"x0": true, "x1": true}},
		"complete list":                  {Registrations{Complete: true, Entries: []Registration{second}, Undecodable: undecodable}, map[unit.Executor]bool{"x0": true, "x1": true}},
		"complete list without an entry": {Registrations{Complete: true, Entries: []Registration{second}}, map[unit.Executor]bool{"x1": true}},
		"removed before":                 {Registrations{Removed: []unit.Executor{"x0"}, Undecodable: undecodable}, map[unit.Executor]bool{"x1": true}},
		"replaced by a draining one":     {Registrations{Entries: []Registration{draining}, Undecodable: undecodable}, map[unit.Executor]bool{"x1": true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2)
			f.shard.ApplyRegistrations(f.now, c.list, anyExecutor)
			f.runFor(reregistrationGrace + clock.Second)
			for _, id := range []unit.Executor{"x0", "x1"} {
				e := f.shard.executors.Get(id)
				is.Equal(e != nil && e.usable(f.now), c.usable[id]) // x0, then x1
			}
			is.True(f.shard.executors.Get("other") == nil)
			is.True(f.shard.executors.Get("") == nil)
		})
	}
}
