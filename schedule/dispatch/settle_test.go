package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Guards against an executor in use that is given up, or an executor that is
// held, because another writer left an entry under its key that can't be decoded.
func TestUndecodableEntriesChangeNoExecutor(t *testing.T) {
	first := Registration{Executor: "x0", Service: "s", Address: "a", Incarnation: 1, Capacity: unit.Resources{CPU: 8000, Memory: 16000}}
	second := first
	second.Executor = "x1"
	draining := first
	draining.Draining = true
	undecodable := []UndecodableEntry{{Executor: "x0"}, {Executor: "other"}, {}}
	for name, c := range map[string]struct {
		list   Registrations
		usable map[unit.Executor]bool
	}{
		"changes":                        {Registrations{Undecodable: undecodable}, map[unit.Executor]bool{"x0": true, "x1": true}},
		"complete list":                  {Registrations{Complete: true, Entries: []Registration{second}, Undecodable: undecodable}, map[unit.Executor]bool{"x0": true, "x1": true}},
		"complete list without an entry": {Registrations{Complete: true, Entries: []Registration{second}}, map[unit.Executor]bool{"x1": true}},
		"removed before":                 {Registrations{Removed: []unit.Executor{"x0"}, Undecodable: undecodable}, map[unit.Executor]bool{"x1": true}},
		"replaced by a draining one":     {Registrations{Entries: []Registration{draining}, Undecodable: undecodable}, map[unit.Executor]bool{"x1": true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2)
			f.shard.ApplyRegistrations(f.now, c.list, anyExecutor)
			f.runFor(reregistrationGrace + clock.Second)
			for _, id := range []unit.Executor{"x0", "x1"} {
				e := f.shard.executors.Get(id)
				is.Equal(e != nil && e.usable(f.now), c.usable[id]) // x0, then x1
			}
			is.True(f.shard.executors.Get("other") == nil)
			is.True(f.shard.executors.Get("") == nil)
		})
	}
}

// Guards against calls to an executor of a service that no queue names, such as
// one in an entry of another writer, and against an executor that a queue or an
// accepted job needs and that is not held.
func TestOnlyExecutorsOfNamedServicesAreHeld(t *testing.T) {
	for name, c := range map[string]struct {
		config  *Config // nil before the first one is known
		service unit.Service
		job     unit.Service // of the queue of an accepted job, empty if there is no job
		held    bool
	}{
		"named by a queue":          {&Config{Version: 1, Queues: []Queue{{Name: "q", Service: "s"}}}, "s", "", true},
		"named by no queue":         {&Config{Version: 1, Queues: []Queue{{Name: "q", Service: "s"}}}, "other", "", false},
		"no queues":                 {&Config{Version: 1}, "s", "", false},
		"no configuration":          {nil, "s", "", true},
		"queue of a job is dropped": {&Config{Version: 1, Queues: []Queue{{Name: "q", Service: "s"}}}, "other", "other", true},
		"queue of a job has moved":  {&Config{Version: 1, Queues: []Queue{{Name: "dropped", Service: "s"}}}, "other", "other", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(0)
			if c.job != "" {
				is.NoErr(f.shard.Submit(f.now, unit.UnixMillis(f.now), &Spec{
					ID: "j", Queue: Queue{Name: "dropped", Service: c.job, MaxAttempts: 1, SlackFactor: 1},
					Steps: []Step{{Count: 1, Size: resources(100)}},
				}))
			}
			f.shard.Configure(c.config)
			f.shard.ApplyRegistrations(f.now, Registrations{Entries: []Registration{
				{Executor: "x0", Service: c.service, Address: "a", Incarnation: 1, Capacity: unit.Resources{CPU: 8000, Memory: 16000}},
			}}, anyExecutor)
			_, orders := f.shard.Tick(f.now, unit.UnixMillis(f.now), false)
			is.Equal(len(orders) == 1 && orders[0].Hold != nil, c.held)
			is.Equal(len(orders) > 0, c.held)
			// An executor is held as soon as a queue names its service.
			f.shard.Configure(&Config{Version: 2, Queues: []Queue{{Name: "q", Service: c.service}}})
			_, more := f.shard.Tick(f.now, unit.UnixMillis(f.now), false)
			is.Equal(len(more) > 0, !c.held)
		})
	}
}

// Guards against a task that starts again although a run of it is listed as done: the
// start was carried out late, after the task had been taken from its executor.
func TestEndsOfReleasedRunsCount(t *testing.T) {
	for name, c := range map[string]struct {
		kind EndKind
		want JobState
	}{
		"done":   {EndDone, JobCompleted},
		"failed": {EndFailed, JobRunning},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newRestartFixture()
			f.shard.executors.Get("x1").suspectUntil = clock.Never // takes no runs
			f.submit("j", Step{Count: 1, Size: resources(1000), Estimate: clock.Minute})
			f.silent = true
			f.runFor(20 * clock.Second)
			f.restart()
			f.running[TaskID{Job: "j"}] = 1
			f.end(TaskID{Job: "j"}, c.kind)
			f.silent = false
			f.register()
			f.runFor(clock.Second)
			state, _ := f.shard.State("j")
			is.Equal(state, c.want)
		})
	}
}
