package front

import (
	"expvar"
	"strconv"
	"sync"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// bucketBounds are the inclusive upper bounds of the latency buckets, in
// milliseconds.
var bucketBounds = [...]clock.Span{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000}

// Counters are the metrics of callers' requests. The zero value is ready to use;
// [Counters.Publish] exports them.
type Counters struct {
	requests expvar.Map // by method and status
	latency  expvar.Map // by method and upper bound
}

// observe counts one request with its response status and latency.
func (c *Counters) observe(method string, status int, took clock.Span) {
	c.requests.Add(method+" "+strconv.Itoa(status), 1)
	bound := "more"
	for _, b := range bucketBounds {
		if took <= b {
			bound = strconv.FormatInt(int64(b), 10) + "ms"
			break
		}
	}
	c.latency.Add(method+" "+bound, 1)
}

// Publish adds the counters to a map of variables.
func (c *Counters) Publish(m *expvar.Map) {
	m.Set("requests", &c.requests)
	m.Set("latency", &c.latency)
}

// pendingCounts caches the number of pending jobs of each queue for countTTL. It
// is safe for concurrent use.
type pendingCounts struct {
	mu      sync.Mutex
	entries map[unit.Queue]pendingCount
}

type pendingCount struct {
	countedAt clock.Millis
	n         int
}

// get returns the cached count of a queue, and false if there is none or it has
// expired.
func (c *pendingCounts) get(q unit.Queue, now clock.Millis) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.entries[q]
	return r.n, ok && now.Sub(r.countedAt) <= countTTL
}

func (c *pendingCounts) put(q unit.Queue, now clock.Millis, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.entries = make(map[unit.Queue]pendingCount)
	}
	c.entries[q] = pendingCount{now, n}
}
