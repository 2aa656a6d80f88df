package front

import (
	"context"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/route"
	"mimosadock/schedule/verdict"
)

// Pinner grants pinned slots to requests that may outlast an unpinned grant. A
// slot is released through the Pinned counter of its upstream.
type Pinner interface {
	Pin(ctx context.Context, t *route.Target, deadline clock.Millis) (*route.Upstream, error)
}

var _ Pinner = LocalPinner{}

// pinRetryAfter is the retry time that is returned to callers when all pinned
// slots are in use.
const pinRetryAfter = clock.Second

// LocalPinner grants the pinned slots that this process already holds.
type LocalPinner struct{}

// Pin takes a pinned slot on the least busy upstream with a free one. Data centres
// are tried in the order of the groups of t, the local one first. Pin refuses
// if no slot is free, or if the free slots on the least busy upstream of each
// data centre expire before the deadline.
func (LocalPinner) Pin(_ context.Context, t *route.Target, deadline clock.Millis) (*route.Upstream, error) {
	expiresTooEarly := false
	for _, g := range t.Groups {
		for {
			u := leastBusyUpstream(t, g)
			if u == nil {
				break
			}
			if u.Pinned.Take(deadline) {
				return u, nil
			}
			if u.Pinned.Free() > 0 {
				expiresTooEarly = true
				break
			}
		}
	}
	if expiresTooEarly {
		return nil, verdict.Refuse("no slot is granted for long enough")
	}
	e := verdict.Refuse("all slots for long requests are in use")
	e.RetryAfter = pinRetryAfter
	return nil, e
}

// leastBusyUpstream returns the least busy upstream of g with a free pinned
// slot that admits a request to t, or nil.
func leastBusyUpstream(t *route.Target, g *route.Group) *route.Upstream {
	var best *route.Upstream
	for _, u := range g.Upstreams() {
		if u.Pinned.Free() > 0 && u.Admits(t.Service.Idempotent) && (best == nil || u.EstimatedInFlight() < best.EstimatedInFlight()) {
			best = u
		}
	}
	return best
}
