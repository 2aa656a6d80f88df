package peer

import (
	"context"
	"expvar"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"mimosadock/entry/control"
	"mimosadock/schedule/unit"
)

// Limits and timeouts of the connections of peers.
const (
	maxConcurrentStreams = 64
	keepaliveInterval    = 10 * time.Second
	keepaliveTimeout     = 2 * time.Second
	handshakeTimeout     = 2 * time.Second
)

var (
	receivedCount      = expvar.NewInt("peer.received")
	wrongInstanceCount = expvar.NewInt("peer.receivedForAnother")
)

// Server receives messages for one instance. Offer must not block and returns
// false if it dropped the message.
type Server struct {
	Self  unit.Instance
	Offer func(control.Message) bool
	Keys  *Keys // nil disables TLS
}

// Serve serves l until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(int(maxMessageBytes)),
		grpc.MaxSendMsgSize(int(maxMessageBytes)),
		grpc.MaxConcurrentStreams(maxConcurrentStreams),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
	}
	if s.Keys != nil {
		options = append(options, grpc.Creds(s.Keys.serverCredentials()))
	}
	srv := grpc.NewServer(options...)
	srv.RegisterService(serviceDesc(), s)
	stop := context.AfterFunc(ctx, srv.Stop)
	defer stop()
	if err := srv.Serve(l); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// receive passes one message to the control goroutine. It returns a gRPC status
// if the sender is missing, the addressee is another instance, or Offer dropped
// the message.
func (s *Server) receive(ctx context.Context, body any) error {
	from, to, err := senderAndAddressee(ctx)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	if to != "" && to != s.Self {
		wrongInstanceCount.Add(1)
		return errWrongInstance
	}
	receivedCount.Add(1)
	if !s.Offer(control.PeerMessage{From: from, To: to, Body: body}) {
		return status.Error(codes.ResourceExhausted, "inbox is full")
	}
	return nil
}
