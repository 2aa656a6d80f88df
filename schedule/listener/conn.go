package listener

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

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
	isWriting   atomic.Bool
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
	if !c.hasRequests {
		return c.Conn.Write(b)
	}
	c.isWriting.Store(true)
	c.guard.beginWrite(c, len(b))
	n, err := c.Conn.Write(b)
	c.isWriting.Store(false)
	c.guard.endWrite(c)
	return n, err
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

// abort closes the connection. A response that is being written ends with a reset, so
// that it can't be taken for a whole one. Its server closes the connection again.
func (c *conn) abort() {
	if c.isWriting.Load() {
		_ = c.SetLinger(0) // fails only if the connection is closed
	}
	_ = c.Conn.Close()
}

// unreadBytes returns the number of bytes that have arrived on a connection and were
// not read, or 0 if it is not known.
func unreadBytes(c net.Conn) (n int) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	if err != nil {
		return 0
	}
	return n
}

// CloseWrite closes the sending side. Servers use it to end a connection without a
// reset, and wait before they close it.
func (c *conn) CloseWrite() error {
	c.guard.enter(c, intake.PhaseClosing)
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
