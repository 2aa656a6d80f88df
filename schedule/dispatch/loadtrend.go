package dispatch

import (
	"math"

	"mimosadock/schedule/clock"
)

const (
	// trendWindow is the time over which samples of a trend are averaged before they
	// count as one.
	trendWindow = 200 * clock.Millisecond
	// trendTimeConstant is the time constant of the average of a trend. The load of
	// serving tasks rises and falls within several seconds.
	trendTimeConstant = 800 * clock.Millisecond
	// maxTrendHorizon is the time for which a trend is continued. A load that swings
	// has turned before the double of it.
	maxTrendHorizon = 2 * clock.Second
	// maxTrendAge is the age of the last sample from which a trend is unknown.
	maxTrendAge = 2 * clock.Second
)

// loadTrend estimates the change of the own load of the serving tasks of one image,
// which rises and falls at the same time for all of them. The zero value has no
// samples. A new owner begins without samples and knows the trend after a second.
type loadTrend struct {
	slope     float64 // change of the load in a second, smoothed
	known     bool
	updatedAt clock.Millis // last update of slope
	sum       float64      // of the samples since then
	count     int
}

// add adds the change of the load of a task within gap.
func (t *loadTrend) add(now clock.Millis, change float64, gap clock.Span) {
	t.sum += change * float64(clock.Second) / float64(gap)
	t.count++
	elapsed := now.Sub(t.updatedAt)
	if elapsed < trendWindow {
		return
	}
	mean := t.sum / float64(t.count)
	if !t.known || elapsed > maxTrendAge {
		t.slope, t.known = mean, true
	} else {
		t.slope += (mean - t.slope) * (1 - math.Exp(-float64(elapsed)/float64(trendTimeConstant)))
	}
	t.updatedAt, t.sum, t.count = now, 0, 0
}

// rise returns by how much the load is expected to rise in span, or 0 if it falls or
// its trend is not known.
func (t *loadTrend) rise(now clock.Millis, span clock.Span) float64 {
	if !t.known || now.Sub(t.updatedAt) > maxTrendAge {
		return 0
	}
	return max(0, t.slope) * float64(min(span, maxTrendHorizon)) / float64(clock.Second)
}
