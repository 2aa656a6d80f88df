package target

import (
	"fmt"
	"net/netip"
	"sync/atomic"
)

// Ring is a list of loopback addresses that are used in turn. Use [New]. It is
// safe for concurrent use.
type Ring struct {
	addresses []netip.AddrPort
	next      atomic.Uint64
}

// New returns a ring of the given addresses. An address that is not an IP
// number of the loopback network with a port is refused, so that the tool can't
// load a host of somebody else.
func New(addresses []string) (*Ring, error) {
	if len(addresses) == 0 {
		return nil, fmt.Errorf("no target is given")
	}
	r := new(Ring)
	for _, a := range addresses {
		ap, err := netip.ParseAddrPort(a)
		if err != nil || !ap.Addr().Unmap().IsLoopback() || ap.Port() == 0 {
			return nil, fmt.Errorf("target is %q, must be a loopback IP number and a port", a)
		}
		r.addresses = append(r.addresses, ap)
	}
	return r, nil
}

// Next returns the next address in turn.
func (r *Ring) Next() netip.AddrPort {
	return r.addresses[(r.next.Add(1)-1)%uint64(len(r.addresses))]
}

// Len returns the number of addresses.
func (r *Ring) Len() int { return len(r.addresses) }
