package control

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// fixedOwners is an [Owners] with one owner of shard 0.
type fixedOwners unit.Member

// Owners implements [Owners].
func (fixedOwners) Members(context.Context) (map[unit.Member]int, error) { return nil, nil }

func (o fixedOwners) Owners(context.Context) (map[unit.Shard]unit.Member, error) {
	return map[unit.Shard]unit.Member{0: unit.Member(o)}, nil
}

// kindPeers is a [Peers] that answers requests of some kinds only.
type kindPeers map[Kind]bool

// Request implements [Peers].
func (p kindPeers) Request(_ context.Context, _ string, request *Request) (Reply, error) {
	if p[request.Kind] {
		return Reply{Status: StatusAccepted}, nil
	}
	return Reply{}, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "no answer"}
}

// TestReachableWithoutAnswersToLendRequests guards against a process that is not
// ready because an owner of an earlier version does not answer requests for
// executors.
func TestReachableWithoutAnswersToLendRequests(t *testing.T) {
	for name, c := range map[string]struct {
		unanswered Kind
		reachable  bool
	}{
		"state": {KindState, false},
		"lend":  {KindLend, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := new(clock.Manual)
			now.Advance(clock.Second)
			d := &Directory{Owners: fixedOwners("10.0.0.1:1/a/800"), Peers: kindPeers{KindProbe: true}, Clock: now}
			is.Equal(d.Call(context.Background(), &Request{Kind: KindProbe}).Status, StatusAccepted)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			is.Equal(d.Call(ctx, &Request{Kind: c.unanswered}).Status, StatusUndetermined)
			now.Advance(2 * unreachableTimeout)
			is.Equal(d.Reachable(), c.reachable)
		})
	}
}

// notOwnerPeers is a [Peers] whose owner can't confirm its membership.
type notOwnerPeers struct {
	calls  int
	cancel context.CancelFunc // called with the second request
}

// Request implements [Peers].
func (p *notOwnerPeers) Request(context.Context, string, *Request) (Reply, error) {
	if p.calls++; p.calls == 2 {
		p.cancel()
	}
	return Reply{Status: StatusNotOwner, Reason: "membership is not confirmed"}, nil
}

// Guards against callers that are kept waiting for another owner during an outage of
// the store, in which none can be found.
func TestRefusesAtOnceWhileTheStoreIsSilent(t *testing.T) {
	for name, c := range map[string]struct {
		silentFor clock.Span
		atOnce    bool
	}{
		"store answers":   {0, false},
		"answers late":    {storeSilenceTimeout - 1, false},
		"store is silent": {storeSilenceTimeout, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := new(clock.Manual)
			now.Advance(clock.Second)
			var contact storeContact
			is.True(!contact.isSilent(now.Now())) // never answered yet
			contact.recordAnswer(now.Now())
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			peers := &notOwnerPeers{cancel: cancel}
			d := &Directory{
				Control: &Control{Counters: new(Counters)}, Owners: fixedOwners("10.0.0.1:1/a/800"), Peers: peers, Clock: now,
				StoreSilent: func() bool { return contact.isSilent(now.Now()) },
			}
			now.Advance(c.silentFor)
			r := d.Call(ctx, &Request{Kind: KindSubmit})
			is.Equal(r.Status, StatusRefused)
			is.True(r.RetryAfter > 0)
			is.Equal(peers.calls == 1, c.atOnce)
		})
	}
}

// replacedOwners is an [Owners] whose shard 0 gets another owner at a time.
type replacedOwners struct {
	clock      *clock.Manual
	replacedAt clock.Millis
}

// Members implements [Owners].
func (replacedOwners) Members(context.Context) (map[unit.Member]int, error) { return nil, nil }

// Owners implements [Owners].
func (o replacedOwners) Owners(context.Context) (map[unit.Shard]unit.Member, error) {
	if o.clock.Now() >= o.replacedAt {
		return map[unit.Shard]unit.Member{0: "10.0.0.2:1/b/800"}, nil
	}
	return map[unit.Shard]unit.Member{0: "10.0.0.1:1/a/800"}, nil
}

// lostPeer is a [Peers] whose process at 10.0.0.1 does not answer. A call to it takes
// 300 ms.
type lostPeer struct{ clock *clock.Manual }

// Request implements [Peers].
func (p lostPeer) Request(_ context.Context, address string, _ *Request) (Reply, error) {
	if address == "10.0.0.2:1" {
		return Reply{Status: StatusAccepted}, nil
	}
	p.clock.Advance(300)
	return Reply{}, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "call failed"}
}

// Guards against submissions that are refused although the next owner would take them
// soon, and against an unknown outcome of one that was never sent.
func TestSubmissionsWaitForTheNextOwner(t *testing.T) {
	for name, c := range map[string]struct {
		replacedAt clock.Millis
		want       Status
	}{
		"replaced in time": {3000, StatusAccepted},
		"not replaced":     {60_000, StatusRefused},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := new(clock.Manual)
			now.Advance(clock.Second)
			d := &Directory{Owners: replacedOwners{now, c.replacedAt}, Peers: lostPeer{now}, Clock: now, Control: &Control{Counters: new(Counters)}}
			d.refreshOwners(t.Context())
			_, err := d.attempt(t.Context(), &Request{Kind: KindState}) // shows that the owner is silent
			is.True(err != nil)
			is.Equal(d.Call(t.Context(), &Request{Kind: KindSubmit}).Status, c.want)
		})
	}
}
