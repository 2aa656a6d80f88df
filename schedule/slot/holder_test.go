package slot

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
)

// TestLateHolder guards against a holder that never gets a slot because all
// slots are granted to another holder and it has no requests in flight to
// report. The first holder has all 8 slots at the start.
func TestLateHolder(t *testing.T) {
	tests := map[string]struct {
		firstUses       unit.Slots
		lateFindsNoSlot bool // requests of the late holder find no slot
		want            unit.Slots
	}{
		"both idle":                      {want: 1},
		"late finds no slot, first idle": {lateFindsNoSlot: true, want: 8},
		"first busy":                     {firstUses: 8, want: 0},
		"late finds no slot, first busy": {firstUses: 8, lateFindsNoSlot: true, want: 4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := Granter{Limits: tenure.DefaultLimits()}
			g.BeginEpoch("kelso", 1)
			g.SetUpstream("u", "weighbook", 8)
			first, late := Holder{Self: "first"}, Holder{Self: "late"}
			now := clock.Millis(0)
			round := func(h *Holder) {
				now = now.Add(SteadyDemandInterval)
				h.Observe(now)
				if d, ok := h.NextDemand("kelso", now, func(UpstreamSet) unit.Slots { return 0 }); ok {
					g.RecordDemand(&d, now)
				}
				g.Tick(now, unlimitedRight)
				if out, ok := g.GrantsFor(h.Self, now, unlimitedRight); ok {
					h.Apply(&out)
				}
			}
			var counters [2]Counter
			for i, h := range []*Holder{&first, &late} {
				h.Track("u", "kelso", "weighbook", &counters[i], new(Counter))
				h.SetOwner("kelso", 1, "owner")
			}
			round(&first)
			for range tc.firstUses {
				counters[0].Take(now)
			}
			for range 12 {
				for tc.lateFindsNoSlot && counters[1].Take(now) {
					continue
				}
				for counters[0].Used() > counters[0].Held().Total() {
					counters[0].Release()
				}
				if tc.firstUses > 0 {
					counters[0].Take(now)
				}
				round(&first)
				round(&late)
			}
			is.New(t).Equal(counters[1].Held().Total(), tc.want)
		})
	}
}

// TestExcess guards against slots that count as returned while requests that
// outlast the quick slots still use them.
func TestExcess(t *testing.T) {
	tests := map[string]struct {
		quickFor, slowFor clock.Span // of the grants of 1 quick and 1 slow slot
		want              unit.Slots // with 2 requests in flight
	}{
		"both parts last":      {quickFor: 10, slowFor: 10},
		"quick slots end":      {slowFor: 10, want: 1},
		"slow slots end":       {quickFor: 10, want: 1},
		"quick slots end soon": {quickFor: 5, slowFor: 10, want: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			h := Holder{Self: "h"}
			var c Counter
			h.Track("u", "kelso", "weighbook", &c, new(Counter))
			h.SetOwner("kelso", 1, "owner")
			h.Apply(&Grants{
				DataCentre: "kelso", Epoch: 1, Version: 1, Full: true, QuickFor: tc.quickFor, SlowFor: tc.slowFor,
				Allocations: []Allocation{{Upstream: "u", Parts: Parts{1, 1}}},
			})
			c.Occupy()
			c.Occupy()
			d, _ := h.NextDemand("kelso", 1, func(UpstreamSet) unit.Slots { return 0 })
			var got unit.Slots
			for _, e := range d.Excess {
				got += e.Slots
			}
			is.New(t).Equal(got, tc.want)
		})
	}
}
