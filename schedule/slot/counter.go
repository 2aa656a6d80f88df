package slot

import (
	"sync/atomic"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Parts is a number of slots of each part.
type Parts struct {
	Quick unit.Slots `json:"quick" cbor:"1,keyasint,omitempty"`
	Slow  unit.Slots `json:"slow" cbor:"2,keyasint,omitempty"`
}

// Split divides the slots of an upstream. Half of them are slow, rounded down.
func Split(n unit.Slots) Parts { return Parts{Quick: n - n/2, Slow: n / 2} }

// Total returns the slots of both parts.
func (p Parts) Total() unit.Slots { return p.Quick + p.Slow }

// Max returns the greater number of each part.
func (p Parts) Max(o Parts) Parts {
	return Parts{Quick: max(p.Quick, o.Quick), Slow: max(p.Slow, o.Slow)}
}

// Counter counts the slots of one upstream that one entry process holds and
// uses. The control goroutine sets what is held; request goroutines take and
// release. It is safe for concurrent use, does not allocate, and never blocks.
// The zero value holds nothing.
type Counter struct {
	held        atomic.Uint64 // both parts in one word, so that a reader never mixes two grants
	used        atomic.Int64
	quickUntil  atomic.Int64
	slowUntil   atomic.Int64
	failedTakes atomic.Int64
}

// quickShift is the position of the quick part in the word of held slots.
const quickShift = 32

// Hold sets the slots that are held and the instant until which they may be
// used. Fewer slots than are in use stop new takes until enough are released.
func (c *Counter) Hold(n unit.Slots, until clock.Millis) {
	c.HoldParts(Parts{Quick: n}, until, until)
}

// HoldParts sets the slots of each part that are held and the instants until
// which they may be used. The instants should not decrease while slots are
// held.
func (c *Counter) HoldParts(p Parts, quickUntil, slowUntil clock.Millis) {
	c.quickUntil.Store(int64(quickUntil))
	c.slowUntil.Store(int64(slowUntil))
	c.held.Store(uint64(p.Quick)<<quickShift | uint64(uint32(p.Slow)))
}

// Held returns the slots that are held, whether or not their time has passed.
func (c *Counter) Held() Parts {
	word := c.held.Load()
	return Parts{Quick: unit.Slots(word >> quickShift), Slow: unit.Slots(uint32(word))}
}

// Take takes a slot for a request that ends at deadline at the latest. It
// reports false if no slot is free or the deadline lies after the grant. A
// request that outlasts the quick slots is admitted only if the requests in
// flight fit into the slow slots, so that the quick slots can be given away
// once their time has passed.
func (c *Counter) Take(deadline clock.Millis) bool {
	if int64(deadline) > max(c.quickUntil.Load(), c.slowUntil.Load()) {
		return false
	}
	used := c.used.Add(1) // before the load, so that a reduction of the held slots sees this request
	if unit.Slots(used) > c.Room(deadline) {
		c.used.Add(-1)
		c.failedTakes.Add(1)
		return false
	}
	return true
}

// Room returns the slots that requests up to deadline may use. The instants are
// loaded after the slots, since they are stored before them.
func (c *Counter) Room(deadline clock.Millis) unit.Slots {
	held, usable := c.Held(), unit.Slots(0)
	if int64(deadline) <= c.quickUntil.Load() {
		usable += held.Quick
	}
	if int64(deadline) <= c.slowUntil.Load() {
		usable += held.Slow
	}
	return usable
}

// Occupy takes a slot that the owner has granted to one request.
func (c *Counter) Occupy() { c.used.Add(1) }

// Release gives a taken slot back.
func (c *Counter) Release() { c.used.Add(-1) }

// Used returns the slots in use. A concurrent failing [Counter.Take] can make
// it one too high for a moment.
func (c *Counter) Used() unit.Slots { return unit.Slots(c.used.Load()) }

// FailedTakes returns how many takes have found no free slot so far.
func (c *Counter) FailedTakes() int64 { return c.failedTakes.Load() }

// Free returns the slots that are held and not in use, at least zero.
func (c *Counter) Free() unit.Slots { return max(0, c.Held().Total()-c.Used()) }
