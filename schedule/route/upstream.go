package route

import (
	"sync/atomic"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/unit"
)

// Latency is an observed time of an answer in microseconds.
type Latency int64

// Span returns l in milliseconds, rounded up.
func (l Latency) Span() clock.Span { return clock.Span((l + 999) / 1000) }

// Slowness is an observed time of an answer in thousandths of the median of its
// service, so that services with different work can share an upstream.
type Slowness int64

// minSlowLatency is the time below which an answer is never slow: delays of the
// scheduler exceed the factor of short work.
const minSlowLatency = Latency(1000)

// SlownessOf returns the slowness of an answer, zero if the median is unknown.
func SlownessOf(l, median Latency) Slowness {
	if median <= 0 {
		return 0
	}
	if l <= minSlowLatency {
		return min(1000, max(1, Slowness(l*1000/median)))
	}
	return max(1, Slowness(l*1000/median))
}

// Upstream is one executor as the request path sees it. It must not be copied.
type Upstream struct {
	Address    unit.Upstream
	DataCentre unit.DataCentre
	Slots      *slot.Counter // held for short requests
	Pinned     *slot.Counter // held for long requests; may be nil

	otherInFlight atomic.Int64 // requests of other processes by the last report
	cost          atomic.Int64 // slowness per request in flight, zero if unknown
	limit         atomic.Int64 // most requests in flight, zero for the slots held
	trial         atomic.Bool  // gets idempotent requests only
	sent          atomic.Int64
	position      atomic.Pointer[groupPosition]
}

// Report stores the load that the upstream reported with an answer. It must
// come before the slot of the answered request is released.
func (u *Upstream) Report(inFlight int64) {
	u.otherInFlight.Store(max(0, inFlight-int64(u.InFlight())))
}

// ForgetReport drops the last report.
func (u *Upstream) ForgetReport() { u.otherInFlight.Store(0) }

// SetCost stores the observed slowness per request in flight. Zero means
// unknown.
func (u *Upstream) SetCost(s Slowness) { u.cost.Store(int64(s)) }

// SetLimit bounds the requests in flight to n; zero leaves them to the slots
// held. A limit above the slots held has no effect.
func (u *Upstream) SetLimit(maxInFlight unit.Slots) {
	u.limit.Store(int64(maxInFlight))
	u.Refresh()
}

// Limit returns the bound of [Upstream.SetLimit].
func (u *Upstream) Limit() unit.Slots { return unit.Slots(u.limit.Load()) }

// SetTrial restricts the upstream to idempotent requests.
func (u *Upstream) SetTrial(on bool) { u.trial.Store(on) }

// Admits reports whether the limit and the trial of the upstream allow another
// request. Slots are not looked at.
func (u *Upstream) Admits(idempotent bool) bool {
	l := u.limit.Load()
	return (l == 0 || int64(u.InFlight()) < l) && (idempotent || !u.trial.Load())
}

// InFlight returns the slots of both kinds in use by this process.
func (u *Upstream) InFlight() unit.Slots {
	n := u.Slots.Used()
	if u.Pinned != nil {
		n += u.Pinned.Used()
	}
	return n
}

// Busyness returns the requests in flight: the higher of this process's own and
// the last report, which also covers other entry processes. The report moves
// along with the own requests that began and ended since; one that stood still
// would let an upstream look the same however much is sent to it.
func (u *Upstream) Busyness() int64 { return int64(u.InFlight()) + u.otherInFlight.Load() }

// Release gives a slot taken by Choose back.
func (u *Upstream) Release() {
	u.Slots.Release()
	u.Refresh()
}

// Refresh offers the upstream to new requests again if it has a free slot. It
// must be called after more slots are held.
func (u *Upstream) Refresh() {
	if s := u.position.Load(); s != nil && u.hasFreeSlot() {
		s.group.free.set(s.index)
	}
}

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

// hasFreeSlot reports whether the upstream has a slot for another request, whatever
// its deadline.
func (u *Upstream) hasFreeSlot() bool {
	return u.Slots.Free() > 0 && u.Admits(true)
}
