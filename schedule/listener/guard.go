package listener

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/intake"
	"mimosadock/schedule/unit"
)

// reportInterval is the shortest time between two reports of refusals.
const reportInterval = clock.Second

// Guard keeps the clients of one listener within limits. Set the exported fields
// before use. A Guard is safe for concurrent use.
type Guard struct {
	Limits intake.Limits
	Clock  clock.Clock
	// WriteTimeout bounds one write to a client; 0 is unlimited.
	WriteTimeout time.Duration
	// Report is called after refusals, at most once in reportInterval; may be nil.
	Report func(intake.Stats)

	mu         sync.Mutex
	table      intake.Table
	conns      map[intake.ID]*conn
	isTicking  bool
	reportedAt clock.Millis
	reported   int64         // refusals
	freed      chan struct{} // has an element if a place has become free since Accept last looked; nil before the first listener
	buffers    sync.Pool     // of *[bufferSize]byte

	decoding sync.Mutex
	scratch  []byte // body that is decoded
}

// Stats returns the state and the counters of the connections.
func (g *Guard) Stats() intake.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Stats()
}

// Listen wraps a listener whose connections are passed to a server that has been
// configured with [Guard.Configure].
func (g *Guard) Listen(l net.Listener) net.Listener { return g.wrap(l, true) }

// ListenRaw wraps a listener for another protocol than HTTP. Only the number of the
// connections is limited.
func (g *Guard) ListenRaw(l net.Listener) net.Listener { return g.wrap(l, false) }

func (g *Guard) wrap(l net.Listener, hasRequests bool) net.Listener {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.freed == nil {
		g.freed = make(chan struct{}, 1)
	}
	return &guardedListener{Listener: l, guard: g, hasRequests: hasRequests, freed: g.freed, closed: make(chan struct{})}
}

// admit adds a connection. If there is no place for it, admit returns nil and the
// time after which to try again, 0 if the connection is refused.
func (g *Guard) admit(c net.Conn, hasRequests bool) (admitted *conn, retryIn clock.Span) {
	g.mu.Lock()
	g.table.Limits, g.table.HasUnread = g.Limits, g.hasUnread
	now := g.Clock.Now()
	id, displaced, ok := g.table.Open(now)
	other := g.conns[displaced]
	delete(g.conns, displaced)
	if ok {
		if g.conns == nil {
			g.conns = make(map[intake.ID]*conn)
		}
		admitted = &conn{Conn: c, guard: g, id: id, hasRequests: hasRequests}
		g.conns[id] = admitted
	} else {
		retryIn = g.table.RetryIn(now)
	}
	g.mu.Unlock()
	if other != nil {
		other.abort()
	}
	g.report()
	return admitted, retryIn
}

// hasUnread reports whether bytes of a client wait in the kernel. It is called with
// mu locked.
func (g *Guard) hasUnread(id intake.ID) bool {
	c := g.conns[id]
	return c != nil && unreadBytes(c.Conn) > 0
}

// Configure makes the guard follow the requests of a server. The handler and the
// hooks of the server must be set before.
func (g *Guard) Configure(s *http.Server) {
	handler, connContext, connState := s.Handler, s.ConnContext, s.ConnState
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.serve(handler, w, r) })
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, contextKey{}, unwrap(c))
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if connState != nil {
			connState(c, state)
		}
		if gc := unwrap(c); gc != nil && state == http.StateIdle {
			g.enter(gc, intake.PhaseIdle)
		}
	}
}

// serve calls the handler. Until the body has been read, also after the return of
// the handler, the client has to make progress. While connections are short, each is
// closed after its response, and the requests behind it are not read.
func (g *Guard) serve(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	if g.isCrowded() {
		w.Header().Set("Connection", "close")
	}
	if c := connOf(r); c != nil {
		if r.ContentLength == 0 {
			g.enter(c, intake.PhaseServing)
		} else {
			g.enter(c, intake.PhaseBody)
			r.Body = &trackedBody{r.Body, c}
		}
	}
	handler.ServeHTTP(w, r)
}

func (g *Guard) isCrowded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.IsCrowded(g.Clock.Now())
}

// enter notes the phase of a connection. The progress of bodies is checked from
// the first one on; the server itself bounds the time of headers.
func (g *Guard) enter(c *conn, p intake.Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Enter(c.id, p, g.Clock.Now())
	if p == intake.PhaseBody && !g.isTicking {
		g.isTicking = true
		time.AfterFunc(intake.TickInterval.Duration(), g.tick)
	}
}

// receive notes bytes that have arrived on a connection and reports whether it may
// go on.
func (g *Guard) receive(c *conn, b []byte) bool {
	lines := 0
	if c.hasRequests {
		lines = bytes.Count(b, []byte{'\n'})
	}
	g.mu.Lock()
	if !c.hasRequests {
		g.table.Touch(c.id, g.Clock.Now())
		g.mu.Unlock()
		return true
	}
	stalled, ok := g.table.Receive(c.id, unit.Bytes(len(b)), lines, g.Clock.Now())
	g.refuse(stalled, ErrNoRoom)
	g.mu.Unlock()
	g.report()
	return ok
}

// reserve reserves bytes for the request of a connection and reports whether there
// is room for them.
func (g *Guard) reserve(c *conn, n unit.Bytes) bool {
	g.mu.Lock()
	stalled, ok := g.table.Reserve(c.id, n, g.Clock.Now())
	g.refuse(stalled, ErrNoRoom)
	g.mu.Unlock()
	g.report()
	return ok
}

func (g *Guard) release(c *conn, n unit.Bytes) {
	g.mu.Lock()
	g.table.Release(c.id, n)
	g.mu.Unlock()
}

// tick ends the requests of clients that send too slowly. It runs again while a
// client has to send.
func (g *Guard) tick() {
	g.mu.Lock()
	slow, again := g.table.Tick(g.Clock.Now())
	g.refuse(slow, ErrTooSlow)
	g.isTicking = again
	if again {
		time.AfterFunc(intake.TickInterval.Duration(), g.tick)
	}
	g.mu.Unlock()
	g.report()
}

// refuse makes the reads of connections fail.
func (g *Guard) refuse(ids []intake.ID, cause error) {
	for _, id := range ids {
		if c := g.conns[id]; c != nil {
			c.refuse(cause)
		}
	}
}

// close removes a connection.
func (g *Guard) close(c *conn) {
	g.mu.Lock()
	g.table.Close(c.id)
	delete(g.conns, c.id)
	if g.freed != nil {
		select {
		case g.freed <- struct{}{}:
		default: // it has an element
		}
	}
	g.mu.Unlock()
}

// beginWrite notes that a connection waits for its client to read.
func (g *Guard) beginWrite(c *conn, n int) {
	g.mu.Lock()
	g.table.BeginWrite(c.id, unit.Bytes(n), g.Clock.Now())
	g.mu.Unlock()
}

func (g *Guard) endWrite(c *conn) {
	g.mu.Lock()
	g.table.EndWrite(c.id, g.Clock.Now())
	g.mu.Unlock()
}

// receiveBody notes bytes of a body without its encoding.
func (g *Guard) receiveBody(c *conn, n int) {
	g.mu.Lock()
	g.table.ReceiveBody(c.id, unit.Bytes(n))
	g.mu.Unlock()
}

// report passes the counters to Report if there were refusals.
func (g *Guard) report() {
	if g.Report == nil {
		return
	}
	g.mu.Lock()
	stats, now := g.table.Stats(), g.Clock.Now()
	due := stats.Refusals() > g.reported && (g.reportedAt == 0 || now.Sub(g.reportedAt) >= reportInterval)
	if due {
		g.reported, g.reportedAt = stats.Refusals(), now
	}
	g.mu.Unlock()
	if due {
		g.Report(stats)
	}
}

// Errors of [ReadBody] and [Keep].
var (
	// ErrTooLarge is returned for a body that exceeds its limit.
	ErrTooLarge = errors.New("body is too large")
	// ErrTooSlow is returned for a body whose client sends too slowly.
	ErrTooSlow = errors.New("body arrives too slowly")
	// ErrNoRoom is returned if the requests in flight have too many bytes.
	ErrNoRoom = errors.New("too many bytes of requests are in flight")
)
