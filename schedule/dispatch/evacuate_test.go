package dispatch

import (
	"math/rand"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// TestEvacuate guards against maintenance that makes more perpetual tasks of a
// step unavailable than its miss budget allows, and against new runs on a
// machine that is being evacuated.
func TestEvacuate(t *testing.T) {
	small := unit.Resources{CPU: 1000, Memory: 100}
	for name, c := range map[string]struct {
		step      Step
		blocking  int // perpetual runs that the first call could not move; only whether it is 0 counts, otherwise all runs there but one are expected
		remaining int // runs on the executor after two seconds of calls; only whether it is 0 counts
	}{
		"perpetual without a budget":   {Step{Count: 4, Size: small, Perpetual: true}, 0, 0},
		"budget for all":               {Step{Count: 4, Size: small, Perpetual: true, MissBudget: 4}, 0, 0},
		"budget for one":               {Step{Count: 4, Size: small, Perpetual: true, MissBudget: 1}, 3, 0},
		"batch tasks run to their end": {Step{Count: 4, Size: small, Estimate: clock.Minute}, 0, 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2)
			f.submit("j", c.step)
			f.runFor(clock.Second)
			var from unit.Executor
			for id, n := range f.runsByExecutor("j") {
				if n > len(f.runs[from]) {
					from = id
				}
			}
			before := len(f.runs[from])
			remaining, blocking, ok := f.shard.Evacuate(f.now, from)
			is.True(ok)
			is.Equal(remaining, before)
			if c.blocking > 0 {
				is.Equal(blocking, before-1)
			}
			is.True(c.blocking > 0 || blocking == 0)
			unavailable := 0
			for range 20 {
				f.runFor(100)
				remaining, _, _ = f.shard.Evacuate(f.now, from)
				n := 0
				for _, k := range f.runsByExecutor("j") {
					n += k
				}
				unavailable = max(unavailable, 4-n)
			}
			is.Equal(remaining > 0, c.remaining > 0)
			if c.step.MissBudget > 0 {
				is.True(unavailable <= c.step.MissBudget)
			}
			if c.remaining == 0 {
				is.Equal(len(f.runs[from]), 0)
			}
			f.submit("k", Step{Count: 3, Size: small, Estimate: clock.Second})
			f.runFor(500)
			is.Equal(f.runsByExecutor("k")[from], 0) // no new runs
		})
	}
}

// TestEvacuateAnUnknownExecutor guards against a result for an executor that the
// shard does not have. It could not be told from the result for an executor
// without runs.
func TestEvacuateAnUnknownExecutor(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	_, _, ok := f.shard.Evacuate(f.now, "elsewhere")
	is.True(!ok)
}

// Guards against an evacuation that exceeds the miss budget, or makes no use of it,
// since it counts the unavailable tasks of a step once for all runs that it moves.
func TestMissBudgets(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewSource(1))
	for range 2000 {
		st := Step{Count: 1 + random.Intn(8), Perpetual: true, MissBudget: random.Intn(4)}
		j := &Job{Spec: &Spec{Steps: []Step{st}}, Occurrences: []Occurrence{{Steps: []StepState{{Tasks: make([]Task, st.Count)}}}}}
		tasks := j.Occurrences[0].Steps[0].Tasks
		for i := range tasks {
			tasks[i] = Task{State: []TaskState{TaskReady, TaskRunning, TaskRunning, TaskStopping}[random.Intn(4)], progress: unit.Percent(99 + random.Intn(2))}
		}
		var budgets missBudgets
		for i := range tasks {
			if tasks[i].State != TaskRunning || random.Intn(3) == 0 {
				continue
			}
			others := 0
			for k := range tasks {
				if k != i && tasks[k].isUnavailable() {
					others++
				}
			}
			a := &assignment{id: TaskID{Job: "j", Index: i}, job: j, step: &st, task: &tasks[i]}
			moves := budgets.take(a)
			is.Equal(moves, st.MissBudget == 0 || others < st.MissBudget)
			if moves {
				tasks[i].State = TaskStopping
			}
		}
	}
}
