package pool

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/group"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
	"mimosadock/standin/upstream"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// thenClose is a suffix of a response. The upstream closes the connection after
// the response.
const thenClose = upstream.CloseSuffix

// startScript starts an upstream that plays one script per connection: the i-th
// string is the response to the i-th request.
func startScript(t *testing.T, connections ...[]string) unit.Upstream {
	s, err := upstream.ListenScript(connections...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return unit.Upstream(s.Address())
}

func newRequest(method, body string) *http.Request {
	r, err := http.NewRequest(method, "http://upstream/", strings.NewReader(body))
	if err != nil {
		panic("pool: bad request in a test")
	}
	return r
}

func send(p *Pool, to unit.Upstream, r *http.Request) (string, error) {
	resp, err := p.Send(context.Background(), Call{To: to, Request: r})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// Guards against a wrong verdict, a truncated response that is accepted as
// complete, and a response that is returned for another request.
func TestSend(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		method      string
		connections [][]string
		want        []string // bodies of the responses, or "!" and a part of the error
	}{
		"reuse":                 {connections: [][]string{{okResponse, okResponse, okResponse}}, want: []string{"ok", "ok", "ok"}},
		"refused dial":          {connections: [][]string{{head + "Connection: close\r\nContent-Length: 2\r\n\r\nok" + thenClose}}, want: []string{"ok", "!didNotRun"}},
		"connection: close":     {connections: [][]string{{head + "Connection: close\r\nContent-Length: 2\r\n\r\nok"}, {okResponse}}, want: []string{"ok", "ok"}},
		"reset before response": {connections: [][]string{{upstream.CloseWithoutAnswer}, {okResponse}}, want: []string{"!mayHaveRun", "ok"}},
		"truncated body":        {connections: [][]string{{head + "Content-Length: 9\r\n\r\npart" + thenClose}, {okResponse}}, want: []string{"!unexpected EOF", "ok"}},
		"truncated chunks":      {connections: [][]string{{head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n" + thenClose}, {okResponse}}, want: []string{"!unexpected EOF", "ok"}},
		"chunk damaged":         {connections: [][]string{{head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + thenClose}}, want: []string{"!invalid byte"}},
		"ended only by close":   {connections: [][]string{{head + "\r\npart" + thenClose}}, want: []string{"!neither a length"}},
		"not HTTP":              {connections: [][]string{{"nonsense\r\n\r\n" + thenClose}}, want: []string{"!mayHaveRun"}},
		"informational first":   {connections: [][]string{{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + okResponse, okResponse}}, want: []string{"ok", "ok"}},
		"endless informational": {connections: [][]string{{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 99)}}, want: []string{"!informational"}},
		"unexpected upgrade":    {connections: [][]string{{"HTTP/1.1 101 Switching Protocols\r\n\r\n"}}, want: []string{"!switched"}},
		"no content":            {connections: [][]string{{"HTTP/1.1 204 No Content\r\n\r\n", okResponse}}, want: []string{"", "ok"}},
		"head":                  {method: http.MethodHead, connections: [][]string{{head + "Content-Length: 2\r\n\r\n", head + "\r\n"}}, want: []string{"", ""}},
		"head too large":        {connections: [][]string{{head + "X: " + strings.Repeat("x", maxHeadBytes) + "\r\n\r\n" + thenClose}}, want: []string{"!too large"}},
		"surplus response":      {connections: [][]string{{okResponse + strings.Replace(okResponse, "ok", "no", 1)}, {okResponse}}, want: []string{"ok", "ok"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := new(Pool)
			defer p.sweep(clock.Never)
			to := startScript(t, tc.connections...)
			for _, want := range tc.want {
				method := tc.method
				if method == "" {
					method = http.MethodPost
				}
				got, err := send(p, to, newRequest(method, "body"))
				if part, failed := strings.CutPrefix(want, "!"); failed {
					is.True(err != nil)
					is.True(strings.Contains(err.Error(), part))
					continue
				}
				is.NoErr(err)
				is.Equal(got, want)
			}
		})
	}
}

// sendAndKeepIdle sends one request and returns its connection, which is idle
// afterwards.
func sendAndKeepIdle(t *testing.T, p *Pool, to unit.Upstream) *conn {
	is := is.New(t)
	_, err := send(p, to, newRequest(http.MethodPost, "first"))
	is.NoErr(err)
	u := p.upstreamConns(to)
	is.Equal(len(u.idleConns), 1)
	return u.idleConns[0]
}

// Guards against the verdict mayHaveRun, or a failed request, if a kept-alive
// connection ended before the request was written.
func TestStaleConnectionIsReplaced(t *testing.T) {
	tests := map[string]func(c *conn){
		"closed by the upstream": func(c *conn) { _, _ = c.Conn.Read(make([]byte, 1)) }, // returns when the upstream closes
		"fails at the first byte": func(c *conn) {
			c.Conn = failingConn{c.Conn}
		},
	}
	for name, spoil := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := new(Pool)
			defer p.sweep(clock.Never)
			to := startScript(t, []string{okResponse + thenClose}, []string{okResponse})
			spoil(sendAndKeepIdle(t, p, to))
			got, err := send(p, to, newRequest(http.MethodPost, "second"))
			is.NoErr(err)
			is.Equal(got, "ok")
		})
	}
}

// failingConn is a connection that fails at the first write.
type failingConn struct{ net.Conn }

func (failingConn) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// Guards against unexpected bytes on an idle connection that are read as the
// response to the next request.
func TestUnexpectedBytesDropConnection(t *testing.T) {
	is := is.New(t)
	ours, theirs := tcpPair(t)
	c := new(upstreamConns).addDialed(ours, clock.System{})
	is.True(c.isReusable())
	_, err := io.WriteString(theirs, okResponse)
	is.NoErr(err)
	raw, err := ours.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Read(func(fd uintptr) bool { // wait for the bytes
		n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n > 0
	}))
	is.True(!c.isReusable())
}

func tcpPair(t *testing.T) (net.Conn, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close(); b.Close() })
	return a, b
}

// Guards against a stalled connection that is kept until the deadline, a
// healthy upstream that is reported as failed, and a slow request that is
// aborted although no other request shows a stall.
func TestStalledConnection(t *testing.T) {
	tests := map[string]struct {
		other   bool // another request gets a response meanwhile
		timeout clock.Span
		after   clock.Span
		stalled bool
	}{
		"others make progress": {other: true, timeout: 100, after: 150, stalled: true},
		"before the timeout":   {other: true, timeout: 100, after: 50},
		"upstream is stalled":  {timeout: 100, after: 150},
		"long request":         {other: true, after: 1_000_000},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := new(clock.Manual)
			p := &Pool{Clock: now}
			to := startScript(t, []string{upstream.NoAnswer}, []string{okResponse})
			ctx, cancel := context.WithCancel(context.Background())
			sendErr := make(chan error, 1)
			var g group.Group
			g.Go("hang", func(context.Context) error {
				_, err := p.Send(ctx, Call{To: to, Request: newRequest(http.MethodPost, ""), StallTimeout: tc.timeout})
				sendErr <- err
				return nil
			})
			waitForPendingRead(p, to)
			now.Advance(10)
			if tc.other {
				_, err := send(p, to, newRequest(http.MethodPost, ""))
				is.NoErr(err)
			}
			now.Advance(tc.after)
			p.sweep(now.Now())
			if !tc.stalled {
				is.Equal(len(sendErr), 0)
				cancel()
			}
			err := <-sendErr
			cancel()
			is.Equal(errors.Is(err, ErrStalled), tc.stalled)
			is.Equal(UpstreamDetectsClose(err), !tc.stalled)
			is.Equal(verdict.Of(err), verdict.MayHaveRun)
			is.NoErr(g.Wait())
			p.sweep(clock.Never)
		})
	}
}

// waitForPendingRead waits until the only active connection has written its
// request and a read of the response is pending.
func waitForPendingRead(p *Pool, to unit.Upstream) {
	u := p.upstreamConns(to)
	for {
		u.mu.Lock()
		for c := range u.active {
			if c.requestWritten.Load() && c.readWaitStart.Load() > 0 {
				u.mu.Unlock()
				return
			}
		}
		u.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

// Guards against more connections than an upstream accepts, and against idle
// connections that are never closed.
func TestConnectionLimits(t *testing.T) {
	is := is.New(t)
	now := new(clock.Manual)
	p := &Pool{Clock: now}
	connections := make([][]string, MaxConnections)
	for i := range connections {
		connections[i] = []string{strings.TrimSuffix(okResponse, "k")}
	}
	to := startScript(t, connections...)
	var responses []*http.Response
	for range MaxConnections {
		resp, err := p.Send(context.Background(), Call{To: to, Request: newRequest(http.MethodGet, "")})
		is.NoErr(err)
		responses = append(responses, resp)
	}
	_, err := send(p, to, newRequest(http.MethodGet, ""))
	is.Equal(verdict.Of(err), verdict.DidNotRun)
	for _, a := range responses {
		a.Body.Close()
	}
	is.Equal(p.State()[0], UpstreamState{to, 0, 0}) // no connection is reused before its response was read

	kept := startScript(t, []string{okResponse})
	_, err = send(p, kept, newRequest(http.MethodGet, ""))
	is.NoErr(err)
	u := p.upstreamConns(kept)
	p.sweep(now.Now().Add(idleTimeout - 1))
	is.Equal(len(u.idleConns), 1)
	p.sweep(now.Now().Add(idleTimeout))
	is.Equal(len(u.idleConns), 0)
	p.sweep(now.Now().Add(upstreamRetention + 1))
	is.Equal(len(p.State()), 0)
}

// Guards against a request body that fails and is sent to the upstream as a
// shorter, complete one.
func TestBrokenBody(t *testing.T) {
	is := is.New(t)
	p := new(Pool)
	to := startScript(t, []string{okResponse})
	r := newRequest(http.MethodPost, "")
	r.Body = io.NopCloser(io.MultiReader(strings.NewReader(strings.Repeat("x", 1<<16)), brokenReader{}))
	r.ContentLength = -1
	_, err := send(p, to, r)
	var be *BodyError
	is.True(errors.As(err, &be))
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("caller went away") }
