package route

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Phase is the state of an upstream in the eyes of one entry process.
type Phase int

// The phases of an upstream.
const (
	Starting Phase = iota // starting
	Steady                // steady
	Ejected               // ejected
	Trial                 // trial
)

// MarshalText returns the camel-case name of p.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// Ejection and return of upstreams.
const (
	maxFailures           = 5  // consecutive failures that eject
	slowFactor            = 3  // times the median slowness that ejects
	minSlownessSamples    = 30 // answers since the return before slowness is judged
	maxEjectedPercent     = 30
	slowStartTime         = 10 * clock.Second
	minEjectionTime       = 2 * clock.Second // doubled with each ejection in a row
	maxEjectionTime       = 60 * clock.Second
	trialSuccesses        = 3
	slownessWeightDivisor = 32 // weight of a new sample is 1/32; at 1/8 the tail of heavy work ejected healthy upstreams
	ejectionResetTime     = clock.Minute
	maxLoadReportAge      = clock.Second
	maxCountedEjections   = 6
	maxTrialInFlight      = unit.Slots(1)
	slowStartSteps        = 8 // the slots opened grow in eighths
	slowStartFirstStep    = 1
)

// Health is the row of one upstream. The zero value starts when it is first
// judged.
type Health struct {
	Phase          Phase
	Slowness       Slowness // moving average, zero if unknown
	AvgInFlight    float64  // moving average of the requests in flight with the samples
	Failures       int      // in a row
	Successes      int      // since the phase began
	Ejections      int      // in a row
	PhaseStartedAt clock.Millis
	LoadAt         clock.Millis // of the last report
	initialized    bool
}

// Success records an answer with its slowness, zero if that is unknown, and the
// requests that were in flight with it.
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

// Cost returns the slowness per request in flight, zero if it is unknown.
func (h *Health) Cost() Slowness {
	if h.Slowness == 0 {
		return 0
	}
	return max(1, Slowness(float64(h.Slowness)/max(1, h.AvgInFlight)))
}

// Failure records a failure that speaks against the upstream.
func (h *Health) Failure() {
	h.Failures++
	h.Successes = 0
}

// Open reports whether the upstream may get requests.
func (h *Health) Open() bool { return h.Phase != Ejected }

// Begin sets the first phase. Upstreams that a process finds when it starts are
// Steady, later ones Starting.
func (h *Health) Begin(p Phase, now clock.Millis) {
	h.initialized = true
	h.setPhase(p, now)
}

func (h *Health) setPhase(p Phase, now clock.Millis) {
	h.Phase, h.PhaseStartedAt, h.Successes = p, now, 0
}

// Judge moves h through the phases that depend on h alone, and reports whether
// it changed between open and ejected.
func Judge(h *Health, now clock.Millis) bool {
	if !h.initialized {
		h.Begin(Starting, now)
	}
	switch {
	case h.Phase == Ejected && now.Sub(h.PhaseStartedAt) >= ejectionTime(h.Ejections):
		h.setPhase(Trial, now)
		h.Failures, h.Slowness = 0, 0
		return true
	case h.Phase == Trial && h.Failures > 0:
		h.eject(now)
		return true
	case h.Phase == Trial && h.Successes >= trialSuccesses:
		h.setPhase(Starting, now)
	case h.Phase == Starting && now.Sub(h.PhaseStartedAt) >= slowStartTime:
		h.setPhase(Steady, now)
	case h.Phase == Steady && now.Sub(h.PhaseStartedAt) >= ejectionResetTime:
		h.Ejections = 0
	}
	return false
}

func (h *Health) eject(now clock.Millis) {
	h.setPhase(Ejected, now)
	h.Ejections = min(h.Ejections+1, maxCountedEjections)
}

func ejectionTime(ejections int) clock.Span {
	return min(maxEjectionTime, minEjectionTime<<max(0, ejections-1))
}

// Limit returns how many requests the upstream may have in flight by its
// phase, zero for no bound below its slots.
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

// Eject ejects failing and slow upstreams among rows, which are those of a
// service in one data centre. At most 30% are ejected at a time; the worst come
// first. It reports whether any was ejected.
func Eject(rows []*Health, now clock.Millis) bool {
	allowed := len(rows) * maxEjectedPercent / 100
	for _, h := range rows {
		if !h.Open() || h.Phase == Trial {
			allowed--
		}
	}
	if allowed <= 0 {
		return false
	}
	median := medianSlowness(rows)
	unhealthy := slices.DeleteFunc(slices.Clone(rows), func(h *Health) bool {
		return !h.Open() || h.Phase == Trial || h.Failures < maxFailures && !h.isSlow(median)
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

func (h *Health) isSlow(median Slowness) bool {
	return median > 0 && h.Successes >= minSlownessSamples && h.Slowness > slowFactor*median
}

func medianSlowness(rows []*Health) Slowness {
	values := make([]Slowness, 0, len(rows))
	for _, h := range rows {
		if h.Open() && h.Slowness > 0 {
			values = append(values, h.Slowness)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// LoadExpired reports whether the last load report is too old to count. It
// keeps an upstream that once reported a high load from being avoided for ever.
func (h *Health) LoadExpired(now clock.Millis) bool { return now.Sub(h.LoadAt) > maxLoadReportAge }
