package profile

import (
	"fmt"
	"time"
)

// Bounds of a run. They prevent a mistyped flag from overloading a host.
const (
	MaxRate     = 50_000 // requests per second
	MaxDuration = 30 * time.Minute
	MaxTotal    = 5_000_000
)

// Profile is a request rate with one swing: the rate climbs to a peak and falls
// back. The zero value sends nothing.
type Profile struct {
	Rate      float64       // requests per second outside the swing
	Factor    float64       // rate at the peak divided by Rate; at least 1
	SwingFrom time.Duration // start of the climb
	SwingTo   time.Duration // start of the fall
	Climb     time.Duration // length of the climb and of the fall
	Duration  time.Duration
	Total     int // maximum number of requests; the run ends after the last one
}

// Check returns an error if p exceeds the bounds of a run. The error names the
// field, its value and the allowed values.
func (p Profile) Check() error {
	switch {
	case p.Rate <= 0 || p.Rate*max(p.Factor, 1) > MaxRate:
		return fmt.Errorf("rate is %g with a factor of %g, must be above 0 and at most %d at the peak", p.Rate, p.Factor, MaxRate)
	case p.Factor < 1:
		return fmt.Errorf("factor is %g, must be at least 1", p.Factor)
	case p.Duration <= 0 || p.Duration > MaxDuration:
		return fmt.Errorf("duration is %s, must be above 0s and at most %s", p.Duration, MaxDuration)
	case p.Total <= 0 || p.Total > MaxTotal:
		return fmt.Errorf("total is %d, must be 1 to %d", p.Total, MaxTotal)
	case p.SwingFrom < 0 || p.SwingTo < p.SwingFrom || p.Climb < 0:
		return fmt.Errorf("swing runs from %s to %s with a climb of %s, must be in order", p.SwingFrom, p.SwingTo, p.Climb)
	}
	return nil
}

// RateAt returns the rate at the time t after the start, in requests per second.
func (p Profile) RateAt(t time.Duration) float64 {
	return p.Rate * (1 + (p.Factor-1)*(p.ramp(t-p.SwingFrom)-p.ramp(t-p.SwingTo)))
}

// ramp returns the completed part of a climb at the time t after its start, from
// 0 to 1.
func (p Profile) ramp(t time.Duration) float64 {
	switch {
	case t < 0:
		return 0
	case t >= p.Climb:
		return 1
	default:
		return float64(t) / float64(p.Climb)
	}
}

// InPeak reports whether t lies between the start of the climb and the start of
// the fall. It is false for a Factor of 1.
func (p Profile) InPeak(t time.Duration) bool {
	return p.Factor > 1 && t >= p.SwingFrom && t < p.SwingTo
}

// AppendTimes appends the intended send times, counted from the start of the run,
// to dst and returns it. The integral of the rate between two consecutive times
// is one.
func (p Profile) AppendTimes(dst []time.Duration) []time.Duration {
	const step = 100 * time.Microsecond
	due := 0.0
	for t := time.Duration(0); t < p.Duration; t += step {
		due += p.RateAt(t) * step.Seconds()
		for ; due >= 1; due-- {
			if len(dst) >= p.Total {
				return dst
			}
			dst = append(dst, t)
		}
	}
	return dst
}
