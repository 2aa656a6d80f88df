package dispatch

import (
	"maps"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Guards against a run of a cancelled job that starts unnoticed: an executor loses its
// row, comes back under its id and accepts a start from before, unless its token is higher.
func TestStartsFromBeforeTheRemovalOfAnExecutorAreFenced(t *testing.T) {
	for name, c := range map[string]struct {
		restarts int // of the executor before the start
	}{
		"first incarnation":  {0},
		"second incarnation": {1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newRestartFixture()
			for range c.restarts {
				f.restart()
				f.register()
				f.runFor(clock.Second)
			}
			f.submit("j", Step{Count: 4, Size: resources(3000), Estimate: clock.Minute})
			f.silent = true
			f.runFor(500)
			var late *StartOrder
			for _, o := range f.received {
				if o.Start != nil {
					late = o.Start
				}
			}
			is.True(late != nil)
			clear(f.running) // the executor defers the start
			f.shard.Cancel(f.now, unit.UnixMillis(f.now), "j")
			f.shard.ApplyRegistrations(f.now, Registrations{Removed: []unit.Executor{"x0"}}, anyExecutor)
			entry := f.shard.executors.Get("x0").Registration
			f.runFor(20 * clock.Second)
			is.True(f.shard.executors.Get("x0") == nil)

			f.restart()
			f.silent, f.received = false, nil
			entry.Incarnation = f.incarnation
			f.shard.ApplyRegistrations(f.now, Registrations{Entries: []Registration{entry}}, anyExecutor)
			f.runFor(clock.Second)
			highest := unit.Token(0)
			for i := range f.received {
				highest = max(highest, f.received[i].token())
			}
			is.True(highest > late.Token) // the executor refuses the late start
		})
	}
}

// Guards against a run of an ended job that stays without a trace of what its stop
// waits for.
func TestDelayedStopsAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		delay func(f *restartFixture)
		want  map[string]string // reason by kind of event
	}{
		"executor answers": {func(*restartFixture) {}, map[string]string{"runsStopped": "cancelled"}},
		"executor is silent": {
			func(f *restartFixture) { f.silent, f.ignoresStops = true, true },
			map[string]string{"stopDelayed": "executor does not answer"},
		},
		"unexpected run": {
			func(f *restartFixture) { f.running[TaskID{Job: "unknown"}] = 1 },
			map[string]string{"runsStopped": "cancelled", "unexpectedRun": "job is unknown"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newRestartFixture()
			got := make(map[string]string)
			f.shard.Report = func(e Event) {
				if e.Kind == "stopDelayed" || e.Kind == "runsStopped" || e.Kind == "unexpectedRun" {
					got[e.Kind] = e.Reason
				}
			}
			f.submit("j", Step{Count: 4, Size: resources(3000), Estimate: clock.Minute})
			f.runFor(clock.Second)
			is.True(len(f.running) > 0)
			c.delay(f)
			f.shard.Cancel(f.now, unit.UnixMillis(f.now), "j")
			f.runFor(3 * clock.Second)
			is.True(maps.Equal(got, c.want))
		})
	}
}

// Guards against a run of a cancelled job that starts unnoticed: an executor restarts,
// carries out a start from before, and is not held since no queue uses its service.
func TestLateStartsOfAnUnusedServiceAreStopped(t *testing.T) {
	for name, removed := range map[string]bool{"restart": false, "restart, row dropped": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newRestartFixture()
			f.submit("j", Step{Count: 4, Size: resources(3000), Estimate: clock.Minute})
			f.runFor(clock.Second)
			is.True(len(f.running) > 0)
			runs := maps.Clone(f.running)
			f.shard.Cancel(f.now, unit.UnixMillis(f.now), "j")
			f.shard.Configure(&Config{Version: 1, Queues: []Queue{{Name: "other", Service: "other"}}})
			f.runFor(clock.Second)
			is.Equal(len(f.running), 0)
			entry := f.shard.executors.Get("x0").Registration
			if removed {
				f.shard.ApplyRegistrations(f.now, Registrations{Removed: []unit.Executor{"x0"}}, anyExecutor)
				f.runFor(5 * clock.Second)
				is.True(f.shard.executors.Get("x0") == nil)
			}
			f.restart()
			entry.Incarnation = f.incarnation
			f.shard.ApplyRegistrations(f.now, Registrations{Entries: []Registration{entry}}, anyExecutor)
			maps.Copy(f.running, runs) // copies of the start orders arrive late
			f.runFor(clock.Second)
			is.Equal(len(f.running), 0)
		})
	}
}
