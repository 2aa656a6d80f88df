package pool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// Limits of the connections to upstreams.
const (
	// MaxConnections is the maximum number of connections to one upstream. An
	// executor accepts no more.
	MaxConnections     = 60
	maxIdleConnections = 16
	idleTimeout        = 30 * clock.Second
	dialTimeout        = time.Second
	sweepInterval      = 100 * clock.Millisecond
	maxInformational   = 8            // 1xx responses before the final one
	maxHeadBytes       = 1 << 20      // bytes of the head of a response
	maxInlineBody      = 16 << 10     // bytes of a body that is written before the response is read
	upstreamRetention  = clock.Minute // time until an unused upstream is removed
	// userTimeout closes a connection whose sent bytes stay unacknowledged. The
	// kernel sends no keep-alive probes in this state. tcpUserTimeoutOption is
	// the number of the socket option TCP_USER_TIMEOUT on Linux.
	userTimeout          = 30 * clock.Second
	tcpUserTimeoutOption = 18
)

// keepAliveProbes makes TCP keep-alive probes close a connection 4 s after its
// network path fails. This covers long requests too, whose responses may take
// hours.
var keepAliveProbes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// ErrStalled is the cause of failures on a connection that made no progress
// while other connections to the same upstream did.
var ErrStalled = errors.New("connection made no progress while others to the same host did")

// Call is a request to one upstream.
type Call struct {
	To      unit.Upstream
	Request *http.Request
	// StallTimeout is the maximum time without progress on the connection while
	// the upstream responds to later requests. Zero disables the check.
	StallTimeout clock.Span
}

// Pool sends requests to upstreams. The zero value is ready to use. Stalled and
// idle connections are closed only while [Pool.Run] runs.
type Pool struct {
	Clock clock.Clock // nil for the system clock
	// Dial opens a connection. If it is nil, TCP is used. Tests set it.
	Dial func(ctx context.Context, to unit.Upstream) (net.Conn, error)

	mu        sync.Mutex
	upstreams map[unit.Upstream]*upstreamConns
}

// Send sends c and returns the head of the response. The body is streamed and
// must be closed. The error has the verdict DidNotRun if no byte of the request
// was sent, else MayHaveRun. The connection is closed if ctx ends before the
// response was read completely.
//
// A request without a body, or with a small one that can be read again, is
// written in the calling goroutine. Any other request is written while the
// response is read, and the response may be complete while the body is still
// being read.
func (p *Pool) Send(ctx context.Context, c Call) (*http.Response, error) {
	u := p.upstreamConns(c.To)
	for {
		cn, err := p.acquireConn(ctx, u)
		if err != nil {
			return nil, err
		}
		resp, err := cn.exchange(ctx, c)
		if err == nil {
			return resp, nil
		}
		cn.closeAndRemove()
		if cn.bytesWritten.Load() > 0 {
			return nil, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "upstream connection failed", Err: cn.cause(ctx, err)}
		}
		// An upstream normally ends a kept-alive connection this way: it fails
		// before the first byte. Another connection is tried unless the body may
		// have been read.
		rewound := rewindRequest(c.Request)
		if !cn.reused || ctx.Err() != nil || rewound == nil {
			return nil, &verdict.Error{Verdict: verdict.DidNotRun, Reason: "upstream closed the connection", Err: cn.cause(ctx, err)}
		}
		c.Request = rewound
		staleCount.Add(1)
	}
}

// rewindRequest returns r with its body at the start, or nil if the body can't
// be read again.
func rewindRequest(r *http.Request) *http.Request {
	if r.Body == nil || r.Body == http.NoBody {
		return r
	}
	if r.GetBody == nil {
		return nil
	}
	copied := *r
	var err error
	if copied.Body, err = r.GetBody(); err != nil {
		return nil
	}
	return &copied
}

// acquireConn returns an idle connection that is still open, or a new one.
func (p *Pool) acquireConn(ctx context.Context, u *upstreamConns) (*conn, error) {
	for {
		cn, reserved := u.takeIdleOrReserve()
		if cn == nil && !reserved {
			connectionLimitCount.Add(1)
			return nil, verdict.Refuse("all connections to the upstream are in use")
		}
		if cn == nil {
			return p.dialReserved(ctx, u)
		}
		if cn.isReusable() {
			reusedCount.Add(1)
			cn.reused = true
			return cn, nil
		}
		staleCount.Add(1)
		cn.closeAndRemove()
	}
}

// dialReserved dials a connection that is already reserved on u.
func (p *Pool) dialReserved(ctx context.Context, u *upstreamConns) (*conn, error) {
	dialCount.Add(1)
	dial := p.Dial
	if dial == nil {
		dial = dialTCP
	}
	c, err := dial(ctx, u.address)
	if err != nil {
		dialFailureCount.Add(1)
		u.cancelDial()
		if ctx.Err() == nil {
			// %v hides the error of the dial timeout, which would otherwise be
			// mistaken for the deadline of the request.
			err = fmt.Errorf("dial: %v", err)
		}
		return nil, &verdict.Error{Verdict: verdict.DidNotRun, Reason: "upstream refused the connection", Err: err}
	}
	return u.addDialed(c, p.clock()), nil
}

// dialTCP opens a TCP connection with keep-alive probes and userTimeout.
func dialTCP(ctx context.Context, to unit.Upstream) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAliveProbes, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if cerr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(userTimeout))
		}); cerr != nil {
			return cerr
		}
		return err
	}}
	return d.DialContext(ctx, "tcp", string(to))
}

// clock returns Clock, or the system clock if it is nil.
func (p *Pool) clock() clock.Clock {
	if p.Clock == nil {
		return clock.System{}
	}
	return p.Clock
}

// upstreamConns returns the connections to an upstream and creates the entry if
// necessary.
func (p *Pool) upstreamConns(to unit.Upstream) *upstreamConns {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[to]
	if u == nil {
		u = &upstreamConns{address: to}
		if p.upstreams == nil {
			p.upstreams = make(map[unit.Upstream]*upstreamConns)
		}
		p.upstreams[to] = u
	}
	u.lastUsed = p.clock().Now()
	return u
}

// Run closes stalled connections and idle connections whose timeout has passed,
// until ctx ends. Then it closes all idle connections.
func (p *Pool) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweep(clock.Never)
			return nil
		case <-ticker.C:
			p.sweep(p.clock().Now())
		}
	}
}

// sweep sweeps the connections to all upstreams once and removes the upstreams
// that have none and were not used for upstreamRetention.
func (p *Pool) sweep(now clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, u := range p.upstreams {
		if u.sweep(now) == 0 && now.Sub(u.lastUsed) > upstreamRetention {
			delete(p.upstreams, address)
		}
	}
}

// UpstreamDetectsClose reports whether an upstream detects the end of a
// connection that failed with err, since the upstream or this process closed
// it. An upstream doesn't detect the end of a stalled connection or of one
// whose path is lost.
func UpstreamDetectsClose(err error) bool {
	return !errors.Is(err, ErrStalled) && !errors.Is(err, syscall.ETIMEDOUT) && !errors.Is(err, syscall.EHOSTUNREACH)
}
