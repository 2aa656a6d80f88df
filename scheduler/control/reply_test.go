package control

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
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
		"unconfirmed, known":      {1300, Request{Kind: KindState, Job: known}, StatusNotOwner},
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
				EventLog: discardedLog{}, owned: make(map[unit.Shard]*ownedShard),
			}
			control.membership.confirmedBootAt.Store(int64(boot.Add(-c.age)))
			shard := &dispatch.Shard{Limits: dispatch.DefaultLimits}
			is.NoErr(shard.Submit(0, 0, &dispatch.Spec{ID: known, Steps: []dispatch.Step{{Count: 1}}}))
			shard.Tick(0, 0, true)
			shard.HandleStored(0)
			control.owned[0] = &ownedShard{shard: shard, restored: true, ctx: context.Background()}
			reply := make(chan Reply, 1)
			control.handleRequest(requestMessage{request: &c.request, replyTo: reply})
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

// Guards against a cancel that is confirmed without effect, and against maintenance of an
// executor with runs: a former owner denies what its successor has accepted or placed.
func TestDenialsComeFromTheOwnerOnly(t *testing.T) {
	cancel, state := Request{Kind: KindCancel, Job: submittedJob(2)}, Request{Kind: KindState, Job: submittedJob(2)}
	evacuation, unlisted := Request{Kind: KindEvacuate, Executor: "x"}, Request{Kind: KindEvacuate, Executor: "y"}
	occupied := Request{Kind: KindEvacuate, Executor: "z"}
	for name, c := range map[string]struct {
		request Request
		changes bool // the shard has other changes to store
		fenced  bool // another owner has used a higher epoch
		want    Status
	}{
		"cancel, owner":            {cancel, false, false, StatusNotFound},
		"cancel, owner with work":  {cancel, true, false, StatusNotFound},
		"cancel, former":           {cancel, false, true, StatusUndetermined},
		"cancel, former with work": {cancel, true, true, StatusUndetermined},
		"state, owner":             {state, false, false, StatusNotFound},
		"state, former":            {state, false, true, StatusUndetermined},
		"evacuation, owner":        {evacuation, false, false, StatusAccepted},
		"evacuation, former":       {evacuation, false, true, StatusUndetermined},
		"no such executor, owner":  {unlisted, false, false, StatusNotFound},
		"no such executor, former": {unlisted, false, true, StatusUndetermined},
		"runs left, owner":         {occupied, false, false, StatusAccepted},
		"runs left, former":        {occupied, false, true, StatusUndetermined},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newStoringFixture()
			store := &replacedOwnerStore{fenced: c.fenced}
			f.control.Store, f.control.EventLog, f.owned.cancel = store, discardedLog{}, func() {}
			f.owned.shard.ApplyRegistrations(0, dispatch.Registrations{Entries: []dispatch.Registration{{Executor: "x"}}}, func(unit.Executor) bool { return true })
			f.restoreRun("z")
			if c.changes {
				f.submit(1)
			}
			reply := make(chan Reply, 1)
			f.control.handleRequest(requestMessage{request: &c.request, replyTo: reply})
			is.Equal(len(reply), 0) // the store has not confirmed the ownership yet
			f.tick()
			is.Equal(len(reply), 1)
			is.Equal((<-reply).Status, c.want)
			is.Equal(store.appends, 1)
			f.group.Stop()
			is.NoErr(f.group.Wait())
		})
	}
}

// restoreRun restores a job with a run on an executor.
func (f *storingFixture) restoreRun(e unit.Executor) {
	spec := &dispatch.Spec{ID: submittedJob(9), Steps: []dispatch.Step{{Count: 1}}}
	task := dispatch.Task{State: dispatch.TaskRunning, Run: 1, Executor: e}
	j := dispatch.Job{State: dispatch.JobRunning, Occurrences: []dispatch.Occurrence{{Steps: []dispatch.StepState{{Tasks: []dispatch.Task{task}}}}}}
	f.owned.shard.Restore(f.now.Now(), 0, spec.ID, j, spec)
}

// Guards against a denial without a proof: the only records of the append that the
// reply waits for are left out of it, so that the store is not asked who the owner is.
func TestRefusedRecordsProveNoOwnership(t *testing.T) {
	for name, c := range map[string]struct {
		fenced bool // another owner has used a higher epoch
		want   Status
	}{
		"owner":  {false, StatusNotFound},
		"former": {true, StatusUndetermined},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newStoringFixture()
			store := &replacedOwnerStore{fenced: c.fenced}
			f.control.Store, f.control.EventLog, f.owned.cancel = store, discardedLog{}, func() {}
			f.owned.writer = record.NewWriter(record.Limits{Record: 60, Request: 60}, new(record.Set))
			f.submit(1) // too large for the store
			reply := make(chan Reply, 1)
			f.control.handleRequest(requestMessage{request: &Request{Kind: KindCancel, Job: submittedJob(2)}, replyTo: reply})
			f.tick()
			is.Equal(len(reply), 1)
			is.Equal((<-reply).Status, c.want)
			is.Equal(store.appends, 1) // of the proof
			f.group.Stop()
			is.NoErr(f.group.Wait())
		})
	}
}

// Guards against requests for unknown jobs that are held while the store takes no
// appends, until their callers give up.
func TestDenialsAreRefusedWhileTheStoreStalls(t *testing.T) {
	for name, c := range map[string]struct {
		age  clock.Span // of the append in flight
		want int        // number of replies
	}{
		"append is new":        {storeStallTimeout, 0},
		"append has no answer": {storeStallTimeout + 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newStoringFixture()
			f.now.Advance(clock.Second)
			f.owned.appending, f.owned.lastAppendAt = true, f.now.Now().Add(-c.age)
			f.control.membership.confirmedBootAt.Store(int64(f.now.Now()))
			reply := make(chan Reply, 1)
			f.control.handleRequest(requestMessage{request: &Request{Kind: KindCancel, Job: submittedJob(1)}, replyTo: reply})
			is.Equal(len(reply), c.want)
			if c.want > 0 {
				is.Equal((<-reply).Status, StatusRefused)
			}
			f.group.Stop()
			is.NoErr(f.group.Wait())
		})
	}
}

// Guards against a request whose reply waits for an append, and that an idle shard
// answers with the next of its rare ticks only.
func TestRepliesOfAnIdleShardComeSoon(t *testing.T) {
	is := is.New(t)
	f := newStoringFixture()
	f.tick()
	f.control.membership.confirmedBootAt.Store(int64(f.now.Now()))
	replies := make(chan Reply, 2)
	request := requestMessage{request: &Request{Kind: KindState, Job: submittedJob(1)}, replyTo: replies}
	f.control.handleRequest(request)
	f.control.tick()
	is.True(f.owned.appending)
	f.control.handleMessage(<-f.control.messages)
	is.Equal(len(replies), 1)
	f.control.handleRequest(request) // too early for another append
	is.Equal(f.control.tick(), busyTickInterval)
	f.group.Stop()
	is.NoErr(f.group.Wait())
}
