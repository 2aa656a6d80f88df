package pool

import (
	"bufio"
	"net"
	"sync"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// upstreamConns is the connections to one upstream.
type upstreamConns struct {
	address  unit.Upstream
	lastUsed clock.Millis // guarded by the pool

	mu             sync.Mutex
	idleConns      []*conn // the last used one at the end
	active         map[*conn]struct{}
	dialing        int // being dialled
	latestAnswered clock.Millis
}

// takeIdleOrReserve returns the idle connection that was used last, or reserves room for a
// new one and reports whether there was room.
func (h *upstreamConns) takeIdleOrReserve() (*conn, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.idleConns); n > 0 {
		c := h.idleConns[n-1]
		h.idleConns[n-1] = nil
		h.idleConns = h.idleConns[:n-1]
		h.active[c] = struct{}{}
		return c, true
	}
	if h.dialing+len(h.active) >= MaxConnections {
		return nil, false
	}
	h.dialing++
	return nil, true
}

func (h *upstreamConns) cancelDial() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dialing--
}

func (h *upstreamConns) addDialed(c net.Conn, now clock.Clock) *conn {
	cn := &conn{Conn: c, upstream: h, clock: now, headBytesLeft: -1}
	cn.reader, cn.bufferedWriter = bufio.NewReader(cn), bufio.NewWriter(cn)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dialing--
	if h.active == nil {
		h.active = make(map[*conn]struct{})
	}
	h.active[cn] = struct{}{}
	return cn
}

// addIdle makes c idle, or reports false if there are enough idle ones.
func (h *upstreamConns) addIdle(c *conn, now clock.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idleConns) >= maxIdleConnections {
		return false
	}
	delete(h.active, c)
	c.idleSince = now
	h.idleConns = append(h.idleConns, c)
	return true
}

func (h *upstreamConns) removeActive(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.active, c)
}

// recordAnswered records that an exchange which began at started was answered.
func (h *upstreamConns) recordAnswered(requestStart clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.latestAnswered = max(h.latestAnswered, requestStart)
}

// sweep closes silent and overdue connections and returns how many are left.
// Idle ones that were last used before a silent one made its last progress are
// as likely to be silent and are closed too.
func (h *upstreamConns) sweep(now clock.Millis) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	stalledProgress := clock.Millis(-1)
	for c := range h.active {
		if c.isStalled(now, h.latestAnswered) {
			stalledCount.Add(1)
			stalledProgress = max(stalledProgress, clock.Millis(c.lastProgress.Load()))
			c.stalled.Store(true)
			c.Close()
		}
	}
	kept := h.idleConns[:0]
	for _, c := range h.idleConns {
		if now.Sub(c.idleSince) >= idleTimeout || c.idleSince <= stalledProgress {
			c.Close()
			continue
		}
		kept = append(kept, c)
	}
	clear(h.idleConns[len(kept):])
	h.idleConns = kept
	return len(h.idleConns) + len(h.active) + h.dialing
}
