package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// TestRelocationPays guards against runs that stay paused for longer than a move
// costs, and against moves that cost more than the wait.
func TestRelocationPays(t *testing.T) {
	for name, c := range map[string]struct {
		run     pacedRun
		restore clock.Span
		want    bool
	}{
		"lost more than a move costs": {pacedRun{lost: 700, left: 1000, unsaved: 200}, 100, true},
		"lost less":                   {pacedRun{lost: 500, left: 1000, unsaved: 200}, 100, false},
		"slow restore":                {pacedRun{lost: 700, left: 1000, unsaved: 200}, 600, false},
		"no checkpoint":               {pacedRun{lost: 700, left: 1000, unsaved: 1500}, 100, false},
		"nearly done":                 {pacedRun{lost: 700, left: 400, unsaved: 200}, 100, false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(relocationPays(c.run, c.restore), c.want)
		})
	}
}

// pacedFixture is a fixture whose batch runs work at the ordered pace and end once their
// work is done. Best-effort ones save a checkpoint at each tenth.
type pacedFixture struct {
	*fixture
	work map[TaskID]clock.Span // done, for each task
	took map[unit.Job]clock.Span
}

// newPacedFixture returns a fixture with a serving task of image "s" on each executor.
func newPacedFixture(executors int) *pacedFixture {
	f := &pacedFixture{newFixture(executors), make(map[TaskID]clock.Span), make(map[unit.Job]clock.Span)}
	for i := range executors {
		f.submit(unit.Job(fmt.Sprintf("service%d", i)), Step{Count: 1, Size: resources(7900), Perpetual: true, TailTarget: 50, Image: "s"})
	}
	f.list = func(r *RunningRun) {
		_, step, task := f.shard.findTask(r.Task)
		if step.Fills {
			r.Progress = unit.Percent(100 * f.work[r.Task] / step.Estimate)
			r.Checkpoint = unit.Checkpoint(fmt.Sprintf("c%02d", r.Progress/10))
			r.Measurement = int64(step.Size.CPU) * int64(task.orderedPace) / 100
		}
	}
	f.runFor(3000)
	return f
}

// play lets the jobs work for a span, in ticks of 20 ms.
func (f *pacedFixture) play(span clock.Span) {
	for end := f.now.Add(span); f.now < end; {
		f.runFor(20)
		for _, runs := range f.runs {
			for id := range runs {
				_, step, task := f.shard.findTask(id)
				if step == nil || step.Perpetual || task.State != TaskRunning {
					continue
				}
				if f.work[id] += 20 * clock.Span(task.orderedPace) / 100; f.work[id] >= step.Estimate {
					f.endRun(id, EndDone)
					f.took[id.Job] = max(f.took[id.Job], clock.Span(unit.UnixMillis(f.now)-f.shard.jobs.Get(id.Job).AcceptedAt))
				}
			}
		}
	}
}

// TestPausedRunsAreRelocated guards against a batch job that misses its objective
// because it waits beside a serving task whose load has risen, while the load of
// others has not. The plain rule is to wait.
func TestPausedRunsAreRelocated(t *testing.T) {
	for name, c := range map[string]struct {
		loaded int  // of 4 executors
		plain  bool // without relocation
		inTime bool
	}{
		"load rises on half of the executors":          {2, false, true},
		"load rises on half of the executors, waiting": {2, true, false},
		// The interference model finds out that the runs do not add to the load.
		"load rises on all executors": {4, false, true},
		"no load":                     {0, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newPacedFixture(4)
			if c.plain {
				f.shard.relocatedAt = clock.Never
			}
			moved := 0
			f.shard.Report = func(e Event) {
				if e.Kind == "moved" {
					moved++
				}
			}
			f.submit("batch", Step{Count: 4, Size: resources(1000), Estimate: 2000, Fills: true, SavesProgress: true, Image: "f"})
			f.play(500)
			is.Equal(f.countRuns("batch"), 4)
			f.measure = func(id TaskID) int64 {
				_, _, task := f.shard.findTask(id)
				if x := task.Executor; int(x[1]-'0') < c.loaded {
					return 48 // beside it, best-effort runs may not work
				}
				return 10
			}
			f.play(5000)
			took, done := f.took["batch"], f.shard.jobs.Get("batch").State == JobCompleted
			is.Equal(done && took <= 4500, c.inTime)
			if c.plain || c.loaded == 0 || c.loaded == 4 {
				is.Equal(moved, 0)
			}
			is.True(moved <= 2) // each paused run moves once
		})
	}
}

// TestRelocationNeedsRoom guards against runs that are stopped although no executor
// takes their next run: room for one that is counted for several, room away from the
// data, and an owner that places nothing yet.
func TestRelocationNeedsRoom(t *testing.T) {
	for name, c := range map[string]struct {
		step   Step
		awaits bool
		moved  int
	}{
		"room for one":                  {Step{Count: 4}, false, 1},
		"owner that awaits an operator": {Step{Count: 4}, true, 0},
		"room on the rack":              {Step{Count: 2, Near: "r0"}, false, 1},
		"room off the rack":             {Step{Count: 3, Near: "r0"}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newPacedFixture(5)
			c.step.Size, c.step.Estimate, c.step.Fills, c.step.Image = unit.Resources{CPU: 500, Memory: 8500}, 20_000, true, "f"
			f.submit("batch", c.step)
			f.play(500)
			is.Equal(f.countRuns("batch"), c.step.Count)
			for i := range c.step.Count {
				_, _, task := f.shard.findTask(TaskID{Job: "batch", Index: i})
				task.orderedPace, task.times.paced = 0, 10_000
			}
			moved := 0
			f.shard.Report = func(e Event) {
				if e.Kind == "moved" {
					moved++
				}
			}
			f.shard.AwaitsOperator = c.awaits
			f.shard.relocatePacedRuns(f.now.Add(relocationInterval))
			is.Equal(moved, c.moved)
		})
	}
}

// TestTasksThatOutlastEstimatesEnd guards against a task that never ends because its
// runs are moved again and again: it takes much longer than its estimate everywhere,
// or so long that its progress in whole percents seldom changes.
func TestTasksThatOutlastEstimatesEnd(t *testing.T) {
	for name, c := range map[string]struct{ estimate, took clock.Span }{
		"long":                 {400_000, 400_000},
		"longer than estimate": {1000, 400_000},
		"no estimate":          {0, 400_000},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(3)
			f.submit("j", Step{Count: 1, Size: resources(500), Estimate: c.estimate})
			f.runFor(100)
			id, started, run := TaskID{Job: "j"}, f.now, unit.Run(1)
			progress := func() unit.Percent { return unit.Percent(100 * f.now.Sub(started) / c.took) }
			f.list = func(r *RunningRun) { r.Progress = progress() }
			for f.now < clock.Millis(3*c.took) && f.shard.jobs.Get("j").State != JobCompleted {
				f.runFor(200)
				_, _, task := f.shard.findTask(id)
				if task.Run != run {
					started, run = f.now, task.Run
				}
				if task.State == TaskRunning && progress() >= fullPace {
					f.endRun(id, EndDone)
				}
			}
			is.Equal(f.shard.jobs.Get("j").State, JobCompleted)
		})
	}
}
