package route

import (
	"math/rand/v2"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/unit"
)

// Upstream is one executor as the request path sees it.
type Upstream struct {
	Address    unit.Upstream
	DataCentre unit.DataCentre
	Slots      *slot.Counter // shared with the control goroutine
	Pinned     *slot.Counter // slow slots that are kept for one request each
}

// Target is a service with the upstreams that may get its requests now.
type Target struct {
	Service   *service.Service
	Upstreams []*Upstream
}

// View is what the request path knows of the services. It must not be changed
// after publication.
type View struct {
	Targets map[unit.Service]*Target
}

// probes bounds how many upstreams one choice looks at.
const probes = 8

// Choose takes a slot on an upstream of t for a request that ends at deadline
// and returns it, or nil if no probed upstream has a free slot. It prefers the
// one with more free slots of each pair of random probes.
func (t *Target) Choose(deadline clock.Millis) *Upstream {
	n := len(t.Upstreams)
	if n == 0 {
		return nil
	}
	for range probes / 2 {
		a, b := t.Upstreams[rand.IntN(n)], t.Upstreams[rand.IntN(n)]
		if b.Slots.Free() > a.Slots.Free() {
			a, b = b, a
		}
		if a.Slots.Take(deadline) {
			return a
		}
		if b.Slots.Take(deadline) {
			return b
		}
	}
	return nil
}
