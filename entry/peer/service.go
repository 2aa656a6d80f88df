package peer

import (
	"context"
	"errors"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"mimosadock/entry/control"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
)

// serviceName is the name of the gRPC service of the entry processes.
const serviceName = "mimosadock.Peer"

// Metadata keys of a call.
const (
	fromKey = "mimosa-from"
	toKey   = "mimosa-to"
)

// emptyResponse is the response to every call.
type emptyResponse struct{}

// method describes one kind of message.
type method struct {
	name    string
	matches func(body any) bool
	decode  func(dec func(any) error) (any, error)
}

// newMethod returns the method for message bodies of type *B.
func newMethod[B any](name string) method {
	return method{
		name:    name,
		matches: func(body any) bool { _, ok := body.(*B); return ok },
		decode: func(dec func(any) error) (any, error) {
			b := new(B)
			return b, dec(b)
		},
	}
}

// methods lists the methods of the service.
var methods = []method{
	newMethod[tenure.Heartbeat]("heartbeat"),
	newMethod[slot.Demand]("demand"),
	newMethod[slot.Grants]("grants"),
	newMethod[slot.PinRequest]("pin"),
	newMethod[slot.PinReply]("pinned"),
	newMethod[control.Handover]("handover"),
	newMethod[control.JobRequest]("jobAsk"),
	newMethod[control.JobResponse]("jobAnswer"),
	newMethod[control.FetchText]("fetchText"),
	newMethod[control.SendText]("sendText"),
}

// methodName returns the full method name for a message body, or false if there
// is no method for its type.
func methodName(body any) (string, bool) {
	for i := range methods {
		if methods[i].matches(body) {
			return "/" + serviceName + "/" + methods[i].name, true
		}
	}
	return "", false
}

// messageReceiver is the handler type of the service.
type messageReceiver interface {
	receive(ctx context.Context, body any) error
}

// serviceDesc returns the gRPC description of the service.
func serviceDesc() *grpc.ServiceDesc {
	d := &grpc.ServiceDesc{ServiceName: serviceName, HandlerType: (*messageReceiver)(nil)}
	for _, m := range methods {
		d.Methods = append(d.Methods, grpc.MethodDesc{
			MethodName: m.name,
			Handler: func(srv any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) { //revive:disable-line:context-as-argument
				body, err := m.decode(dec)
				if err != nil {
					return nil, status.Error(codes.InvalidArgument, "message can't be decoded")
				}
				return &emptyResponse{}, srv.(messageReceiver).receive(ctx, body)
			},
		})
	}
	return d
}

// errWrongInstance reports to the sender that the addressee no longer runs at
// this address.
var errWrongInstance = status.Error(codes.FailedPrecondition, "another instance runs at this address")

// senderAndAddressee returns the sender and the addressee of a call. A missing
// addressee is empty; a missing sender is an error.
func senderAndAddressee(ctx context.Context) (from, to unit.Instance, err error) {
	md, _ := metadata.FromIncomingContext(ctx)
	if v := md.Get(fromKey); len(v) == 1 {
		from = unit.Instance(v[0])
	}
	if v := md.Get(toKey); len(v) == 1 {
		to = unit.Instance(v[0])
	}
	if from == "" {
		err = errors.New("sender is missing")
	}
	return from, to, err
}
