package dispatch

import (
	"maps"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Guards against a gang that fails before its attempts are used up, because each
// member that fails in a run counts, and against one that starts again afterwards.
func TestGangsFailOnceARun(t *testing.T) {
	for name, c := range map[string]struct {
		failing  []int // members that fail, by run
		takeOver bool  // another owner takes over between the ends of a run
		legacy   bool  // the record of the job has no count
		failed   bool
	}{
		"one run":                       {[]int{2}, false, false, false},
		"all members of one run":        {[]int{4}, false, false, false},
		"two runs":                      {[]int{1, 1}, false, false, true},
		"two runs, several members":     {[]int{3, 2}, false, false, true},
		"one run and a sound one":       {[]int{2, 0}, false, false, false},
		"one run, two owners":           {[]int{2}, true, false, false},
		"two runs, two owners":          {[]int{2, 1}, true, false, true},
		"one run, record without count": {[]int{2}, true, true, false},
		"two runs, same":                {[]int{1, 1}, true, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newRestartFixture()
			f.submit("j", Step{Count: 4, Size: resources(1000), Gang: true, Needs: "r0"}) // all on x0
			for _, failing := range c.failing {
				f.runFor(5 * clock.Second) // a suspect executor is used again
				is.Equal(len(f.running), 4)
				for i := range failing {
					f.end(TaskID{Job: "j", Index: i}, EndFailed)
					if c.takeOver && i == 0 {
						f.runFor(100)
						if j := f.shard.jobs.Get("j"); c.legacy && !j.State.Ended() {
							j.Occurrences[0].Steps[0].Gang = GangFailures{}
						}
						f.takeOver("j")
						f.runFor(100)
					}
				}
				for id := range maps.Clone(f.running) {
					f.end(id, EndBroken)
				}
			}
			f.runFor(5 * clock.Second)
			state, ok := f.shard.State("j")
			is.True(ok)
			is.Equal(state == JobFailed, c.failed)
			is.Equal(len(f.running) == 4, !c.failed) // the next run
			if !c.failed {
				for id := range maps.Clone(f.running) {
					f.end(id, EndDone)
				}
				f.runFor(clock.Second)
				state, _ = f.shard.State("j")
				is.Equal(state, JobCompleted)
			}
		})
	}
}

// Guards against the failures of one gang that count for another occurrence.
func TestGangFailuresAreCountedByOccurrence(t *testing.T) {
	is := is.New(t)
	f := newRestartFixture()
	is.NoErr(f.shard.Submit(f.now, unit.UnixMillis(f.now), &Spec{
		ID: "j", Queue: Queue{Service: "s", MaxAttempts: 2}, Repeat: 2, Interval: 10,
		Steps: []Step{{Count: 2, Size: resources(1000), Gang: true, Needs: "r0"}},
	}))
	f.runFor(clock.Second)
	is.Equal(len(f.running), 4)
	for id := range maps.Clone(f.running) {
		f.end(id, EndFailed)
	}
	f.runFor(5 * clock.Second)
	state, _ := f.shard.State("j")
	is.Equal(state, JobRunning)
	is.Equal(len(f.running), 4)
}
