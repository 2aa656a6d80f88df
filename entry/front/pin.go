package front

import (
	"context"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/route"
	"mimosadock/schedule/verdict"
)

// Pinner grants a slot for a request that may outlast a quick grant. The slot
// is released through the Pinned counter of the upstream.
type Pinner interface {
	Pin(ctx context.Context, t *route.Target, deadline clock.Millis) (*route.Upstream, error)
}

var _ Pinner = LocalPinner{}

// pinRetryAfter is what callers are told to wait when all slots for long requests
// are in use.
const pinRetryAfter = clock.Second

// LocalPinner takes slots that this process already holds for long requests.
type LocalPinner struct{}

// Pin takes a slot on the least busy upstream that has one, in the own data
// centre if it has any, or refuses.
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

func leastBusyUpstream(t *route.Target, g *route.Group) *route.Upstream {
	var best *route.Upstream
	for _, u := range g.Upstreams() {
		if u.Pinned.Free() > 0 && u.Admits(t.Service.Idempotent) && (best == nil || u.Busyness() < best.Busyness()) {
			best = u
		}
	}
	return best
}
