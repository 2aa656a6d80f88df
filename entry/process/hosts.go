package process

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"mimosadock/entry/control"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
)

// Times of the list of hosts. A leaving host must get nothing new within 3 s of
// the first word of it.
const (
	listEvery    = 500 * time.Millisecond
	checkTimeout = time.Second
)

// watchHosts reads the platform's list of hosts and checks the hosts that it
// lacks, until ctx ends.
func (p *Process) watchHosts(ctx context.Context, lister member.Lister) error {
	ticker := time.NewTicker(listEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		rows, err := lister.List(ctx)
		if p.Loop.Send(ctx, control.HostsListed{Rows: rows, Err: err}) != nil {
			return nil
		}
		due, err := control.Ask(ctx, p.Loop, func(s *control.State, now clock.Millis) []string { return s.DueChecks(now) })
		if err != nil {
			return nil
		}
		for _, address := range due {
			p.group.Go("hostCheck", func(ctx context.Context) error { return p.checkHost(ctx, address) })
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	return nil
}

// checkHost reports whether a host refuses connections. Silence proves nothing.
func (p *Process) checkHost(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		conn.Close()
	}
	p.Loop.Offer(control.HostChecked{Address: address, Refused: errors.Is(err, syscall.ECONNREFUSED)})
	return nil
}
