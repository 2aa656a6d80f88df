package profile

import (
	"fmt"
	"time"
)

// Bounds of a run, so that a mistyped flag can't flood a host.
const (
	MaxRate     = 50_000 // requests a second
	MaxDuration = 30 * time.Minute
	MaxTotal    = 5_000_000
)

// Profile is a rate that swings once. The zero value sends nothing.
type Profile struct {
	Rate     float64       // requests a second outside the swing
	Factor   float64       // rate in the swing divided by Rate; at least 1
	From     time.Duration // start of the climb
	To       time.Duration // start of the fall
	Climb    time.Duration // length of the climb and of the fall
	Duration time.Duration
	Total    int // most requests sent; the run ends with the last
}

// Check returns an error that names the field, its value and what is allowed.
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
	case p.From < 0 || p.To < p.From || p.Climb < 0:
		return fmt.Errorf("swing runs from %s to %s with a climb of %s, must be in order", p.From, p.To, p.Climb)
	}
	return nil
}

// At returns the rate at the given time after the start, in requests a second.
func (p Profile) At(t time.Duration) float64 {
	return p.Rate * (1 + (p.Factor-1)*(p.ramp(t-p.From)-p.ramp(t-p.To)))
}

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

// InSwing reports whether t lies in the climb or at the peak.
func (p Profile) InSwing(t time.Duration) bool { return p.Factor > 1 && t >= p.From && t < p.To }

// AppendTimes appends the intended send times after the start to dst and
// returns it. The integral of the rate grows by one between two of them.
func (p Profile) AppendTimes(dst []time.Duration) []time.Duration {
	const step = 100 * time.Microsecond
	due := 0.0
	for t := time.Duration(0); t < p.Duration; t += step {
		due += p.At(t) * step.Seconds()
		for ; due >= 1; due-- {
			if len(dst) >= p.Total {
				return dst
			}
			dst = append(dst, t)
		}
	}
	return dst
}
