package main

import (
	"fmt"
	"testing"

	"mimosadock/bench/measure"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/route"
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
		"route.choose.allocations": measure.Allocations(0, choose(manyUpstreams)),
		"route.choose.yardsticks":  measure.Yardsticks(1, choose(manyUpstreams)),
		"route.choose.flat":        measure.Ratio(flat, choose(manyUpstreams), choose(fewUpstreams)),
	}
}

// choose benchmarks the choice of an upstream with taking and releasing a slot.
func choose(upstreams int) func(b *testing.B) {
	target := &route.Target{}
	for i := range upstreams {
		up := &route.Upstream{Address: unit.Upstream(fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1)), Slots: new(slot.Counter)}
		up.Slots.Hold(8, clock.Never)
		target.Upstreams = append(target.Upstreams, up)
	}
	return func(b *testing.B) {
		for range b.N {
			up := target.Choose(clock.Millis(1000))
			if up == nil {
				b.Fatal("no upstream was chosen although all slots are free")
			}
			up.Slots.Release()
		}
	}
}
