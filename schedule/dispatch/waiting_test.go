package dispatch

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/unit"
)

// Guards against ticks whose cost grows with the number of waiting tasks times the
// number of executors: on 117 executors, that took two thirds of an owner's
// processor time.
func TestWaitingTasksAreRatedForChangesOnly(t *testing.T) {
	const executors, waiting = 40, 50
	for name, c := range map[string]struct {
		change func(f *fixture)
		most   int64 // ratings that the change may cause
	}{
		"no change": {func(*fixture) {}, 0},
		"end of a run": {func(f *fixture) {
			id := TaskID{Job: "long", Index: 3}
			task := f.shard.jobs.Get("long").task(id)
			e := f.shard.executors.Get(task.Executor)
			delete(f.runs[e.Executor], id)
			f.shard.handleRunEnd(f.now, 0, e, &FinishedRun{Number: e.processedEndNumber + 1, Task: id, Run: task.Run, Kind: EndDone})
		}, 2 * (waiting + 1)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(executors)
			f.shard.Limits.HoldWait = 0
			f.submit("long", Step{Count: executors, Size: resources(8000)})
			f.runFor(200)
			for i := range waiting {
				f.submit(unit.Job(fmt.Sprint("waiting", i)), Step{Count: 1, Size: resources(8000)})
			}
			f.runFor(40)
			f.holdsUnanswered = true // run lists are changes, too
			f.runFor(40)
			before := f.shard.ratings
			c.change(f)
			f.runFor(100)
			is.True(f.shard.ratings-before <= c.most) // ratings in five ticks
		})
	}
}

// Guards against a task that waits although an executor would take it, because an
// earlier placement found none and the change since then was not recorded.
func TestNoTaskWaitsBesideRoom(t *testing.T) {
	for name, c := range map[string]struct{ serving, noRoom bool }{
		"batch tasks":                      {},
		"best-effort beside serving tasks": {serving: true},
		"refused starts":                   {serving: true, noRoom: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(20) {
				r := rand.New(rand.NewSource(seed))
				f := newFixture(6)
				f.measure = func(TaskID) int64 { return 10 + int64(r.Intn(80)) }
				if c.noRoom {
					f.refuses = func() bool { return r.Intn(20) == 0 }
				}
				for tick := range 300 {
					if r.Intn(4) == 0 {
						f.submit(unit.Job(fmt.Sprint("j", tick)), randomStep(r, c.serving))
					}
					f.endRandomRun(r)
					f.runFor(20)
					f.requireNoneWaitsBesideRoom(t, seed, tick)
				}
			}
		})
	}
}

// randomStep returns a step of batch, best-effort or perpetual tasks.
func randomStep(r *rand.Rand, serving bool) Step {
	step := Step{Count: 1 + r.Intn(6), Size: resources(unit.MilliCPU(500 + r.Intn(4000)))}
	switch r.Intn(4) {
	case 0:
		step.Perpetual = true
		if serving {
			step.Image, step.TailTarget = unit.Image(fmt.Sprint("s", r.Intn(2))), 60
		}
	case 1, 2:
		step.Fills, step.Image = serving, unit.Image(fmt.Sprint("b", r.Intn(3)))
	}
	if r.Intn(5) == 0 {
		step.MaxPerExecutor = 1
	}
	return step
}

// endRandomRun ends a random run, if there is one.
func (f *fixture) endRandomRun(r *rand.Rand) {
	var all []TaskID
	for _, e := range f.shard.executors.All() {
		for i := range e.runs {
			if e.runs[i].task.State == TaskRunning {
				all = append(all, e.runs[i].id)
			}
		}
	}
	if len(all) == 0 {
		return
	}
	id := all[r.Intn(len(all))]
	_, _, task := f.shard.findTask(id)
	e := f.shard.executors.Get(task.Executor)
	delete(f.runs[e.Executor], id)
	f.shard.handleRunEnd(f.now, 0, e, &FinishedRun{Task: id, Run: task.Run, Kind: []EndKind{EndDone, EndDone, EndFailed, EndStopped}[r.Intn(4)]})
}

// requireNoneWaitsBesideRoom places tasks and then fails the test if a task that
// still waits would be placed if all executors were rated.
func (f *fixture) requireNoneWaitsBesideRoom(t *testing.T, seed int64, tick int) {
	t.Helper()
	s := &f.shard
	s.place(f.now)
	pools := s.pools(f.now)
	if pools["s"] == nil {
		return // no executor is usable
	}
	for k := range s.readySteps {
		j := s.jobs.Get(k.job)
		request := s.newPlacementRequest(f.now, k, j, pools["s"])
		tasks := j.tasks(k)
		for i := range tasks {
			if tasks[i].State != TaskReady {
				continue
			}
			if e, ok := bestCandidate(SeparationPolicy{}, pools["s"].executors, request.forTask(&tasks[i])); ok {
				t.Fatalf("seed %d, tick %d: task %v waits beside %s", seed, tick, TaskID{k.job, k.occurrence, k.step, i}, e.Executor)
			}
			break // placement ends at the first task of a step that no executor takes
		}
	}
}
