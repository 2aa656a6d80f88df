package target

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// Times of polling the readiness of the targets. The timeout is per target.
const (
	pollInterval = 200 * time.Millisecond
	pollTimeout  = 500 * time.Millisecond
)

// Ring is a list of loopback addresses that are used in turn. It skips addresses
// that are not ready, like the load balancer of the platform. Use [New]. Ring is
// safe for concurrent use.
type Ring struct {
	addresses []netip.AddrPort
	unready   []atomic.Bool
	next      atomic.Uint64
}

// New returns a ring of the given addresses, all of which count as ready at
// first. It returns an error for an address that is not a loopback IP address
// with a port, so that the tool cannot send load to other hosts.
func New(addresses []string) (*Ring, error) {
	if len(addresses) == 0 {
		return nil, fmt.Errorf("no target is given")
	}
	r := &Ring{unready: make([]atomic.Bool, len(addresses))}
	for _, a := range addresses {
		ap, err := netip.ParseAddrPort(a)
		if err != nil || !ap.Addr().Unmap().IsLoopback() || ap.Port() == 0 {
			return nil, fmt.Errorf("target is %q, must be a loopback IP address and a port", a)
		}
		r.addresses = append(r.addresses, ap)
	}
	return r, nil
}

// Next returns the next address in turn that is ready. If no address is ready,
// it returns the next address in turn.
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

// ReadyCount returns the number of addresses that are ready, as of the last
// poll.
func (r *Ring) ReadyCount() int {
	n := 0
	for i := range r.unready {
		if !r.unready[i].Load() {
			n++
		}
	}
	return n
}

// Poll requests the readiness of every target once. A target that does not
// answer with status 200 counts as not ready.
func (r *Ring) Poll(ctx context.Context) {
	client := http.Client{Timeout: pollTimeout}
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

// Watch polls the targets until ctx is done. It returns nil.
func (r *Ring) Watch(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.Poll(ctx)
		}
	}
}
