package crowd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"mimosadock/schedule/group"
)

const (
	// returnInterval is the time from the end of a connection to the next one of the
	// same client.
	returnInterval = 5 * time.Millisecond
	dripInterval   = 200 * time.Millisecond
	dripSize       = 1000 // bytes
	// slowReadBuffer is the receive buffer of a client that hardly reads.
	slowReadBuffer   = 2 << 10
	slowReadInterval = 100 * time.Millisecond
	// ordinaryRequests is the number of ordinary requests in the presence of a crowd.
	ordinaryRequests = 3
)

// visit is what a returning client does with a connection until it is closed or the
// client has an answer.
type visit func(n int, conn net.Conn)

// openReturningCrowd connects clients to an address. A client whose visit has ended
// connects again, until close.
func openReturningCrowd(address string, size int, v visit) *crowd {
	ctx, stop := context.WithCancel(context.Background())
	c := &crowd{stop: stop}
	opened := new(group.Group)
	for n := range size {
		first := make(chan struct{})
		c.clients.Go("client", func(context.Context) error {
			dialer := net.Dialer{Timeout: dialTimeout}
			for isFirst := true; ctx.Err() == nil; isFirst = false {
				conn, err := dialer.DialContext(ctx, "tcp4", address)
				if isFirst {
					close(first)
				}
				if err == nil {
					stopClose := context.AfterFunc(ctx, func() { _ = conn.Close() })
					v(n, conn)
					stopClose()
					_ = conn.Close() // the program may have closed it
				}
				time.Sleep(returnInterval)
			}
			return nil
		})
		opened.Go("wait", func(context.Context) error { <-first; return nil })
	}
	_ = opened.Wait() // a client returns no error
	return c
}

// sendAll returns a visit that sends pieces with an interval and waits for an answer.
func sendAll(m member, interval time.Duration) visit {
	return func(n int, conn net.Conn) {
		for _, p := range m(n) {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := conn.Write(p); err != nil {
				return
			}
			if interval > 0 && !isSilent(conn, interval) {
				return
			}
		}
		for isSilent(conn, time.Second) {
		}
	}
}

// isSilent waits and reports whether the connection stays open without an answer.
func isSilent(conn net.Conn, d time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(d))
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// readSlowly returns a visit that sends a request many times and reads the answers a
// byte at a time.
func readSlowly(request []byte) visit {
	requests := bytes.Repeat(request, 20_000)
	return func(_ int, conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(slowReadBuffer)
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := conn.Write(requests); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		for {
			if _, err := conn.Read(make([]byte, 1)); err != nil {
				return
			}
			time.Sleep(slowReadInterval)
		}
	}
}

// drip cuts the pieces of a request into pieces of dripSize.
func drip(request [][]byte) (pieces [][]byte) {
	for _, b := range request {
		for ; len(b) > dripSize; b = b[dripSize:] {
			pieces = append(pieces, b[:dripSize])
		}
		pieces = append(pieces, b)
	}
	return pieces
}

// TestSchedulerAnswersBesideReturningClients guards against clients that keep all
// places of a scheduler by connecting again whenever they are refused.
func TestSchedulerAnswersBesideReturningClients(t *testing.T) {
	padded := jobOf(`{"spec":"x",`)
	get := fmt.Appendf(nil, "GET /q/%s HTTP/1.1\r\nHost: q.example\r\n\r\n", jobID(0))
	for name, test := range map[string]struct {
		listener int
		size     int
		visit    visit
	}{
		"chunks of 1 kB":               {callers, 300, sendAll(func(n int) [][]byte { return drip(chunked(n, padded, dripSize, 0)) }, dripInterval)},
		"bodies of 1 kB at a time":     {callers, 300, sendAll(func(n int) [][]byte { return drip(whole(n, padded, 0)) }, dripInterval)},
		"bodies a byte at a time":      {callers, 900, sendAll(func(n int) [][]byte { return bytewise(whole(n, padded, 0)) }, dripInterval)},
		"bodies in pieces":             {callers, 300, sendAll(func(n int) [][]byte { return inPieces(whole(n, padded, 0)) }, dripInterval)},
		"whole bodies, stopped":        {callers, 300, sendAll(func(n int) [][]byte { return whole(n, padded, missing) }, 0)},
		"small chunks, stopped":        {callers, 300, sendAll(func(n int) [][]byte { return chunked(n, padded, 64, missing) }, 0)},
		"whole bodies":                 {callers, 300, sendAll(func(n int) [][]byte { return whole(n, padded, 0) }, 0)},
		"idle connections":             {callers, 900, sendAll(func(int) [][]byte { return nil }, 0)},
		"headers of 1 kB at a time":    {callers, 300, sendAll(func(int) [][]byte { return drip([][]byte{openHead(12 << 10)}) }, dripInterval)},
		"headers a byte at a time":     {callers, 900, sendAll(func(int) [][]byte { return bytewise([][]byte{openHead(12 << 10)}) }, dripInterval)},
		"answers that are read slowly": {callers, 300, readSlowly(get)},
		"idle at the readiness check":  {ready, 300, sendAll(func(int) [][]byte { return nil }, 0)},
		"headers at the check":         {ready, 300, sendAll(func(int) [][]byte { return bytewise([][]byte{openHead(12 << 10)}) }, dripInterval)},
		"headers at the operator":      {operators, 300, sendAll(func(int) [][]byte { return bytewise([][]byte{openHead(12 << 10)}) }, dripInterval)},
	} {
		t.Run(name, func(t *testing.T) {
			p, host := openScheduler(t)
			c := openReturningCrowd(host.Address(test.listener), test.size, test.visit)
			defer c.close()
			p.settle()
			for n := range ordinaryRequests {
				p.awaitOK(http.MethodPost, fmt.Sprintf("http://%s/q/%016x", host.Address(callers), 0xaa00+n), ordinaryJob)
				p.awaitOK(http.MethodGet, "http://"+host.Address(ready)+"/-/readyz", "")
				p.awaitOK(http.MethodGet, "http://"+host.Address(operators)+"/metrics", "")
			}
			p.check()
		})
	}
}

// TestLargeSlowBodyIsServed guards against limits for crowds that a single client inside
// the limits of the protocol meets, once a crowd has left.
func TestLargeSlowBodyIsServed(t *testing.T) {
	padded := jobOf(`{"spec":"x",`)
	p, host := openScheduler(t)
	c := openReturningCrowd(host.Address(callers), 300, sendAll(func(n int) [][]byte { return whole(n, padded, missing) }, 0))
	p.settle()
	c.close()
	conn, err := net.Dial("tcp4", host.Address(callers))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close() //nolint:errcheck // the program may have closed it
	for piece := range slices.Chunk(whole(0xaa00, padded, 0)[0], 32<<10) {
		time.Sleep(time.Second)
		if _, err := conn.Write(piece); err != nil {
			t.Fatal(err)
		}
	}
	_ = conn.SetReadDeadline(time.Now().Add(hangTimeout))
	answer := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(conn, answer); err != nil || string(answer) != "HTTP/1.1 200" {
		t.Errorf("answer is %q, must have status 200, error: %v", answer, err)
	}
	p.check()
}

// bytewise returns the pieces of a request whose first line and Host arrive whole and
// all else a byte at a time.
func bytewise(request [][]byte) [][]byte {
	b := bytes.Join(request, nil)
	head := bytes.Index(b, []byte("\r\nHost")) + 2
	pieces := [][]byte{b[:head]}
	for _, c := range b[head:min(len(b), head+2000)] {
		pieces = append(pieces, []byte{c})
	}
	return pieces
}

// TestEntryAnswersBesideReturningClients guards against clients that keep all places
// of an entry process by connecting again whenever they are refused.
func TestEntryAnswersBesideReturningClients(t *testing.T) {
	body := bytes.Repeat([]byte("b"), 60_000)
	request := func(service string, lacking int) [][]byte {
		return [][]byte{append(entryHead(service, fmt.Sprintf("Content-Length: %d\r\n", len(body))), body[:len(body)-lacking]...)}
	}
	stream := bytes.NewBuffer(entryHead("tags", "Transfer-Encoding: chunked\r\n"))
	for range 250 {
		fmt.Fprintf(stream, "%x\r\n%s\r\n", dripSize, body[:dripSize])
	}
	get := []byte("GET /s/lookup/ HTTP/1.1\r\nHost: h\r\n\r\n")
	for name, test := range map[string]struct {
		size  int
		visit visit
	}{
		"bodies of 1 kB at a time":     {300, sendAll(func(int) [][]byte { return drip(request("tags", 0)) }, dripInterval)},
		"whole bodies, stopped":        {300, sendAll(func(int) [][]byte { return request("tags", missing) }, 0)},
		"streams of 1 kB at a time":    {300, sendAll(func(int) [][]byte { return drip([][]byte{stream.Bytes()}) }, dripInterval)},
		"streams, stopped":             {300, sendAll(func(int) [][]byte { return [][]byte{stream.Bytes()} }, 0)},
		"idle connections":             {900, sendAll(func(int) [][]byte { return nil }, 0)},
		"headers a byte at a time":     {900, sendAll(func(int) [][]byte { return bytewise([][]byte{openHead(12 << 10)}) }, dripInterval)},
		"answers that are read slowly": {300, readSlowly(get)},
	} {
		t.Run(name, func(t *testing.T) {
			p, caller := openEntry(t)
			c := openReturningCrowd(caller, test.size, test.visit)
			defer c.close()
			p.settle()
			for range ordinaryRequests {
				p.awaitOK(http.MethodPost, "http://"+caller+"/s/weigh/", "x")
			}
			p.check()
		})
	}
}
