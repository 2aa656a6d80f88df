package estimate

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Terms of the reserve for peaks of demand.
const (
	peakWindow      = 10 * clock.Minute // length of one part of the memory
	peakWindowCount = 6                 // parts that are remembered
	// headroomDivisor is the greatest part of the room for batch work that is kept
	// free, one in so many. A single peak would otherwise keep batch work out
	// for an hour; with half of the room 2,000 tasks waited beside idle workers.
	headroomDivisor = 8
)

// Demand learns the peak of what latency-critical work uses. The zero value has
// seen none.
type Demand struct {
	peaks  [peakWindowCount]unit.Resources
	window int64
}

// Add notes the demand of an instant: what latency-critical work uses and
// waits for.
func (d *Demand) Add(now clock.Millis, r unit.Resources) {
	window := int64(now) / int64(peakWindow)
	for d.window < window {
		d.window = max(d.window+1, window-peakWindowCount)
		d.peaks[d.window%peakWindowCount] = unit.Resources{}
	}
	p := &d.peaks[window%peakWindowCount]
	*p = maxResources(*p, r)
}

// Headroom returns what must stay free now so that demand can rise to its
// remembered peak: the peak less what is used already, at most an eighth of the
// room that other work than batch leaves.
func (d *Demand) Headroom(used, room unit.Resources) unit.Resources {
	var peak unit.Resources
	for _, p := range d.peaks {
		peak = maxResources(peak, p)
	}
	r := maxResources(peak.Sub(used), unit.Resources{})
	return unit.Resources{
		CPU:          min(r.CPU, room.CPU/headroomDivisor),
		Memory:       min(r.Memory, room.Memory/headroomDivisor),
		Accelerators: min(r.Accelerators, room.Accelerators/headroomDivisor),
	}
}

func maxResources(a, b unit.Resources) unit.Resources {
	return unit.Resources{
		CPU:          max(a.CPU, b.CPU),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
