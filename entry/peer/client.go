package peer

import (
	"context"
	"errors"
	"expvar"
	"net"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"mimosadock/entry/control"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/group"
	"mimosadock/schedule/unit"
)

// maxQueuedMessages is the maximum number of messages in the queue of one
// address.
const maxQueuedMessages = 64

// callTimeout limits one call. A lost message is not repeated here. The control
// goroutine sends a newer one or ends its request by a timeout.
const callTimeout = 2 * time.Second

// Timeout and backoff of reconnections. A refused connection shows that a
// process is dead, so the backoff limits how soon that is detected.
const (
	connectTimeout = time.Second
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

var (
	sentCount    = expvar.NewInt("peer.sent")
	droppedCount = expvar.NewInt("peer.dropped")
	failedCount  = expvar.NewInt("peer.failed")
)

var _ control.PeerSender = (*Client)(nil)

// Client sends messages to other processes. All fields but Keys must be set.
// [Client.Post] is safe for concurrent use.
type Client struct {
	Self  unit.Instance
	Group *group.Group // runs one goroutine for each address
	Clock clock.Clock
	Offer func(control.Message) bool // receives AddressRefused and PeerDead
	Keys  *Keys                      // nil disables TLS

	mu     sync.Mutex
	queues map[string]chan control.Outgoing
}

// Post adds a message to the queue of its address, or drops it if the queue is
// full.
func (c *Client) Post(out control.Outgoing) {
	select {
	case c.queue(out.Address) <- out:
	default:
		droppedCount.Add(1)
	}
}

// queue returns the queue of address. If there is none, queue creates it and
// starts its goroutine.
func (c *Client) queue(address string) chan control.Outgoing {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.queues[address]
	if !ok {
		if c.queues == nil {
			c.queues = make(map[string]chan control.Outgoing)
		}
		q = make(chan control.Outgoing, maxQueuedMessages)
		c.queues[address] = q
		c.Group.Go("peer", func(ctx context.Context) error { return c.run(ctx, address, q) })
	}
	return q
}

// idleTimeout is the time without a message after which the connection to an
// address is closed.
const idleTimeout = time.Minute

// run sends the messages for one address in order. It returns after idleTimeout
// without a message.
func (c *Client) run(ctx context.Context, address string, q chan control.Outgoing) error {
	conn, err := c.connect(address)
	if err != nil {
		return err
	}
	defer conn.Close()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case out := <-q:
			idle.Reset(idleTimeout)
			c.send(ctx, conn, out)
		case <-idle.C:
			if c.removeIdleQueue(address, q) {
				return nil
			}
			idle.Reset(idleTimeout)
		}
	}
}

// removeIdleQueue removes the queue of an address. It returns false and keeps
// the queue if it holds a message.
func (c *Client) removeIdleQueue(address string, q chan control.Outgoing) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(q) > 0 {
		return false
	}
	delete(c.queues, address)
	return true
}

// connect returns a connection to address. gRPC dials it when it is used.
func (c *Client) connect(address string) (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if c.Keys != nil {
		creds = c.Keys.clientCredentials(address)
	}
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(c.dial),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minBackoff, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(
			grpc.CallContentSubtype(codecName),
			grpc.MaxCallSendMsgSize(int(maxMessageBytes)),
			grpc.MaxCallRecvMsgSize(int(maxMessageBytes)),
		),
	)
}

// dial opens a TCP connection. If the address refuses it, dial reports
// AddressRefused to the control goroutine: an instance that listened there
// before the dial is dead.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	startedAt := c.Clock.Now()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.Offer(control.AddressRefused{Address: address, Began: startedAt})
	}
	return conn, err
}

// send sends one message. It reports PeerDead to the control goroutine if
// another instance than the addressee runs at the address.
func (c *Client) send(ctx context.Context, conn *grpc.ClientConn, out control.Outgoing) {
	name, ok := methodName(out.Body)
	if !ok {
		droppedCount.Add(1)
		return
	}
	pairs := []string{fromKey, string(c.Self)}
	if out.To != "" {
		pairs = append(pairs, toKey, string(out.To))
	}
	ctx, cancel := context.WithTimeout(metadata.AppendToOutgoingContext(ctx, pairs...), callTimeout)
	defer cancel()
	err := conn.Invoke(ctx, name, out.Body, &emptyResponse{})
	switch {
	case err == nil:
		sentCount.Add(1)
	case status.Code(err) == codes.FailedPrecondition && out.To != "":
		c.Offer(control.PeerDead{Instance: out.To})
	default:
		failedCount.Add(1)
	}
}
