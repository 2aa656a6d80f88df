package queue

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Shares of the slots that bulk requests may use, in eighths. In quiet times
// one eighth stays free, so that the first requests of a swing find slots
// before bulk requests have ended.
const (
	eighths         = 8
	bulkQuiet       = 7
	bulkUnderDemand = 1
)

// BulkShare returns how many of slots bulk requests may use at once, at least
// one unless there is pressure.
func BulkShare(slots unit.Slots, pressure bool) unit.Slots {
	if pressure {
		return slots * bulkUnderDemand / eighths
	}
	return max(1, slots*bulkQuiet/eighths)
}

const (
	fastShare = 0.25  // follows a change within 200 ms at a tick of 50 ms
	slowShare = 0.005 // follows a change within 10 s
	riseRatio = 1.5
	riseExtra = 2.0 // requests in flight; keeps single requests from counting as a rise
	// pressureHold keeps the share of bulk requests low between two bursts.
	pressureHold = clock.Second
)

// Demand tells from the urgent requests in flight and waiting whether bulk
// requests must give way. The zero value knows no demand.
type Demand struct {
	fast, slow float64
	known      bool
	until      clock.Millis
}

// Update runs once a tick with the urgent and standard requests that are in
// flight or wait, and how many of them wait. It reports whether there is
// pressure.
func (d *Demand) Update(now clock.Millis, active, waiting int) bool {
	if !d.known {
		d.known, d.fast, d.slow = true, float64(active), float64(active)
	}
	d.fast += fastShare * (float64(active) - d.fast)
	d.slow += slowShare * (float64(active) - d.slow)
	if waiting > 0 || d.fast > riseRatio*d.slow+riseExtra {
		d.until = now.Add(pressureHold)
	}
	return now < d.until
}
