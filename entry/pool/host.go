package pool

import (
	"bufio"
	"net"
	"sync"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// host is the connections to one upstream.
type host struct {
	address unit.Upstream
	used    clock.Millis // guarded by the pool

	mu       sync.Mutex
	free     []*conn // the last used one at the end
	active   map[*conn]struct{}
	reserved int // being dialled
	answered clock.Millis
}

// idle returns the idle connection that was used last, or reserves room for a
// new one and reports whether there was room.
func (h *host) idle() (*conn, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.free); n > 0 {
		c := h.free[n-1]
		h.free[n-1] = nil
		h.free = h.free[:n-1]
		h.active[c] = struct{}{}
		return c, true
	}
	if h.reserved+len(h.active) >= MaxConnections {
		return nil, false
	}
	h.reserved++
	return nil, true
}

func (h *host) unreserve() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reserved--
}

func (h *host) adopt(c net.Conn, now clock.Clock) *conn {
	cn := &conn{Conn: c, host: h, clock: now, headLeft: -1}
	cn.in, cn.out = bufio.NewReader(cn), bufio.NewWriter(cn)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reserved--
	if h.active == nil {
		h.active = make(map[*conn]struct{})
	}
	h.active[cn] = struct{}{}
	return cn
}

// keep makes c idle, or reports false if there are enough idle ones.
func (h *host) keep(c *conn, now clock.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.free) >= maxIdle {
		return false
	}
	delete(h.active, c)
	c.idleSince = now
	h.free = append(h.free, c)
	return true
}

func (h *host) drop(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.active, c)
}

// progressed records that an exchange which began at started was answered.
func (h *host) progressed(started clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answered = max(h.answered, started)
}

// sweep closes silent and overdue connections and returns how many are left.
// Idle ones that were last used before a silent one made its last progress are
// as likely to be silent and are closed too.
func (h *host) sweep(now clock.Millis) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	lost := clock.Millis(-1)
	for c := range h.active {
		if c.isSilent(now, h.answered) {
			silent.Add(1)
			lost = max(lost, clock.Millis(c.progress.Load()))
			c.silent.Store(true)
			c.Close()
		}
	}
	kept := h.free[:0]
	for _, c := range h.free {
		if now.Sub(c.idleSince) >= idleFor || c.idleSince <= lost {
			c.Close()
			continue
		}
		kept = append(kept, c)
	}
	clear(h.free[len(kept):])
	h.free = kept
	return len(h.free) + len(h.active) + h.reserved
}
