package dispatch

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// checkTables returns an error if a count of s differs from the rows that it counts.
func checkTables(s *Shard) error {
	assigned, ready := make(map[*Job]int), make(map[stepKey]int)
	for _, e := range s.executors.All() {
		spread := make(map[stepKey]int)
		for i := range e.runs {
			a := &e.runs[i]
			assigned[a.job]++
			if e.indexOf(a.id) != i {
				return fmt.Errorf("%s is not found on %s", a.id, e.Executor)
			}
			if a.step.MaxPerExecutor > 0 {
				spread[stepKey{a.id.Job, a.id.Occurrence, a.id.Step}]++
			}
		}
		if len(e.runIndex) != len(e.runs) || len(e.stepRuns) != len(spread) {
			return fmt.Errorf("the indices of %s have %d and %d entries, want %d and %d", e.Executor, len(e.runIndex), len(e.stepRuns), len(e.runs), len(spread))
		}
		for k, n := range spread {
			if e.countRuns(k) != n {
				return fmt.Errorf("%s counts %d runs of %v, has %d", e.Executor, e.countRuns(k), k, n)
			}
		}
	}
	for k := range s.readySteps {
		k.occurrence = 0
		ready[k]++
	}
	for id, j := range s.jobs.All() {
		if j.assignedRuns != assigned[j] {
			return fmt.Errorf("%s counts %d assigned runs, has %d", id, j.assignedRuns, assigned[j])
		}
		if j.Spec == nil || j.State.Ended() {
			continue
		}
		open := 0
		for k := range j.Occurrences {
			if !j.Occurrences[k].done() {
				open += j.Spec.tasksPerOccurrence()
			}
		}
		if j.openTasks != open {
			return fmt.Errorf("%s counts %d open tasks, has %d", id, j.openTasks, open)
		}
		for i := range j.Spec.Steps {
			if q := j.stepQueue(i); q.ready != ready[stepKey{job: id, step: i}] {
				return fmt.Errorf("%s counts %d ready occurrences of step %d, has %d", id, q.ready, i, ready[stepKey{job: id, step: i}])
			}
		}
	}
	return nil
}

// repeatStep returns n steps like st.
func repeatStep(n int, st Step) []Step {
	steps := make([]Step, n)
	for i := range steps {
		steps[i] = st
	}
	return steps
}

// endOldRuns ends the runs that have been running for a time, as done.
func (f *fixture) endOldRuns(after clock.Span) {
	for _, e := range f.shard.executors.All() {
		for _, a := range slices.Clone(e.runs) { // the end of a gang removes several
			if a.task.State == TaskRunning && !a.step.Perpetual && f.now.Sub(a.task.runningSince) >= after {
				delete(f.runs[e.Executor], a.id)
				f.shard.handleRunEnd(f.now, unit.UnixMillis(f.now), e, &FinishedRun{Task: a.id, Run: a.run, Kind: EndDone})
			}
		}
	}
}

// Guards against jobs within the bounds of a submission whose number of tasks,
// occurrences or steps takes the control goroutine seconds in a tick, so that the
// owner loses its membership, and each of its successors after it. Counts stand for
// the time.
func TestLargeJobsAreBounded(t *testing.T) {
	const executors = 100
	large, small := unit.Resources{CPU: 40_000, Memory: 10}, unit.Resources{CPU: 10, Memory: 1}
	batch := func(size unit.Resources) Step { return Step{Count: 1, Size: size, Estimate: 100} }
	for name, c := range map[string]struct {
		steps  []Step
		repeat int
		ends   bool // all tasks of the job are done
		stuck  bool // some of its steps can never be done, beside others
	}{
		"schedule that fits nowhere":        {steps: repeatStep(12, batch(large)), repeat: 8640},
		"schedule that fits":                {steps: repeatStep(4, batch(small)), repeat: 300, ends: true},
		"schedule that fits in part":        {steps: append(repeatStep(6, batch(large)), repeatStep(6, batch(small))...), repeat: 8640, stuck: true},
		"schedule of large occurrences":     {steps: []Step{{Count: 4000, Size: small, Estimate: 100}, {Count: 4000, Size: small, Estimate: 100, After: []int{0}}}, repeat: 12, ends: true},
		"schedule of perpetual tasks":       {steps: []Step{{Count: 1, Size: large, Perpetual: true}}, repeat: 10_000},
		"many steps":                        {steps: repeatStep(MaxSteps, batch(large)), repeat: 3000},
		"many tasks":                        {steps: []Step{{Count: maxTasks, Size: small, Estimate: 100}}, ends: true},
		"gang that fits":                    {steps: []Step{{Count: maxTasks, Size: small, Estimate: 100, Gang: true}}, ends: true},
		"gang that is too large by one":     {steps: []Step{{Count: executors*8 + 1, Size: unit.Resources{CPU: 1000, Memory: 1}, Estimate: 100, Gang: true}}},
		"gang whose tasks fit nowhere":      {steps: []Step{{Count: maxTasks, Size: large, Estimate: 100, Gang: true}}, repeat: 20},
		"group that fits":                   {steps: []Step{{Count: maxTasks, Size: small, Estimate: 100, SameRack: true}}, ends: true},
		"gang that is too large for a rack": {steps: []Step{{Count: maxTasks, Size: unit.Resources{CPU: 50, Memory: 20}, Estimate: 100, SameRack: true, Gang: true}}, ends: true},
		"many tasks that are spread":        {steps: []Step{{Count: maxTasks, Size: small, Estimate: 100, MaxPerExecutor: 50}}, ends: true},
		"more perpetual tasks than room":    {steps: []Step{{Count: maxTasks, Size: unit.Resources{CPU: 1000, Memory: 1}, Perpetual: true}}},
		"many tasks with data on one rack":  {steps: []Step{{Count: maxTasks, Size: unit.Resources{CPU: 1000, Memory: 1}, Estimate: 100, Near: "r0"}}, ends: true},
		"occurrences that become due later": {steps: repeatStep(3, batch(small)), repeat: 50, ends: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(executors)
			f.shard.Shards, f.shard.Limits.RemoteFactor = 3, 3
			spec := &Spec{ID: "large", Queue: Queue{Name: "q", Service: "s", SlackFactor: 2, TargetLatency: 1000}, Steps: c.steps, Repeat: c.repeat, Interval: 1}
			is.NoErr(spec.Check())
			is.NoErr(f.shard.Submit(f.now, unit.UnixMillis(f.now), spec))
			row, others := f.shard.jobs.Get("large"), 0
			for n := range 300 {
				if n%30 == 0 {
					f.submit(unit.Job(fmt.Sprint("other", n)), Step{Count: 2, Size: unit.Resources{CPU: 100, Memory: 10}, Estimate: 100})
				}
				ratings := f.shard.ratings
				f.runFor(20)
				is.True(f.shard.ratings-ratings <= 2*(maxRatings+maxTasks+executors*executors)) // twice a placement
				is.True(len(f.shard.readySteps) <= maxReadySteps+20)
				is.True(c.stuck || row.openTasks <= max(maxOpenTasks, spec.tasksPerOccurrence()))
				if n%20 == 0 {
					is.NoErr(checkTables(&f.shard))
				}
				f.endOldRuns(100)
			}
			for _, j := range f.shard.jobs.All() {
				if j != row && j.State == JobCompleted {
					others++
				}
			}
			is.Equal(others, 10)
			is.Equal(row.State == JobCompleted, c.ends)
		})
	}
}

// Guards against a schedule whose later occurrences never start, since the first ones
// wait for executors that only some of their steps need.
func TestOccurrencesStartBesideStuckOnes(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	_ = f.shard.Submit(f.now, unit.UnixMillis(f.now), &Spec{
		ID: "j", Queue: Queue{Service: "s"}, Repeat: maxOccurrences,
		Steps: append(repeatStep(19, Step{Count: 1, Size: resources(90_000)}), Step{Count: 1, Size: resources(100)}),
	}) // the shard of a fixture accepts all jobs
	row := f.shard.jobs.Get("j")
	started := 0
	for range 300 {
		f.runFor(20)
		f.endOldRuns(20)
		is.True(len(row.Occurrences) >= started)
		started = len(row.Occurrences)
	}
	is.True(started > maxOpenTasks/20) // all in the bound, and one after the other above it
	idle := 0
	for range 100 {
		f.runFor(20)
		if idle++; row.assignedRuns > 0 {
			idle = 0
		}
		is.True(idle < 10)
		f.endOldRuns(20)
	}
	is.True(len(row.Occurrences) > started)
	is.True(row.openTasks > maxOpenTasks)
}

// Guards against a takeover that starts a task of a done occurrence again, or leaves
// out one of an occurrence that had not started.
func TestSchedulesAfterATakeover(t *testing.T) {
	is := is.New(t)
	const repeat = 500
	f := newFixture(2)
	starts := make(map[TaskID]bool)
	spec := &Spec{ID: "j", Queue: Queue{Service: "s"}, Repeat: repeat, Steps: []Step{
		{Count: 2, Size: resources(100)}, {Count: 1, Size: resources(100), After: []int{0}},
	}}
	is.NoErr(f.shard.Submit(f.now, unit.UnixMillis(f.now), spec))
	for n := 0; f.shard.jobs.Get("j").State != JobCompleted; n++ {
		is.True(n < 2000)
		f.runFor(20)
		for _, runs := range f.runs {
			for id := range runs {
				starts[id] = true
			}
		}
		f.endOldRuns(20)
		if n%50 != 49 {
			continue
		}
		f.runFor(20) // the ends are stored
		next := Shard{Epoch: f.shard.Epoch + 1, Limits: DefaultLimits}
		next.Restore(f.now, unit.UnixMillis(f.now), "j", cloneJob(&Change{Job: f.shard.jobs.Get("j")}), spec)
		var entries Registrations
		for _, e := range f.shard.executors.All() {
			entries.Entries = append(entries.Entries, e.Registration)
		}
		next.ApplyRegistrations(f.now, entries, anyExecutor)
		next.StartOwnership(f.now)
		f.shard = next
		f.runFor(100)
		is.NoErr(checkTables(&f.shard))
	}
	is.Equal(len(starts), 3*repeat)
}

// Guards against a schedule that costs a placement an attempt for each of its
// occurrences that are ready, and against a starved step that is taken for one that
// was tried.
func TestFailedSteps(t *testing.T) {
	key := func(occurrence, step int) stepKey { return stepKey{"j", occurrence, step} }
	for name, c := range map[string]struct {
		failed, next placementRequest
		includes     bool
		restarts     bool // the next step is perpetual and has a task that ran before
	}{
		"another occurrence":    {failed: placementRequest{key: key(0, 1)}, next: placementRequest{key: key(1, 1)}, includes: true},
		"another step":          {failed: placementRequest{key: key(0, 1)}, next: placementRequest{key: key(0, 2)}},
		"another job":           {failed: placementRequest{key: key(0, 1)}, next: placementRequest{key: stepKey{"k", 0, 1}}},
		"starved after another": {failed: placementRequest{key: key(0, 1)}, next: placementRequest{key: key(1, 1), starved: true}},
		"another after starved": {failed: placementRequest{key: key(0, 1), starved: true}, next: placementRequest{key: key(1, 1)}, includes: true},
		"tickets":               {failed: placementRequest{key: key(0, 1), advised: true}, next: placementRequest{key: key(1, 1), advised: true}},
		"restart after another": {failed: placementRequest{key: key(0, 1)}, next: placementRequest{key: key(1, 1)}, restarts: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tasks := []Task{{State: TaskReady}, {State: TaskReady}}
			if c.restarts {
				tasks[1].Run = 1
			}
			c.failed.step, c.next.step = &Step{Perpetual: c.restarts}, &Step{Perpetual: c.restarts}
			f := make(failedSteps)
			f.add(&c.failed)
			is.Equal(f.includes(&c.next, tasks), c.includes)
		})
	}
	is := is.New(t)
	f := newFixture(10)
	_ = f.shard.Submit(f.now, unit.UnixMillis(f.now), &Spec{ID: "j", Queue: Queue{Service: "s"}, Repeat: maxOccurrences, Steps: repeatStep(2, Step{Count: 1, Size: resources(90_000)})})
	f.runFor(100)
	is.Equal(len(f.shard.readySteps), maxReadySteps)
	for range 10 {
		for _, e := range f.shard.executors.All() {
			f.shard.markAvailable(e)
		}
		ratings := f.shard.ratings
		f.shard.place(f.now)
		is.True(f.shard.ratings-ratings <= 2*10) // each step on each executor
	}
}

// Guards against steps that are left out of each placement, once those before them
// take all ratings.
func TestRotation(t *testing.T) {
	is := is.New(t)
	steps := []stepKey{{job: "a"}, {job: "b"}, {job: "c"}}
	var r rotation
	is.Equal(r.order(steps), steps)
	r.next = stepKey{job: "c"}
	is.Equal(r.order(steps), []stepKey{{job: "c"}, {job: "a"}, {job: "b"}})
	is.Equal(r.order(steps), steps) // once
	r.next = stepKey{job: "gone"}
	is.Equal(r.order(steps), steps)
}

// Guards against tasks that run twice or not at all where jobs have more occurrences
// due than are started at a time, under the faults of [TestStartsUnderFaults].
func TestSchedulesUnderFaults(t *testing.T) {
	for name, faulty := range map[string]faults{
		"none":            {},
		"lost":            {lost: 0.05, late: 0.02},
		"crashes":         {crash: 0.001, partition: 0.0005},
		"replaced owners": {replaceOwner: 0.004, lost: 0.03, slowAppend: 0.01},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			for seed := range int64(seeds() / 8) {
				sim := newSimulation(seed, faulty)
				sim.faults.schedules = 0.1
				sim.run(1200)
				sim.faults = faults{}
				for n := 0; n < 12_000 && (n < 500 || !sim.shards[0].owner.Idle()); n++ {
					sim.tick()
					if n%500 == 0 {
						sim.violations = errors.Join(sim.violations, checkTables(sim.shards[0].owner))
					}
				}
				if sim.violations != nil {
					t.Logf("seed %d", seed)
				}
				is.NoErr(sim.violations)
				for _, s := range sim.jobs {
					state, ok := sim.shards[0].owner.State(s.ID)
					if !ok {
						continue // the submission was never confirmed
					}
					if !state.Ended() {
						t.Logf("seed %d: %s of %d occurrences is %s", seed, s.ID, s.occurrenceCount(), state)
					}
					is.True(state.Ended())
					done := 0
					for id := range sim.done {
						if id.Job == s.ID {
							done++
						}
					}
					is.True(state != JobCompleted || done == s.TotalTasks())
				}
			}
		})
	}
}
