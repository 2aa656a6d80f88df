package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Guards against waits that don't pay for the caller or for those behind, and against
// starts elsewhere where a wait does.
func TestExpectedTimePolicy(t *testing.T) {
	base := placeChoice{
		runTime: 1000, variation: 0.2, factor: 3, wait: 500, waitSpread: 100, maxWait: clock.Minute,
		slack: 2500, objective: 2500, slowed: 1, hitRate: 1,
	}
	for name, c := range map[string]struct {
		change func(c *placeChoice)
		waits  bool
	}{
		"room soon":                              {func(*placeChoice) {}, true},
		"no gain":                                {func(c *placeChoice) { c.factor = 1 }, false},
		"later than the run elsewhere ends":      {func(c *placeChoice) { c.wait = 2100 }, false},
		"limit passed":                           {func(c *placeChoice) { c.waited = 1600 }, false},
		"nothing of the job runs":                {func(c *placeChoice) { c.maxWait = 400 }, false},
		"room seldom comes":                      {func(c *placeChoice) { c.hitRate = 0.3 }, false},
		"others end later anyway":                {func(c *placeChoice) { c.others, c.wait, c.factor, c.slack = 1600, 600, 1.6, clock.Minute }, false},
		"others end later and pool is full":      {func(c *placeChoice) { c.others, c.wait, c.factor, c.shortage = 1600, 600, 1.6, 1 }, true},
		"uncertain wait would miss objective":    {func(c *placeChoice) { c.wait, c.waitSpread, c.factor, c.slack = 400, 800, 1.5, 2200 }, false},
		"longer than gain, but the pool is full": {func(c *placeChoice) { c.wait, c.shortage = 2500, 1 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			choice := base
			c.change(&choice)
			option, ok := bestCandidate(expectedTimePolicy{}, placeOptions, &choice)
			is.True(ok)
			is.Equal(option == waitForRack, c.waits)
		})
	}
}

// near returns a step with tasks that take up an executor of a rack each.
func near(rack unit.Rack, count int) Step {
	return Step{Count: count, Size: resources(rackExecutorCPU), Estimate: 1000, Near: rack}
}

// Guards against waits where none is to be weighed, against two tasks that wait for the
// same room, against a wait that has no end, and against one that starts anew.
func TestRackWaits(t *testing.T) {
	for name, c := range map[string]struct {
		load      rackLoad
		play      func(f *rackFleet)
		waits     int
		onRack    int // tasks of job b on r0, its rack
		elsewhere int
		lapsed    int // promises
	}{
		"room soon": {
			load: rackLoad{racks: 2, perRack: 1, factor: 3},
			play: func(f *rackFleet) { f.run(400) }, waits: 1, onRack: 1,
		},
		"no factor": {
			load: rackLoad{racks: 2, perRack: 1, factor: 1},
			play: func(f *rackFleet) { f.run(400) }, elsewhere: 1,
		},
		"one room for two": {
			load: rackLoad{racks: 3, perRack: 1, factor: 3},
			play: func(f *rackFleet) { f.add("c", 1000, near("r0", 1)); f.run(400) }, waits: 1, onRack: 1,
		},
		"run longer than estimated": {
			load: rackLoad{racks: 2, perRack: 1, factor: 3},
			play: func(f *rackFleet) { f.extend(0, "a", 10*clock.Second); f.run(1200) }, waits: 1, elsewhere: 1,
		},
		"executor drains": {
			load: rackLoad{racks: 2, perRack: 1, factor: 3, drained: 1},
			play: func(f *rackFleet) { f.run(100); f.disturb(); f.run(50) }, waits: 1, lapsed: 1, elsewhere: 1,
		},
		"executor is lost": {
			load: rackLoad{racks: 2, perRack: 1, factor: 3, lost: 1},
			play: func(f *rackFleet) { f.run(100); f.disturb(); f.run(100) }, waits: 1, lapsed: 1, elsewhere: 1,
		},
		"run fails after the wait": {
			load: rackLoad{racks: 2, perRack: 1, factor: 3},
			play: func(f *rackFleet) { f.extend(0, "a", 10*clock.Second); f.run(1200); f.fail(1, "b"); f.run(100) }, waits: 1, elsewhere: 1,
		},
		"takeover": {
			load: rackLoad{racks: 2, perRack: 1, factor: 3},
			play: func(f *rackFleet) { f.run(100); f.takeOver(); f.run(1000) }, waits: 1, elsewhere: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, r := newRackFleet(c.load, 1, nil, false)
			f.run(200)
			f.add("a", 1000, near("r0", 1))
			f.run(700)
			f.add("b", 1000, near("r0", 1))
			c.play(f)
			is.Equal(r.events["waitsForRack"], c.waits)
			is.Equal(r.events["rackPromiseLapsed"], c.lapsed)
			racks := f.racksOf("b")
			is.Equal(racks["r0"], c.onRack)
			is.Equal(racks["r1"], c.elsewhere)
		})
	}
}

// Guards against groups that are spread although a rack has room for all, now or soon,
// and against a group that holds room while it waits.
func TestGroupRacks(t *testing.T) {
	group := func(count int, gang bool) Step {
		return Step{Count: count, Size: resources(rackExecutorCPU), Estimate: 1000, SameRack: true, Gang: gang}
	}
	for name, c := range map[string]struct {
		busy  int // executors of r1 that a run of 1 s has
		step  Step
		racks int // racks on which the tasks are in the end
		waits bool
		held  int // runs while it waits; those of a gang would hold room in vain
	}{
		"one rack has room":        {0, group(3, false), 1, false, 0},
		"gang, one rack has room":  {0, group(3, true), 1, false, 0},
		"rack has room soon":       {1, group(3, false), 1, true, 0},
		"gang, rack has room soon": {1, group(3, true), 1, true, 0},
		"no rack holds it at once": {0, group(4, false), 1, true, 2},
		"gang, no rack holds it":   {0, group(4, true), 2, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, r := newRackFleet(rackLoad{racks: 2, perRack: 3, factor: 3}, 1, nil, false)
			f.run(200)
			f.add("r0", 3000, near("r0", 1)) // r0 has room for two
			if c.busy > 0 {
				f.add("r1", 600, Step{Count: c.busy, Size: resources(rackExecutorCPU), Estimate: 600, Near: "r1"})
			}
			f.run(100)
			f.add("b", 1000, c.step)
			f.run(100)
			is.Equal(r.events["waitsForRack"] > 0, c.waits)
			if c.waits {
				is.Equal(f.shard.Summarize().Tasks[TaskReady.String()], c.step.Count-c.held)
				is.Equal(len(f.shard.Summarize().RackWaits), 1)
			}
			f.run(800)
			is.Equal(len(f.racksOf("b")), c.racks)
		})
	}
}

// Guards against remaining times that ignore what the progress and the earlier runs of
// a kind tell.
func TestRemainingTime(t *testing.T) {
	j := &Job{Queue: "q"}
	st := &Step{Estimate: 1000, Image: "i"}
	for name, c := range map[string]struct {
		samples []clock.Span
		task    Task
		want    clock.Span
	}{
		"estimate":        {nil, Task{State: TaskRunning, runningSince: 1000}, 600},
		"not confirmed":   {nil, Task{State: TaskStarting}, 1000},
		"learned":         {[]clock.Span{2000, 2000, 2000, 2000, 2000}, Task{State: TaskRunning, runningSince: 1000}, 1600},
		"rate":            {nil, Task{State: TaskRunning, runningSince: 1000, firstProgress: 40, firstProgressAt: 1100, progress: 60, progressChangedAt: 1400}, 600},
		"little progress": {nil, Task{State: TaskRunning, runningSince: 1000, firstProgressAt: 1100, progress: 5, progressChangedAt: 1400}, 600},
		"overdue":         {nil, Task{State: TaskRunning, runningSince: -4000}, 250},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := Shard{runTimes: make(runTimeTable)}
			for _, actual := range c.samples {
				s.runTimes.add(runKind{j.Queue, st.Image}, st.Estimate, actual)
			}
			got, _ := s.remainingTime(1400, j, st, &c.task, &Executor{})
			is.Equal(got, c.want)
		})
	}
}

// TestRunTimesOfFarOffEstimates guards against forecasts that overflow because the
// estimates of one kind of runs, which callers choose, are off by many orders.
func TestRunTimesOfFarOffEstimates(t *testing.T) {
	for name, c := range map[string]struct{ estimates []clock.Span }{
		"too low":        {[]clock.Span{1}},
		"too high":       {[]clock.Span{maxSpan}},
		"low and high":   {[]clock.Span{1, maxSpan}},
		"one of several": {[]clock.Span{1000, 1000, 1000, 1000, maxSpan}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := Shard{runTimes: make(runTimeTable)}
			for n := range 100 {
				s.runTimes.add(runKind{}, c.estimates[n%len(c.estimates)], 1000)
			}
			for _, estimate := range []clock.Span{1, 1000, maxSpan} {
				mean, variation := s.expectedRunTime(&Job{}, &Step{Estimate: estimate})
				is.True(mean >= 1 && mean <= maxSpan)
				is.True(variation >= 0 && variation <= maxVariation)
			}
		})
	}
}
