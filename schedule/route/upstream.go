package route

import (
	"sync/atomic"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/unit"
)

// Latency is the observed time of a response in microseconds.
type Latency int64

// Span returns l in milliseconds, rounded up.
func (l Latency) Span() clock.Span { return clock.Span((l + 999) / 1000) }

// Slowness is the observed time of a response in thousandths of the median of its
// service. It makes services with different run times on one upstream
// comparable.
type Slowness int64

// minSlowLatency is the latency up to which a response never counts as slow. For
// shorter work, delays of the operating system's scheduler alone exceed the slow
// factor.
const minSlowLatency = Latency(1000)

// SlownessOf returns the slowness of a response with latency l, at least 1, or
// zero if the median is unknown. It is at most 1000 if l does not exceed
// minSlowLatency.
func SlownessOf(l, median Latency) Slowness {
	if median <= 0 {
		return 0
	}
	if l <= minSlowLatency {
		return min(1000, max(1, Slowness(l*1000/median)))
	}
	return max(1, Slowness(l*1000/median))
}

// Upstream is the state of one upstream for the request path. Its methods are
// safe for concurrent use. It must not be copied.
type Upstream struct {
	Address    unit.Upstream
	DataCentre unit.DataCentre
	Slots      *slot.Counter // slots for unpinned requests
	Pinned     *slot.Counter // slots of pinned grants; may be nil

	otherInFlight      atomic.Int64 // requests of other processes in flight, from the last load report
	slownessPerRequest atomic.Int64 // slowness per request in flight, zero if unknown
	limit              atomic.Int64 // maximum requests in flight; zero if only the held slots limit them
	trial              atomic.Bool  // only idempotent requests are sent
	sent               atomic.Int64 // requests sent
	position           atomic.Pointer[groupPosition]
}

// RecordLoad stores the number of requests in flight that the upstream reported
// with a response. It must be called before the slot of the request is
// released.
func (u *Upstream) RecordLoad(inFlight int64) {
	u.otherInFlight.Store(max(0, inFlight-int64(u.InFlight())))
}

// ClearLoad clears the last load report.
func (u *Upstream) ClearLoad() { u.otherInFlight.Store(0) }

// SetSlownessPerRequest sets the observed slowness per request in flight. Zero means unknown.
func (u *Upstream) SetSlownessPerRequest(s Slowness) { u.slownessPerRequest.Store(int64(s)) }

// SetLimit sets the maximum number of requests in flight. With zero, only the
// held slots limit them. A limit above the held slots has no effect.
func (u *Upstream) SetLimit(maxInFlight unit.Slots) {
	u.limit.Store(int64(maxInFlight))
	u.Refresh()
}

// Limit returns the limit that [Upstream.SetLimit] has set.
func (u *Upstream) Limit() unit.Slots { return unit.Slots(u.limit.Load()) }

// SetTrial sets whether the upstream gets only idempotent requests.
func (u *Upstream) SetTrial(on bool) { u.trial.Store(on) }

// Admits reports whether the limit and the trial of the upstream allow another
// request. It does not check for a free slot.
func (u *Upstream) Admits(idempotent bool) bool {
	l := u.limit.Load()
	return (l == 0 || int64(u.InFlight()) < l) && (idempotent || !u.trial.Load())
}

// InFlight returns the number of requests of this process in flight, pinned and
// unpinned ones.
func (u *Upstream) InFlight() unit.Slots {
	n := u.Slots.Used()
	if u.Pinned != nil {
		n += u.Pinned.Used()
	}
	return n
}

// EstimatedInFlight returns the estimated number of requests of all entry
// processes in flight. At the time of a load report, this is the higher of the
// requests of this process and the reported load, which also covers other entry
// processes. Requests of this process that begin or end after the report change
// the estimate. Otherwise an upstream would appear equally loaded no matter how
// many requests it gets.
func (u *Upstream) EstimatedInFlight() int64 { return int64(u.InFlight()) + u.otherInFlight.Load() }

// Release returns a slot that Choose has taken.
func (u *Upstream) Release() {
	u.Slots.Release()
	u.Refresh()
}

// Refresh marks the upstream as free in its group if it has a free slot. It must
// be called after the number of held slots was raised.
func (u *Upstream) Refresh() {
	if p := u.position.Load(); p != nil && u.hasFreeSlot() {
		p.group.free.set(p.index)
	}
}

// take takes a slot for a request that ends at deadline, and reports whether it
// succeeded.
func (u *Upstream) take(deadline clock.Millis) bool {
	if !u.Slots.Take(deadline) {
		return false
	}
	if l := u.limit.Load(); l > 0 && int64(u.InFlight()) > l {
		u.Slots.Release()
		return false
	}
	u.sent.Add(1)
	return true
}

// hasFreeSlot reports whether the upstream has a free slot and admits another
// request. It ignores the end of the grants.
func (u *Upstream) hasFreeSlot() bool {
	return u.Slots.Free() > 0 && u.Admits(true)
}
