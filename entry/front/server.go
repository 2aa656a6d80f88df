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

// maxRawHeaderBytes is what net/http reads of a header; what lies between MaxHeader
// and this is refused by the handler.
const maxRawHeaderBytes = 1 << 20

// Listener wraps l so that the refusals of net/http itself, which never reach a
// handler, carry a verdict too. It works with a server that was passed to
// [Configure].
func Listener(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

// Accept waits for a connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cc := &callerConn{Conn: c}
	cc.betweenRequests.Store(true)
	return cc, nil
}

type connContextKey struct{}

// Configure sets the hooks and limits of the caller's server.
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

// markHandled marks the connection of r as used by a handler.
func markHandled(r *http.Request) {
	if cc, ok := r.Context().Value(connContextKey{}).(*callerConn); ok {
		cc.betweenRequests.Store(false)
	}
}

// resetOnClose makes the connection of r end with a reset. A caller that speaks
// HTTP/1.0 takes any other end for that of the answer.
func resetOnClose(r *http.Request) {
	if cc, ok := r.Context().Value(connContextKey{}).(*callerConn); ok {
		if tcp, ok := cc.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	betweenRequests atomic.Bool // no handler has run since the last answer ended
}

// plainErrorHeaders ends the head of the answers that net/http writes by itself.
const plainErrorHeaders = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// Write writes b, with a verdict if it is a refusal of net/http.
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
		status = http.StatusBadRequest // a transfer encoding that is not supported
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
