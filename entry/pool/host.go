package pool

import (
	"bufio"
	"net"
	"sync"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// upstreamConns holds the connections to one upstream.
type upstreamConns struct {
	address  unit.Upstream
	lastUsed clock.Millis // guarded by Pool.mu

	mu              sync.Mutex
	idleConns       []*conn // most recently used last
	active          map[*conn]struct{}
	dialing         int          // connections that are being dialled
	latestResponded clock.Millis // latest start time of a request with a response
}

// takeIdleOrReserve returns the most recently used idle connection. If there is
// none, it returns nil and reserves a new connection, or returns false if
// MaxConnections is reached.
func (u *upstreamConns) takeIdleOrReserve() (*conn, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n := len(u.idleConns); n > 0 {
		c := u.idleConns[n-1]
		u.idleConns[n-1] = nil
		u.idleConns = u.idleConns[:n-1]
		u.active[c] = struct{}{}
		return c, true
	}
	if u.dialing+len(u.active) >= MaxConnections {
		return nil, false
	}
	u.dialing++
	return nil, true
}

// cancelDial releases a reservation after a failed dial.
func (u *upstreamConns) cancelDial() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dialing--
}

// addDialed adds a reserved connection that was dialled, as active.
func (u *upstreamConns) addDialed(c net.Conn, now clock.Clock) *conn {
	cn := &conn{Conn: c, upstream: u, clock: now, headBytesLeft: -1}
	cn.reader, cn.bufferedWriter = bufio.NewReader(cn), bufio.NewWriter(cn)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dialing--
	if u.active == nil {
		u.active = make(map[*conn]struct{})
	}
	u.active[cn] = struct{}{}
	return cn
}

// addIdle makes c idle. It returns false if there are maxIdleConnections
// already.
func (u *upstreamConns) addIdle(c *conn, now clock.Millis) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.idleConns) >= maxIdleConnections {
		return false
	}
	delete(u.active, c)
	c.idleSince = now
	u.idleConns = append(u.idleConns, c)
	return true
}

// removeActive removes c from the active connections.
func (u *upstreamConns) removeActive(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.active, c)
}

// recordResponse records a response to a request that started at requestStart.
func (u *upstreamConns) recordResponse(requestStart clock.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.latestResponded = max(u.latestResponded, requestStart)
}

// sweep closes stalled connections and idle connections whose timeout has
// passed, and returns the number that is left. It also closes idle connections
// that were last used before the last progress of a stalled one, since they are
// equally likely to be stalled.
func (u *upstreamConns) sweep(now clock.Millis) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	stalledProgress := clock.Millis(-1)
	for c := range u.active {
		if c.isStalled(now, u.latestResponded) {
			stalledCount.Add(1)
			stalledProgress = max(stalledProgress, clock.Millis(c.lastProgress.Load()))
			c.stalled.Store(true)
			c.Close()
		}
	}
	kept := u.idleConns[:0]
	for _, c := range u.idleConns {
		if now.Sub(c.idleSince) >= idleTimeout || c.idleSince <= stalledProgress {
			c.Close()
			continue
		}
		kept = append(kept, c)
	}
	clear(u.idleConns[len(kept):])
	u.idleConns = kept
	return len(u.idleConns) + len(u.active) + u.dialing
}
