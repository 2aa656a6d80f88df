package worker

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// Guards against capacity that is counted twice or not released while
// attempts are added, throttled, enlarged and removed.
func TestTablesMatchSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tab Tables
		for w := range 3 {
			tab.Put(unit.Worker(fmt.Sprint(w)), "", unit.Rack(fmt.Sprint(w%2)), unit.Resources{CPU: 8000, Memory: 8000})
		}
		for n := range rapid.IntRange(1, 40).Draw(t, "steps") {
			ref := AttemptID{unit.Task(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "task"))), 1}
			a := tab.Allocations.Get(ref)
			switch op := rapid.IntRange(0, 3).Draw(t, "op"); {
			case op == 0 && a == nil:
				tab.Allocate(Allocation{
					AttemptID: ref, Job: "j", Worker: unit.Worker(fmt.Sprint(n % 3)), Class: service.WorkClass(n % 3),
					Size: unit.Resources{CPU: unit.MilliCPU(n * 10), Memory: 5},
				})
			case op == 1 && a != nil:
				tab.Deallocate(ref)
			case op == 2 && a != nil:
				tab.SetShare(a, 0.5)
			case op == 3 && a != nil:
				tab.Grow(a, unit.Resources{CPU: 77, Memory: 9})
			}
		}
		for id, r := range tab.Workers.All() {
			var used, batch unit.Resources
			racks, n := 0, 0
			for _, a := range tab.Allocations.All() {
				at := tab.Workers.Get(a.Worker)
				if a.Class != service.Batch && at.Rack == r.Rack {
					racks++
				}
				if a.Worker == id {
					n++
					used = used.Add(a.Limit())
					if a.Class == service.Batch {
						batch = batch.Add(a.Limit())
					}
				}
			}
			spread := append(tab.AttemptsByRack("j"), 0, 0)
			if r.Allocated != used || r.BatchAllocated != batch || r.Attempts != n || len(r.AttemptIDs) != n || spread[r.RackIndex()] != racks {
				t.Fatalf("worker %s is %+v, want used %+v, used by batch work %+v, %d attempts, %d in the rack", id, *r, used, batch, n, racks)
			}
		}
	})
}

// Guards against a quarantine because of failures of a single kind, and
// against a faulty worker that keeps receiving work.
func TestQuarantine(t *testing.T) {
	tests := map[string]struct {
		events string // f and g are failures of two kinds, s is a success
		want   bool
		weight int
	}{
		"one kind fails":                {"ffffff", false, 1},
		"fewer failures than the bound": {"fgf", false, 0},
		"two kinds fail":                {"fgfg", true, 0},
		"a success between":             {"fgsfg", false, 0},
		"recovered":                     {"fgfgs", false, 2},
		"failure after a success":       {"sf", false, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var h Health
			for _, e := range tc.events {
				if e == 's' {
					h.RecordSuccess()
				} else {
					h.RecordFailure(unit.Kind(e))
				}
			}
			is.Equal(h.Quarantined, tc.want)
			is.Equal(h.FailureWeight(), tc.weight)
		})
	}
}
