package dispatch

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
)

// TestOverTargetUntilRecovered guards against serving tasks that stay above their
// target because single rough measurements are below it.
func TestOverTargetUntilRecovered(t *testing.T) {
	for name, c := range map[string]struct {
		latencies []float64 // of one list each, in ms, with a target of 100
		paused    bool      // the best-effort tasks, after the last list
	}{
		"below":                {[]float64{80, 80, 80, 80, 80}, false},
		"above":                {[]float64{110, 110, 110, 110, 110}, true},
		"above and near":       {[]float64{110, 98, 105, 95, 110}, true},
		"above, then well":     {[]float64{110, 110, 110, 80, 110}, false},
		"never above":          {[]float64{95, 98, 99, 95, 99}, false},
		"above for a moment":   {[]float64{80, 80, 80, 80, 110}, false},
		"recovered in the end": {[]float64{110, 110, 110, 110, 80}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &Shard{Limits: Limits{MaxOverTarget: 2 * clock.Second}}
			e := s.executors.Put("x", Executor{Registration: Registration{Executor: "x", Capacity: resources(8000)}})
			for i, latency := range c.latencies {
				sample := interferenceSample{at: clock.Millis(1000 + 500*i), tailLatencies: map[TaskID]tailLatency{{Job: "s"}: {"image", latency, 100}}}
				s.updateInterference(sample.at, e, &sample)
			}
			now := clock.Millis(1000 + 500*(len(c.latencies)-1))
			is.Equal(e.overTargetSince > 0 && now.Sub(e.overTargetSince) > s.Limits.MaxOverTarget/2, c.paused)
		})
	}
}

// TestPacesAreRepeated guards against best-effort runs that go on at a pace which the
// owner takes for changed, because the order was lost.
func TestPacesAreRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		err    error
		orders int // of a pace, after the next list
	}{
		"answered":  {nil, 0},
		"no answer": {errors.New("no answer"), 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newPacedFixture(1)
			f.submit("j", Step{Count: 1, Size: resources(1000), Fills: true, Estimate: 10_000, Image: "f"})
			f.play(500)
			id := TaskID{Job: "j"}
			_, _, task := f.shard.findTask(id)
			e := f.shard.executors.Get(task.Executor)
			task.targetPace, e.pacesChanged, f.shard.pendingOrders = 40, true, nil
			f.shard.sendPaces(f.now)
			is.Equal(len(f.shard.pendingOrders), 1)
			order := f.shard.pendingOrders[0]
			f.shard.pendingOrders = nil
			f.shard.HandleAnswer(f.now, 0, &order, &Answer{Outcome: OutcomeDone, Incarnation: e.Incarnation}, c.err)
			e.unresponsive, e.pacesChanged, f.shard.pendingOrders = false, true, nil
			f.shard.sendPaces(f.now)
			is.Equal(len(f.shard.pendingOrders), c.orders)
		})
	}
}
