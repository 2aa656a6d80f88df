package slot

import (
	"sync/atomic"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Counter counts the slots of one upstream that one entry process holds and
// uses. The control goroutine sets what is held; request goroutines take and
// release. It is safe for concurrent use, does not allocate, and never blocks.
// The zero value holds nothing.
type Counter struct {
	held  atomic.Int64
	used  atomic.Int64
	until atomic.Int64
}

// Hold sets the slots that are held and the instant until which they may be
// used. Fewer slots than are in use stop new takes until enough are released.
func (c *Counter) Hold(n unit.Slots, until clock.Millis) {
	c.until.Store(int64(until))
	c.held.Store(int64(n))
}

// Take takes a slot for a request that ends at deadline at the latest. It
// reports false if no slot is free or the deadline lies after the grant.
func (c *Counter) Take(deadline clock.Millis) bool {
	if int64(deadline) > c.until.Load() {
		return false
	}
	if c.used.Add(1) > c.held.Load() {
		c.used.Add(-1)
		return false
	}
	return true
}

// Release gives a taken slot back.
func (c *Counter) Release() { c.used.Add(-1) }

// Used returns the slots in use. A concurrent failing [Counter.Take] can make
// it one too high for a moment.
func (c *Counter) Used() unit.Slots { return unit.Slots(c.used.Load()) }

// Free returns the slots that are held and not in use, at least zero.
func (c *Counter) Free() unit.Slots {
	return max(0, unit.Slots(c.held.Load()-c.used.Load()))
}
