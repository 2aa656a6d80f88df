package listener

import (
	"net"
	"sync"
	"time"
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
