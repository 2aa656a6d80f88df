package route

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Phase is the health state of an upstream as observed by one entry process.
type Phase int

// The phases of an upstream. An ejected upstream gets no requests. After the
// ejection it gets a few idempotent requests on trial and then starts with few
// slots.
const (
	Starting Phase = iota // starting
	Steady                // steady
	Ejected               // ejected
	Trial                 // trial
)

// MarshalText returns the camel-case name of p.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// Limits for the ejection and the return of upstreams.
const (
	maxFailures           = 5  // consecutive failures after which an upstream is ejected
	slowFactor            = 3  // multiple of the median slowness above which an upstream is ejected
	minSlownessSamples    = 30 // successes needed in the phase, without a failure, before the slowness counts
	maxEjectedPercent     = 30
	slowStartTime         = 10 * clock.Second // time in Starting until all slots are open
	minEjectionTime       = 2 * clock.Second  // of the first ejection; doubled with each consecutive one
	maxEjectionTime       = 60 * clock.Second
	minTrialSuccesses     = 3            // successes after which a trial ends
	slownessWeightDivisor = 32           // the weight of a new sample is 1/32; with 1/8, the tail of heavy work ejected healthy upstreams
	ejectionResetTime     = clock.Minute // time in Steady after which the count of ejections is reset
	maxLoadReportAge      = clock.Second // age above which a load report is not used
	maxCountedEjections   = 6            // bounds the doubling of the ejection time
	maxTrialInFlight      = unit.Slots(1)
	slowStartSteps        = 8 // the number of open slots grows in eighths
	slowStartFirstStep    = 1 // eighths that are open at the start
)

// Health is the health of one upstream. The zero value enters the phase Starting
// at the first call of [UpdatePhase].
type Health struct {
	Phase          Phase
	Slowness       Slowness // moving average, zero if unknown
	AvgInFlight    float64  // moving average of the requests in flight at the samples
	Failures       int      // consecutive
	Successes      int      // since the start of the phase and the last failure
	Ejections      int      // consecutive
	PhaseStartedAt clock.Millis
	LoadAt         clock.Millis // when the last load report arrived
	initialized    bool
}

// Success records a response with its slowness, which is zero if unknown, and the
// number of requests that were in flight with it.
func (h *Health) Success(s Slowness, inFlight int64) {
	h.Failures = 0
	h.Successes++
	switch {
	case s == 0:
	case h.Slowness == 0:
		h.Slowness, h.AvgInFlight = s, float64(inFlight)
	default:
		h.Slowness = max(1, h.Slowness+(s-h.Slowness)/slownessWeightDivisor)
		h.AvgInFlight += (float64(inFlight) - h.AvgInFlight) / slownessWeightDivisor
	}
}

// SlownessPerRequest returns the slowness per request in flight, zero if it is unknown.
func (h *Health) SlownessPerRequest() Slowness {
	if h.Slowness == 0 {
		return 0
	}
	return max(1, Slowness(float64(h.Slowness)/max(1, h.AvgInFlight)))
}

// Failure records a failure that counts against the upstream.
func (h *Health) Failure() {
	h.Failures++
	h.Successes = 0
}

// AcceptsRequests reports whether the upstream may get requests.
func (h *Health) AcceptsRequests() bool { return h.Phase != Ejected }

// StartPhase sets the first phase. Upstreams that are present when a process
// starts are Steady, later ones Starting.
func (h *Health) StartPhase(p Phase, now clock.Millis) {
	h.initialized = true
	h.setPhase(p, now)
}

// setPhase starts phase p.
func (h *Health) setPhase(p Phase, now clock.Millis) {
	h.Phase, h.PhaseStartedAt, h.Successes = p, now, 0
}

// UpdatePhase applies the phase transitions that depend on h alone. It reports
// whether h changed between accepting requests and being ejected.
func UpdatePhase(h *Health, now clock.Millis) bool {
	if !h.initialized {
		h.StartPhase(Starting, now)
	}
	switch {
	case h.Phase == Ejected && now.Sub(h.PhaseStartedAt) >= ejectionTime(h.Ejections):
		h.setPhase(Trial, now)
		h.Failures, h.Slowness = 0, 0
		return true
	case h.Phase == Trial && h.Failures > 0:
		h.eject(now)
		return true
	case h.Phase == Trial && h.Successes >= minTrialSuccesses:
		h.setPhase(Starting, now)
	case h.Phase == Starting && now.Sub(h.PhaseStartedAt) >= slowStartTime:
		h.setPhase(Steady, now)
	case h.Phase == Steady && now.Sub(h.PhaseStartedAt) >= ejectionResetTime:
		h.Ejections = 0
	}
	return false
}

// eject starts an ejection.
func (h *Health) eject(now clock.Millis) {
	h.setPhase(Ejected, now)
	h.Ejections = min(h.Ejections+1, maxCountedEjections)
}

// ejectionTime returns the duration of the given consecutive ejection, counted
// from 1.
func ejectionTime(ejections int) clock.Span {
	return min(maxEjectionTime, minEjectionTime<<max(0, ejections-1))
}

// Limit returns the maximum number of requests that the upstream may have in
// flight in its phase. Zero means that only the slots limit it.
func (h *Health) Limit(slots unit.Slots, now clock.Millis) unit.Slots {
	switch h.Phase {
	case Trial:
		return maxTrialInFlight
	case Starting:
		step := slowStartFirstStep + clock.Span(slowStartSteps-slowStartFirstStep)*now.Sub(h.PhaseStartedAt)/slowStartTime
		return max(1, slots*unit.Slots(step)/slowStartSteps)
	default:
		return 0
	}
}

// EjectUnhealthy ejects failing and slow upstreams. rows are the upstreams of a
// service in one data centre. At most 30% of them, rounded down, are ejected or
// in their trial at the same time. Upstreams with the most failures are ejected
// first, then the slowest. EjectUnhealthy reports whether it ejected any.
func EjectUnhealthy(rows []*Health, now clock.Millis) bool {
	allowed := len(rows) * maxEjectedPercent / 100
	for _, h := range rows {
		if !h.AcceptsRequests() || h.Phase == Trial {
			allowed--
		}
	}
	if allowed <= 0 {
		return false
	}
	median := medianSlowness(rows)
	unhealthy := slices.DeleteFunc(slices.Clone(rows), func(h *Health) bool {
		return !h.AcceptsRequests() || h.Phase == Trial || h.Failures < maxFailures && !h.isSlow(median)
	})
	slices.SortStableFunc(unhealthy, func(a, b *Health) int {
		if a.Failures != b.Failures {
			return b.Failures - a.Failures
		}
		return int(b.Slowness - a.Slowness)
	})
	unhealthy = unhealthy[:min(len(unhealthy), allowed)]
	for _, h := range unhealthy {
		h.eject(now)
	}
	return len(unhealthy) > 0
}

// isSlow reports whether h is too slow compared with the median.
func (h *Health) isSlow(median Slowness) bool {
	return median > 0 && h.Successes >= minSlownessSamples && h.Slowness > slowFactor*median
}

// medianSlowness returns the lower median of the upstreams that accept requests
// and have a known slowness, or zero if there are none.
func medianSlowness(rows []*Health) Slowness {
	values := make([]Slowness, 0, len(rows))
	for _, h := range rows {
		if h.AcceptsRequests() && h.Slowness > 0 {
			values = append(values, h.Slowness)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// LoadExpired reports whether the last load report is too old to use. Without
// the limit, an upstream that once reported a high load would be avoided forever.
func (h *Health) LoadExpired(now clock.Millis) bool { return now.Sub(h.LoadAt) > maxLoadReportAge }
