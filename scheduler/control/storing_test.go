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
)

// acceptingStore is a [Store] that accepts all appends. It has no shards to assign.
type acceptingStore struct{ Store }

// Append implements [Store].
func (acceptingStore) Append(context.Context, unit.Shard, unit.Generation, int64, []dispatch.Record) error {
	return nil
}

// TestRepliesFollowTheAppendOfTheirJob guards against a submission that is
// confirmed although its record was left for a later append.
func TestRepliesFollowTheAppendOfTheirJob(t *testing.T) {
	for name, jobs := range map[string]int{"one append": 20, "several appends": 450} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := new(clock.Manual)
			control := &Control{
				Settings: Settings{TTL: 1200, Limits: dispatch.DefaultLimits}, Clock: now, BootClock: now.Now, Counters: new(Counters),
				Store: acceptingStore{},
			}
			g := group.New(context.Background())
			control.Init(g)
			owned := &ownedShard{shard: &dispatch.Shard{Limits: dispatch.DefaultLimits}, restored: true, ctx: context.Background()}
			control.owned[0] = owned
			replies := make([]chan Reply, jobs)
			for i := range replies {
				id := unit.Job(fmt.Sprintf("%016x", i))
				replies[i] = make(chan Reply, 1)
				control.handleRequest(requestMessage{&Request{Kind: KindSubmit, Job: id, Spec: &dispatch.Spec{ID: id, Steps: []dispatch.Step{{Count: 1}}}}, replies[i]})
			}
			confirmed := 0
			for range jobs {
				now.Advance(100)
				control.tickShard(owned)
				if owned.appending {
					control.handleMessage(<-control.messages)
				}
				confirmed = 0
				for i := range replies {
					_, stored := owned.shard.State(unit.Job(fmt.Sprintf("%016x", i)))
					is.True(stored || len(replies[i]) == 0) // a confirmed job is stored
					confirmed += len(replies[i])
				}
				if confirmed == jobs {
					break
				}
			}
			is.Equal(confirmed, jobs)
			g.Stop()
			is.NoErr(g.Wait())
		})
	}
}

// TestRepliesDespiteABacklog guards against submissions that are never confirmed
// because each append leaves changed jobs for the next one.
func TestRepliesDespiteABacklog(t *testing.T) {
	is := is.New(t)
	now := new(clock.Manual)
	control := &Control{
		Settings: Settings{TTL: 1200, Limits: dispatch.DefaultLimits}, Clock: now, BootClock: now.Now, Counters: new(Counters),
		Store: acceptingStore{},
	}
	g := group.New(context.Background())
	control.Init(g)
	owned := &ownedShard{shard: &dispatch.Shard{Limits: dispatch.DefaultLimits}, restored: true, ctx: context.Background()}
	control.owned[0] = owned
	const first, perAppend, appends = 450, 200, 10 // an append has at most 200 changed jobs
	var replies []chan Reply
	submit := func(jobs int) {
		for range jobs {
			id := unit.Job(fmt.Sprintf("%016x", len(replies)))
			replyTo := make(chan Reply, 1)
			replies = append(replies, replyTo)
			control.handleRequest(requestMessage{&Request{Kind: KindSubmit, Job: id, Spec: &dispatch.Spec{ID: id, Steps: []dispatch.Step{{Count: 1}}}}, replyTo})
		}
	}
	submit(first)
	for range appends {
		submit(perAppend)
		for range 10 {
			now.Advance(100)
			if control.tickShard(owned); owned.appending {
				break
			}
		}
		is.True(owned.appending)
		control.handleMessage(<-control.messages)
		_, stored := owned.shard.State(unit.Job(fmt.Sprintf("%016x", len(replies)-1)))
		is.True(!stored) // the backlog is not empty
	}
	for i := range first {
		is.Equal(len(replies[i]), 1)
	}
	g.Stop()
	is.NoErr(g.Wait())
}
