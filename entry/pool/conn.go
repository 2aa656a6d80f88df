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
	errHead     = errors.New("head of the answer is too large")
	errSwitch   = errors.New("upstream switched protocols without being asked")
	errUnframed = errors.New("answer has neither a length nor chunks, so its end can't be told from a cut")
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
	host   *host
	clock  clock.Clock
	in     *bufio.Reader
	out    *bufio.Writer
	reused bool

	idleSince   clock.Millis // guarded by host
	silence     atomic.Int64 // of the current request, zero for no bound
	started     clock.Millis // of the current request
	progress    atomic.Int64 // instant of the last byte in either direction
	wrote       atomic.Int64 // bytes of the current request that have left
	headLeft    int          // bytes that the head may still take; negative for no bound
	silent      atomic.Bool
	writer      group.Group
	writeDone   atomic.Bool           // the request was written whole
	waiting     atomic.Int64          // instant plus 1 since which a read waits, zero if none
	writeFailed atomic.Bool           // the connection refused a write
	bodyErr     atomic.Pointer[error] // why the body of the request broke
	stop        func() bool           // ends the watch of the request's context
}

// Read counts progress and bounds the head of an answer.
func (c *conn) Read(b []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, errHead
	}
	c.waiting.Store(int64(c.clock.Now()) + 1)
	defer c.waiting.Store(0)
	n, err := c.Conn.Read(b)
	if c.headLeft > 0 {
		c.headLeft = max(0, c.headLeft-n)
	}
	if n > 0 {
		c.progress.Store(int64(c.clock.Now()))
	}
	return n, err
}

// Write counts what has left and progress.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.wrote.Add(int64(n))
		c.progress.Store(int64(c.clock.Now()))
	}
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// alive reports whether an idle connection is open and has nothing to read.
// Bytes that come without a request can't be an answer to the next one.
func (c *conn) alive() bool {
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
	c.started = c.clock.Now()
	c.wrote.Store(0)
	c.writeDone.Store(false)
	c.headLeft = maxHead
	c.progress.Store(int64(c.started))
	c.silence.Store(int64(call.Silence))
	c.stop = context.AfterFunc(ctx, func() { c.Close() })
	r := call.Request
	if small(r) {
		if err := c.write(r); err != nil && c.wrote.Load() == 0 {
			return nil, err
		}
	} else {
		c.writer.Go("write", func(context.Context) error {
			_ = c.write(r)
			return nil
		})
	}
	resp, err := c.readHead(r)
	if err != nil {
		return nil, err
	}
	c.headLeft = -1
	c.host.progressed(c.started)
	if resp.Body == http.NoBody {
		c.finish(!resp.Close)
		return resp, nil
	}
	resp.Body = &body{ReadCloser: resp.Body, conn: c, ctx: ctx, keep: !resp.Close}
	return resp, nil
}

func hasBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// small reports whether the request fits the buffers between the hosts, so that
// writing it can't wait for the answer to be read.
func small(r *http.Request) bool {
	return r.Body == nil || r.Body == http.NoBody || r.GetBody != nil && r.ContentLength <= smallBody
}

// write writes the request. A failure to write leaves the connection open,
// since an answer that was sent before may still be read. A body that breaks
// closes it, so that the upstream can't take the part for the whole.
func (c *conn) write(r *http.Request) error {
	err := r.Write(c.out)
	if err == nil {
		err = c.out.Flush()
	}
	if err != nil {
		if !c.writeFailed.Load() {
			c.bodyErr.Store(&err)
			c.Close()
		}
		return err
	}
	c.writeDone.Store(true)
	return nil
}

// readHead reads the head of the answer and drops informational ones.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	for range maxInformation + 1 {
		resp, err := http.ReadResponse(c.in, r)
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitch
		case resp.StatusCode < http.StatusOK:
			continue
		case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && r.Method != http.MethodHead && hasBody(resp.StatusCode):
			return nil, errUnframed
		}
		return resp, nil
	}
	return nil, fmt.Errorf("more than %d informational answers", maxInformation)
}

// isSilent reports whether a read has waited for the bound after the request
// was written, while a request that began after the last progress was answered.
// A caller that reads or sends slowly leaves no read waiting or no request
// written, so it never counts. It is called with the host locked.
func (c *conn) isSilent(now, answered clock.Millis) bool {
	bound, since := clock.Span(c.silence.Load()), clock.Millis(c.waiting.Load())-1
	if bound <= 0 || since < 0 || !c.writeDone.Load() {
		return false
	}
	last := max(since, clock.Millis(c.progress.Load()))
	return now.Sub(last) > bound && answered > last
}

// finish ends the exchange after a whole answer.
func (c *conn) finish(keep bool) {
	c.silence.Store(0)
	clean := c.stop() && keep && c.writeDone.Load() && c.in.Buffered() == 0 && c.out.Buffered() == 0
	if !clean || !c.host.keep(c, c.clock.Now()) {
		c.fail()
	}
}

// fail ends the connection.
func (c *conn) fail() {
	if c.stop != nil {
		c.stop()
	}
	c.Close()
	c.host.drop(c)
}

// cause returns why the connection failed: silence and the end of the request
// come before the error that closing the connection made.
func (c *conn) cause(ctx context.Context, err error) error {
	switch bodyErr := c.bodyErr.Load(); {
	case c.silent.Load():
		return ErrSilent
	case bodyErr != nil && ctx.Err() == nil:
		return &BodyError{*bodyErr}
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	}
	return err
}

// body is the body of an answer. It ends the exchange when it was read whole
// and breaks the connection when it is closed before.
type body struct {
	io.ReadCloser
	conn  *conn
	ctx   context.Context
	keep  bool
	ended bool
}

// Read reads from the answer. A cut answer gives an error other than io.EOF.
func (b *body) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.ended = true
		b.conn.finish(b.keep)
	case err != nil:
		broken.Add(1)
		err = b.conn.cause(b.ctx, err)
	}
	return n, err
}

// Close ends the exchange.
func (b *body) Close() error {
	if !b.ended {
		b.ended = true
		b.conn.fail()
	}
	return nil
}
