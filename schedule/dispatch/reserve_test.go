package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// restartBound is the time after its last run within which a perpetual task must
// run again if there is capacity for it.
const restartBound = 9 * clock.Second

// endRun ends the run of a task at its executor.
func (f *fixture) endRun(id TaskID, kind EndKind) {
	_, _, task := f.shard.findTask(id)
	delete(f.runs[task.Executor], id)
	e := f.shard.executors.Get(task.Executor)
	f.shard.handleRunEnd(f.now, unit.UnixMillis(f.now), e, &FinishedRun{Number: e.processedEndNumber + 1, Task: id, Run: task.Run, Kind: kind})
}

// TestRestartsAreNotOvertaken guards against a perpetual task that does not run
// again because smaller tasks, restarts excepted, take the processors one by one.
func TestRestartsAreNotOvertaken(t *testing.T) {
	for name, next := range map[string]Step{
		"batch tasks":          {Count: 1, Size: resources(2000)},
		"gangs":                {Count: 1, Size: resources(2000), Gang: true},
		"first perpetual runs": {Count: 1, Size: resources(2000), Perpetual: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2)
			f.submit("service", Step{Count: 1, Size: resources(6000), Perpetual: true})
			f.runFor(3000)
			is.Equal(f.countRuns("service"), 1)
			_, _, task := f.shard.findTask(TaskID{Job: "service"})
			other := unit.Label("r0")
			if task.Executor == "x0" {
				other = "r1"
			}
			f.submit("resident", Step{Count: 1, Size: resources(1000), Perpetual: true, Needs: other})
			f.runFor(3000)
			f.submit("batch", Step{Count: 3, Size: resources(2000)})
			f.runFor(100)
			is.Equal(f.countRuns("resident")+f.countRuns("batch"), 4) // 1 core is left beside them
			f.replacedExecutor = task.Executor
			clear(f.runs[task.Executor])
			leftAt := f.now
			f.runFor(500)
			_, _, task = f.shard.findTask(TaskID{Job: "service"})
			is.Equal(task.State, TaskReady)
			for n := 0; f.now < leftAt.Add(restartBound) && f.countRuns("service") == 0; n++ {
				f.submit(unit.Job(fmt.Sprint(n)), next)
				if n < 3 {
					f.endRun(TaskID{Job: "batch", Index: n}, EndDone)
				} else if ended := unit.Job(fmt.Sprint(n - 3)); !next.Perpetual && f.countRuns(ended) == 1 {
					f.endRun(TaskID{Job: ended}, EndDone)
				}
				f.runFor(300)
			}
			is.Equal(f.countRuns("service"), 1)
		})
	}
}

// TestReservationsNeedAnExecutorThatSuits guards against room that is reserved on
// an executor where the waiting task can't be placed, for as long as it waits.
func TestReservationsNeedAnExecutorThatSuits(t *testing.T) {
	for name, step := range map[string]Step{
		"spread": {Count: 2, Size: resources(3000), Perpetual: true, MaxPerExecutor: 1},
		"label":  {Count: 1, Size: resources(6000), Perpetual: true, Needs: "r0"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2)
			f.submit("service", step)
			f.runFor(demandPeriod + 3000) // until the reserve for batch tasks is released
			is.Equal(f.countRuns("service"), step.Count)
			f.replacedExecutor = "x0"
			clear(f.runs["x0"])
			f.runFor(overdueTimeout + 500)
			f.submit("batch", Step{Count: 1, Size: resources(4000)})
			f.runFor(100)
			is.Equal(f.runsByExecutor("batch")["x1"], 1)
		})
	}
}

// TestReservationsLeaveRoomForOthers guards against waiting perpetual tasks that
// keep other tasks from executors with room for both, or from all executors.
func TestReservationsLeaveRoomForOthers(t *testing.T) {
	is := is.New(t)
	f := newFixture(3)
	f.submit("service", Step{Count: 1, Size: resources(6000), Perpetual: true})
	f.runFor(3000)
	_, _, task := f.shard.findTask(TaskID{Job: "service"})
	f.submit("batch", Step{Count: 4, Size: resources(3000)})
	f.runFor(100)
	is.Equal(f.countRuns("batch"), 4) // both other executors have 2 cores left
	f.replacedExecutor = task.Executor
	clear(f.runs[task.Executor])
	f.runFor(overdueTimeout + 500)
	f.submit("small", Step{Count: 2, Size: resources(1000)})
	f.runFor(100)
	is.Equal(f.countRuns("small"), 2)
}
