package control

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/group"
	"mimosadock/schedule/unit"
	"mimosadock/scheduler/record"
)

// acceptingStore is a [Store] that accepts all appends. It has no shards to assign.
type acceptingStore struct{ Store }

// Append implements [Store].
func (acceptingStore) Append(context.Context, unit.Shard, unit.Generation, int64, []dispatch.Record) error {
	return nil
}

// storingFixture is a control state that owns one shard and stores its changes. The
// test runs the ticks.
type storingFixture struct {
	control *Control
	owned   *ownedShard
	now     *clock.Manual
	group   *group.Group
	replies []chan Reply // to the submissions, by their order
}

func newStoringFixture() *storingFixture {
	f := &storingFixture{now: new(clock.Manual), group: group.New(context.Background())}
	f.control = &Control{
		Settings: Settings{TTL: 1200, Limits: dispatch.DefaultLimits}, Clock: f.now, BootClock: f.now.Now, Counters: new(Counters),
		Store: acceptingStore{},
	}
	f.control.Init(f.group)
	f.owned = &ownedShard{writer: record.NewWriter(record.Limits{}, new(record.Set)), shard: &dispatch.Shard{Limits: dispatch.DefaultLimits}, restored: true, ctx: context.Background()}
	f.control.owned[0] = f.owned
	return f
}

func submittedJob(n int) unit.Job { return unit.Job(fmt.Sprintf("%016x", n)) }

// submit submits a number of jobs.
func (f *storingFixture) submit(jobs int) {
	for range jobs {
		id := submittedJob(len(f.replies))
		replyTo := make(chan Reply, 1)
		f.replies = append(f.replies, replyTo)
		f.control.handleRequest(requestMessage{&Request{Kind: KindSubmit, Job: id, Spec: &dispatch.Spec{ID: id, Steps: []dispatch.Step{{Count: 1}}}}, replyTo})
	}
}

// tick runs a tick and completes the append that it started. It returns false if
// it started none.
func (f *storingFixture) tick() bool {
	f.now.Advance(100)
	f.control.tickShard(f.owned)
	if !f.owned.appending {
		return false
	}
	f.control.handleMessage(<-f.control.messages)
	return true
}

// stored reports whether a submitted job is stored.
func (f *storingFixture) stored(n int) bool {
	_, ok := f.owned.shard.State(submittedJob(n))
	return ok
}

// TestRepliesFollowTheAppendOfTheirJob guards against a submission that is
// confirmed although its record was left for a later append.
func TestRepliesFollowTheAppendOfTheirJob(t *testing.T) {
	for name, jobs := range map[string]int{"one append": 20, "several appends": 450} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newStoringFixture()
			f.submit(jobs)
			confirmed := 0
			for range jobs {
				f.tick()
				confirmed = 0
				for i := range f.replies {
					is.True(f.stored(i) || len(f.replies[i]) == 0) // a confirmed job is stored
					confirmed += len(f.replies[i])
				}
				if confirmed == jobs {
					break
				}
			}
			is.Equal(confirmed, jobs)
			f.group.Stop()
			is.NoErr(f.group.Wait())
		})
	}
}

// TestRepliesDespiteABacklog guards against submissions that are never confirmed
// because each append leaves changed jobs for the next one.
func TestRepliesDespiteABacklog(t *testing.T) {
	is := is.New(t)
	f := newStoringFixture()
	const first, perAppend, appends = 450, 200, 10 // an append has at most 200 changed jobs
	f.submit(first)
	for range appends {
		f.submit(perAppend)
		appended := false
		for range 10 {
			if appended = f.tick(); appended {
				break
			}
		}
		is.True(appended)
		is.True(!f.stored(len(f.replies) - 1)) // the backlog is not empty
	}
	for i := range first {
		is.Equal(len(f.replies[i]), 1)
	}
	f.group.Stop()
	is.NoErr(f.group.Wait())
}

// refusingStore is a [Store] that refuses appends with a record of some keys for
// good, as a store does for what it can't take.
type refusingStore struct {
	Store
	refused   string // part of the keys
	sequences []int64
	keys      map[string]bool
}

// Append implements [Store].
func (s *refusingStore) Append(_ context.Context, _ unit.Shard, _ unit.Generation, sequence int64, records []dispatch.Record) error {
	for _, r := range records {
		if strings.Contains(r.Key, s.refused) {
			return fmt.Errorf("%w: status 400", dispatch.ErrRefused)
		}
	}
	s.sequences = append(s.sequences, sequence)
	for _, r := range records {
		s.keys[r.Key] = true
	}
	return nil
}

// Guards against an append that is repeated for ever because the store refuses one
// record in it, and against a submission that is confirmed, or whose outcome stays
// open, although its record was left out.
func TestRefusedRecordsHoldUpNoOthers(t *testing.T) {
	is := is.New(t)
	f := newStoringFixture()
	store := &refusingStore{refused: string(submittedJob(2)), keys: make(map[string]bool)}
	f.control.Store, f.control.EventLog = store, discardedLog{}
	f.submit(5)
	for range 10 {
		f.tick()
	}
	for n, replyTo := range f.replies {
		is.Equal(len(replyTo), 1)
		reply := <-replyTo
		is.Equal(f.stored(n), n != 2)
		is.Equal(reply.Status == StatusAccepted, n != 2)
		is.Equal(reply.Status == StatusRefused, n == 2) // it never runs
		is.Equal(store.keys["d/"+string(submittedJob(n))], n != 2)
	}
	is.True(!f.owned.shard.HasJob(submittedJob(2)))
	for i, sequence := range store.sequences {
		is.Equal(sequence, int64(i+1))
	}
	f.group.Stop()
	is.NoErr(f.group.Wait())
}

// Guards against an owner that goes on with a loan or a lease record which the store
// does not have, and against one that gives up its shard for records it can spare.
func TestRefusedGroups(t *testing.T) {
	for name, c := range map[string]struct {
		group record.Group
		fails bool
	}{
		"loan or lease": {record.Group{}, true},
		"models":        {record.Group{Optional: true}, false},
		"job":           {record.Group{Job: submittedJob(0)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newStoringFixture()
			store := &refusingStore{refused: "bad", keys: make(map[string]bool)}
			f.control.Store, f.control.EventLog = store, discardedLog{}
			c.group.Records = []dispatch.Record{{Key: "bad", Value: []byte{1}}}
			good := record.Group{Job: submittedJob(1), Records: []dispatch.Record{{Key: "good", Value: []byte{1}}}}
			a := appender{control: f.control}
			err := a.appendGroups(context.Background(), []record.Group{good, c.group})
			is.Equal(err != nil, c.fails)
			is.True(store.keys["good"])
			is.Equal(len(a.refused) == 1, name == "job")
			f.group.Stop()
			is.NoErr(f.group.Wait())
		})
	}
}

// discardedLog is an [EventLog] that keeps nothing.
type discardedLog struct{}

// LogChange implements [EventLog].
func (discardedLog) LogChange(string, ...any) {}

// LogDecision implements [EventLog].
func (discardedLog) LogDecision(string, ...any) {}
