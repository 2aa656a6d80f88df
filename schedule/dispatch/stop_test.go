package dispatch

import (
	"maps"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

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
