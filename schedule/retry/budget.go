package retry

import (
	"sync"

	"mimosadock/schedule/clock"
)

// The budget: a share of the requests of the window plus a few, so that a quiet
// process can retry too.
const (
	budgetPercent = 10
	budgetExtra   = 10
	buckets       = 10
	bucketSpan    = clock.Second
)

// Budget bounds the repeats of a process to 10% of its requests in the last
// 10 s plus 10. It is safe for concurrent use. The zero value is ready to use.
type Budget struct {
	mu     sync.Mutex
	second clock.Millis // start of the newest bucket
	counts [buckets]struct{ requests, repeats int }
	next   int // index of the newest bucket
}

// Request counts one request of a caller.
func (b *Budget) Request(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.roll(now)
	b.counts[b.next].requests++
}

// Spend takes one repeat from the budget and reports whether there was one.
func (b *Budget) Spend(now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.roll(now)
	requests, repeats := 0, 0
	for _, c := range b.counts {
		requests += c.requests
		repeats += c.repeats
	}
	if repeats >= requests*budgetPercent/100+budgetExtra {
		return false
	}
	b.counts[b.next].repeats++
	return true
}

func (b *Budget) roll(now clock.Millis) {
	newest := now - now%clock.Millis(bucketSpan)
	steps := newest.Sub(b.second) / bucketSpan
	if steps <= 0 {
		return
	}
	for range min(steps, buckets) {
		b.next = (b.next + 1) % buckets
		b.counts[b.next] = struct{ requests, repeats int }{}
	}
	b.second = newest
}
