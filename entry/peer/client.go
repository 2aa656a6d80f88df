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

// queueSize bounds the messages that wait for one address.
const queueSize = 64

// callTime bounds one call. A later message tells the same and more.
const callTime = 2 * time.Second

// Times of reconnection. Death is proven by a refused connection, so the time
// between two attempts bounds how soon that is noticed.
const (
	connectTime = time.Second
	backoffBase = 100 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)

var (
	sent    = expvar.NewInt("peer.sent")
	dropped = expvar.NewInt("peer.dropped")
	failed  = expvar.NewInt("peer.failed")
)

var _ control.Peers = (*Client)(nil)

// Client sends messages to other processes. All fields but Keys must be set.
// [Client.Post] is safe for concurrent use.
type Client struct {
	Self  unit.Instance
	Group *group.Group // runs a goroutine for each address
	Clock clock.Clock
	Offer func(control.Message) bool // takes the proofs of death
	Keys  *Keys                      // nil for plain text

	mu     sync.Mutex
	queues map[string]chan control.Outgoing
}

// Post queues a message for its address, or drops it if the queue is full.
func (c *Client) Post(out control.Outgoing) {
	select {
	case c.queue(out.Address) <- out:
	default:
		dropped.Add(1)
	}
}

func (c *Client) queue(address string) chan control.Outgoing {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.queues[address]
	if !ok {
		if c.queues == nil {
			c.queues = make(map[string]chan control.Outgoing)
		}
		q = make(chan control.Outgoing, queueSize)
		c.queues[address] = q
		c.Group.Go("peer", func(ctx context.Context) error { return c.run(ctx, address, q) })
	}
	return q
}

// idleTime is how long the connection of an address is kept without a message.
const idleTime = time.Minute

// run sends the messages of one address in order, until none comes for the idle
// time.
func (c *Client) run(ctx context.Context, address string, q chan control.Outgoing) error {
	conn, err := c.connect(address)
	if err != nil {
		return err
	}
	defer conn.Close()
	idle := time.NewTimer(idleTime)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case out := <-q:
			idle.Reset(idleTime)
			c.send(ctx, conn, out)
		case <-idle.C:
			if c.retire(address, q) {
				return nil
			}
			idle.Reset(idleTime)
		}
	}
}

// retire removes the queue of an address unless a message came meanwhile.
func (c *Client) retire(address string, q chan control.Outgoing) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(q) > 0 {
		return false
	}
	delete(c.queues, address)
	return true
}

func (c *Client) connect(address string) (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if c.Keys != nil {
		creds = c.Keys.client(address)
	}
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(c.dial),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: backoffBase, Multiplier: 1.6, Jitter: 0.2, MaxDelay: backoffMax},
			MinConnectTimeout: connectTime,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveWait}),
		grpc.WithDefaultCallOptions(
			grpc.CallContentSubtype(codecName),
			grpc.MaxCallSendMsgSize(int(maxMessage)),
			grpc.MaxCallRecvMsgSize(int(maxMessage)),
		),
	)
}

// dial connects and tells the control goroutine when the address refuses: an
// instance that was known to listen there before is dead.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	began := c.Clock.Now()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.Offer(control.AddressRefused{Address: address, Began: began})
	}
	return conn, err
}

func (c *Client) send(ctx context.Context, conn *grpc.ClientConn, out control.Outgoing) {
	name, ok := methodOf(out.Body)
	if !ok {
		dropped.Add(1)
		return
	}
	pairs := []string{fromKey, string(c.Self)}
	if out.To != "" {
		pairs = append(pairs, toKey, string(out.To))
	}
	ctx, cancel := context.WithTimeout(metadata.AppendToOutgoingContext(ctx, pairs...), callTime)
	defer cancel()
	err := conn.Invoke(ctx, name, out.Body, &empty{})
	switch {
	case err == nil:
		sent.Add(1)
	case status.Code(err) == codes.FailedPrecondition && out.To != "":
		c.Offer(control.PeerGone{Instance: out.To})
	default:
		failed.Add(1)
	}
}
