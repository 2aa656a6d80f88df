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

// BodyError is the cause of a failure when the body of the request could not be
// read or was not as long as declared.
type BodyError struct{ Err error }

// Error returns the cause.
func (e *BodyError) Error() string { return "body of the request: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Err }

// conn is one connection with at most one request at a time.
type conn struct {
	net.Conn
	upstream       *upstreamConns
	clock          clock.Clock
	reader         *bufio.Reader
	bufferedWriter *bufio.Writer
	reused         bool

	idleSince        clock.Millis // guarded by host
	stallTimeout     atomic.Int64 // of the current request, zero for no bound
	requestStart     clock.Millis // of the current request
	lastProgress     atomic.Int64 // instant of the last byte in either direction
	bytesWritten     atomic.Int64 // bytes of the current request that have left
	headBytesLeft    int          // bytes that the head may still take; negative for no bound
	stalled          atomic.Bool
	writeGroup       group.Group
	requestWritten   atomic.Bool           // the request was written whole
	readWaitStart    atomic.Int64          // instant plus 1 since which a read waits, zero if none
	writeFailed      atomic.Bool           // the connection refused a write
	requestBodyErr   atomic.Pointer[error] // why the body of the request broke
	stopContextWatch func() bool           // ends the watch of the request's context
}

// Read counts progress and bounds the head of an answer.
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

// Write counts what has left and progress.
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

// isReusable reports whether an idle connection is open and has nothing to read.
// Bytes that come without a request can't be an answer to the next one.
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

// exchange writes the request and reads the head of the answer.
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
	c.upstream.recordAnswered(c.requestStart)
	if resp.Body == http.NoBody {
		c.finishExchange(!resp.Close)
		return resp, nil
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, conn: c, ctx: ctx, keepAlive: !resp.Close}
	return resp, nil
}

func allowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// fitsBuffers reports whether the request fits the buffers between the hosts, so that
// writing it can't wait for the answer to be read.
func fitsBuffers(r *http.Request) bool {
	return r.Body == nil || r.Body == http.NoBody || r.GetBody != nil && r.ContentLength <= maxBufferedBody
}

// writeRequest writes the request. A failure to write leaves the connection open,
// since an answer that was sent before may still be read. A body that breaks
// closes it, so that the upstream can't take the part for the whole.
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

// readHead reads the head of the answer and drops informational ones.
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

// isStalled reports whether a read has waited for the bound after the request
// was written, while a request that began after the last progress was answered.
// A caller that reads or sends slowly leaves no read waiting or no request
// written, so it never counts. It is called with the host locked.
func (c *conn) isStalled(now, latestAnswered clock.Millis) bool {
	timeout, waitStart := clock.Span(c.stallTimeout.Load()), clock.Millis(c.readWaitStart.Load())-1
	if timeout <= 0 || waitStart < 0 || !c.requestWritten.Load() {
		return false
	}
	lastActivity := max(waitStart, clock.Millis(c.lastProgress.Load()))
	return now.Sub(lastActivity) > timeout && latestAnswered > lastActivity
}

// finishExchange ends the exchange after a whole answer.
func (c *conn) finishExchange(keep bool) {
	c.stallTimeout.Store(0)
	reusable := c.stopContextWatch() && keep && c.requestWritten.Load() && c.reader.Buffered() == 0 && c.bufferedWriter.Buffered() == 0
	if !reusable || !c.upstream.addIdle(c, c.clock.Now()) {
		c.closeAndRemove()
	}
}

// closeAndRemove ends the connection.
func (c *conn) closeAndRemove() {
	if c.stopContextWatch != nil {
		c.stopContextWatch()
	}
	c.Close()
	c.upstream.removeActive(c)
}

// cause returns why the connection failed: silence and the end of the request
// come before the error that closing the connection made.
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

// responseBody is the body of an answer. It ends the exchange when it was read whole
// and breaks the connection when it is closed before.
type responseBody struct {
	io.ReadCloser
	conn      *conn
	ctx       context.Context
	keepAlive bool
	ended     bool
}

// Read reads from the answer. A cut answer gives an error other than io.EOF.
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

// Close ends the exchange.
func (b *responseBody) Close() error {
	if !b.ended {
		b.ended = true
		b.conn.closeAndRemove()
	}
	return nil
}
