package front

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"mimosadock/schedule/verdict"
)

// maxRawHeaderBytes is the maximum header that net/http reads. The handler
// refuses headers between MaxHeaderBytes and this limit, which leaves room for what
// MaxHeaderBytes doesn't count.
const maxRawHeaderBytes = 4 * MaxHeaderBytes

// Listener wraps l so that the error responses of net/http itself, which don't
// pass through a handler, carry a verdict too. The server must have been passed
// to [Configure].
func Listener(l net.Listener) net.Listener { return callerListener{l} }

// callerListener accepts connections as callerConn.
type callerListener struct{ net.Listener }

// Accept waits for the next connection and returns it as a callerConn.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cc := &callerConn{Conn: c}
	cc.betweenRequests.Store(true)
	return cc, nil
}

// connContextKey is the context key of the connection of a request.
type connContextKey struct{}

// Configure sets the hooks and limits of the server for callers.
func Configure(s *http.Server) {
	s.MaxHeaderBytes = maxRawHeaderBytes
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connContextKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if cc, ok := c.(*callerConn); ok && state == http.StateIdle {
			cc.betweenRequests.Store(true)
		}
	}
}

// markHandled records that a handler runs on the connection of r.
func markHandled(r *http.Request) {
	if cc, ok := r.Context().Value(connContextKey{}).(*callerConn); ok {
		cc.betweenRequests.Store(false)
	}
}

// resetOnClose makes the connection of r end with a TCP reset. An HTTP/1.0
// caller interprets any other end as the end of a complete response.
func resetOnClose(r *http.Request) {
	if cc, ok := r.Context().Value(connContextKey{}).(*callerConn); ok {
		if tcp, ok := cc.Conn.(interface{ SetLinger(seconds int) error }); ok {
			_ = tcp.SetLinger(0)
		}
	}
}

// callerConn is a connection of a caller. It adds a verdict to the error
// responses that net/http writes itself.
type callerConn struct {
	net.Conn
	betweenRequests atomic.Bool // no handler has run since the last response ended
}

// NetConn returns the connection that c wraps.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// plainErrorHeaders is the end of the head of the error responses that net/http
// writes itself.
const plainErrorHeaders = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// Write writes b. If b is an error response of net/http, Write replaces it by
// one with a verdict.
func (c *callerConn) Write(b []byte) (int, error) {
	if !c.betweenRequests.Load() {
		return c.Conn.Write(b)
	}
	statusLine, rest, ok := bytes.Cut(b, []byte("\r\n"))
	reason, isPlain := bytes.CutPrefix(rest, []byte(plainErrorHeaders[2:]))
	status := 0
	if ok && isPlain && len(statusLine) > len("HTTP/1.1 400") {
		status, _ = strconv.Atoi(string(statusLine[len("HTTP/1.1 "):len("HTTP/1.1 400")]))
	}
	if status < http.StatusBadRequest {
		return c.Conn.Write(b)
	}
	if status >= http.StatusInternalServerError {
		status = http.StatusBadRequest // net/http responds 501 to an unsupported transfer encoding
	}
	countDecision("refusedRequest")
	body, err := json.Marshal(errorResponse{Verdict: verdict.DidNotRun, Reason: string(reason)})
	if err != nil {
		return 0, err
	}
	_, err = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%s: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), VerdictHeader, verdict.DidNotRun, len(body), body)
	return len(b), err
}
