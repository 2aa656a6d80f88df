package estimate

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Bounds of the headroom for peaks of latency-critical work.
const (
	peakWindow      = 10 * clock.Minute // length of one window
	peakWindowCount = 6                 // windows that are kept
	// headroomDivisor limits the headroom to 1/8 of the capacity that batch
	// work could use. Without a limit, one peak would block batch work for
	// an hour. A limit of one half left 2,000 tasks waiting beside idle
	// workers.
	headroomDivisor = 8
)

// RecentPeak tracks the peak of the resources that are allocated to
// latency-critical work over the last peakWindowCount windows. The zero value
// has no peak.
type RecentPeak struct {
	peaks  [peakWindowCount]unit.Resources // peak of each window
	window int64                           // number of the last window, counted from time zero
}

// Add records the resources that are allocated to latency-critical work at an
// instant.
func (rp *RecentPeak) Add(now clock.Millis, r unit.Resources) {
	window := int64(now) / int64(peakWindow)
	for rp.window < window {
		rp.window = max(rp.window+1, window-peakWindowCount)
		rp.peaks[rp.window%peakWindowCount] = unit.Resources{}
	}
	p := &rp.peaks[window%peakWindowCount]
	*p = maxResources(*p, r)
}

// Headroom returns the capacity to keep free so that latency-critical work can
// rise to its recorded peak. It is the peak minus used, the current allocation,
// limited to batchCapacity/headroomDivisor. batchCapacity is the capacity that
// work other than batch leaves.
func (rp *RecentPeak) Headroom(used, batchCapacity unit.Resources) unit.Resources {
	var peak unit.Resources
	for _, p := range rp.peaks {
		peak = maxResources(peak, p)
	}
	r := maxResources(peak.Sub(used), unit.Resources{})
	return unit.Resources{
		CPU:          min(r.CPU, batchCapacity.CPU/headroomDivisor),
		Memory:       min(r.Memory, batchCapacity.Memory/headroomDivisor),
		Accelerators: min(r.Accelerators, batchCapacity.Accelerators/headroomDivisor),
	}
}

// maxResources returns the larger value of each resource.
func maxResources(a, b unit.Resources) unit.Resources {
	return unit.Resources{
		CPU:          max(a.CPU, b.CPU),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
