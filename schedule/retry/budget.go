package retry

import (
	"sync"

	"mimosadock/schedule/clock"
)

// The budget is a percentage of the requests in the window plus a constant,
// which allows retries in a process with few requests.
const (
	budgetPercent = 10
	budgetBase    = 10 // retries and hedges
	bucketCount   = 10 // in the window
	bucketSpan    = clock.Second
)

// Budget limits the retries and hedges of a process to 10% of its requests in
// the last 10 s plus 10. It is safe for concurrent use. The zero value is ready
// to use.
type Budget struct {
	mu          sync.Mutex
	newestStart clock.Millis // start of the newest bucket
	counts      [bucketCount]struct{ requests, repeats int }
	newest      int // index of the newest bucket
}

// CountRequest counts one request from a caller.
func (b *Budget) CountRequest(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.counts[b.newest].requests++
}

// Spend takes one retry or hedge from the budget. It returns false if the
// budget is used up.
func (b *Budget) Spend(now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	requests, repeats := 0, 0
	for _, c := range b.counts {
		requests += c.requests
		repeats += c.repeats
	}
	if repeats >= requests*budgetPercent/100+budgetBase {
		return false
	}
	b.counts[b.newest].repeats++
	return true
}

// advance moves the window forward so that its newest bucket contains now. It
// clears the buckets that are reused for the new part of the window.
func (b *Budget) advance(now clock.Millis) {
	start := now - now%clock.Millis(bucketSpan)
	steps := start.Sub(b.newestStart) / bucketSpan
	if steps <= 0 {
		return
	}
	for range min(steps, bucketCount) {
		b.newest = (b.newest + 1) % bucketCount
		b.counts[b.newest] = struct{ requests, repeats int }{}
	}
	b.newestStart = start
}
