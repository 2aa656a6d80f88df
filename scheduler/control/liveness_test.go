package control

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// silentPeers is a [Peers] whose process replies only while it is not cut off. A call
// to a process that is cut off takes a number of milliseconds.
type silentPeers struct {
	clock       *clock.Manual
	cutOff      bool
	refuses     bool // the process does not serve the shard
	submissions int  // that were sent
	probes      int  // that were sent
}

// Request implements [Peers].
func (p *silentPeers) Request(_ context.Context, _ string, request *Request) (Reply, error) {
	switch request.Kind {
	case KindSubmit:
		p.submissions++
	case KindProbe:
		p.probes++
	}
	if p.cutOff {
		p.clock.Advance(300)
		return Reply{}, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "call failed"}
	}
	p.clock.Advance(5)
	if p.refuses {
		return Reply{Status: StatusNotOwner}, nil
	}
	return Reply{Status: StatusAccepted}, nil
}

// Guards against submissions of unknown outcome while the owner is cut off or without
// power: only those that are sent before that shows may have been accepted. While the
// owner answers, a submission needs one call.
func TestSubmissionsAreNotSentToSilentOwners(t *testing.T) {
	const owner = unit.Member("10.0.0.1:1/n/1000")
	for name, c := range map[string]struct {
		before      Kind // of the call before the submission
		cutBefore   bool // the owner is cut off during that call
		cut         bool // and during the submission
		refuses     bool
		want        verdict.Verdict
		status      Status
		submissions int
		probes      int
	}{
		"owner answers":                  {KindState, false, false, false, verdict.Ran, StatusAccepted, 1, 0},
		"cut off before a read":          {KindState, true, true, false, verdict.DidNotRun, 0, 0, 1},
		"cut off before a submission":    {KindSubmit, true, true, false, verdict.DidNotRun, 0, 1, 1},
		"cut off unnoticed":              {KindState, false, true, false, verdict.MayHaveRun, 0, 1, 0},
		"back again":                     {KindState, true, false, false, verdict.Ran, StatusAccepted, 1, 1},
		"back and replaced":              {KindState, true, false, true, verdict.Ran, StatusNotOwner, 0, 1},
		"replaced, answers all the time": {KindState, false, false, true, verdict.Ran, StatusNotOwner, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := new(clock.Manual)
			peers := &silentPeers{clock: now}
			d := &Directory{Peers: peers, Self: "10.0.0.2:1/n/1000", Clock: now}
			d.owners.Store(&map[unit.Shard]unit.Member{0: owner})
			peers.cutOff = c.cutBefore
			_, _ = d.attempt(t.Context(), &Request{Kind: c.before}) // its outcome is that of the fake
			peers.cutOff, peers.refuses = c.cut, c.refuses
			r, err := d.attempt(t.Context(), &Request{Kind: KindSubmit})
			got := verdict.Ran
			if err != nil {
				got = verdict.Of(err)
			}
			is.Equal(got, c.want)
			is.Equal(r.Status, c.status)
			is.Equal(peers.submissions, c.submissions)
			is.Equal(peers.probes, c.probes)
		})
	}
}

// Guards against processes that are suspect for good, and against a table that grows
// with each process that ever owned a shard.
func TestLiveness(t *testing.T) {
	const m = unit.Member("m")
	for name, c := range map[string]struct {
		play    func(l *liveness)
		suspect bool // at 1000 ms
		rows    int
	}{
		"no call":                       {func(*liveness) {}, false, 0},
		"call is new":                   {func(l *liveness) { l.begin(m, 900) }, false, 1},
		"call has no reply":             {func(l *liveness) { l.begin(m, 500) }, true, 1},
		"call replied":                  {func(l *liveness) { l.begin(m, 500); l.end(m, 510, true) }, false, 0},
		"call failed":                   {func(l *liveness) { l.begin(m, 500); l.end(m, 510, false) }, true, 1},
		"other call replied":            {func(l *liveness) { l.begin(m, 500); l.begin(m, 800); l.end(m, 900, true) }, false, 1},
		"other call replied long ago":   {func(l *liveness) { l.begin(m, 500); l.begin(m, 510); l.end(m, 520, true) }, true, 1},
		"failed, later replied":         {func(l *liveness) { l.begin(m, 500); l.end(m, 510, false); l.begin(m, 600); l.end(m, 610, true) }, false, 0},
		"owns no shard any more":        {func(l *liveness) { l.begin(m, 500); l.end(m, 510, false); l.retain(nil) }, false, 0},
		"owns no shard, call in flight": {func(l *liveness) { l.begin(m, 500); l.retain(nil) }, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l liveness
			c.play(&l)
			is.Equal(l.isSuspect(m, 1000), c.suspect)
			is.Equal(len(l.processes), c.rows)
		})
	}
}
