package listener

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/group"
	"mimosadock/schedule/intake"
	"mimosadock/schedule/unit"
)

const bodyLimit = 64 << 10

// serve starts a server that answers with the length of the body, 413, 408 or 503.
func serve(t *testing.T, g *Guard) string {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		length := 0
		err := ReadBody(r, bodyLimit, func(b []byte) error { length = len(b); return nil })
		switch {
		case errors.Is(err, ErrTooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case errors.Is(err, ErrTooSlow):
			w.WriteHeader(http.StatusRequestTimeout)
		case errors.Is(err, ErrNoRoom):
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		}
		fmt.Fprint(w, length)
	})}
	g.Configure(s)
	var servers group.Group
	servers.Go("server", func(context.Context) error { _ = s.Serve(g.Listen(l)); return nil })
	t.Cleanup(func() {
		is.NoErr(s.Close())
		is.NoErr(servers.Wait())
		is.Equal(g.Stats().Bytes, unit.Bytes(0)) // nothing stays reserved
	})
	return l.Addr().String()
}

// TestReadBody guards against bodies that are read differently from how they were
// sent, and against the loss of the answer to a client that is refused.
func TestReadBody(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }
	for name, test := range map[string]struct {
		request string // after the first lines
		end     bool   // the client closes its side
		status  string
		body    string
	}{
		"empty":             {request: length(0), status: "200", body: "0"},
		"one buffer":        {request: length(bufferSize) + strings.Repeat("b", bufferSize), status: "200", body: "4096"},
		"more than one":     {request: length(bufferSize+1) + strings.Repeat("b", bufferSize+1), status: "200", body: "4097"},
		"at the limit":      {request: length(bodyLimit) + strings.Repeat("b", bodyLimit), status: "200", body: "65536"},
		"over the limit":    {request: length(bodyLimit+1) + strings.Repeat("b", bodyLimit+1), status: "413"},
		"small chunks":      {request: chunked + strings.Repeat("1\r\nb\r\n", 9000) + "0\r\n\r\n", status: "200", body: "9000"},
		"over in chunks":    {request: chunked + strings.Repeat("1000\r\n"+strings.Repeat("b", 4096)+"\r\n", 17) + "0\r\n\r\n", status: "413"},
		"cut off":           {request: length(bufferSize) + strings.Repeat("b", 100), end: true, status: "400"},
		"cut off in chunks": {request: chunked + "5\r\nbbbbb\r\n", end: true, status: "400"},
		"stopped short":     {request: length(bufferSize) + strings.Repeat("b", bufferSize-1), status: "408"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			limits := intake.Host{}.Callers()
			limits.MaxPause = 100
			address := serve(t, &Guard{Limits: limits, Clock: clock.System{}})
			c, err := net.Dial("tcp4", address)
			is.NoErr(err)
			defer c.Close() //nolint:errcheck // the server may have closed it
			_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"+test.request)
			is.NoErr(err)
			if test.end {
				is.NoErr(c.(*net.TCPConn).CloseWrite())
			}
			answer, err := io.ReadAll(c)
			is.NoErr(err)
			is.True(bytes.HasPrefix(answer, []byte("HTTP/1.1 "+test.status)))
			is.True(bytes.HasSuffix(answer, []byte(test.body)))
		})
	}
}

// TestStalledClientsGiveWay guards against clients that keep the bytes and the
// connections of a listener from others.
func TestStalledClientsGiveWay(t *testing.T) {
	for name, limits := range map[string]intake.Limits{
		"bytes":       {Connections: 100, Bytes: 4 * bufferSize, Small: bodyLimit, ShortGrace: 50},
		"connections": {Connections: 4, Bytes: 1 << 20, Small: bodyLimit, ShortGrace: 50},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := &Guard{Limits: limits, Clock: clock.System{}}
			address := serve(t, g)
			for range 4 {
				c, err := net.Dial("tcp4", address)
				is.NoErr(err)
				defer c.Close() //nolint:errcheck // the server may have closed it
				_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\nb")
				is.NoErr(err)
			}
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for {
				resp, err := client.Post("http://"+address, "text/plain", strings.NewReader("body"))
				if err == nil && resp.StatusCode == http.StatusOK {
					is.NoErr(resp.Body.Close())
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			is.True(g.Stats().Refusals() > 0)
		})
	}
}

// TestBusyClientsTakeTurns guards against clients that keep all connections by sending
// one request after the other.
func TestBusyClientsTakeTurns(t *testing.T) {
	is := is.New(t)
	g := &Guard{Limits: intake.Limits{Connections: 4, Bytes: 1 << 20, Small: bodyLimit, ShortGrace: clock.Minute}, Clock: clock.System{}}
	address := serve(t, g)
	busy := group.New(context.Background())
	for range 4 {
		busy.Go("client", func(ctx context.Context) error {
			for ctx.Err() == nil {
				if c, err := net.Dial("tcp4", address); err == nil {
					stop := context.AfterFunc(ctx, func() { _ = c.Close() })
					for err == nil {
						_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
					}
					stop()
					_ = c.Close()
				}
			}
			return nil
		})
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := client.Post("http://"+address, "text/plain", strings.NewReader("body"))
		if err == nil {
			is.NoErr(resp.Body.Close())
			if resp.StatusCode == http.StatusOK && g.Stats().Refused > 0 {
				break
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	busy.Stop()
	is.NoErr(busy.Wait())
}
