package listener

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mimosadock/schedule/intake"
)

// contextKey is the context key of the connection of a request.
type contextKey struct{}

// connOf returns the connection of a request, or nil if its server has no guard.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(contextKey{}).(*conn)
	return c
}

// unwrap returns the guarded connection that c is or wraps, or nil.
func unwrap(c net.Conn) *conn {
	for {
		if gc, ok := c.(*conn); ok {
			return gc
		}
		w, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = w.NetConn()
	}
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	guard       *Guard
	id          intake.ID
	hasRequests bool
	closed      sync.Once
	refused     atomic.Pointer[error]
}

// Read reads from the client. It fails once the guard has refused the request.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.guard.receive(c, b[:n]) {
		c.refuse(ErrNoRoom)
		return 0, ErrNoRoom
	}
	return n, err
}

// Write writes to the client within the write timeout of the guard.
func (c *conn) Write(b []byte) (int, error) {
	if t := c.guard.WriteTimeout; t > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(t)) // a closed connection fails at the write
	}
	return c.Conn.Write(b)
}

// SetReadDeadline sets the deadline of reads, unless the guard has refused the
// request: its reads keep failing.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.refused.Load() != nil {
		return nil
	}
	err := c.Conn.SetReadDeadline(t)
	if c.refused.Load() != nil {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// refuse makes the reads of the connection fail.
func (c *conn) refuse(cause error) {
	c.refused.CompareAndSwap(nil, &cause)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

// Close closes the connection and frees its place.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(func() { c.guard.close(c) })
	return err
}

// CloseWrite closes the sending side. Servers use it to end a connection without a
// reset.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger sets how Close treats unsent data; see [net.TCPConn.SetLinger].
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}
