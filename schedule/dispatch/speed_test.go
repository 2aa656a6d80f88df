package dispatch

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// TestSlowExecutors guards against jobs that are late because an executor that has
// turned slow keeps its runs and gets new ones, and against executors that are avoided
// because the estimates of some or all tasks are wrong.
func TestSlowExecutors(t *testing.T) {
	for name, c := range map[string]struct {
		slowness clock.Span // factor of the times of runs on x0
		times    float64    // of all runs in relation to the estimates
		uneven   bool       // the tasks of each fourth job take four times as long
		starved  bool       // the runs are best-effort, and those on x0 get the processor time for that factor only
		suspect  bool
	}{
		"none":                        {1, 1, false, false, false},
		"one slow executor":           {6, 1, false, false, true},
		"estimates are too low":       {1, 2, false, false, false},
		"slow and estimates too low":  {6, 2, false, false, true},
		"estimates of some are wrong": {1, 1, true, false, false},
		"best-effort runs lack room":  {6, 1, false, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(8)
			started := make(map[TaskID]clock.Millis)
			progress := func(id TaskID) unit.Percent {
				_, step, task := f.shard.findTask(id)
				length := clock.Span(float64(step.Estimate) * c.times)
				if c.uneven && strings.HasSuffix(string(id.Job), "0") {
					length *= 4
				}
				if task.Executor == "x0" {
					length *= c.slowness
				}
				return unit.Percent(min(100, 100*f.now.Sub(started[id])/length))
			}
			f.list = func(r *RunningRun) {
				r.Progress, r.Measurement = progress(r.Task), 500
				if _, _, task := f.shard.findTask(r.Task); task.Executor == "x0" {
					r.Measurement /= int64(c.slowness)
				}
			}
			suspect, moved := false, 0
			f.shard.Report = func(e Event) {
				suspect = suspect || e.Kind == "executorSuspect"
				if e.Kind == "moved" {
					moved++
				}
			}
			runs := make(map[TaskID]unit.Run)
			for n := range 650 {
				if n%50 == 0 && n < 400 {
					for part := range 4 {
						f.submit(unit.Job(fmt.Sprint("j", n, "part", part)), Step{Count: 8, Size: resources(500), Estimate: 1000, Fills: c.starved})
					}
				}
				f.runFor(20)
				for x := range f.runs {
					for id, run := range f.runs[x] {
						if runs[id] != run {
							runs[id], started[id] = run, f.now
						}
						if _, _, task := f.shard.findTask(id); task.State == TaskRunning && progress(id) == 100 {
							f.endRun(id, EndDone)
						}
					}
				}
			}
			is.Equal(suspect, c.suspect)
			is.Equal(moved > 0, c.suspect)
			late := 0
			for _, j := range f.shard.jobs.All() {
				if j.State != JobCompleted {
					late++
				}
			}
			is.True(late == 0 || c.starved) // 5 s after the last was handed in; a run on x0 takes 6 to 12 s
		})
	}
}

// TestHealthyExecutorsAreNotSuspect guards against executors that are avoided because
// of the estimates of the tasks that run there, which callers choose.
func TestHealthyExecutorsAreNotSuspect(t *testing.T) {
	for name, c := range map[string]struct {
		step Step // of jobs whose tasks run on x0 only
		took clock.Span
	}{
		"no estimate":                   {Step{Count: 1, Size: resources(500)}, 2000},
		"estimates of an image too low": {Step{Count: 1, Size: resources(500), Estimate: 200, Image: "b"}, 2000},
		"long estimate":                 {Step{Count: 1, Size: resources(500), Estimate: 600_000}, 600_000},
		"away from the data":            {Step{Count: 1, Size: resources(500), Estimate: 1000, Near: "elsewhere"}, 4000},
		"spread group":                  {Step{Count: 1, Size: resources(500), Estimate: 1000, SameRack: true}, 4000},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(8)
			started := make(map[TaskID]clock.Millis)
			progress := func(id TaskID) unit.Percent {
				_, step, _ := f.shard.findTask(id)
				length := step.Estimate
				if step.Needs != "" {
					length = c.took
				}
				return unit.Percent(min(100, 100*f.now.Sub(started[id])/length))
			}
			f.list = func(r *RunningRun) { r.Progress = progress(r.Task) }
			suspect, moved := 0, 0
			f.shard.Report = func(e Event) {
				if e.Kind == "executorSuspect" {
					suspect++
				}
				if e.Kind == "moved" {
					moved++
				}
			}
			c.step.Needs = "only"
			x := f.shard.executors.Get("x0")
			x.Labels = append([]unit.Label{"only"}, x.Labels...)
			for n := range 12 {
				f.submit(unit.Job(fmt.Sprint("own", n)), c.step)
			}
			for n := range 250 {
				if n%50 == 0 {
					for part := range 4 {
						f.submit(unit.Job(fmt.Sprint("j", n, "part", part)), Step{Count: 8, Size: resources(500), Estimate: 1000})
					}
				}
				f.runFor(20)
				f.endRunsWithProgress(started, progress)
			}
			is.Equal(suspect, 0)
			is.Equal(moved, 0)
		})
	}
}

// endRunsWithProgress ends the runs that are done, and notes when each began.
func (f *fixture) endRunsWithProgress(started map[TaskID]clock.Millis, progress func(TaskID) unit.Percent) {
	for x := range f.runs {
		for id := range f.runs[x] {
			if _, ok := started[id]; !ok {
				started[id] = f.now
			}
			if _, _, task := f.shard.findTask(id); task.State == TaskRunning && progress(id) == 100 {
				f.endRun(id, EndDone)
			}
		}
	}
}

// TestSlowExecutorsKeepRoom guards against a service that is left without room because
// too many of its executors are taken to be slow at a time.
func TestSlowExecutorsKeepRoom(t *testing.T) {
	for name, c := range map[string]struct{ executors, slow, most int }{
		"half of eight": {8, 4, 2},
		"one of two":    {2, 1, 1},
		"two of three":  {3, 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(c.executors)
			now := clock.Millis(10_000)
			for _, e := range f.shard.executors.All() {
				e.speed = speedMeter{work: 1000, time: 2000, usual: 2000, updatedAt: now, jobs: []unit.Job{"a", "b", "c"}}
				if int(e.Executor[1]-'0') < c.slow {
					e.speed.work = 200
				}
			}
			suspect := 0
			for _, e := range f.shard.executors.All() {
				f.shard.avoidSlow(now, e)
				if now < e.suspectUntil {
					suspect++
				}
			}
			is.Equal(suspect, c.most)
		})
	}
}
