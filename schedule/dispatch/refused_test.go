package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Guards against traces of a job that the store refused for good, which would be
// taken for those of a later submission under its id, and against a start of it.
func TestRefusedJobsLeaveNothing(t *testing.T) {
	for name, cancelled := range map[string]bool{"open": false, "cancelled": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1)
			f.submit("j", Step{Count: 2, Size: resources(1000)}, Step{Count: 2, Size: resources(1000)})
			if cancelled {
				is.True(f.shard.Cancel(f.now, unit.UnixMillis(f.now), "j"))
			}
			changes, _ := f.shard.Tick(f.now, unit.UnixMillis(f.now), true)
			is.True(len(changes) > 0)
			f.shard.HandleRefused("j")
			f.shard.HandleStored(f.now)
			is.Equal(f.shard.openJobs, 0)
			is.Equal(len(f.shard.executors.Get("x0").runs), 0)
			f.submit("j", Step{Count: 1, Size: resources(1000)})
			f.now = f.now.Add(DefaultLimits.StatusRetention)
			f.runFor(2 * clock.Second)
			is.True(f.shard.HasJob("j"))
			is.Equal(f.countRuns("j"), 1)
			is.Equal(f.shard.openJobs, 1)
		})
	}
}

// Guards against a start whose run is not stored, because the store refused the
// record of a job that it has in an earlier state.
func TestRefusedChangesStartNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	f.submit("j", Step{Count: 1, Size: resources(1000)}, Step{Count: 2, Size: resources(1000), After: []int{0}})
	f.runFor(200)
	is.Equal(f.countRuns("j"), 1)
	f.shard.HandleAnswer(f.now, unit.UnixMillis(f.now), &Order{To: f.shard.executors.Get("x0").target(), Hold: &HoldOrder{Sent: f.now}}, &Answer{
		Outcome: OutcomeDone, Clock: unit.ExecutorMillis(f.now), Incarnation: 1,
		Finished: []FinishedRun{{Number: 1, Task: TaskID{Job: "j"}, Run: 1, Kind: EndDone}},
	}, nil)
	clear(f.runs["x0"])
	for range 3 {
		f.shard.Tick(f.now, unit.UnixMillis(f.now), true)
		f.shard.HandleRefused("j")
		f.shard.HandleStored(f.now)
		_, orders := f.shard.Tick(f.now, unit.UnixMillis(f.now), false)
		for _, o := range orders {
			is.True(o.Start == nil)
		}
		f.now += 20
	}
	f.shard.executors.Get("x0").holdInFlight = false // the holds above have no answer
	f.runFor(clock.Second)
	is.Equal(f.countRuns("j"), 2) // the second step, once the record is stored
}
