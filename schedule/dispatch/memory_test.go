package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// TestJobBytes guards against memory of jobs that stays counted after their end,
// after which the shard would refuse all jobs, or is not counted after a takeover.
func TestJobBytes(t *testing.T) {
	for name, end := range map[string]func(f *fixture){
		"completed": func(f *fixture) {
			f.runFor(100)
			f.endRun(TaskID{Job: "j"}, EndDone)
			f.endRun(TaskID{Job: "j", Index: 1}, EndDone)
		},
		"cancelled": func(f *fixture) { f.shard.Cancel(f.now, unit.UnixMillis(f.now), "j") },
		"refused by the store": func(f *fixture) {
			f.shard.Tick(f.now, unit.UnixMillis(f.now), true)
			f.shard.HandleRefused("j")
			f.shard.HandleStored(f.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1)
			f.submit("j", Step{Count: 2, Size: resources(1000)})
			f.submit("j", Step{Count: 2, Size: resources(1000)}) // sent again
			spec := f.shard.jobs.Get("j").Spec
			is.True(spec.JobBytes() > 300)
			is.Equal(f.shard.JobBytes(), spec.JobBytes())
			ended := Shard{Limits: DefaultLimits}
			ended.Restore(0, 0, "j", Job{State: JobCancelled}, spec) // before its first occurrence
			ended.Tick(0, unit.UnixMillis(DefaultLimits.StatusRetention), true)
			is.Equal(ended.JobBytes(), unit.Bytes(0))
			successor := Shard{Limits: DefaultLimits}
			successor.Restore(0, 0, "j", Job{State: JobQueued}, spec)
			is.Equal(successor.JobBytes(), spec.JobBytes())
			end(f)
			f.runFor(2 * clock.Second)
			is.Equal(f.shard.JobBytes(), unit.Bytes(0))
		})
	}
}
