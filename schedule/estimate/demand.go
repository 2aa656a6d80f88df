package estimate

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Terms of the reserve for peaks of demand.
const (
	peakWindow  = 10 * clock.Minute // length of one part of the memory
	peakWindows = 6                 // parts that are remembered
	// reserveShare is the greatest part of the room for batch work that is kept
	// free, one in so many. A single peak would otherwise keep batch work out
	// for an hour; with half of the room 2,000 tasks waited beside idle workers.
	reserveShare = 8
)

// Demand learns the peak of what latency-critical work uses. The zero value has
// seen none.
type Demand struct {
	peaks [peakWindows]unit.Resources
	part  int64
}

// Add notes the demand of an instant: what latency-critical work uses and
// waits for.
func (d *Demand) Add(now clock.Millis, r unit.Resources) {
	part := int64(now) / int64(peakWindow)
	for d.part < part {
		d.part = max(d.part+1, part-peakWindows)
		d.peaks[d.part%peakWindows] = unit.Resources{}
	}
	p := &d.peaks[part%peakWindows]
	*p = greater(*p, r)
}

// Reserve returns what must stay free now so that demand can rise to its
// remembered peak: the peak less what is used already, at most an eighth of the
// room that other work than batch leaves.
func (d *Demand) Reserve(used, room unit.Resources) unit.Resources {
	var peak unit.Resources
	for _, p := range d.peaks {
		peak = greater(peak, p)
	}
	r := greater(peak.Sub(used), unit.Resources{})
	return unit.Resources{
		CPU:          min(r.CPU, room.CPU/reserveShare),
		Memory:       min(r.Memory, room.Memory/reserveShare),
		Accelerators: min(r.Accelerators, room.Accelerators/reserveShare),
	}
}

func greater(a, b unit.Resources) unit.Resources {
	return unit.Resources{
		CPU:          max(a.CPU, b.CPU),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
