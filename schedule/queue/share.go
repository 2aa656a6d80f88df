package queue

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Shares of the slots that bulk requests may use, in eighths. In quiet times
// one eighth stays free, so that the first requests of a swing find slots
// before bulk requests have ended.
const (
	shareDenominator  = 8
	bulkShareNormal   = 7
	bulkSharePressure = 1
)

// BulkShare returns how many of slots bulk requests may use at once, at least
// one unless there is pressure.
func BulkShare(slots unit.Slots, pressure bool) unit.Slots {
	if pressure {
		return slots * bulkSharePressure / shareDenominator
	}
	return max(1, slots*bulkShareNormal/shareDenominator)
}

const (
	fastWeight = 0.25  // follows a change within 200 ms at a tick of 50 ms
	slowWeight = 0.005 // follows a change within 10 s
	riseRatio  = 1.5
	riseMargin = 2.0 // requests in flight; keeps single requests from counting as a rise
	// pressureHold keeps the share of bulk requests low between two bursts.
	pressureHold = clock.Second
)

// Demand tells from the urgent requests in flight and waiting whether bulk
// requests must give way. The zero value knows no demand.
type Demand struct {
	fastAverage, slowAverage float64
	initialized              bool
	pressureUntil            clock.Millis
}

// Update runs once a tick with the urgent and standard requests that are in
// flight or wait, and how many of them wait. It reports whether there is
// pressure.
func (d *Demand) Update(now clock.Millis, active, waiting int) bool {
	if !d.initialized {
		d.initialized, d.fastAverage, d.slowAverage = true, float64(active), float64(active)
	}
	d.fastAverage += fastWeight * (float64(active) - d.fastAverage)
	d.slowAverage += slowWeight * (float64(active) - d.slowAverage)
	if waiting > 0 || d.fastAverage > riseRatio*d.slowAverage+riseMargin {
		d.pressureUntil = now.Add(pressureHold)
	}
	return now < d.pressureUntil
}
