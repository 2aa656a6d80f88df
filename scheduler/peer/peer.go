// Package peer sends requests between scheduler processes. A request goes to the
// owner of a shard, by gRPC with CBOR messages.
package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
	"mimosadock/scheduler/control"
)

const (
	codecName      = "cbor"
	serviceName    = "mimosadock.Scheduler"
	requestMethod  = "/" + serviceName + "/Ask"
	maxMessageSize = 1 << 20 // bytes
	// A process has as many calls to another one as callers, which are bounded by its
	// connections, and a few of its own.
	maxStreams    = 2048     // calls at a time on a connection
	maxHeaderSize = 16 << 10 // bytes
	// windowSize is the number of bytes that a client may send ahead. A fixed one
	// keeps the library from raising it to many times this size.
	windowSize       = 256 << 10
	handshakeTimeout = 3 * time.Second
	// Keepalive pings detect dead connections, which are then closed.
	pingInterval = 10 * time.Second // the minimum that the library allows
	pingTimeout  = time.Second
)

// codec encodes gRPC messages as CBOR.
type codec struct{}

var _ encoding.Codec = codec{}

func init() { encoding.RegisterCodec(codec{}) }

// Marshal returns the CBOR encoding of v.
func (codec) Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Unmarshal decodes CBOR data into v.
func (codec) Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }

// Name returns the gRPC content subtype.
func (codec) Name() string { return codecName }

// Server serves the requests of other processes. Set MaxPending before [Server.Serve].
type Server struct {
	// MaxPending bounds the memory of the jobs whose submissions wait for a reply; 0
	// is unlimited. Requests beyond it are refused.
	MaxPending unit.Bytes

	server  *grpc.Server
	handler service
	pending atomic.Int64 // bytes of the jobs of submissions without a reply
}

// service handles the requests that a [Server] receives.
type service interface {
	Request(ctx context.Context, a *control.Request) (control.Reply, error)
}

// NewServer returns a server that passes each request to handler.
func NewServer(handler service) *Server {
	s := &Server{handler: handler}
	s.server = grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageSize), grpc.MaxConcurrentStreams(maxStreams), grpc.MaxHeaderListSize(maxHeaderSize),
		grpc.InitialWindowSize(windowSize), grpc.InitialConnWindowSize(windowSize), grpc.ConnectionTimeout(handshakeTimeout),
		grpc.ReadBufferSize(4<<10), grpc.WriteBufferSize(4<<10),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2, PermitWithoutStream: true}))
	s.server.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName, HandlerType: (*service)(nil),
		Methods: []grpc.MethodDesc{{MethodName: "Ask", Handler: handle}},
	}, s)
	return s
}

var _ service = (*Server)(nil)

// Request checks a request and passes it to the handler.
func (s *Server) Request(ctx context.Context, request *control.Request) (control.Reply, error) {
	if request.Spec == nil {
		return s.handler.Request(ctx, request)
	}
	if err := request.Spec.Check(); err != nil { // the tables rely on the bounds of jobs
		return control.Reply{Status: control.StatusRefused, Reason: err.Error(), RetryAfter: clock.Second}, nil
	}
	n := int64(request.Spec.Bytes())
	defer s.pending.Add(-n)
	if pending := s.pending.Add(n); s.MaxPending > 0 && pending > int64(s.MaxPending) {
		return control.Reply{Status: control.StatusRefused, Reason: "submissions that wait take too much memory", RetryAfter: clock.Second}, nil
	}
	return s.handler.Request(ctx, request)
}

// handle is the gRPC handler of the service: it decodes a request and returns the
// reply.
func handle(srv any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) { //revive:disable-line:context-as-argument
	var request control.Request
	if err := dec(&request); err != nil {
		return nil, status.Error(codes.InvalidArgument, "call can't be decoded")
	}
	r, err := srv.(service).Request(ctx, &request)
	if err != nil {
		return nil, status.Error(codes.Unknown, err.Error())
	}
	return &r, nil
}

// Serve serves requests on l until [Server.Stop].
func (s *Server) Serve(l net.Listener) error { return s.server.Serve(l) }

// Stop stops the server and closes all its connections.
func (s *Server) Stop() { s.server.Stop() }

// Client sends requests to other processes. The zero value is ready to use. A
// Client is safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// conn returns the connection to an address and creates it if necessary.
func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(codecName), grpc.MaxCallRecvMsgSize(maxMessageSize)),
		grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(),
		grpc.WithReadBufferSize(4<<10), grpc.WithWriteBufferSize(4<<10),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}))
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	if c.conns == nil {
		c.conns = make(map[string]*grpc.ClientConn)
	}
	c.conns[address] = conn
	return conn, nil
}

// replacedConnGrace is the time after which a replaced connection is closed.
// Until then, other requests on it may still receive a reply.
const replacedConnGrace = 3 * time.Second

// drop removes the connection to an address from the client, so that the next
// request dials, and closes it after a grace period.
func (c *Client) drop(address string, conn *grpc.ClientConn) {
	c.mu.Lock()
	current := c.conns[address] == conn
	if current {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	if current {
		time.AfterFunc(replacedConnGrace, func() { _ = conn.Close() }) // an error changes nothing
	}
}

// connectTimeout bounds the wait for a connection. A longer wait means that a SYN
// was lost or that the peer is unreachable.
const connectTimeout = 500 * time.Millisecond

// waitConnected waits until conn is ready and reports whether it is. If it is not,
// the request is not sent. It has then certainly not run, and this outcome may be
// reported to the caller of the job.
func waitConnected(ctx context.Context, conn *grpc.ClientConn) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for {
		s := conn.GetState()
		switch s {
		case connectivity.Ready:
			return true
		case connectivity.TransientFailure, connectivity.Shutdown:
			return false
		case connectivity.Idle:
			conn.Connect()
		case connectivity.Connecting:
		}
		if !conn.WaitForStateChange(ctx, s) {
			return false
		}
	}
}

// Request sends a request to the process at address and returns the reply. The
// error is a [verdict.Error]: DidNotRun if the request was not sent, and
// MayHaveRun otherwise.
func (c *Client) Request(ctx context.Context, address string, request *control.Request) (control.Reply, error) {
	conn, err := c.conn(address)
	if err != nil {
		return control.Reply{}, &verdict.Error{Verdict: verdict.DidNotRun, Reason: "no connection", Err: err}
	}
	if !waitConnected(ctx, conn) {
		c.drop(address, conn)
		return control.Reply{}, &verdict.Error{Verdict: verdict.DidNotRun, Reason: "no connection to " + address}
	}
	var r control.Reply
	if err := conn.Invoke(ctx, requestMethod, request, &r); err != nil {
		if code := status.Code(err); code == codes.Unavailable || code == codes.DeadlineExceeded {
			c.drop(address, conn)
		}
		return control.Reply{}, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "call to " + address + " failed", Err: err}
	}
	return r, nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close() // the process stops
	}
	c.conns = nil
}
