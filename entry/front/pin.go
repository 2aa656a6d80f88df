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

// pinRetry is what callers are told to wait when all slots for long requests
// are in use.
const pinRetry = clock.Second

// LocalPinner takes slots that this process already holds for long requests.
type LocalPinner struct{}

// Pin takes a slot on the least busy upstream that has one, or refuses.
func (LocalPinner) Pin(_ context.Context, t *route.Target, deadline clock.Millis) (*route.Upstream, error) {
	for {
		var best *route.Upstream
		for _, u := range t.Upstreams {
			if u.Pinned.Free() > 0 && (best == nil || u.Busyness() < best.Busyness()) {
				best = u
			}
		}
		if best == nil {
			e := verdict.Refuse("all slots for long requests are in use")
			e.RetryAfter = pinRetry
			return nil, e
		}
		if best.Pinned.Take(deadline) {
			return best, nil
		}
		if best.Pinned.Free() > 0 {
			return nil, verdict.Refuse("no slot is granted for long enough")
		}
	}
}
