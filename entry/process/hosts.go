package process

import (
	"context"
	"errors"
	"expvar"
	"net"
	"syscall"
	"time"

	"mimosadock/entry/control"
	"mimosadock/schedule/member"
)

// Intervals and timeouts for the list of hosts. A leaving host must get no new
// work later than 3 s after the list first shows that it leaves.
const (
	listInterval = 500 * time.Millisecond
	checkTimeout = time.Second
)

var listFailures = expvar.NewInt("process.hostListFailures")

// watchHosts polls the platform's list of hosts until ctx ends and sends it to
// the control loop. A failed request is counted, and the last received list
// remains in use.
func (p *Process) watchHosts(ctx context.Context, lister member.Lister) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		rows, err := lister.List(ctx)
		if err != nil {
			listFailures.Add(1)
		} else if p.Loop.Send(ctx, control.HostList{Listings: rows}) != nil {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// hostChecker probes hosts that are missing from the list.
type hostChecker struct{ process *Process }

var _ control.HostChecker = hostChecker{}

// Check dials a host in a separate goroutine and sends the result to the control
// loop.
func (c hostChecker) Check(address string) {
	c.process.group.Go("hostCheck", func(ctx context.Context) error {
		c.process.Loop.Offer(control.HostChecked{Address: address, Refused: refusesConnections(ctx, address)})
		return nil
	})
}

// refusesConnections reports whether a host refuses connections. A timeout is no
// evidence, so it returns false.
func refusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
