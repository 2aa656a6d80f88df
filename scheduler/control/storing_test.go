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
		f.control.handleRequest(requestMessage{request: &Request{Kind: KindSubmit, Job: id, Spec: &dispatch.Spec{ID: id, Steps: []dispatch.Step{{Count: 1}}}}, replyTo: replyTo})
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

// Guards against submissions whose callers do not learn whether they were accepted,
// although no append had them while the store did not answer. A refused submission
// never runs, also if the store answers later, and one that an append has is not
// refused.
func TestSubmissionsThatNoAppendHasAreRefusedInTime(t *testing.T) {
	const inTime, tooLate = clock.Millis(10_000), clock.Millis(500)
	for name, c := range map[string]struct {
		inFlight  bool           // the job is in the append that has no answer
		expiries  []clock.Millis // of the requests for the job
		released  bool           // the shard is released at 600 ms
		replies   []Status       // at 600 ms; none is later
		submitted bool           // the shard still has the job
	}{
		"in no append":              {false, []clock.Millis{tooLate}, false, []Status{StatusRefused}, false},
		"in no append, twice":       {false, []clock.Millis{inTime, tooLate}, false, []Status{StatusRefused, StatusRefused}, false},
		"in no append, time left":   {false, []clock.Millis{inTime}, false, []Status{later}, true},
		"in the append":             {true, []clock.Millis{tooLate}, false, []Status{later}, true},
		"in the append, twice":      {true, []clock.Millis{tooLate, tooLate}, false, []Status{later, later}, true},
		"in no append, released":    {false, []clock.Millis{inTime, inTime}, true, []Status{StatusNotOwner, StatusNotOwner}, false},
		"in the append, released":   {true, []clock.Millis{inTime, inTime}, true, []Status{StatusUndetermined, StatusUndetermined}, true},
		"no time known, not waited": {false, []clock.Millis{0}, false, []Status{later}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newStoringFixture()
			f.control.EventLog, f.owned.cancel = discardedLog{}, func() {}
			f.submit(1)
			if !c.inFlight {
				f.now.Advance(100)
				f.control.tickShard(f.owned) // an append without the job, which has no answer
			}
			id := unit.Job("00000000000000cc")
			var replies []chan Reply
			for i, expiry := range c.expiries {
				replyTo := make(chan Reply, 1)
				replies = append(replies, replyTo)
				f.control.handleRequest(requestMessage{
					request: &Request{Kind: KindSubmit, Job: id, Spec: &dispatch.Spec{ID: id, Steps: []dispatch.Step{{Count: 1}}}},
					replyTo: replyTo, expiresAt: expiry,
				})
				if c.inFlight && i == 0 {
					f.now.Advance(100)
					f.control.tickShard(f.owned)
				}
			}
			is.True(f.owned.appending)
			f.now.Advance(clock.Span(600 - f.now.Now()))
			f.control.tickShard(f.owned)
			if c.released {
				f.control.release(f.owned, "test")
			}
			for i, replyTo := range replies {
				got := later
				if len(replyTo) > 0 {
					got = (<-replyTo).Status
				}
				is.Equal(got, c.replies[i])
			}
			is.Equal(f.owned.shard.HasJob(id), c.submitted)
			if !c.released {
				f.control.handleMessage(<-f.control.messages) // the store answers
				f.tick()
				_, stored := f.owned.shard.State(id)
				is.Equal(stored, c.submitted)
				again := make(chan Reply, 1)
				f.control.handleRequest(requestMessage{request: &Request{Kind: KindSubmit, Job: id, Spec: &dispatch.Spec{ID: id, Steps: []dispatch.Step{{Count: 1}}}}, replyTo: again})
				f.tick()
				is.Equal((<-again).Status, StatusAccepted)
				_, stored = f.owned.shard.State(id)
				is.True(stored)
			}
			f.group.Stop()
			is.NoErr(f.group.Wait())
		})
	}
}

// Guards against a request that the owner applies after its sender has been told that
// it has not run.
func TestRevokedRequestsAreNotApplied(t *testing.T) {
	is := is.New(t)
	f := newStoringFixture()
	ctx, cancel := context.WithTimeout(t.Context(), 2*revokeMargin)
	defer cancel()
	id := submittedJob(1)
	r, err := f.control.Request(ctx, &Request{Kind: KindSubmit, Job: id, Spec: &dispatch.Spec{ID: id, Steps: []dispatch.Step{{Count: 1}}}})
	is.NoErr(err)
	is.Equal(r.Status, StatusNotOwner)
	f.control.handleMessage(<-f.control.messages)
	is.True(!f.owned.shard.HasJob(id))
	f.group.Stop()
	is.NoErr(f.group.Wait())
}

// Guards against jobs with thousands of tasks whose records are stored 50 times a
// second, and against appends of ordinary jobs that wait for longer.
func TestAppendsOfLargeJobs(t *testing.T) {
	for name, c := range map[string]struct {
		jobs, tasks int
		interval    clock.Span
	}{
		"ordinary jobs":   {jobs: 200, tasks: 20, interval: minAppendInterval},
		"one large job":   {jobs: 1, tasks: 10_000, interval: 50},
		"many large jobs": {jobs: 15, tasks: 10_000, interval: 750},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newStoringFixture()
			for n := range c.jobs {
				id := submittedJob(n)
				spec := &dispatch.Spec{ID: id, Steps: []dispatch.Step{{Count: c.tasks}}}
				f.control.handleRequest(requestMessage{request: &Request{Kind: KindSubmit, Job: id, Spec: spec}, replyTo: make(chan Reply, 1)})
			}
			is.True(f.tick()) // stores the jobs
			first := f.owned.lastAppendAt
			f.control.handleRequest(requestMessage{request: &Request{Kind: KindCancel, Job: submittedJob(0)}, replyTo: make(chan Reply, 1)})
			f.now.Advance(first.Add(c.interval).Sub(f.now.Now()) - 1)
			f.control.tickShard(f.owned)
			is.True(!f.owned.appending)
			f.now.Advance(1)
			f.control.tickShard(f.owned)
			is.True(f.owned.appending)
			f.control.handleMessage(<-f.control.messages)
		})
	}
}
