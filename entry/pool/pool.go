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

// Limits of the connections to one upstream.
const (
	// MaxConnections is what an executor accepts.
	MaxConnections     = 60
	maxIdleConnections = 16
	idleTimeout        = 30 * clock.Second
	dialTimeout        = time.Second
	sweepInterval      = 100 * clock.Millisecond
	maxInformational   = 8       // 1xx answers before the answer
	maxHeadBytes       = 1 << 20 // bytes of an answer's head
	maxBufferedBody    = 16 << 10
	upstreamRetention  = clock.Minute
	// userTimeout ends a connection whose sent bytes stay unacknowledged; the
	// kernel sends no keep-alive probes meanwhile. tcpUserTimeout is Linux's
	// number of the option.
	userTimeout          = 30 * clock.Second
	tcpUserTimeoutOption = 18
)

// Keep-alive probes close a connection whose path is gone after 4 s. They work
// under long requests too, whose answers may take hours.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// ErrStalled is the cause of failures on a connection that made no progress
// while others to the same host did.
var ErrStalled = errors.New("connection made no progress while others to the same host did")

// Call is a request to one upstream.
type Call struct {
	To      unit.Upstream
	Request *http.Request
	// StallTimeout is how long the connection may be without progress while later
	// requests to the host are answered. Zero sets no bound.
	StallTimeout clock.Span
}

// Pool sends requests to upstreams. The zero value is ready to use; silent and
// idle connections are only closed while [Pool.Run] runs.
type Pool struct {
	Clock clock.Clock // nil for the system clock
	// Dial opens a connection; nil for TCP. Tests set it.
	Dial func(ctx context.Context, to unit.Upstream) (net.Conn, error)

	mu        sync.Mutex
	upstreams map[unit.Upstream]*upstreamConns
}

// Send sends c and returns the head of the answer; the body streams and must be
// closed. The error has the verdict DidNotRun if no byte of the request has
// left, else MayHaveRun. The connection is closed when ctx ends before the
// answer was read whole.
//
// A request without a body is written by the caller's goroutine. One with a
// body is written beside the reading of the answer, and the answer may be
// whole while the body is still being read.
func (p *Pool) Send(ctx context.Context, c Call) (*http.Response, error) {
	h := p.upstreamConns(c.To)
	for {
		cn, err := p.acquireConn(ctx, h)
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
		// A kept-alive connection that fails before its first byte is the
		// upstream's normal way to end it; a fresh one is tried unless the body
		// may have been touched.
		rewound := rewindRequest(c.Request)
		if !cn.reused || ctx.Err() != nil || rewound == nil {
			return nil, &verdict.Error{Verdict: verdict.DidNotRun, Reason: "upstream closed the connection", Err: cn.cause(ctx, err)}
		}
		c.Request = rewound
		staleCount.Add(1)
	}
}

// rewindRequest returns r with its body at the start, or nil if it can't be sent
// again.
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
func (p *Pool) acquireConn(ctx context.Context, h *upstreamConns) (*conn, error) {
	for {
		cn, reserved := h.takeIdleOrReserve()
		if cn == nil && !reserved {
			connectionLimitCount.Add(1)
			return nil, verdict.Refuse("all connections to the upstream are in use")
		}
		if cn == nil {
			return p.dialReserved(ctx, h)
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

// dialReserved dials with room already reserved on h.
func (p *Pool) dialReserved(ctx context.Context, h *upstreamConns) (*conn, error) {
	dialCount.Add(1)
	dial := p.Dial
	if dial == nil {
		dial = dialTCP
	}
	c, err := dial(ctx, h.address)
	if err != nil {
		dialFailureCount.Add(1)
		h.cancelDial()
		if ctx.Err() == nil {
			// The timeout of a dial must not pass for the deadline of the request.
			err = fmt.Errorf("dial: %v", err)
		}
		return nil, &verdict.Error{Verdict: verdict.DidNotRun, Reason: "upstream refused the connection", Err: err}
	}
	return h.addDialed(c, p.clock()), nil
}

func dialTCP(ctx context.Context, to unit.Upstream) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: func(_, _ string, raw syscall.RawConn) error {
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

func (p *Pool) clock() clock.Clock {
	if p.Clock == nil {
		return clock.System{}
	}
	return p.Clock
}

func (p *Pool) upstreamConns(to unit.Upstream) *upstreamConns {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.upstreams[to]
	if h == nil {
		h = &upstreamConns{address: to}
		if p.upstreams == nil {
			p.upstreams = make(map[unit.Upstream]*upstreamConns)
		}
		p.upstreams[to] = h
	}
	h.lastUsed = p.clock().Now()
	return h
}

// Run closes silent connections, and idle ones after their time, until ctx
// ends; then it closes all idle ones.
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

// sweep runs over all hosts once.
func (p *Pool) sweep(now clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.upstreams {
		if h.sweep(now) == 0 && now.Sub(h.lastUsed) > upstreamRetention {
			delete(p.upstreams, address)
		}
	}
}

// UpstreamDetectsClose reports whether err shows that the connection was closed by the
// upstream or by this process, so that the upstream knows of its end. A silent
// connection or a lost path leaves it unaware.
func UpstreamDetectsClose(err error) bool {
	return !errors.Is(err, ErrStalled) && !errors.Is(err, syscall.ETIMEDOUT) && !errors.Is(err, syscall.EHOSTUNREACH)
}
