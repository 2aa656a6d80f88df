package control

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/group"
	"mimosadock/schedule/route"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// discard implements [PeerSender] and [MemberRecordAppender]. It drops all
// messages and records.
type discard struct{}

func (discard) Post(Outgoing) {}
func (discard) Append(any)    {}

// applyPending applies the queued messages and runs one tick.
func applyPending(l *Loop) {
	for len(l.inbox) > 0 {
		(<-l.inbox).Apply(&l.state, l.clock.Now())
	}
	l.RunTick()
}

// Guards against a pinned slot that stays taken after its request is cancelled,
// and against a request that waits for a reply that can't arrive.
func TestPinner(t *testing.T) {
	answer := func(up unit.Upstream) Message {
		return PeerMessage{From: "owner", To: "self", Body: &slot.PinReply{DataCentre: "dc0", Epoch: 1, ID: 1, Upstream: up}}
	}
	granted, refused := answer("10.0.0.0:80"), answer("")
	nextOwner := MembersRead{Records: []tenure.JournalRecord{{Claim: &tenure.Claim{DataCentre: "dc0", Epoch: 2, Instance: "next"}}}}
	tests := map[string]struct {
		cancelled bool
		messages  []Message
		ok        bool
		used      unit.Slots
	}{
		"granted":                        {messages: []Message{granted}, ok: true, used: 1},
		"granted twice":                  {messages: []Message{granted, granted}, ok: true, used: 1},
		"refused":                        {messages: []Message{refused}},
		"cancelled":                      {cancelled: true},
		"granted after cancellation":     {cancelled: true, messages: []Message{granted}},
		"owner changes before the reply": {messages: []Message{nextOwner, granted}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := New(new(clock.Manual), Self{Instance: "self", DataCentre: "dc0"}, Systems()...)
				l.Connect(discard{}, discard{}, tenure.DefaultLimits(), nil)
				s := &l.state
				SetText{Revision: 1, Text: modelText(1, 1)}.Apply(s, 0)
				s.node.Tenures.Add(tenure.Claim{DataCentre: "dc0", Epoch: 1, Instance: "owner"}, 0, &s.node.Members)
				l.RunTick()
				up := s.upstreams.Get("10.0.0.0:80").upstream
				target := &route.Target{Service: &s.Text.Services[0], Upstreams: []*route.Upstream{up}}
				ctx, giveUp := context.WithCancel(t.Context())
				defer giveUp()
				var g group.Group
				g.Go("request", func(context.Context) error {
					got, err := GrantPinner{l}.Pin(ctx, target, 10_000)
					is.Equal(got != nil, tc.ok)
					is.True(tc.ok || verdict.Of(err) == verdict.DidNotRun)
					return nil
				})
				synctest.Wait()
				applyPending(l)
				if tc.cancelled {
					giveUp()
					synctest.Wait()
				}
				for _, m := range tc.messages {
					l.Offer(m)
					applyPending(l)
				}
				is.NoErr(g.Wait())
				applyPending(l)
				is.Equal(up.Pinned.Used(), tc.used)
				is.Equal(s.pendingPins.Len(), 0)
			})
		})
	}
}
