package control

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

// later stands for a reply that is not sent before the next append.
const later Status = -1

// restoreJob restores a job with one task.
func (f *storingFixture) restoreJob(id unit.Job, state dispatch.JobState, task dispatch.TaskState) {
	spec := &dispatch.Spec{ID: id, Steps: []dispatch.Step{{Count: 1}}}
	j := dispatch.Job{State: state, Occurrences: []dispatch.Occurrence{{Steps: []dispatch.StepState{{Tasks: []dispatch.Task{{State: task, Run: 1}}}}}}}
	f.owned.shard.Restore(f.now.Now(), 0, id, j, spec)
}

// Guards against a state of a job that goes back: a replaced owner that does not know
// of its successor reports a job as running which the successor has reported as
// completed. Found by scenario Days of the soak with seed 38. States that are final
// hold without a proof, and calm reads cost no call to the store.
func TestStatesComeFromTheOwner(t *testing.T) {
	const running, completed = unit.Job("000000000000000a"), unit.Job("000000000000000b")
	var (
		calm    = func(*storingFixture) {}
		late    = func(f *storingFixture) { f.now.Advance(400) }
		changed = func(f *storingFixture) { f.owned.unproven = true }
		proving = func(f *storingFixture) {
			f.owned.appending, f.owned.proving, f.owned.lastAppendAt = true, true, f.now.Now()
		}
		proved  = func(f *storingFixture) { f.owned.unprovenAt = f.now.Now().Add(clock.Second) }
		storing = func(f *storingFixture) {
			f.owned.appending, f.owned.lastAppendAt = true, f.now.Now()
			f.now.Advance(200)
		}
		ending  = func(f *storingFixture) { f.owned.shard.Cancel(f.now.Now(), 0, running) }
		stalled = func(f *storingFixture) {
			f.owned.appending, f.owned.lastAppendAt = true, f.now.Now()
			f.now.Advance(storeStallTimeout + 1)
		}
		lapsed = func(f *storingFixture) { f.now.Advance(1200) }
	)
	for name, c := range map[string]struct {
		prepare func(*storingFixture)
		job     unit.Job
		want    Status
	}{
		"calm":                               {calm, running, StatusAccepted},
		"joins are late":                     {late, running, later},
		"membership changed":                 {changed, running, later},
		"membership changed, proof begun":    {proving, running, later},
		"membership changed, first proof":    {proved, running, later},
		"append is late":                     {storing, running, later},
		"end is not stored":                  {ending, running, later},
		"store stalls":                       {stalled, running, StatusRefused},
		"unconfirmed":                        {lapsed, running, StatusNotOwner},
		"completed, calm":                    {calm, completed, StatusAccepted},
		"completed, joins are late":          {late, completed, StatusAccepted},
		"completed, membership changed":      {changed, completed, StatusAccepted},
		"completed, store stalls":            {stalled, completed, StatusAccepted},
		"completed, membership lapsed":       {lapsed, completed, StatusAccepted},
		"unknown job, calm":                  {calm, "00000000000000ff", later},
		"unknown job, joins are late":        {late, "00000000000000ff", later},
		"unknown job, membership is lapsed ": {lapsed, "00000000000000ff", StatusNotOwner},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newStoringFixture()
			f.control.EventLog = discardedLog{}
			f.restoreJob(running, dispatch.JobRunning, dispatch.TaskRunning)
			f.restoreJob(completed, dispatch.JobCompleted, dispatch.TaskDone)
			f.now.Advance(clock.Second)
			f.control.membership.confirmedBootAt.Store(int64(f.now.Now()))
			c.prepare(f)
			reply := make(chan Reply, 1)
			f.control.handleRequest(requestMessage{request: &Request{Kind: KindState, Job: c.job}, replyTo: reply})
			got := later
			if len(reply) > 0 {
				got = (<-reply).Status
			}
			is.Equal(got, c.want)
			is.Equal(f.control.Counters.RefusedAnswers.Load() == 1, c.want == StatusNotOwner)
			f.group.Stop()
			is.NoErr(f.group.Wait())
		})
	}
}

// Guards against a proof that a fenced owner takes for given, and against one that
// never comes.
func TestStatesInDoubtAreProved(t *testing.T) {
	for name, c := range map[string]struct {
		fenced bool // another owner has used a higher epoch
		want   Status
	}{
		"owner":  {false, StatusAccepted},
		"former": {true, StatusUndetermined},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newStoringFixture()
			store := &replacedOwnerStore{fenced: c.fenced}
			f.control.Store, f.control.EventLog, f.owned.cancel = store, discardedLog{}, func() {}
			f.restoreJob("000000000000000a", dispatch.JobRunning, dispatch.TaskRunning)
			f.now.Advance(400) // since the last join
			reply := make(chan Reply, 1)
			f.control.handleRequest(requestMessage{request: &Request{Kind: KindState, Job: "000000000000000a"}, replyTo: reply})
			is.Equal(len(reply), 0)
			f.tick()
			is.Equal(len(reply), 1)
			is.Equal((<-reply).Status, c.want)
			is.Equal(store.appends, 1)
			f.group.Stop()
			is.NoErr(f.group.Wait())
		})
	}
}
