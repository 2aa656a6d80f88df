package control

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// Owners reads the assignment of shards to members.
type Owners interface {
	// Owners returns the owner of each shard that has one.
	Owners(ctx context.Context) (map[unit.Shard]unit.Member, error)
	// Members returns the number of partitions, with or without a shard, of each
	// member that has one.
	Members(ctx context.Context) (map[unit.Member]int, error)
}

// Peers sends requests to other processes.
type Peers interface {
	// Request sends a request to the process at address. The error wraps a
	// [verdict.Error].
	Request(ctx context.Context, address string, request *Request) (Reply, error)
}

// Timeouts and intervals of calls to owners.
const (
	attemptTimeout     = 900 * time.Millisecond   // of one call to an owner; an append takes under 300 ms on a slow store
	ownerTimeout       = 700 * clock.Millisecond  // to find an owner
	outcomeTimeout     = 2600 * clock.Millisecond // for the outcome of a call to an owner that did not answer; a successor responds 1.6 s after the loss of the owner
	minLookupInterval  = 150 * clock.Millisecond  // between two lookups of the owners
	probeInterval      = 400 * time.Millisecond   // while an owner is unreachable
	probeTimeout       = 600 * time.Millisecond
	unreachableTimeout = 900 * clock.Millisecond // since the first failed call
)

// Directory routes requests to the owners of shards. It caches the owners and is
// safe for concurrent use. Set the exported fields before use.
type Directory struct {
	Control *Control
	Owners  Owners
	Peers   Peers
	Self    unit.Member
	Clock   clock.Clock
	// StoreSilent reports whether the store gives this process no answers; may be nil.
	StoreSilent func() bool

	owners         atomic.Pointer[map[unit.Shard]unit.Member]
	lastLookupAt   atomic.Int64 // completion of the last lookup, in milliseconds of Clock
	lookupInFlight atomic.Bool
	failingSince   atomic.Int64 // first failed call since the last success, in milliseconds of Clock; 0 if none
	hasResponded   atomic.Bool  // an owner has responded at least once
	liveness       liveness     // of other processes
}

// Reachable reports whether an owner has responded and calls have not been
// failing for longer than the unreachable timeout.
func (d *Directory) Reachable() bool {
	since := clock.Millis(d.failingSince.Load())
	return d.hasResponded.Load() && (since == 0 || d.Clock.Now().Sub(since) < unreachableTimeout)
}

// recordResult records whether a call to an owner succeeded. It ignores requests
// for executors of other shards, which an owner of an earlier version does not
// answer: they say nothing about the service for callers.
func (d *Directory) recordResult(kind Kind, ok bool) {
	if kind == KindLend {
		return
	}
	if ok {
		d.hasResponded.Store(true)
		d.failingSince.Store(0)
		return
	}
	d.failingSince.CompareAndSwap(0, int64(max(1, d.Clock.Now())))
}

// refreshOwners reads the owners from the store. It does nothing while another
// lookup is in flight or within the minimum interval after the last one.
func (d *Directory) refreshOwners(ctx context.Context) {
	now := d.Clock.Now()
	if now.Sub(clock.Millis(d.lastLookupAt.Load())) < minLookupInterval || !d.lookupInFlight.CompareAndSwap(false, true) {
		return
	}
	defer d.lookupInFlight.Store(false)
	owners, err := d.Owners.Owners(ctx)
	d.lastLookupAt.Store(int64(d.Clock.Now()))
	if err != nil {
		d.Control.Counters.FeedFailures.Add(1)
		return
	}
	d.owners.Store(&owners)
	d.liveness.retain(owners)
}

// ownerOf returns the cached owner of a shard, or "" if none is known.
func (d *Directory) ownerOf(s unit.Shard) unit.Member {
	if m := d.owners.Load(); m != nil {
		return (*m)[s]
	}
	return ""
}

// Call sends a request to the owner of its shard and returns the reply. It
// retries while the shard moves to a new owner; all requests are idempotent. The
// status of the reply is [StatusRefused] only if no owner has accepted the request
// or can still accept it. It is [StatusUndetermined] if an owner may have accepted
// it.
func (d *Directory) Call(ctx context.Context, request *Request) Reply {
	startedAt := d.Clock.Now()
	mayBeAccepted := false // an owner may have accepted an earlier attempt
	wait := ownerTimeout
	last := Reply{Status: StatusRefused, Reason: "no owner of the shard is known", RetryAfter: clock.Second}
	for {
		r, err := d.attempt(ctx, request)
		switch {
		case err == nil && r.Status != StatusNotOwner && r.Status != StatusUndetermined:
			d.recordResult(request.Kind, true)
			if r.Status == StatusRefused && mayBeAccepted && request.Kind == KindSubmit {
				// A former owner may have accepted an earlier attempt.
				r.Status = StatusUndetermined
			}
			return r
		case err == nil:
			mayBeAccepted = mayBeAccepted || r.Status == StatusUndetermined
			if r.Status == StatusUndetermined || r.Dropped {
				wait = outcomeTimeout
			}
			last.Reason = r.Reason
		default:
			var v *verdict.Error
			if !errors.As(err, &v) || v.Verdict != verdict.DidNotRun {
				mayBeAccepted = true
			}
			if mayBeAccepted || errors.Is(err, errSilent) {
				wait = outcomeTimeout
			}
			last.Reason = err.Error()
			d.recordResult(request.Kind, false)
		}
		if !mayBeAccepted && d.StoreSilent != nil && d.StoreSilent() {
			// No other owner can be found or take over before the store answers. A
			// caller that is told so at once may come back sooner.
			return last
		}
		d.refreshOwners(ctx)
		if ctx.Err() != nil || d.Clock.Now().Sub(startedAt) > wait || !sleep(ctx, retryDelay(request.Kind)) {
			if mayBeAccepted {
				last.Status = StatusUndetermined
			}
			return last
		}
	}
}

// retryDelay returns the delay before a request is sent again. Reads are frequent, and
// all of them are repeated while an owner has no confirmed membership.
func retryDelay(kind Kind) time.Duration {
	if kind == KindState {
		return 2 * minLookupInterval.Duration()
	}
	return minLookupInterval.Duration() / 2
}

// attempt sends a request once to the cached owner. The error wraps a
// [verdict.Error].
func (d *Directory) attempt(ctx context.Context, request *Request) (Reply, error) {
	owner := d.ownerOf(request.Shard)
	if owner == "" {
		d.refreshOwners(ctx)
		if owner = d.ownerOf(request.Shard); owner == "" {
			return Reply{}, &verdict.Error{Verdict: verdict.DidNotRun, Reason: "no owner of the shard is known"}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if owner == d.Self {
		return d.Control.Request(ctx, request)
	}
	if request.Kind == KindSubmit && d.liveness.isSuspect(owner, d.Clock.Now()) {
		if r, err := d.probe(ctx, owner, request.Shard); err != nil || r.Status != StatusAccepted {
			return r, err
		}
	}
	return d.callPeer(ctx, owner, request)
}

// errSilent reports that a process has not answered a probe that was sent.
var errSilent = errors.New("no answer to a probe")

// probe asks an owner that may be cut off whether it serves a shard. The error has the
// verdict DidNotRun: nothing that matters was sent.
func (d *Directory) probe(ctx context.Context, owner unit.Member, s unit.Shard) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, submissionProbeTimeout)
	defer cancel()
	r, err := d.callPeer(ctx, owner, &Request{Kind: KindProbe, Shard: s})
	if err != nil {
		if verdict.Of(err) != verdict.DidNotRun {
			err = errors.Join(errSilent, err)
		}
		return Reply{}, &verdict.Error{Verdict: verdict.DidNotRun, Reason: "owner does not answer", Err: err}
	}
	if r.Status == StatusUndetermined {
		r.Status = StatusNotOwner // of the probe, not of the request
	}
	return r, nil
}

// callPeer sends a request to another process and records whether it replies.
func (d *Directory) callPeer(ctx context.Context, owner unit.Member, request *Request) (Reply, error) {
	d.liveness.begin(owner, d.Clock.Now())
	r, err := d.Peers.Request(ctx, addressOf(owner), request)
	d.liveness.end(owner, d.Clock.Now(), err == nil)
	return r, err
}

// RunProbes probes the owners of all shards while they are unreachable, so that
// readiness is updated without traffic. It returns when ctx ends.
func (d *Directory) RunProbes(ctx context.Context) error {
	for sleep(ctx, probeInterval) {
		if d.hasResponded.Load() && d.failingSince.Load() == 0 {
			continue
		}
		for s := range d.Control.Layout().Shards {
			probe, cancel := context.WithTimeout(ctx, probeTimeout)
			r := d.Call(probe, &Request{Kind: KindProbe, Shard: unit.Shard(s)})
			cancel()
			if r.Status != StatusAccepted {
				d.recordResult(KindProbe, false)
				break
			}
		}
	}
	return nil
}
