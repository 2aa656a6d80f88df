package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// TestUrgency guards against a job that is placed behind others although it can be
// done in time, and against one that waits without bound behind others.
func TestUrgency(t *testing.T) {
	chain := []Step{{Count: 1, Estimate: 1000}, {Count: 1, Estimate: 500, After: []int{0}}}
	lasting := []Step{{Count: 1, Perpetual: true}}
	objective := Queue{Name: "q", TargetLatency: 1000, SlackFactor: 2} // 4 s for chain
	for name, c := range map[string]struct {
		queue   Queue
		steps   []Step
		step    int
		age     clock.Span // of the job
		waiting clock.Span // of the step
		want    urgency
	}{
		"new":                       {objective, chain, 0, 0, 0, urgencyInTime},
		"just in time":              {objective, chain, 0, 2500, 2500, urgencyInTime},
		"within the allowance":      {objective, chain, 0, 3500, 3500, urgencyInTime},
		"late":                      {objective, chain, 0, 3600, 3600, urgencyLate},
		"last step in time":         {objective, chain, 1, 3600, 0, urgencyInTime},
		"hopeless":                  {objective, chain, 1, 12600, 0, urgencyHopeless},
		"late, has yielded":         {objective, chain, 0, maxYield, maxYield, urgencyInTime},
		"first perpetual run":       {objective, lasting, 0, 0, 0, urgencyLasting},
		"perpetual, has yielded":    {objective, lasting, 0, maxYield, maxYield, urgencyInTime},
		"queue without objective":   {Queue{Name: "q"}, chain, 0, 9000, 9000, urgencyInTime},
		"perpetual, none of either": {Queue{Name: "q"}, lasting, 0, 9000, 9000, urgencyInTime},
	} {
		t.Run(name, func(t *testing.T) {
			var s Shard
			now := clock.Millis(100_000)
			j := &Job{Spec: &Spec{ID: "j", Queue: c.queue, Steps: c.steps}}
			j.dueAt = now.Add(latencyObjective(j.Spec) - c.age)
			ready := &readyStep{since: now.Add(-c.waiting)}
			is.New(t).Equal(s.urgencyOf(now, stepKey{"j", 0, c.step}, j, ready), c.want)
		})
	}
}

// TestBatchDemand guards against a reserve that follows the room that batch tasks got
// instead of what was asked for, and against one without bound.
func TestBatchDemand(t *testing.T) {
	const total, capacity = unit.MilliCPU(3_200_000), unit.MilliCPU(32_000)
	for name, c := range map[string]struct {
		cores    float64    // mean load that is handed in, in cores, for 30 s
		idle     clock.Span // after that
		min, max unit.MilliCPU
	}{
		"none":                   {0, 0, 0, 0},
		"small":                  {100, 0, 100_000, 150_000},
		"more than may be kept":  {1000, 0, 320_000, 320_000},
		"a trough of the load":   {200, 8 * clock.Second, 180_000, 280_000},
		"a load that has ceased": {200, 5 * clock.Minute, 0, 10_000},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d batchDemand
			now := clock.Millis(1000)
			d.update(now)
			is.Equal(d.size(now, total, capacity), unit.MilliCPU(initialBatchShare*float64(total)))
			// A job has 10 tasks of 5 cores and 500 ms.
			for owed := 0.0; now < 31_000; now += 100 {
				for owed += c.cores * 100 / (10 * 5 * 500); owed >= 1; owed-- {
					d.offer(&Step{Count: 10, Size: resources(5000), Estimate: 500})
				}
				d.update(now)
			}
			now = now.Add(c.idle)
			d.update(now)
			got := d.size(now, total, capacity)
			is.True(got >= c.min)
			is.True(got <= c.max)
		})
	}
}

// TestDemandOfLargeJobs guards against one job with large sizes, estimates or counts
// that keeps the reserve at its most, and the load that lenders compare, for hours.
func TestDemandOfLargeJobs(t *testing.T) {
	for name, step := range map[string]Step{
		"longest estimate": {Count: 1, Size: resources(8000), Estimate: maxSpan},
		"most tasks":       {Count: maxTasks, Size: resources(8000), Estimate: clock.Hour},
		"largest of all":   {Count: maxTasks, Size: resources(maxSize), Estimate: maxSpan},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(20)
			f.submit("large", step)
			total := unit.MilliCPU(20 * 8000)
			for range 10 {
				f.runFor(100)
				need := f.shard.batchDemandOf("s").need()
				is.True(need >= 0 && need <= total)
			}
			f.shard.Cancel(f.now, unit.UnixMillis(f.now), "large")
			f.runFor(100)
			for range 10 * 60 {
				f.now = f.now.Add(clock.Second)
				f.shard.pools(f.now)
			}
			is.True(f.shard.batchDemandOf("s").need() < total/1000)
		})
	}
}

// TestStarvedJobsLeaveTheReserve guards against a perpetual job that fills the
// executors that are kept for batch tasks because no task of it runs yet.
func TestStarvedJobsLeaveTheReserve(t *testing.T) {
	is := is.New(t)
	f := newFixture(20) // of which two are reserved
	f.submit("service", Step{Count: 18, Size: resources(8000), Perpetual: true})
	f.runFor(200)
	is.Equal(f.countRuns("service"), 18)
	f.submit("late", Step{Count: 4, Size: resources(2000), Perpetual: true})
	f.runFor(starvationTimeout + 500)
	is.Equal(f.countRuns("late"), 1)
	f.submit("batch", Step{Count: 3, Size: resources(4000)})
	f.runFor(100)
	is.Equal(f.countRuns("batch"), 3)
}

// TestChains guards against a job that is taken to be late, or in time, by the work of
// steps that do not follow the one that is ready.
func TestChains(t *testing.T) {
	steps := []Step{
		{Estimate: 100}, {Estimate: 700}, {Estimate: 200, After: []int{0}}, {Estimate: 50, After: []int{0, 1}}, {Estimate: 10, After: []int{2, 3}},
	}
	j := Job{Spec: &Spec{Steps: steps}}
	for step, want := range []clock.Span{310, 760, 210, 60, 10} {
		is.New(t).Equal(j.chainFrom(step), want)
	}
}
