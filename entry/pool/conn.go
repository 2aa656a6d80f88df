package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/group"
)

var (
	errHeadTooLarge      = errors.New("head of the answer is too large")
	errUnexpectedUpgrade = errors.New("upstream switched protocols without being asked")
	errUnframed          = errors.New("answer has neither a length nor chunks, so its end can't be told from a cut")
)

// BodyError is the cause of a failure if the body of the request could not be
// read or differed from its declared length.
type BodyError struct{ Err error }

// Error returns the text of the cause.
func (e *BodyError) Error() string { return "body of the request: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Err }

// conn is a connection to an upstream. It carries at most one request at a
// time.
type conn struct {
	net.Conn
	upstream       *upstreamConns
	clock          clock.Clock
	reader         *bufio.Reader
	bufferedWriter *bufio.Writer
	reused         bool

	idleSince        clock.Millis // guarded by upstream.mu
	stallTimeout     atomic.Int64 // clock.Span for the current request; zero disables the check
	requestStart     clock.Millis // start time of the current request
	lastProgress     atomic.Int64 // clock.Millis of the last byte in either direction
	bytesWritten     atomic.Int64 // number of bytes sent of the current request
	headBytesLeft    int          // remaining limit for the head of the response; negative for no limit
	stalled          atomic.Bool  // closed because it was stalled
	writeGroup       group.Group
	requestWritten   atomic.Bool           // the request was written completely
	readWaitStart    atomic.Int64          // clock.Millis plus 1 since which a read is pending; zero if none is
	writeFailed      atomic.Bool           // a write to the connection failed
	requestBodyErr   atomic.Pointer[error] // error of the request body
	stopContextWatch func() bool           // stops watching the context of the request
}

// Read reads from the connection, records progress and limits the head of a
// response.
func (c *conn) Read(b []byte) (int, error) {
	if c.headBytesLeft == 0 {
		return 0, errHeadTooLarge
	}
	c.readWaitStart.Store(int64(c.clock.Now()) + 1)
	defer c.readWaitStart.Store(0)
	n, err := c.Conn.Read(b)
	if c.headBytesLeft > 0 {
		c.headBytesLeft = max(0, c.headBytesLeft-n)
	}
	if n > 0 {
		c.lastProgress.Store(int64(c.clock.Now()))
	}
	return n, err
}

// Write writes to the connection, counts the bytes and records progress.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.bytesWritten.Add(int64(n))
		c.lastProgress.Store(int64(c.clock.Now()))
	}
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// isReusable reports whether an idle connection is open and has no bytes to
// read. Bytes that arrive without a request can't be a response to the next
// one.
func (c *conn) isReusable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// exchange writes the request and reads the head of the response. A request
// that doesn't fit the buffers is written concurrently.
func (c *conn) exchange(ctx context.Context, call Call) (*http.Response, error) {
	c.requestStart = c.clock.Now()
	c.bytesWritten.Store(0)
	c.requestWritten.Store(false)
	c.headBytesLeft = maxHeadBytes
	c.lastProgress.Store(int64(c.requestStart))
	c.stallTimeout.Store(int64(call.StallTimeout))
	c.stopContextWatch = context.AfterFunc(ctx, func() { c.Close() })
	r := call.Request
	if fitsBuffers(r) {
		if err := c.writeRequest(r); err != nil && c.bytesWritten.Load() == 0 {
			return nil, err
		}
	} else {
		c.writeGroup.Go("write", func(context.Context) error {
			_ = c.writeRequest(r)
			return nil
		})
	}
	resp, err := c.readHead(r)
	if err != nil {
		return nil, err
	}
	c.headBytesLeft = -1
	c.upstream.recordResponse(c.requestStart)
	if resp.Body == http.NoBody {
		c.finishExchange(!resp.Close)
		return resp, nil
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, conn: c, ctx: ctx, keepAlive: !resp.Close}
	return resp, nil
}

// allowsBody reports whether a response with this status may have a body.
func allowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// fitsBuffers reports whether the request fits the network buffers, so that
// writing it never blocks until the response is read.
func fitsBuffers(r *http.Request) bool {
	return r.Body == nil || r.Body == http.NoBody || r.GetBody != nil && r.ContentLength <= maxInlineBody
}

// writeRequest writes the request. After a failed write the connection stays
// open, since a response that was sent before may still be read. An error of
// the request body closes the connection, so that the upstream can't mistake
// the partial body for a complete one.
func (c *conn) writeRequest(r *http.Request) error {
	err := r.Write(c.bufferedWriter)
	if err == nil {
		err = c.bufferedWriter.Flush()
	}
	if err != nil {
		if !c.writeFailed.Load() {
			c.requestBodyErr.Store(&err)
			c.Close()
		}
		return err
	}
	c.requestWritten.Store(true)
	return nil
}

// readHead reads the head of the response and skips informational (1xx)
// responses.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	for range maxInformational + 1 {
		resp, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errUnexpectedUpgrade
		case resp.StatusCode < http.StatusOK:
			continue
		case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && r.Method != http.MethodHead && allowsBody(resp.StatusCode):
			return nil, errUnframed
		}
		return resp, nil
	}
	return nil, fmt.Errorf("more than %d informational answers", maxInformational)
}

// isStalled reports whether a read has been pending for more than the stall
// timeout after the request was written, while the upstream responded to a
// request that started after the last progress. A slow caller never makes a
// connection stalled: no read is pending if it reads slowly, and the request
// isn't written completely if it sends slowly. The caller must hold the lock of
// upstream.
func (c *conn) isStalled(now, latestResponded clock.Millis) bool {
	timeout, waitStart := clock.Span(c.stallTimeout.Load()), clock.Millis(c.readWaitStart.Load())-1
	if timeout <= 0 || waitStart < 0 || !c.requestWritten.Load() {
		return false
	}
	lastActivity := max(waitStart, clock.Millis(c.lastProgress.Load()))
	return now.Sub(lastActivity) > timeout && latestResponded > lastActivity
}

// finishExchange ends the exchange after a complete response. The connection
// becomes idle if it can be reused, else it is closed.
func (c *conn) finishExchange(keep bool) {
	c.stallTimeout.Store(0)
	reusable := c.stopContextWatch() && keep && c.requestWritten.Load() && c.reader.Buffered() == 0 && c.bufferedWriter.Buffered() == 0
	if !reusable || !c.upstream.addIdle(c, c.clock.Now()) {
		c.closeAndRemove()
	}
}

// closeAndRemove closes the connection and removes it from its upstream.
func (c *conn) closeAndRemove() {
	if c.stopContextWatch != nil {
		c.stopContextWatch()
	}
	c.Close()
	c.upstream.removeActive(c)
}

// cause returns the cause of a connection failure. A stall, an error of the
// request body and the end of ctx take precedence over err, since each of them
// closes the connection and err may only report that.
func (c *conn) cause(ctx context.Context, err error) error {
	switch bodyErr := c.requestBodyErr.Load(); {
	case c.stalled.Load():
		return ErrStalled
	case bodyErr != nil && ctx.Err() == nil:
		return &BodyError{*bodyErr}
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	}
	return err
}

// responseBody is the body of a response. It ends the exchange when it was read
// completely, and closes the connection if it is closed before.
type responseBody struct {
	io.ReadCloser
	conn      *conn
	ctx       context.Context
	keepAlive bool
	ended     bool
}

// Read reads from the response. The error of a truncated response is not
// io.EOF.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.ended = true
		b.conn.finishExchange(b.keepAlive)
	case err != nil:
		brokenResponseCount.Add(1)
		err = b.conn.cause(b.ctx, err)
	}
	return n, err
}

// Close ends the exchange. It closes the connection unless the body was read
// completely.
func (b *responseBody) Close() error {
	if !b.ended {
		b.ended = true
		b.conn.closeAndRemove()
	}
	return nil
}
