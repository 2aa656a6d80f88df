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

// Sizes between which the route decision must be flat.
const (
	fewUpstreams  = 50
	manyUpstreams = 1200
)

// flat bounds the growth of a decision that must not grow with the number of
// upstreams; it leaves room for cache misses.
const flat = 2

func routeMeasures() measure.Group {
	return measure.Group{
		"route.choose.allocations":     measure.Allocations(0, choose(manyUpstreams, 0)),
		"route.choose.yardsticks":      measure.Yardsticks(1, choose(manyUpstreams, 0)),
		"route.choose.flat":            measure.Ratio(flat, choose(manyUpstreams, 0), choose(fewUpstreams, 0)),
		"route.chooseFull.allocations": measure.Allocations(0, choose(manyUpstreams, 1)),
		"route.chooseFull.yardsticks":  measure.Yardsticks(1, choose(manyUpstreams, 1)),
	}
}

// choose benchmarks the choice of an upstream with taking and releasing a slot,
// when all but the given number of upstreams are full. Zero leaves all free.
func choose(upstreams, free int) func(b *testing.B) {
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
				b.Fatal("no upstream was chosen although slots are free")
			}
			up.Release()
		}
	}
}
