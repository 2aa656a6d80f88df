package listener

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// guardedListener accepts connections as conn.
type guardedListener struct {
	net.Listener
	guard       *Guard
	hasRequests bool
	freed       <-chan struct{} // of the guard
	closing     sync.Once
	closed      chan struct{}
}

// Accept returns the next connection that the limits allow. While there is no place,
// connections wait in the order in which they arrived, so that a client gains nothing
// by connecting again. Those for which no place becomes free are closed.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.await(c); admitted != nil {
			return admitted, nil
		}
		_ = c.Close() // the client sees that it is refused
	}
}

// await waits for a place for a connection. It returns nil if the connection is
// refused or the listener is closed.
func (l *guardedListener) await(c net.Conn) *conn {
	for {
		admitted, retryIn := l.guard.admit(c, l.hasRequests)
		if admitted != nil || retryIn <= 0 {
			return admitted
		}
		retry := time.NewTimer(retryIn.Duration())
		select {
		case <-l.freed:
		case <-retry.C:
		case <-l.closed:
			retry.Stop()
			return nil
		}
		retry.Stop()
	}
}

// Close closes the listener and the connection that waits for a place.
func (l *guardedListener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// receiveBuffer is the size in bytes of the kernel's buffer for what a client sends. It
// bounds what connections hold that wait for a place or whose bodies are not read.
const receiveBuffer = 16 << 10

// Open listens on a TCP address for clients of which each may send only a little ahead.
func Open(network, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// Without the option the kernel chooses the size.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
	}}
	return config.Listen(context.Background(), network, address)
}
