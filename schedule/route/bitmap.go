package route

import (
	"math/bits"
	"sync/atomic"
)

const wordBits = 64

// bitmap is a set of small integers. It is safe for concurrent use.
type bitmap []atomic.Uint64

func newBitmap(n int) bitmap { return make(bitmap, (n+wordBits-1)/wordBits) }

// set and clear look before they write, so that an unchanged word stays shared
// between processor caches.
func (b bitmap) set(i int) {
	w, m := &b[i/wordBits], uint64(1)<<(i%wordBits)
	if w.Load()&m == 0 {
		w.Or(m)
	}
}

func (b bitmap) clear(i int) {
	w, m := &b[i/wordBits], uint64(1)<<(i%wordBits)
	if w.Load()&m != 0 {
		w.And(^m)
	}
}

func (b bitmap) has(i int) bool { return b[i/wordBits].Load()&(1<<(i%wordBits)) != 0 }

func (b bitmap) count() int {
	n := 0
	for i := range b {
		n += bits.OnesCount64(b[i].Load())
	}
	return n
}

// find returns the element with the given rank, or -1 if there are fewer.
func (b bitmap) find(rank int) int {
	for i := range b {
		w := b[i].Load()
		if n := bits.OnesCount64(w); rank >= n {
			rank -= n
			continue
		}
		for range rank {
			w &= w - 1
		}
		return i*wordBits + bits.TrailingZeros64(w)
	}
	return -1
}
