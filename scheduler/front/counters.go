package front

import (
	"expvar"
	"strconv"
	"sync"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// bucketBounds are the upper bounds of the latency buckets in milliseconds.
var bucketBounds = [...]clock.Span{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000}

// Counters count the requests of callers. The zero value is ready to use.
type Counters struct {
	requests expvar.Map // by method and status
	latency  expvar.Map // by method and upper bound
}

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

// pendingCounts keeps the numbers of waiting jobs for a short while.
type pendingCounts struct {
	mu      sync.Mutex
	entries map[unit.Queue]pendingCount
}

type pendingCount struct {
	countedAt clock.Millis
	n         int
}

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
