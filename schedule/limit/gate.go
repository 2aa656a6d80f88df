package limit

import (
	"sync/atomic"

	"mimosadock/schedule/clock"
)

// Limits are the limits of a [Gate]. Zero in PerSecond or Concurrent means no
// limit.
type Limits struct {
	PerSecond  float64 // requests a second
	Burst      int     // requests at once; zero means PerSecond, at least 1
	Concurrent int     // requests in flight
}

// micros is an instant or a span in microseconds. Milliseconds are too coarse
// for the interval of a bucket with more than 1,000 requests a second.
type micros = int64

// interval returns the time that refills the bucket by one request.
func (l Limits) interval() micros { return micros(1e6 / l.PerSecond) }

// burstTolerance returns how far ahead of the current time the theoretical
// arrival time may lie for a request to be admitted.
func (l Limits) burstTolerance() micros {
	burst := l.Burst
	if burst == 0 {
		burst = max(1, int(l.PerSecond))
	}
	return micros(float64(burst-1) * 1e6 / l.PerSecond)
}

// Gate is a token bucket with a counter of requests in flight. It is safe for
// concurrent use. The zero value has a full bucket.
//
// The bucket is stored as the theoretical arrival time of the generic cell rate
// algorithm (ITU-T I.371), which fits into one atomic value.
type Gate struct {
	theoreticalArrival atomic.Int64 // microseconds
	inFlight           atomic.Int64
}

// Enter admits one request, or returns false and the delay before a retry. For
// every admitted request the caller must call [Gate.Leave].
func (g *Gate) Enter(l Limits, now clock.Millis) (bool, clock.Span) {
	if n := g.inFlight.Add(1); l.Concurrent > 0 && n > int64(l.Concurrent) {
		g.inFlight.Add(-1)
		return false, concurrencyRetryAfter
	}
	if l.PerSecond <= 0 {
		return true, 0
	}
	nowMicros := micros(now) * 1000
	for {
		old := g.theoreticalArrival.Load()
		if wait := old - nowMicros - l.burstTolerance(); wait > 0 {
			g.inFlight.Add(-1)
			return false, clock.Span((wait + 999) / 1000)
		}
		if g.theoreticalArrival.CompareAndSwap(old, max(old, nowMicros)+l.interval()) {
			return true, 0
		}
	}
}

// concurrencyRetryAfter is the retry delay for a caller at its concurrency
// limit.
const concurrencyRetryAfter = 100 * clock.Millisecond

// Leave marks an admitted request as ended.
func (g *Gate) Leave() { g.inFlight.Add(-1) }

// InFlight returns the number of admitted requests that have not ended.
func (g *Gate) InFlight() int { return int(g.inFlight.Load()) }

// isIdle reports whether g behaves like a zero Gate at now: it has a full
// bucket and no request in flight.
func (g *Gate) isIdle(now clock.Millis) bool {
	return g.inFlight.Load() == 0 && g.theoreticalArrival.Load() <= micros(now)*1000
}
