package target

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// Times of the look at the targets.
const (
	lookEvery = 200 * time.Millisecond
	lookTime  = 500 * time.Millisecond
)

// Ring is a list of loopback addresses that are used in turn, as the load
// balancer of the platform does: those that are not ready are left out. Use
// [New]. It is safe for concurrent use.
type Ring struct {
	addresses []netip.AddrPort
	unready   []atomic.Bool
	next      atomic.Uint64
}

// New returns a ring of the given addresses. An address that is not an IP
// number of the loopback network with a port is refused, so that the tool can't
// load a host of somebody else.
func New(addresses []string) (*Ring, error) {
	if len(addresses) == 0 {
		return nil, fmt.Errorf("no target is given")
	}
	r := &Ring{unready: make([]atomic.Bool, len(addresses))}
	for _, a := range addresses {
		ap, err := netip.ParseAddrPort(a)
		if err != nil || !ap.Addr().Unmap().IsLoopback() || ap.Port() == 0 {
			return nil, fmt.Errorf("target is %q, must be a loopback IP number and a port", a)
		}
		r.addresses = append(r.addresses, ap)
	}
	return r, nil
}

// Next returns the next address in turn that is ready. If none is, all count as
// ready.
func (r *Ring) Next() netip.AddrPort {
	n := uint64(len(r.addresses))
	first := r.next.Add(1) - 1
	for k := range n {
		if i := (first + k) % n; !r.unready[i].Load() {
			return r.addresses[i]
		}
	}
	return r.addresses[first%n]
}

// Len returns the number of addresses.
func (r *Ring) Len() int { return len(r.addresses) }

// Ready returns the number of addresses that are ready.
func (r *Ring) Ready() int {
	n := 0
	for i := range r.unready {
		if !r.unready[i].Load() {
			n++
		}
	}
	return n
}

// Look asks every target once whether it is ready.
func (r *Ring) Look(ctx context.Context) {
	client := http.Client{Timeout: lookTime}
	for i, a := range r.addresses {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/ready", a), nil)
		if err != nil {
			continue
		}
		resp, err := client.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		r.unready[i].Store(err != nil || resp.StatusCode != http.StatusOK)
	}
}

// Watch looks at the targets until ctx ends.
func (r *Ring) Watch(ctx context.Context) error {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.Look(ctx)
		}
	}
}
