package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"os"
	"strings"
	"time"

	"mimosadock/schedule/group"
)

// Sizes of a crowd. Its bodies exceed the budget of a process, which is 8 MiB, and the
// returning clients its 100 places for connections.
const (
	returningClients = 600 // for all processes
	returnInterval   = 5 * time.Millisecond
	dripSize         = 1000 // bytes
	dripInterval     = 100 * time.Millisecond
	crowdClients     = 150
	crowdBodySize    = 250_000 // bytes; the last ones are never sent
	crowdSendLimit   = 2 * time.Second
)

// openCrowds makes crowds of clients submit large jobs at one process after the
// other. Most clients stop short of the end of the body and keep their connections.
func (s *scenario) openCrowds(r *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		p := s.randomProcess(r)
		conns := make([]net.Conn, 0, crowdClients)
		s.runFault("crowd of clients at "+p.name, time.Duration(1000+r.Intn(2000))*time.Millisecond, func() {
			for _, c := range conns {
				_ = c.Close() // the process may have closed it
			}
		}, func() {
			for n := range crowdClients {
				if c := openSubmission(p.callerAddress, n); c != nil {
					conns = append(conns, c)
				}
			}
		})
		time.Sleep(time.Duration(r.Intn(500)) * time.Millisecond)
	}
}

// openSubmission sends a submission that lacks its last bytes. It returns nil if the
// process accepts no connection.
func openSubmission(address string, n int) net.Conn {
	c := openConnection(address)
	if c != nil {
		_, _ = c.Write(submission(n)) // a refusal ends the write
	}
	return c
}

// openConnection connects to a process. It returns nil if the process accepts no
// connection.
func openConnection(address string) net.Conn {
	c, err := net.DialTimeout("tcp4", address, crowdSendLimit)
	if err != nil {
		return nil
	}
	_ = c.SetWriteDeadline(time.Now().Add(crowdSendLimit)) // a closed connection fails at the write
	return c
}

// submission returns a submission that lacks its last bytes.
func submission(n int) []byte {
	return fmt.Appendf(nil, "POST /q/%016x HTTP/1.1\r\nHost: q.example\r\nContent-Length: %d\r\n\r\n%s",
		1<<60+n, crowdBodySize, `{"spec":"x",`+strings.Repeat(" ", crowdBodySize-100))
}

// injectFaultsBesideReturningClients starts faults that overlap, while clients send
// submissions a little at a time. Each uses its connection until the process refuses it
// or is gone, and connects again to any process.
func (s *scenario) injectFaultsBesideReturningClients(r *rand.Rand, end time.Time) {
	crowd := group.New(context.Background())
	for n := range returningClients {
		rng := rand.New(rand.NewSource(r.Int63()))
		crowd.Go("client", func(ctx context.Context) error {
			for ctx.Err() == nil {
				dripSubmission(ctx, s.randomProcess(rng).callerAddress, n)
				time.Sleep(returnInterval)
			}
			return nil
		})
	}
	s.injectFaults(r, end)
	crowd.Stop()
	_ = crowd.Wait() // a client returns no error
}

// dripSubmission sends a submission that lacks its last bytes, a little at a time.
func dripSubmission(ctx context.Context, address string, n int) {
	c := openConnection(address)
	if c == nil {
		return
	}
	defer c.Close() //nolint:errcheck // the process may have closed it
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	for b := submission(n); len(b) > 0; b = b[min(dripSize, len(b)):] {
		if _, err := c.Write(b[:min(dripSize, len(b))]); err != nil {
			return
		}
		_ = c.SetDeadline(time.Now().Add(dripInterval))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			return // an answer, or the end of the connection
		}
	}
}
