package traffic

import (
	"math"
	"slices"

	"mimosadock/replay/trace"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// Period selects requests by the instant at which they were sent.
type Period int

// The periods of a trace.
const (
	Whole Period = iota
	Peak
	Quiet
)

// Latencies returns the latencies of the requests of a service in
// milliseconds, in order. A request without a whole answer counts with its
// deadline, so that refusing work never improves a figure.
func (sim *Simulation) Latencies(name unit.Service, p Period) []float64 {
	var out []float64
	for i := range sim.requests {
		r := &sim.requests[i]
		if r.service.Name != name || !sim.inPeriod(r, p) {
			continue
		}
		latency := float64(r.deadline.Sub(r.sentAt.Millis()))
		if r.Answers > 0 && r.Verdict == verdict.Ran {
			latency = r.answered.MillisSince(r.sentAt)
		}
		out = append(out, latency)
	}
	slices.Sort(out)
	return out
}

func (sim *Simulation) inPeriod(r *requestRow, p Period) bool {
	peak := sim.header.InPeak(traceTime(r.sentAt))
	return p == Whole || peak == (p == Peak)
}

// Percentile returns the value below which the given percentage of the sorted
// values lies, by the nearest-rank method. It is NaN if there are none.
func Percentile(sorted []float64, percent float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	rank := int(math.Ceil(percent / 100 * float64(len(sorted))))
	return sorted[min(max(rank, 1), len(sorted))-1]
}

// Counts is what became of the requests of a service.
type Counts struct {
	Sent, Whole, Refused, Unknown, Unanswered int
}

// CountsOf counts the requests of a service.
func (sim *Simulation) CountsOf(name unit.Service) Counts {
	var c Counts
	for i := range sim.requests {
		r := &sim.requests[i]
		if r.service.Name != name {
			continue
		}
		c.Sent++
		switch {
		case r.Answers == 0:
			c.Unanswered++
		case r.Verdict == verdict.Ran:
			c.Whole++
		case r.Verdict == verdict.DidNotRun:
			c.Refused++
		default:
			c.Unknown++
		}
	}
	return c
}

// RefusedBeforeBulk counts urgent requests that were refused although a bulk
// request that came to the same process later was sent to an upstream of it
// before the refusal.
func (sim *Simulation) RefusedBeforeBulk() int {
	n := 0
	for i := range sim.requests {
		r := &sim.requests[i]
		if r.service.Class == service.Urgent && r.Answers > 0 && r.Verdict == verdict.DidNotRun && r.process != nil && sim.bulkSent(r) {
			n++
		}
	}
	return n
}

func (sim *Simulation) bulkSent(r *requestRow) bool {
	return slices.ContainsFunc(sim.attempts, func(a attemptRow) bool {
		b := &sim.requests[a.request]
		return b.service.Class == service.Bulk && a.process == r.process && a.sent > r.sentAt && a.sent < r.answered
	})
}

// Bucket is a point of a curve over time.
type Bucket struct {
	At    clock.Millis
	Value float64
}

// LatencyCurve returns a percentile of the latencies of a service over time, in
// buckets of the given width.
func (sim *Simulation) LatencyCurve(name unit.Service, percent float64, width clock.Span) []Bucket {
	byBucket := make([][]float64, int((sim.header.Length+width-1)/width))
	for i := range sim.requests {
		r := &sim.requests[i]
		if r.service.Name == name && r.Answers > 0 && r.Verdict == verdict.Ran {
			k := min(int(clock.Span(traceTime(r.sentAt))/width), len(byBucket)-1)
			byBucket[k] = append(byBucket[k], r.answered.MillisSince(r.sentAt))
		}
	}
	var out []Bucket
	for k, l := range byBucket {
		if len(l) > 0 {
			slices.Sort(l)
			out = append(out, Bucket{clock.Millis(clock.Span(k) * width), Percentile(l, percent)})
		}
	}
	return out
}

// Samples returns the state of the world at each tick.
func (sim *Simulation) Samples() []Sample { return sim.samples }

// Services returns the services of the trace.
func (sim *Simulation) Services() []trace.Service { return sim.header.Deployment.Services }
