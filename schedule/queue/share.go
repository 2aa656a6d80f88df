package queue

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Shares of the slots that bulk requests may use, in eighths. Without pressure
// one eighth stays free, so that the first urgent requests of a load peak get
// slots before running bulk requests end.
const (
	shareDenominator  = 8
	bulkShareNormal   = 7
	bulkSharePressure = 1
)

// BulkSlots returns the number of slots that bulk requests may use at once. It
// is at least 1 without pressure and can be 0 under pressure.
func BulkSlots(slots unit.Slots, pressure bool) unit.Slots {
	if pressure {
		return slots * bulkSharePressure / shareDenominator
	}
	return max(1, slots*bulkShareNormal/shareDenominator)
}

const (
	fastWeight = 0.25  // per tick; time constant of 200 ms at a tick of 50 ms
	slowWeight = 0.005 // per tick; time constant of 10 s at a tick of 50 ms
	riseRatio  = 1.5   // fast average to slow average
	riseMargin = 2.0   // requests in flight; prevents single requests from counting as a rise
	// pressureHold is how long pressure lasts after its cause ends. It keeps the
	// bulk share low between two bursts.
	pressureHold = clock.Second
)

// PressureDetector detects pressure from urgent and standard requests, which
// reduces the share of bulk requests. It compares a fast and a slow moving
// average of the number of requests in flight or waiting. The zero value is
// ready to use.
type PressureDetector struct {
	fastAverage, slowAverage float64
	initialized              bool
	pressureUntil            clock.Millis
}

// Update reports whether there is pressure. It must run once a tick. Active is
// the number of urgent and standard requests in flight or waiting; waiting is
// the number of these requests that wait. There is pressure while a request
// waits or the fast average exceeds riseRatio times the slow one plus riseMargin,
// and for pressureHold afterwards.
func (d *PressureDetector) Update(now clock.Millis, active, waiting int) bool {
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
