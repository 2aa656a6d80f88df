// Package peer carries calls about jobs between scheduler processes. Each call
// goes to the owner of a shard, by gRPC with CBOR messages.
package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"mimosadock/schedule/verdict"
	"mimosadock/scheduler/control"
)

const (
	codecName      = "cbor"
	serviceName    = "mimosadock.Scheduler"
	requestMethod  = "/" + serviceName + "/Ask"
	maxMessageSize = 1 << 20 // bytes
	// Connections that went silent are found by pings and closed.
	pingInterval = 10 * time.Second // the least that the library allows
	pingTimeout  = time.Second
)

type codec struct{}

var _ encoding.Codec = codec{}

func init() { encoding.RegisterCodec(codec{}) }

// Marshal returns the encoding of v.
func (codec) Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Unmarshal decodes data into v.
func (codec) Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }

// Name returns the content subtype.
func (codec) Name() string { return codecName }

// Server answers the calls of other processes.
type Server struct {
	server *grpc.Server
}

// service is what the service is registered for.
type service interface {
	Request(ctx context.Context, a *control.Request) (control.Reply, error)
}

// NewServer returns a server whose calls a answers.
func NewServer(a service) *Server {
	s := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageSize), grpc.ReadBufferSize(4<<10), grpc.WriteBufferSize(4<<10),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2, PermitWithoutStream: true}))
	s.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName, HandlerType: (*service)(nil),
		Methods: []grpc.MethodDesc{{MethodName: "Ask", Handler: handle}},
	}, a)
	return &Server{s}
}

func handle(srv any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) { //revive:disable-line:context-as-argument
	var a control.Request
	if err := dec(&a); err != nil {
		return nil, status.Error(codes.InvalidArgument, "call can't be decoded")
	}
	r, err := srv.(service).Request(ctx, &a)
	if err != nil {
		return nil, status.Error(codes.Unknown, err.Error())
	}
	return &r, nil
}

// Serve answers calls on l until Stop.
func (s *Server) Serve(l net.Listener) error { return s.server.Serve(l) }

// Stop closes all connections.
func (s *Server) Stop() { s.server.Stop() }

// Client calls other processes. The zero value is ready to use and safe for
// concurrent use.
type Client struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

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

// replacedConnGrace is when a connection that was replaced is closed. Other calls on
// it may still be answered until then.
const replacedConnGrace = 3 * time.Second

// drop replaces the connection to an address, so that the next call dials.
func (c *Client) drop(address string, conn *grpc.ClientConn) {
	c.mu.Lock()
	current := c.conns[address] == conn
	if current {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	if current {
		time.AfterFunc(replacedConnGrace, func() { _ = conn.Close() }) // of no more use
	}
}

// connectTimeout bounds the wait for a connection. Above it a SYN was lost or
// the peer is cut off.
const connectTimeout = 500 * time.Millisecond

// waitConnected waits until a connection is there. A call that is not sent for want
// of one has not run, which the caller of a job may be told.
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

// Request calls the process at address. The error carries a verdict.
func (c *Client) Request(ctx context.Context, address string, a *control.Request) (control.Reply, error) {
	conn, err := c.conn(address)
	if err != nil {
		return control.Reply{}, &verdict.Error{Verdict: verdict.DidNotRun, Reason: "no connection", Err: err}
	}
	if !waitConnected(ctx, conn) {
		c.drop(address, conn)
		return control.Reply{}, &verdict.Error{Verdict: verdict.DidNotRun, Reason: "no connection to " + address}
	}
	var r control.Reply
	if err := conn.Invoke(ctx, requestMethod, a, &r); err != nil {
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
