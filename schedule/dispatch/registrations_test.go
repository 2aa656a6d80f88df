package dispatch

import (
	"maps"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Guards against an executor that is lost to its owner, with runs that are never
// stopped, because the list of executors showed an entry of an earlier incarnation.
func TestEntriesOfAnEarlierIncarnationAreCorrected(t *testing.T) {
	for name, c := range map[string]struct {
		again bool // the entry of the current incarnation follows
	}{
		"no later entry":        {false},
		"current entry is next": {true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newRestartFixture()
			f.restart()
			f.submit("j", Step{Count: 4, Size: resources(3000), Estimate: clock.Minute})
			f.takeOver("j") // the next owner has seen no incarnation before the current one
			f.runFor(clock.Second)
			is.True(len(f.running) > 0)
			entry := f.shard.executors.Get("x0").Registration
			entry.Incarnation = 1
			f.shard.ApplyRegistrations(f.now, Registrations{Entries: []Registration{entry}}, anyExecutor)
			if c.again {
				f.register()
			}
			f.shard.Cancel(f.now, unit.UnixMillis(f.now), "j")
			f.runFor(clock.Second)
			is.Equal(len(f.running), 0)
			is.Equal(f.countRuns("j"), 0)
			f.register()
			f.submit("k", Step{Count: 4, Size: resources(3000), Estimate: clock.Minute})
			f.runFor(clock.Second)
			is.True(len(f.running) > 0) // the executor is used again
		})
	}
}

// Guards against a task that runs twice after a takeover: the list of executors still
// has the entry of an earlier incarnation, so that a restart is taken for a new one.
func TestRunsStayAssignedIfTheEntryIsOutdated(t *testing.T) {
	is := is.New(t)
	f := newRestartFixture()
	f.restart()
	f.register()
	f.submit("j", Step{Count: 4, Size: resources(3000), Estimate: clock.Minute})
	f.runFor(clock.Second)
	runs := maps.Clone(f.running)
	is.True(len(runs) > 0)
	current := f.incarnation
	f.incarnation = 1
	f.takeOver("j")
	f.incarnation = current
	for range 50 {
		f.runFor(20)
		for id := range f.running {
			_, elsewhere := f.runs["x1"][id]
			is.True(!elsewhere)
		}
	}
	is.True(maps.Equal(f.running, runs))
}
