package route

import (
	"math/bits"
	"sync/atomic"
)

// wordBits is the number of bits in a word of a bitmap.
const wordBits = 64

// bitmap is a set of small non-negative integers. It is safe for concurrent use.
type bitmap []atomic.Uint64

func newBitmap(n int) bitmap { return make(bitmap, (n+wordBits-1)/wordBits) }

// set adds i. Like clear, it reads the word before it writes, so that an
// unchanged word stays shared between processor caches.
func (b bitmap) set(i int) {
	w, m := &b[i/wordBits], uint64(1)<<(i%wordBits)
	if w.Load()&m == 0 {
		w.Or(m)
	}
}

// clear removes i.
func (b bitmap) clear(i int) {
	w, m := &b[i/wordBits], uint64(1)<<(i%wordBits)
	if w.Load()&m != 0 {
		w.And(^m)
	}
}

// has reports whether i is in the set.
func (b bitmap) has(i int) bool { return b[i/wordBits].Load()&(1<<(i%wordBits)) != 0 }

// count returns the number of elements. Concurrent changes may be counted in part.
func (b bitmap) count() int {
	n := 0
	for i := range b {
		n += bits.OnesCount64(b[i].Load())
	}
	return n
}

// find returns the element with the given rank in ascending order, from 0, or -1
// if there are fewer elements.
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
