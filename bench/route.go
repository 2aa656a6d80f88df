package main

import (
	"fmt"
	"testing"

	"mimosadock/bench/measure"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/unit"
)

// Numbers of upstreams between which the time of a route decision must not grow
// by more than maxGrowth.
const (
	fewUpstreams  = 50
	manyUpstreams = 1200
)

// maxGrowth is the maximum ratio of the times of a route decision with
// manyUpstreams and with fewUpstreams. The time must not depend on the number of
// upstreams; the margin above 1 allows for cache misses.
const maxGrowth = 2

func routeMeasures() measure.Group {
	return measure.Group{
		"route.choose.allocations":     measure.Allocations(0, benchmarkChoose(manyUpstreams, 0)),
		"route.choose.yardsticks":      measure.Yardsticks(1, benchmarkChoose(manyUpstreams, 0)),
		"route.choose.flat":            measure.Ratio(maxGrowth, benchmarkChoose(manyUpstreams, 0), benchmarkChoose(fewUpstreams, 0)),
		"route.chooseFull.allocations": measure.Allocations(0, benchmarkChoose(manyUpstreams, 1)),
		"route.chooseFull.yardsticks":  measure.Yardsticks(1, benchmarkChoose(manyUpstreams, 1)),
	}
}

// benchmarkChoose returns a benchmark that chooses an upstream, takes a slot and
// releases it. All upstreams but the given number of free ones are full. If free
// is 0, no upstream is full.
func benchmarkChoose(upstreams, free int) func(b *testing.B) {
	members := make([]*route.Upstream, upstreams)
	for i := range members {
		up := &route.Upstream{Address: unit.Upstream(fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1)), Slots: new(slot.Counter), Pinned: new(slot.Counter)}
		if free == 0 || i < free {
			up.Slots.Hold(8, clock.Never)
		}
		members[i] = up
	}
	target := &route.Target{
		Service: &service.Service{Name: "lookup", Class: service.Urgent, Idempotent: true},
		Groups:  []*route.Group{route.NewGroup("kelso", true, 0, members)},
		Stats:   new(route.Stats),
	}
	return func(b *testing.B) {
		for range b.N {
			up, _ := target.Choose(route.Query{Now: 1000, Deadline: 3000})
			if up == nil {
				b.Fatal("no upstream was chosen although an upstream has free slots")
			}
			up.Release()
		}
	}
}
