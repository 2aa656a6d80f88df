package limit

import (
	"sync/atomic"

	"mimosadock/schedule/clock"
)

// Limits are the bounds of a [Gate]. Zero means no limit.
type Limits struct {
	PerSecond  float64
	Burst      int // requests at once; zero for one second's worth, at least 1
	Concurrent int
}

// micros is an instant in microseconds; milliseconds are too coarse for the
// interval of a bucket with more than 1,000 requests a second.
type micros = int64

func (l Limits) interval() micros { return micros(1e6 / l.PerSecond) }

func (l Limits) burstTolerance() micros {
	burst := l.Burst
	if burst == 0 {
		burst = max(1, int(l.PerSecond))
	}
	return micros(float64(burst-1) * 1e6 / l.PerSecond)
}

// Gate is a token bucket and a count of what is in flight. It is safe for
// concurrent use. The zero value has a full bucket.
//
// The bucket is kept as the theoretical arrival time of the generic cell rate
// algorithm (ITU-T I.371), which fits one atomic.
type Gate struct {
	theoreticalArrival atomic.Int64
	inFlight           atomic.Int64
}

// Enter admits one request, or returns false and the time after which another
// try makes sense. An admitted request must be ended with [Gate.Leave].
func (g *Gate) Enter(l Limits, now clock.Millis) (bool, clock.Span) {
	if n := g.inFlight.Add(1); l.Concurrent > 0 && n > int64(l.Concurrent) {
		g.inFlight.Add(-1)
		return false, concurrencyRetryAfter
	}
	if l.PerSecond <= 0 {
		return true, 0
	}
	at := micros(now) * 1000
	for {
		old := g.theoreticalArrival.Load()
		if wait := old - at - l.burstTolerance(); wait > 0 {
			g.inFlight.Add(-1)
			return false, clock.Span((wait + 999) / 1000)
		}
		if g.theoreticalArrival.CompareAndSwap(old, max(old, at)+l.interval()) {
			return true, 0
		}
	}
}

// concurrencyRetryAfter is the time after which a caller at its cap may try again.
const concurrencyRetryAfter = 100 * clock.Millisecond

// Leave ends an admitted request.
func (g *Gate) Leave() { g.inFlight.Add(-1) }

// InFlight returns the admitted requests that have not ended.
func (g *Gate) InFlight() int { return int(g.inFlight.Load()) }

// isIdle reports whether g is as a zero Gate would be at now.
func (g *Gate) isIdle(now clock.Millis) bool {
	return g.inFlight.Load() == 0 && g.theoreticalArrival.Load() <= micros(now)*1000
}
