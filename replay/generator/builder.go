package generator

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"

	"mimosadock/replay/trace"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// origin is the origin in the header of every generated trace.
const origin = "synthetic, made by replay generate; not a recording of a production system"

// builder collects the events of one trace.
type builder struct {
	rng      *rand.Rand
	trace    trace.Trace
	jobCount int
}

func newBuilder(name string, seed uint64, l layout, length clock.Span) *builder {
	h := fnv.New64a()
	h.Write([]byte(name))
	b := &builder{rng: rand.New(rand.NewPCG(seed, h.Sum64()))}
	b.trace.Header = trace.Header{
		Format: trace.Format, Version: trace.Version, Name: name, Origin: origin,
		Seed: seed, Length: length, Deployment: l.deployment(),
	}
	return b
}

// sortedTrace returns the trace with its events in the order of their instants.
// Events at the same instant keep the order in which they were added.
func (b *builder) sortedTrace() *trace.Trace {
	slices.SortStableFunc(b.trace.Events, func(x, y trace.Event) int { return cmp.Compare(x.At, y.At) })
	return &b.trace
}

func (b *builder) add(e trace.Event) { b.trace.Events = append(b.trace.Events, e) }

// randomEntry returns a random entry host. The platform's load balancer chooses
// the same way.
func (b *builder) randomEntry() trace.EntryIndex {
	return trace.EntryIndex(b.rng.IntN(len(b.trace.Header.Deployment.Entries)))
}

func (b *builder) randomUpstream() unit.Upstream {
	u := b.trace.Header.Deployment.Upstreams
	return u[b.rng.IntN(len(u))].Address
}

func (b *builder) randomWorker() unit.Worker {
	w := b.trace.Header.Deployment.Workers
	return w[b.rng.IntN(len(w))].Address
}

// uniformSpan returns a uniformly distributed span in [low, high].
func (b *builder) uniformSpan(low, high clock.Span) clock.Span {
	return low + clock.Span(b.rng.Int64N(int64(high-low)+1))
}

// logNormalSpan returns a log-normally distributed span, limited to [low, high].
// spread is the standard deviation of its logarithm.
func (b *builder) logNormalSpan(median clock.Span, spread float64, low, high clock.Span) clock.Span {
	s := float64(median) * math.Exp(spread*b.rng.NormFloat64())
	return min(max(clock.Span(s), low), high)
}

// rate returns the number of arrivals per second at an instant.
type rate func(at clock.Millis) float64

// constantRate returns a rate that doesn't change over time.
func constantRate(perSecond float64) rate { return func(clock.Millis) float64 { return perSecond } }

// swingRate returns a rate that rises from quietRate to quietRate times factor
// within the second after from, stays constant until to, and falls back within a
// second.
func swingRate(quietRate, factor float64, from, to clock.Millis) rate {
	const rampTime = float64(clock.Second)
	return func(at clock.Millis) float64 {
		rise := min(max(float64(at-from)/rampTime, 0), 1)
		fall := min(max(float64(at-to)/rampTime, 0), 1)
		return quietRate * (1 + (factor-1)*(rise-fall))
	}
}

// addRequests adds requests of a service over the whole trace. The arrivals are
// a Poisson process of the given rate in steps of a millisecond. runTime returns
// the run time of a request.
func (b *builder) addRequests(svc unit.Service, r rate, runTime func() clock.Span) {
	for at := clock.Millis(0); at < clock.Millis(b.trace.Header.Length); at++ {
		for range b.poisson(r(at) / float64(clock.Second)) {
			b.add(trace.Event{At: at, Type: trace.Request, Entry: b.randomEntry(), Service: svc, RunTime: runTime()})
		}
	}
}

// poisson returns a Poisson variate by multiplication of uniform variates
// (Knuth, The Art of Computer Programming, volume 2, 3.4.1).
func (b *builder) poisson(mean float64) int {
	n, limit := 0, math.Exp(-mean)
	for p := b.rng.Float64(); p > limit; p *= b.rng.Float64() {
		n++
	}
	return n
}

// addJob adds the submission of a job and returns the id of the job. A job
// without a data centre is assigned to a random one.
func (b *builder) addJob(at clock.Millis, j trace.Job) unit.Job {
	b.jobCount++
	j.ID = unit.Job(fmt.Sprintf("%s-%d", j.Kind, b.jobCount))
	if j.DataCentre == "" {
		d := b.trace.Header.Deployment.DataCentres
		j.DataCentre = d[b.rng.IntN(len(d))]
	}
	b.add(trace.Event{At: at, Type: trace.Submit, Job: &j})
	return j.ID
}

// scaleRandomly returns r times a random factor between low and high. The
// result is at least a tenth of a core and 64 MiB.
func (b *builder) scaleRandomly(r unit.Resources, low, high float64) unit.Resources {
	f := low + (high-low)*b.rng.Float64()
	return unit.Resources{
		CPU:          max(100, unit.MilliCPU(float64(r.CPU)*f)),
		Memory:       max(64, unit.MiB(float64(r.Memory)*f)),
		Accelerators: r.Accelerators,
	}
}
