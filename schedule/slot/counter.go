package slot

import (
	"sync/atomic"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Parts is a number of slots of each part, quick and slow.
type Parts struct {
	Quick unit.Slots `json:"quick" cbor:"1,keyasint,omitempty"`
	Slow  unit.Slots `json:"slow" cbor:"2,keyasint,omitempty"`
}

// Split divides the n slots of an upstream into parts. Half of the slots,
// rounded down, are slow.
func Split(n unit.Slots) Parts { return Parts{Quick: n - n/2, Slow: n / 2} }

// Total returns the sum of both parts.
func (p Parts) Total() unit.Slots { return p.Quick + p.Slow }

// Max returns the maximum of p and o for each part.
func (p Parts) Max(o Parts) Parts {
	return Parts{Quick: max(p.Quick, o.Quick), Slow: max(p.Slow, o.Slow)}
}

// Counter counts the slots of one upstream that one entry process holds and
// uses. The control goroutine sets the held slots. Request goroutines take and
// release slots. A Counter is safe for concurrent use, does not allocate, and
// never blocks. The zero value holds no slots.
type Counter struct {
	held        atomic.Uint64 // both parts in one word, so that a load never mixes two grants
	used        atomic.Int64
	quickUntil  atomic.Int64
	slowUntil   atomic.Int64
	failedTakes atomic.Int64
}

// quickShift is the bit offset of the quick part in the word of held slots.
const quickShift = 32

// Hold sets the held slots to n quick slots that may be used until the given
// instant. If n is less than the slots in use, [Counter.Take] fails until
// enough slots are released.
func (c *Counter) Hold(n unit.Slots, until clock.Millis) {
	c.HoldParts(Parts{Quick: n}, until, until)
}

// HoldParts sets the held slots of each part and the instants until which they
// may be used. The instants should not decrease while slots are held.
func (c *Counter) HoldParts(p Parts, quickUntil, slowUntil clock.Millis) {
	c.quickUntil.Store(int64(quickUntil))
	c.slowUntil.Store(int64(slowUntil))
	c.held.Store(uint64(p.Quick)<<quickShift | uint64(uint32(p.Slow)))
}

// Held returns the held slots, including those whose grant has expired.
func (c *Counter) Held() Parts {
	word := c.held.Load()
	return Parts{Quick: unit.Slots(word >> quickShift), Slow: unit.Slots(uint32(word))}
}

// Take takes a slot for a request that ends at deadline at the latest. It
// reports false if no slot is free or the grants of both parts end before the
// deadline. A request that outlasts the quick slots is admitted only if all
// requests in flight fit into the slow slots. The quick slots can therefore be
// granted to another holder when they expire.
func (c *Counter) Take(deadline clock.Millis) bool {
	if int64(deadline) > max(c.quickUntil.Load(), c.slowUntil.Load()) {
		return false
	}
	used := c.used.Add(1) // before loading the held slots, so that a concurrent reduction counts this request
	if unit.Slots(used) > c.UsableSlots(deadline) {
		c.used.Add(-1)
		c.failedTakes.Add(1)
		return false
	}
	return true
}

// UsableSlots returns the number of held slots, free or in use, that a request
// ending at deadline may use. It loads the slots before the instants because
// [Counter.HoldParts] stores the instants first.
func (c *Counter) UsableSlots(deadline clock.Millis) unit.Slots {
	held, usable := c.Held(), unit.Slots(0)
	if int64(deadline) <= c.quickUntil.Load() {
		usable += held.Quick
	}
	if int64(deadline) <= c.slowUntil.Load() {
		usable += held.Slow
	}
	return usable
}

// Occupy takes a slot without a check. It is used for pinned grants, which the
// owner grants to one request.
func (c *Counter) Occupy() { c.used.Add(1) }

// Release returns a slot that was taken with Take or Occupy.
func (c *Counter) Release() { c.used.Add(-1) }

// Used returns the number of slots in use. Each concurrent [Counter.Take] that
// fails can raise the result by one for a short time.
func (c *Counter) Used() unit.Slots { return unit.Slots(c.used.Load()) }

// FailedTakes returns the number of Take calls so far that found no free slot.
// Calls whose deadline was after the end of both parts are not counted.
func (c *Counter) FailedTakes() int64 { return c.failedTakes.Load() }

// Free returns the number of held slots that are not in use. It is never
// negative.
func (c *Counter) Free() unit.Slots { return max(0, c.Held().Total()-c.Used()) }
