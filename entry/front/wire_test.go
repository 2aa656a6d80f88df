package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosadock/entry/pool"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
	"mimosadock/standin/upstream"
)

// serverFixture is a Front with a real pool behind a real HTTP server.
type serverFixture struct {
	*fixture
	url     string
	address string
}

func newServerFixture(t *testing.T, addresses ...string) *serverFixture {
	w := &serverFixture{fixture: newFixture(len(addresses), nil)}
	for i, a := range addresses {
		w.upstreams[i].Address = unit.Upstream(a)
		w.upstreams[i].Slots.Hold(8, clock.Never)
	}
	w.Clock, w.Sender = clock.System{}, new(pool.Pool)
	srv := httptest.NewUnstartedServer(w.Handler())
	srv.Listener = Listener(srv.Listener)
	Configure(srv.Config)
	srv.Start()
	t.Cleanup(srv.Close)
	w.url, w.address = srv.URL, srv.Listener.Addr().String()
	return w
}

// startUpstream starts an upstream that runs handler and returns its address.
func startUpstream(t *testing.T, handler http.HandlerFunc) string {
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func (w *serverFixture) post(path, body string) (status int, verdict, response string, err error) {
	r, err := http.NewRequest(http.MethodPost, w.url+path, strings.NewReader(body))
	if err != nil {
		return 0, "", "", err
	}
	r.Header.Set(RequestHeader, "id-1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get(VerdictHeader), string(b), err
}

// waitForFreeSlots waits until no slot is in use.
func (w *serverFixture) waitForFreeSlots() {
	for w.slotsInUse() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a wrong verdict for each failure mode of an upstream, and
// against a request that isn't idempotent and runs twice.
func TestUpstreamFailures(t *testing.T) {
	refuse := upstream.Mode(-1)
	tests := map[string]struct {
		mode    upstream.Mode
		service string
		status  int
		verdict string
		ran     int
	}{
		"healthy":                  {upstream.Healthy, "order", 200, "", 1},
		"refuse":                   {refuse, "order", 503, "didNotRun", 0},
		"reset before, order":      {upstream.ResetBefore, "order", 502, "mayHaveRun", 0},
		"reset after, order":       {upstream.ResetAfter, "order", 502, "mayHaveRun", 1},
		"reset after, lookup":      {upstream.ResetAfter, "lookup", 502, "mayHaveRun", 2},
		"truncate":                 {upstream.Truncate, "order", 0, "", 1},
		"no response":              {upstream.Silent, "order?deadline", 504, "mayHaveRun", 1},
		"slow":                     {upstream.Slow, "order", 200, "", 1},
		"wrong load":               {upstream.WrongLoad, "order", 200, "", 1},
		"busy, order":              {upstream.Busy, "order", 503, "", 0},
		"busy, lookup, both tried": {upstream.Busy, "lookup", 503, "", 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var servers []*upstream.Server
			var addresses []string
			for range 2 {
				s, err := upstream.Listen()
				is.NoErr(err)
				defer s.Close()
				if s.SetMode(tc.mode); tc.mode == refuse {
					s.Refuse()
				}
				servers, addresses = append(servers, s), append(addresses, s.Address())
			}
			w := newServerFixture(t, addresses...)
			path, short := strings.CutSuffix("/s/"+tc.service, "?deadline")
			if short {
				w.target("order").Service.DeadlineMs = 500
			}
			status, verdict, response, err := w.post(path, "body")
			is.Equal(status, tc.status)
			is.Equal(verdict, tc.verdict)
			is.Equal(servers[0].RunCount("id-1")+servers[1].RunCount("id-1"), tc.ran)
			switch tc.status {
			case 0: // the response was truncated
				is.True(err != nil)
			case 200:
				is.Equal(response, "body")
			}
		})
	}
}

// Guards against error responses of net/http without a verdict, and against
// malformed requests that reach an upstream.
func TestBadFraming(t *testing.T) {
	head := "POST /s/order/ HTTP/1.1\r\nHost: a\r\n"
	tests := map[string]struct {
		request string
		status  string
	}{
		"length not a number": {head + "Content-Length: x\r\n\r\n", "400"},
		"two lengths":         {head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
		"unknown coding":      {head + "Transfer-Encoding: gzip\r\n\r\n", "400"},
		"chunk damaged":       {head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
		"body truncated":      {head + "Content-Length: 9\r\n\r\nab", "400"},
		"header without name": {head + ": x\r\n\r\n", "400"},
		"endless header":      {head + "X: " + strings.Repeat("x", 2*maxRawHeaderBytes), "431"},
		"long header":         {head + "X: " + strings.Repeat("x", MaxHeaderBytes) + "\r\n\r\n", "431"},
		"no host":             {"GET /s/order/ HTTP/1.1\r\n\r\n", "400"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newServerFixture(t, startUpstream(t, func(http.ResponseWriter, *http.Request) { t.Error("malformed request was forwarded to an upstream") }))
			c, err := net.Dial("tcp", w.address)
			is.NoErr(err)
			defer c.Close()
			_, _ = io.WriteString(c, tc.request) // fails if the front responds before the end of the request
			_ = c.(*net.TCPConn).CloseWrite()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.True(strings.HasPrefix(resp.Status, tc.status))
			is.Equal(resp.Header.Get(VerdictHeader), "didNotRun")
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.True(bytes.HasPrefix(body, []byte(`{"verdict":"didNotRun"`)))
		})
	}
}

// Guards against a response body that is altered because its bytes resemble an
// error response of net/http.
func TestResponseThatResemblesLibraryError(t *testing.T) {
	is := is.New(t)
	text := "HTTP/1.1 400 Bad Request" + plainErrorHeaders + "400 Bad Request"
	w := newServerFixture(t, startUpstream(t, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_ = http.NewResponseController(rw).Flush()
		_, _ = io.WriteString(rw, text)
	}))
	for range 2 {
		_, _, response, err := w.post("/s/order/", "")
		is.NoErr(err)
		is.Equal(response, text)
	}
}

// Guards against a truncated response without a length that an HTTP/1.0 caller
// accepts as complete.
func TestTruncatedResponseResetsHTTP10Connection(t *testing.T) {
	is := is.New(t)
	w := newServerFixture(t, startUpstream(t, func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(rw, "part")
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}))
	c, err := net.Dial("tcp", w.address)
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /s/order/ HTTP/1.0\r\n\r\n")
	is.NoErr(err)
	_, err = io.ReadAll(c)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// Guards against methods and statuses without a body that stall, gain a body or
// leave the connection in a state that corrupts the next response.
func TestMethodsAndStatuses(t *testing.T) {
	tests := map[string]struct {
		method, body string
		status       int
		expect       bool
	}{
		"head":                             {method: http.MethodHead, status: 200},
		"no content":                       {method: http.MethodGet, status: 204},
		"not modified":                     {method: http.MethodGet, status: 304},
		"continue":                         {method: http.MethodPost, body: "body", status: 200, expect: true},
		"streamed, longer than the buffer": {method: http.MethodPut, body: strings.Repeat("x", 3*maxBufferedBody), status: 200},
		"delete with body":                 {method: http.MethodDelete, body: "body", status: 200},
	}
	w := newServerFixture(t, startUpstream(t, func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hint" {
			rw.Header().Set("Link", "a")
			rw.WriteHeader(http.StatusEarlyHints)
		}
		n, _ := io.Copy(io.Discard, r.Body)
		rw.Header().Set("X-Length", fmt.Sprint(n))
		var status int
		_, _ = fmt.Sscan(r.URL.Query().Get("status"), &status)
		rw.WriteHeader(status)
	}))
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for range 3 {
				// The wrapper hides the length, so that the client sends chunks.
				r, err := http.NewRequest(tc.method, fmt.Sprintf("%s/s/order/hint?status=%d", w.url, tc.status), struct{ io.Reader }{strings.NewReader(tc.body)})
				is.NoErr(err)
				if tc.expect {
					r.Header.Set("Expect", "100-continue")
				}
				resp, err := http.DefaultTransport.RoundTrip(r)
				is.NoErr(err)
				resp.Body.Close()
				is.Equal(resp.StatusCode, tc.status)
				is.Equal(resp.Header.Get("X-Length"), fmt.Sprint(len(tc.body)))
				w.waitForFreeSlots()
			}
		})
	}
}

// Guards against bodies that are buffered instead of streamed. The upstream
// responds to each part before the caller sends the next one.
func TestStreamsBothWays(t *testing.T) {
	is := is.New(t)
	w := newServerFixture(t, startUpstream(t, func(rw http.ResponseWriter, r *http.Request) {
		rc := http.NewResponseController(rw)
		_ = rc.EnableFullDuplex()
		_ = rc.Flush()
		buf := make([]byte, 1<<16)
		for {
			n, err := r.Body.Read(buf)
			_, _ = rw.Write(buf[:n])
			_ = rc.Flush()
			if err != nil {
				return
			}
		}
	}))
	in, out := io.Pipe()
	r, err := http.NewRequest(http.MethodPost, w.url+"/s/watch/", in)
	is.NoErr(err)
	g := make(chan error, 1)
	w.attempts.Go("test", func(context.Context) error {
		_, err := io.WriteString(out, "part 0")
		g <- err
		return nil
	})
	resp, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	is.NoErr(<-g)
	defer resp.Body.Close()
	for i := range 50 {
		want := fmt.Sprint("part ", i)
		got := make([]byte, len(want))
		_, err := io.ReadFull(resp.Body, got)
		is.NoErr(err)
		is.Equal(string(got), want)
		if i < 49 {
			_, err = io.WriteString(out, fmt.Sprint("part ", i+1))
			is.NoErr(err)
		}
	}
	out.Close()
	rest, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(len(rest), 0)
	w.waitForFreeSlots()
}

// Guards against a caller that disconnects, or that stops reading or sending,
// and keeps an upstream and a slot in use beyond its deadline.
func TestCallerStopsOrDisconnects(t *testing.T) {
	head := "POST /s/order/ HTTP/1.1\r\nHost: a\r\n"
	big := "Content-Length: 99999999\r\n\r\n" + strings.Repeat("x", 2*maxBufferedBody)
	tests := map[string]struct {
		request  string
		deadline clock.Span
		closes   bool
	}{
		"disconnects":               {request: head + "\r\n", deadline: 60_000, closes: true},
		"disconnects while sending": {request: head + big, deadline: 60_000, closes: true},
		"stops reading":             {request: head + DeadlineHeader + ": 800\r\n\r\n", deadline: 800},
		"stops sending":             {request: head + DeadlineHeader + ": 800\r\n" + big, deadline: 800},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			began, ended := make(chan struct{}), make(chan struct{})
			w := newServerFixture(t, startUpstream(t, func(rw http.ResponseWriter, r *http.Request) {
				close(began)
				defer close(ended)
				_, _ = io.Copy(io.Discard, r.Body)
				for r.Context().Err() == nil { // an endless response
					if _, err := rw.Write(make([]byte, 1<<20)); err != nil {
						return
					}
				}
			}))
			w.target("order").Service.DeadlineMs = tc.deadline
			w.upstreams[0].Pinned.Hold(8, clock.Never)
			c, err := net.Dial("tcp", w.address)
			is.NoErr(err)
			defer c.Close()
			_, err = io.WriteString(c, tc.request)
			is.NoErr(err)
			<-began
			if tc.closes {
				c.Close()
			}
			<-ended // the upstream detects the end
			w.waitForFreeSlots()
			is.Equal(w.InFlight(), 0)
		})
	}
}

// Guards against a response that is returned for another request. The upstream
// responds after the deadline of the request, and other requests follow.
func TestLateResponses(t *testing.T) {
	is := is.New(t)
	w := newServerFixture(t, startUpstream(t, func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if strings.HasPrefix(string(body), "late") {
			<-r.Context().Done()
		}
		_, _ = rw.Write(body)
	}))
	w.upstreams[0].Slots.Hold(40, clock.Never)
	order := w.target("order").Service
	for i := range 40 {
		body, want := fmt.Sprint("body ", i), http.StatusOK
		// 5900 ms is below MaxUnpinnedGrant, so that the requests use no pinned slots.
		if order.DeadlineMs = 5900; i%8 == 0 {
			body, want, order.DeadlineMs = fmt.Sprint("late ", i), http.StatusGatewayTimeout, 400
		}
		status, _, got, err := w.post("/s/order/", body)
		is.NoErr(err)
		is.Equal(status, want)
		is.Equal(got == body, want == http.StatusOK)
	}
}

// Guards against a lookup that waits until its deadline on a stalled connection
// although the upstream responds on other connections.
func TestStalledConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	silenced := make(chan struct{}, 1)
	release := make(chan struct{})
	h := func(rw http.ResponseWriter, _ *http.Request) {
		select {
		case silenced <- struct{}{}: // the first request gets no response
			<-release
		default:
			_, _ = io.WriteString(rw, "ok")
		}
	}
	w := newServerFixture(t, startUpstream(t, h), startUpstream(t, h))
	defer close(release)
	w.upstreams[1].RecordLoad(100) // makes the first upstream preferred
	lookup := w.target("lookup")
	lookup.Service.DeadlineMs, lookup.Service.Hedge = 5900, false // below MaxUnpinnedGrant
	publishLatency(lookup.Stats, 1000)
	p := w.Sender.(*pool.Pool)
	w.Sender = senderFunc(func(ctx context.Context, c pool.Call) (*http.Response, error) {
		if c.StallTimeout > 0 {
			c.StallTimeout = 1 // keeps the test short; the pool's tests check the time with a manual clock
		}
		return p.Send(ctx, c)
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	w.attempts.Go("pool", func(context.Context) error { done <- p.Run(ctx); return nil })
	result := make(chan error, 1)
	w.attempts.Go("lookup", func(context.Context) error {
		status, _, response, err := w.post("/s/lookup/", "")
		if status != http.StatusOK || response != "ok" {
			err = errors.Join(err, fmt.Errorf("status %d: %s", status, response))
		}
		result <- err
		return nil
	})
	for len(silenced) == 0 {
		time.Sleep(time.Millisecond)
	}
	for waiting := true; waiting; {
		select {
		case err := <-result:
			is.NoErr(err)
			waiting = false
		default: // other requests make progress on the same upstream
			status, _, _, err := w.post("/s/order/", "")
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
		}
	}
	cancel()
	is.NoErr(<-done)
}
