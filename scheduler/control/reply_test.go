package control

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/group"
	"mimosadock/schedule/unit"
	"mimosadock/scheduler/record"
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

// replacedOwnerStore is a [Store] in which another owner has used a higher epoch,
// if fenced is set.
type replacedOwnerStore struct {
	Store
	fenced  bool
	appends int
}

// Append implements [Store].
func (s *replacedOwnerStore) Append(context.Context, unit.Shard, unit.Generation, int64, []dispatch.Record) error {
	s.appends++
	if s.fenced {
		return fmt.Errorf("%w: status 409", dispatch.ErrFenced)
	}
	return nil
}

// Guards against a cancel that is confirmed without effect: the store gives a shard to
// another member at once, and the former owner answers that it does not know the job.
func TestUnknownJobsAreReportedByTheOwnerOnly(t *testing.T) {
	for name, c := range map[string]struct {
		kind    Kind
		changes bool // the shard has other changes to store
		fenced  bool
		want    Status
	}{
		"cancel, owner":            {KindCancel, false, false, StatusNotFound},
		"cancel, owner with work":  {KindCancel, true, false, StatusNotFound},
		"cancel, former":           {KindCancel, false, true, StatusUndetermined},
		"cancel, former with work": {KindCancel, true, true, StatusUndetermined},
		"state, owner":             {KindState, false, false, StatusNotFound},
		"state, former":            {KindState, false, true, StatusUndetermined},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := group.New(context.Background())
			now := new(clock.Manual)
			store := &replacedOwnerStore{fenced: c.fenced}
			control := &Control{
				Settings: Settings{TTL: 1200, Limits: dispatch.DefaultLimits}, Clock: now, BootClock: now.Now, Counters: new(Counters),
				Store: store, EventLog: discardedLog{},
			}
			control.Init(g)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			owned := &ownedShard{
				writer: record.NewWriter(record.Limits{}, new(record.Set)), shard: &dispatch.Shard{Limits: dispatch.DefaultLimits},
				restored: true, ctx: ctx, cancel: cancel,
			}
			control.owned[0] = owned
			if c.changes {
				is.NoErr(owned.shard.Submit(0, 0, &dispatch.Spec{ID: submittedJob(1), Steps: []dispatch.Step{{Count: 1}}}))
			}
			reply := make(chan Reply, 1)
			control.handleRequest(requestMessage{&Request{Kind: c.kind, Job: submittedJob(2)}, reply})
			is.Equal(len(reply), 0) // the store has not confirmed the ownership yet
			now.Advance(100)
			control.tickShard(owned)
			control.handleMessage(<-control.messages)
			is.Equal(len(reply), 1)
			is.Equal((<-reply).Status, c.want)
			is.Equal(store.appends, 1)
			g.Stop()
			is.NoErr(g.Wait())
		})
	}
}
