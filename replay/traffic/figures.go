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
	WholeTrace  Period = iota // the complete trace
	PeakOnly                  // the peak that the header of the trace defines
	WithoutPeak               // the complete trace without its peak
)

// Latencies returns the latencies of the requests of a service in milliseconds,
// ascending. The latency of a request without a complete answer is its
// deadline, so that refusing requests never improves a figure.
func (sim *Simulation) Latencies(name unit.Service, p Period) []float64 {
	var out []float64
	for i := range sim.requests {
		r := &sim.requests[i]
		if r.service.Name != name || !sim.inPeriod(r, p) {
			continue
		}
		latency := float64(r.deadline.Sub(r.sentAt.Millis()))
		if r.Answers > 0 && r.Verdict == verdict.Ran {
			latency = r.answeredAt.MillisSince(r.sentAt)
		}
		out = append(out, latency)
	}
	slices.Sort(out)
	return out
}

func (sim *Simulation) inPeriod(r *requestRow, p Period) bool {
	peak := sim.header.InPeak(traceTime(r.sentAt))
	return p == WholeTrace || peak == (p == PeakOnly)
}

// Percentile returns the given percentile of the sorted values by the
// nearest-rank method, or NaN if there are no values.
func Percentile(sorted []float64, percent float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	rank := int(math.Ceil(percent / 100 * float64(len(sorted))))
	return sorted[min(max(rank, 1), len(sorted))-1]
}

// Counts are the numbers of requests of a service by result.
type Counts struct {
	Sent, Complete, Refused, Unknown, Unanswered int
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
			c.Complete++
		case r.Verdict == verdict.DidNotRun:
			c.Refused++
		default:
			c.Unknown++
		}
	}
	return c
}

// UrgentRefusedWhileBulkSent returns the number of refused urgent requests whose
// process sent a bulk request to an upstream after the caller had sent the
// urgent request and before the refusal reached the caller.
func (sim *Simulation) UrgentRefusedWhileBulkSent() int {
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
		return b.service.Class == service.Bulk && a.process == r.process && a.sentAt > r.sentAt && a.sentAt < r.answeredAt
	})
}

// Bucket is one value of a curve over time. At is the start of the bucket.
type Bucket struct {
	At    clock.Millis
	Value float64
}

// LatencyCurve returns a percentile of the latencies of a service over time in
// milliseconds, in buckets of the given width. It counts only requests with a
// complete answer and omits empty buckets.
func (sim *Simulation) LatencyCurve(name unit.Service, percent float64, width clock.Span) []Bucket {
	byBucket := make([][]float64, int((sim.header.Length+width-1)/width))
	for i := range sim.requests {
		r := &sim.requests[i]
		if r.service.Name == name && r.Answers > 0 && r.Verdict == verdict.Ran {
			k := min(int(clock.Span(traceTime(r.sentAt))/width), len(byBucket)-1)
			byBucket[k] = append(byBucket[k], r.answeredAt.MillisSince(r.sentAt))
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

// Samples returns the samples of the simulation, one per tick.
func (sim *Simulation) Samples() []Sample { return sim.samples }

// Services returns the services of the trace.
func (sim *Simulation) Services() []trace.Service { return sim.header.Deployment.Services }
