package control

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

// TestRepliesOfAReplacedOwner guards against a replaced owner that replies for
// jobs that only its successor has. An owner that was partitioned from the store
// reported an accepted job as unknown. Found by a simulated run of scenario
// lmhtw-kiln with faults hunt-94c7-43.
func TestRepliesOfAReplacedOwner(t *testing.T) {
	const known, unknown unit.Job = "00000000000000aa", "00000000000000bb"
	for name, c := range map[string]struct {
		age     clock.Span // time since the membership was confirmed
		request Request
		want    Status
	}{
		"confirmed, known":        {100, Request{Kind: KindState, Job: known}, StatusAccepted},
		"confirmed, unknown":      {100, Request{Kind: KindState, Job: unknown}, StatusNotFound},
		"unconfirmed, known":      {1300, Request{Kind: KindState, Job: known}, StatusAccepted},
		"unconfirmed, unknown":    {1300, Request{Kind: KindState, Job: unknown}, StatusNotOwner},
		"unconfirmed, cancel":     {1300, Request{Kind: KindCancel, Job: unknown}, StatusNotOwner},
		"unconfirmed, count":      {1300, Request{Kind: KindPending}, StatusNotOwner},
		"unconfirmed, probe":      {1300, Request{Kind: KindProbe}, StatusNotOwner},
		"unconfirmed, submission": {1300, Request{Kind: KindSubmit, Job: unknown, Spec: new(dispatch.Spec)}, StatusNotOwner},
		"unconfirmed, evacuation": {1300, Request{Kind: KindEvacuate, Executor: "x"}, StatusNotOwner},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			boot := clock.Millis(50_000)
			control := &Control{
				Settings: Settings{TTL: 1200}, Clock: new(clock.Manual), BootClock: func() clock.Millis { return boot }, Counters: new(Counters),
				owned: make(map[unit.Shard]*ownedShard),
			}
			control.membership.confirmedBootAt.Store(int64(boot.Add(-c.age)))
			shard := &dispatch.Shard{Limits: dispatch.DefaultLimits}
			is.NoErr(shard.Submit(0, 0, &dispatch.Spec{ID: known, Steps: []dispatch.Step{{Count: 1}}}))
			shard.Tick(0, 0, true)
			shard.HandleStored(0)
			control.owned[0] = &ownedShard{shard: shard, restored: true, ctx: context.Background()}
			reply := make(chan Reply, 1)
			control.handleRequest(requestMessage{&c.request, reply})
			is.Equal(len(reply), 1) // the reply is sent without an append
			is.Equal((<-reply).Status, c.want)
		})
	}
}
