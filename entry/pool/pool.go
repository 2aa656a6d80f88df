package pool

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"

	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// Pool sends requests to upstreams. The zero value is ready to use.
type Pool struct {
	dialer net.Dialer
}

// Send sends r to the upstream and returns the head of its answer; the body
// streams. A refused dial has the verdict DidNotRun, any later failure
// MayHaveRun. The connection ends with ctx.
func (p *Pool) Send(ctx context.Context, to unit.Upstream, r *http.Request) (*http.Response, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, &verdict.Error{Verdict: verdict.DidNotRun, Reason: "upstream refused the connection", Err: err}
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	resp, err := exchange(conn, r)
	if err != nil {
		stop()
		conn.Close()
		return nil, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "upstream connection failed", Err: err}
	}
	resp.Body = &body{ReadCloser: resp.Body, conn: conn, stop: stop}
	return resp, nil
}

func exchange(conn net.Conn, r *http.Request) (*http.Response, error) {
	r.Close = true
	if err := r.Write(conn); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), r)
}

// body closes the connection with the answer's body.
type body struct {
	io.ReadCloser
	conn net.Conn
	stop func() bool
}

// Close closes the body and its connection.
func (b *body) Close() error {
	b.stop()
	_ = b.ReadCloser.Close()
	return b.conn.Close()
}
