package limit

import (
	"hash/maphash"
	"sync/atomic"

	"mimosadock/schedule/clock"
)

const (
	// ways is the number of rows in a set.
	ways = 8
	// sets is the number of sets. There are 32,768 rows of 24 bytes each.
	sets = 4096
)

// row is the gate of one key.
type row struct {
	key  atomic.Uint64 // hash of the key; zero if the row is free
	gate Gate
}

// Table holds the gates of callers in a fixed number of rows, arranged like a
// set-associative cache. The next new key of a set takes over an idle row,
// whose state equals that of a new gate. If a set has no free or idle row, its
// new keys share the overflow gate of the set. A flood of new keys therefore
// neither grows the table nor removes active keys from it. Table is safe for
// concurrent use. Create one with [NewTable].
type Table struct {
	seed     maphash.Seed
	rows     [sets][ways]row
	overflow [sets]Gate
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{seed: maphash.MakeSeed()} }

// Gate returns the gate of key. Two goroutines that add the same new key at the
// same time can get different rows. The surplus row soon becomes idle and is
// reused.
func (t *Table) Gate(key string, now clock.Millis) *Gate {
	h := maphash.String(t.seed, key) | 1
	return t.gateOfHash(h, now)
}

// gateOfHash returns the gate of the key with the hash h, which is not zero.
func (t *Table) gateOfHash(h uint64, now clock.Millis) *Gate {
	set := &t.rows[h>>1%sets]
	for i := range set {
		if set[i].key.Load() == h {
			return &set[i].gate
		}
	}
	for i := range set {
		r := &set[i]
		old := r.key.Load()
		if (old == 0 || r.gate.isIdle(now)) && r.key.CompareAndSwap(old, h) {
			return &r.gate
		}
	}
	return &t.overflow[h>>1%sets]
}
