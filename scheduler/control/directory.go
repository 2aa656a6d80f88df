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

// Owners tells which member owns each shard.
type Owners interface {
	Owners(ctx context.Context) (map[unit.Shard]unit.Member, error)
}

// Peers calls other processes.
type Peers interface {
	Ask(ctx context.Context, address string, a *Ask) (Reply, error)
}

// Limits of calls to owners.
const (
	attemptTimeout = 900 * time.Millisecond   // of one call to an owner; an append takes under 300 ms on a slow store
	ownerWait      = 700 * clock.Millisecond  // for an owner to be found
	outcomeWait    = 2600 * clock.Millisecond // for the outcome of a call that may have been taken; a successor answers 1.6 s after its owner is lost
	lookupEvery    = 150 * clock.Millisecond  // least span between two looks for owners
	probeEvery     = 400 * time.Millisecond   // while an owner can't be reached
	probeTimeout   = 600 * time.Millisecond
	unreadyAfter   = 900 * clock.Millisecond // without an answer of an owner
)

// Directory finds the owner of a shard and calls it. It is safe for concurrent
// use. Set the fields before use.
type Directory struct {
	Control *Control
	Owners  Owners
	Peers   Peers
	Self    unit.Member
	Clock   clock.Clock

	owners   atomic.Pointer[map[unit.Shard]unit.Member]
	lookedAt atomic.Int64 // last look for owners
	looking  atomic.Bool
	failed   atomic.Int64 // since when calls to owners fail, 0 if they don't
	called   atomic.Bool  // an owner has answered
}

// Reachable reports whether calls to owners have been answered of late.
func (d *Directory) Reachable() bool {
	since := clock.Millis(d.failed.Load())
	return d.called.Load() && (since == 0 || d.Clock.Now().Sub(since) < unreadyAfter)
}

func (d *Directory) note(ok bool) {
	if ok {
		d.called.Store(true)
		d.failed.Store(0)
		return
	}
	d.failed.CompareAndSwap(0, int64(max(1, d.Clock.Now())))
}

// lookup looks for the owners unless another goroutine does or has just done.
func (d *Directory) lookup(ctx context.Context) {
	now := d.Clock.Now()
	if now.Sub(clock.Millis(d.lookedAt.Load())) < lookupEvery || !d.looking.CompareAndSwap(false, true) {
		return
	}
	defer d.looking.Store(false)
	owners, err := d.Owners.Owners(ctx)
	d.lookedAt.Store(int64(d.Clock.Now()))
	if err != nil {
		d.Control.Counters.FeedFailures.Add(1)
		return
	}
	d.owners.Store(&owners)
}

func (d *Directory) owner(s unit.Shard) unit.Member {
	if m := d.owners.Load(); m != nil {
		return (*m)[s]
	}
	return ""
}

// Call has the owner of the shard of a call answer it. It repeats the call
// while the owner moves; all calls are idempotent. The status of the reply is
// Refused only if no owner has taken or can still take the call, and Unsettled
// if one may have.
func (d *Directory) Call(ctx context.Context, a *Ask) Reply {
	began := d.Clock.Now()
	sent := false
	last := Reply{Status: Refused, Reason: "no owner of the shard is known", RetryAfter: clock.Second}
	for {
		r, err := d.attempt(ctx, a)
		switch {
		case err == nil && r.Status != NotOwner && r.Status != Unsettled:
			d.note(true)
			if r.Status == Refused && sent && a.Kind == Submit {
				// An earlier attempt may have been taken by a former owner.
				r.Status = Unsettled
			}
			return r
		case err == nil:
			sent = sent || r.Status == Unsettled
			last.Reason = r.Reason
		default:
			var v *verdict.Error
			if !errors.As(err, &v) || v.Verdict != verdict.DidNotRun {
				sent = true
			}
			last.Reason = err.Error()
			d.note(false)
		}
		d.lookup(ctx)
		wait := ownerWait
		if sent {
			wait = outcomeWait
		}
		if ctx.Err() != nil || d.Clock.Now().Sub(began) > wait || !sleep(ctx, lookupEvery.Duration()/2) {
			if sent {
				last.Status = Unsettled
			}
			return last
		}
	}
}

// attempt makes one call to the owner as it is known now.
func (d *Directory) attempt(ctx context.Context, a *Ask) (Reply, error) {
	owner := d.owner(a.Shard)
	if owner == "" {
		d.lookup(ctx)
		if owner = d.owner(a.Shard); owner == "" {
			return Reply{}, &verdict.Error{Verdict: verdict.DidNotRun, Reason: "no owner of the shard is known"}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if owner == d.Self {
		return d.Control.Ask(ctx, a)
	}
	return d.Peers.Ask(ctx, addressOf(owner), a)
}

// KeepProbing calls the owners while they can't be reached, so that readiness
// is known without traffic.
func (d *Directory) KeepProbing(ctx context.Context) error {
	for sleep(ctx, probeEvery) {
		if d.called.Load() && d.failed.Load() == 0 {
			continue
		}
		for s := range d.Control.Layout().Shards {
			probe, cancel := context.WithTimeout(ctx, probeTimeout)
			r := d.Call(probe, &Ask{Kind: Probe, Shard: unit.Shard(s)})
			cancel()
			if r.Status != Accepted {
				d.note(false)
				break
			}
		}
	}
	return nil
}
