package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Guards against a job that is stored without its spec, and so lost with its owner: it
// is submitted again while the deletion of its former state is being stored.
func TestJobsSubmittedAgainAreStoredWhole(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	f.submit("j", Step{Count: 1, Size: resources(1000), Estimate: clock.Minute})
	f.runFor(clock.Second)
	f.shard.Cancel(f.now, unit.UnixMillis(f.now), "j")
	f.runFor(clock.Second)
	f.now = f.now.Add(f.shard.Limits.StatusRetention)
	changes, _ := f.shard.Tick(f.now, unit.UnixMillis(f.now), true)
	is.Equal(len(changes), 1)
	is.True(changes[0].Drop)
	f.submit("j", Step{Count: 1, Size: resources(1000), Estimate: clock.Minute})
	f.shard.HandleStored(f.now)
	_, stored := f.shard.State("j")
	is.True(!stored) // the append had no record of the new job
	changes, _ = f.shard.Tick(f.now, unit.UnixMillis(f.now), true)
	is.Equal(len(changes), 1)
	is.True(changes[0].Spec != nil)
}
