package main

import (
	"fmt"
	"testing"

	"mimosadock/bench/measure"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
)

// The target scale of one data centre, which has an eighth of the hosts.
const (
	grantUpstreams = 150
	grantHolders   = 20
	ticksPerSecond = 20
)

func slotMeasures() measure.Group {
	return measure.Group{
		"slots.tick.yardsticks": measure.Yardsticks(maxControlYardsticks/ticksPerSecond, benchmarkGrantTick),
	}
}

// benchmarkGrantTick benchmarks a tick of the granter in which every holder
// sends a demand that differs from its last one and receives an answer.
func benchmarkGrantTick(b *testing.B) {
	g := slot.Granter{Limits: tenure.DefaultLimits()}
	g.BeginEpoch("kelso", 1)
	for i := range grantUpstreams {
		g.SetUpstream(unit.Upstream(fmt.Sprintf("10.0.0.%d:80", i)), "weighbook", 8)
	}
	right := tenure.Right{QuickUntil: clock.Never, SlowUntil: clock.Never}
	now := clock.Millis(1)
	applied := make([]slot.Version, grantHolders)
	b.ResetTimer()
	for n := range b.N {
		now += clock.Millis(clock.Second / ticksPerSecond)
		for i := range grantHolders {
			id := unit.Instance(fmt.Sprintf("10.0.1.%d", i))
			g.RecordDemand(&slot.Demand{
				DataCentre: "kelso", Epoch: 1, Holder: id, SentAt: now, Applied: applied[i],
				DemandBySet: []slot.UpstreamSetDemand{{Set: "weighbook", Slots: unit.Slots(20 + (n+i)%40)}},
			}, now)
		}
		g.Tick(now, right)
		for i := range grantHolders {
			a, ok := g.GrantsFor(unit.Instance(fmt.Sprintf("10.0.1.%d", i)), now, right)
			if !ok {
				b.Fatal("a holder that sent a demand received no answer")
			}
			applied[i] = a.Version
		}
	}
}
