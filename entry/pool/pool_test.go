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

const thenClose = upstream.Then

func startScript(t *testing.T, connections ...[]string) unit.Upstream {
	s, err := upstream.Play(connections...)
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

// Guards against a wrong verdict, an answer taken for whole that is not, and a
// request that gets the answer of another.
func TestSend(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		method      string
		connections [][]string
		want        []string // bodies of the answers; "!" begins a part of an error
	}{
		"reuse":                     {connections: [][]string{{okResponse, okResponse, okResponse}}, want: []string{"ok", "ok", "ok"}},
		"refused dial":              {connections: [][]string{{head + "Connection: close\r\nContent-Length: 2\r\n\r\nok" + thenClose}}, want: []string{"ok", "!didNotRun"}},
		"connection: close":         {connections: [][]string{{head + "Connection: close\r\nContent-Length: 2\r\n\r\nok"}, {okResponse}}, want: []string{"ok", "ok"}},
		"reset before the answer":   {connections: [][]string{{upstream.Close}, {okResponse}}, want: []string{"!mayHaveRun", "ok"}},
		"length short":              {connections: [][]string{{head + "Content-Length: 9\r\n\r\npart" + thenClose}, {okResponse}}, want: []string{"!unexpected EOF", "ok"}},
		"chunks cut":                {connections: [][]string{{head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n" + thenClose}, {okResponse}}, want: []string{"!unexpected EOF", "ok"}},
		"chunk damaged":             {connections: [][]string{{head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + thenClose}}, want: []string{"!invalid byte"}},
		"end only by close":         {connections: [][]string{{head + "\r\npart" + thenClose}}, want: []string{"!neither a length"}},
		"not HTTP":                  {connections: [][]string{{"nonsense\r\n\r\n" + thenClose}}, want: []string{"!mayHaveRun"}},
		"information first":         {connections: [][]string{{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + okResponse, okResponse}}, want: []string{"ok", "ok"}},
		"endless information":       {connections: [][]string{{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 99)}}, want: []string{"!informational"}},
		"switch not asked for":      {connections: [][]string{{"HTTP/1.1 101 Switching Protocols\r\n\r\n"}}, want: []string{"!switched"}},
		"no content":                {connections: [][]string{{"HTTP/1.1 204 No Content\r\n\r\n", okResponse}}, want: []string{"", "ok"}},
		"head":                      {method: http.MethodHead, connections: [][]string{{head + "Content-Length: 2\r\n\r\n", head + "\r\n"}}, want: []string{"", ""}},
		"head too large":            {connections: [][]string{{head + "X: " + strings.Repeat("x", maxHeadBytes) + "\r\n\r\n" + thenClose}}, want: []string{"!too large"}},
		"surplus answer is dropped": {connections: [][]string{{okResponse + strings.Replace(okResponse, "ok", "no", 1)}, {okResponse}}, want: []string{"ok", "ok"}},
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

// sendAndKeepIdle sends one request and waits until the upstream has closed the
// kept connection.
func sendAndKeepIdle(t *testing.T, p *Pool, to unit.Upstream) *conn {
	is := is.New(t)
	_, err := send(p, to, newRequest(http.MethodPost, "first"))
	is.NoErr(err)
	h := p.upstreamConns(to)
	is.Equal(len(h.idleConns), 1)
	return h.idleConns[0]
}

// Guards against the verdict mayHaveRun, or a lost request, for a kept-alive
// connection that ended before the request was written.
func TestStaleConnectionIsReplaced(t *testing.T) {
	tests := map[string]func(c *conn){
		"closed by the upstream": func(c *conn) { _, _ = c.Conn.Read(make([]byte, 1)) }, // returns at its end
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

// failingConn is a connection whose end shows at the first write.
type failingConn struct{ net.Conn }

func (failingConn) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// Guards against bytes on an idle connection that become the answer to the next
// request.
func TestBytesWithoutRequestDropTheConnection(t *testing.T) {
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

// Guards against a silent connection that is kept until the deadline, against a
// healthy host that is blamed, and against slow but lone work that is cut.
func TestSilentConnection(t *testing.T) {
	tests := map[string]struct {
		other   bool // another request is answered meanwhile
		silence clock.Span
		after   clock.Span
		lost    bool
	}{
		"others make progress": {other: true, silence: 100, after: 150, lost: true},
		"too early to tell":    {other: true, silence: 100, after: 50},
		"whole host is silent": {silence: 100, after: 150},
		"long request":         {other: true, after: 1_000_000},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := new(clock.Manual)
			p := &Pool{Clock: now}
			to := startScript(t, []string{upstream.Hang}, []string{okResponse})
			ctx, cancel := context.WithCancel(context.Background())
			failed := make(chan error, 1)
			var g group.Group
			g.Go("hang", func(context.Context) error {
				_, err := p.Send(ctx, Call{To: to, Request: newRequest(http.MethodPost, ""), StallTimeout: tc.silence})
				failed <- err
				return nil
			})
			waitForResponseRead(p, to)
			now.Advance(10)
			if tc.other {
				_, err := send(p, to, newRequest(http.MethodPost, ""))
				is.NoErr(err)
			}
			now.Advance(tc.after)
			p.sweep(now.Now())
			if !tc.lost {
				is.Equal(len(failed), 0)
				cancel()
			}
			err := <-failed
			cancel()
			is.Equal(errors.Is(err, ErrStalled), tc.lost)
			is.Equal(UpstreamDetectsClose(err), !tc.lost)
			is.Equal(verdict.Of(err), verdict.MayHaveRun)
			is.NoErr(g.Wait())
			p.sweep(clock.Never)
		})
	}
}

// waitForResponseRead returns when the only active connection waits for its answer.
func waitForResponseRead(p *Pool, to unit.Upstream) {
	h := p.upstreamConns(to)
	for {
		h.mu.Lock()
		for c := range h.active {
			if c.requestWritten.Load() && c.readWaitStart.Load() > 0 {
				h.mu.Unlock()
				return
			}
		}
		h.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

// Guards against more connections than an upstream accepts, and against idle
// ones that are kept for ever.
func TestConnectionLimits(t *testing.T) {
	is := is.New(t)
	now := new(clock.Manual)
	p := &Pool{Clock: now}
	connections := make([][]string, MaxConnections)
	for i := range connections {
		connections[i] = []string{strings.TrimSuffix(okResponse, "k")}
	}
	to := startScript(t, connections...)
	var answers []*http.Response
	for range MaxConnections {
		resp, err := p.Send(context.Background(), Call{To: to, Request: newRequest(http.MethodGet, "")})
		is.NoErr(err)
		answers = append(answers, resp)
	}
	_, err := send(p, to, newRequest(http.MethodGet, ""))
	is.Equal(verdict.Of(err), verdict.DidNotRun)
	for _, a := range answers {
		a.Body.Close()
	}
	is.Equal(p.State()[0], HostState{to, 0, 0}) // none is used again before its answer was read

	kept := startScript(t, []string{okResponse})
	_, err = send(p, kept, newRequest(http.MethodGet, ""))
	is.NoErr(err)
	h := p.upstreamConns(kept)
	p.sweep(now.Now().Add(idleTimeout - 1))
	is.Equal(len(h.idleConns), 1)
	p.sweep(now.Now().Add(idleTimeout))
	is.Equal(len(h.idleConns), 0)
	p.sweep(now.Now().Add(upstreamRetention + 1))
	is.Equal(len(p.State()), 0)
}

// Guards against a body of the caller that breaks and reaches the upstream as a
// shorter whole one.
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
