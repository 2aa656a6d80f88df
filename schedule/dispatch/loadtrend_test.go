package dispatch

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
)

// TestLoadTrend guards against batch tasks that are placed beside serving tasks whose
// load rises, and are paused soon after, and against a trend that outlives its cause.
func TestLoadTrend(t *testing.T) {
	// The load of the sheet that the trend answers: it swings by half of its mean of
	// 0.45 within 14 s. Each sample has an error of 0.05.
	load := func(now clock.Millis) float64 { return 0.45 + 0.225*math.Sin(2*math.Pi*float64(now)/14000) }
	for name, c := range map[string]struct {
		at       clock.Millis // of the last sample; the load is lowest at 10.5 s and highest at 17.5 s
		after    clock.Span   // from the last sample until the question
		min, max float64      // of the rise within a second
	}{
		"rising":      {14000, 0, 0.06, 0.12},
		"highest":     {17500, 0, 0, 0.05},
		"falling":     {20500, 0, 0, 0},
		"lowest":      {10500, 0, 0, 0.02},
		"old samples": {14000, 2100, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var trend loadTrend
			noise := 0.05
			for now := clock.Millis(1000); now <= c.at; now += 50 {
				trend.add(now, load(now)-load(now-500)+noise, 500)
				noise = -noise
			}
			rise := trend.rise(c.at.Add(c.after), clock.Second)
			is.True(rise >= c.min)
			is.True(rise <= c.max)
			is.True(trend.rise(c.at, clock.Minute) <= 2*trend.rise(c.at, clock.Second)+1e-9) // continued for maxTrendHorizon at most
		})
	}
}
