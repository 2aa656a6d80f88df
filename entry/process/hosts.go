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

// Times of the list of hosts. A leaving host must get nothing new within 3 s of
// the first word of it.
const (
	listEvery    = 500 * time.Millisecond
	checkTimeout = time.Second
)

var listFailures = expvar.NewInt("process.hostListFailures")

// watchHosts reads the platform's list of hosts until ctx ends. A list that
// fails is counted and leaves the last known set in place.
func (p *Process) watchHosts(ctx context.Context, lister member.Lister) error {
	ticker := time.NewTicker(listEvery)
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

// hostChecker dials the hosts that the list lacks.
type hostChecker struct{ process *Process }

var _ control.Checker = hostChecker{}

// Check starts the check of one host.
func (c hostChecker) Check(address string) {
	c.process.group.Go("hostCheck", func(ctx context.Context) error {
		c.process.Loop.Offer(control.HostChecked{Address: address, Refused: refuses(ctx, address)})
		return nil
	})
}

// refuses reports whether a host refuses connections. Silence proves nothing.
func refuses(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
