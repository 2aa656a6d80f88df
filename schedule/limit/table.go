package limit

import (
	"hash/maphash"
	"sync/atomic"

	"mimosadock/schedule/clock"
)

const (
	// ways is how many rows a key can be in.
	ways = 8
	// sets makes 32,768 rows in all, of 24 bytes each.
	sets = 4096
)

type row struct {
	key  atomic.Uint64 // zero if free
	gate Gate
}

// Table holds the gates of callers in a fixed number of rows. A row that is
// idle, so that losing it changes nothing, is given to the next new key. Keys
// that find no row share one gate a set, so that a flood of new keys neither
// grows the table nor locks out the keys that are in it. It is safe for
// concurrent use. Use [NewTable].
type Table struct {
	seed     maphash.Seed
	rows     [sets][ways]row
	overflow [sets]Gate
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{seed: maphash.MakeSeed()} }

// Gate returns the gate of key. Two goroutines that bring the same new key at
// the same instant can get two rows; the surplus row is idle soon and reused.
func (t *Table) Gate(key string, now clock.Millis) *Gate {
	h := maphash.String(t.seed, key) | 1
	return t.gateOfHash(h, now)
}

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
