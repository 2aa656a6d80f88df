package route

import (
	"slices"
	"sync/atomic"

	"mimosadock/schedule/table"
)

// Stats holds the latency percentiles of a service for the request path. It is
// safe for concurrent use. All percentiles of the zero value are unknown.
type Stats struct{ p50, p95, p99 atomic.Int64 }

// P50 returns the median, zero if it is unknown.
func (s *Stats) P50() Latency { return Latency(s.p50.Load()) }

// P95 returns the 95th percentile, zero if it is unknown.
func (s *Stats) P95() Latency { return Latency(s.p95.Load()) }

// P99 returns the 99th percentile, zero if it is unknown.
func (s *Stats) P99() Latency { return Latency(s.p99.Load()) }

// Samples collects the latencies of a service and computes its [Stats]. Only the
// control goroutine uses it.
type Samples struct {
	Stats   *Stats
	ring    table.Ring[Latency]
	isSized bool
	buf     []Latency
}

// maxSamples is the number of last responses that the percentiles cover.
const maxSamples = 512

// minSamples is the number of responses below which no percentile is published.
const minSamples = 20

// Add records the latency of one response.
func (s *Samples) Add(l Latency) {
	if !s.isSized {
		s.ring.Resize(maxSamples)
		s.isSized = true
	}
	s.ring.Add(l)
}

// Publish computes the percentiles and stores them in Stats. It does nothing if
// there are fewer than minSamples samples.
func (s *Samples) Publish() {
	if s.ring.Len() < minSamples {
		return
	}
	s.buf = s.ring.AppendTo(s.buf[:0])
	slices.Sort(s.buf)
	at := func(percent int) int64 { return int64(s.buf[(len(s.buf)-1)*percent/100]) }
	s.Stats.p50.Store(at(50))
	s.Stats.p95.Store(at(95))
	s.Stats.p99.Store(at(99))
}
