package dispatch

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// TestRunsAreNotMovedWithoutLists guards against an overloaded owner that
// moves healthy runs because it has received no run lists for some seconds.
func TestRunsAreNotMovedWithoutLists(t *testing.T) {
	for name, c := range map[string]struct {
		silent bool
		moved  bool
	}{
		"lists without progress": {false, true},
		"no lists":               {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1)
			f.submit("j", Step{Count: 1, Size: unit.Resources{CPU: 1000, Memory: 100}, Estimate: clock.Minute})
			f.reportedProgress = 40
			f.runFor(300)
			is.Equal(f.runsByExecutor("j")["x0"], 1)
			f.holdsUnanswered = c.silent
			f.runFor(stallTimeout + 300)
			_, _, task := f.shard.findTask(TaskID{Job: "j"})
			is.Equal(task.State != TaskRunning || task.Run > 1, c.moved)
		})
	}
}

// TestSilentExecutorsAreAskedAgain guards against an executor without runs that is
// never used again because one order to it had no answer.
func TestSilentExecutorsAreAskedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		removed bool // the executor's entry is removed
		used    bool
	}{
		"listed":  {false, true},
		"removed": {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1)
			silent := Order{To: Target{Executor: "x0", Incarnation: 1}, Stop: &StopOrder{Task: TaskID{Job: "unknown"}, Run: 1}}
			f.shard.HandleAnswer(f.now, unit.UnixMillis(f.now), &silent, &Answer{}, errors.New("no answer"))
			if c.removed {
				f.shard.ApplyRegistrations(f.now, Registrations{Removed: []unit.Executor{"x0"}}, anyExecutor)
			}
			f.submit("j", Step{Count: 1, Size: resources(1000)})
			f.runFor(1500)
			is.Equal(f.countRuns("j") == 1, c.used)
		})
	}
}

// TestFullListsOfEndsReleaseNoRuns guards against the release of a run whose
// end is on the next page of a long list of finished runs.
func TestFullListsOfEndsReleaseNoRuns(t *testing.T) {
	for name, c := range map[string]struct {
		ends int
		gone bool
	}{
		"short": {maxEndsPerList - 1, true},
		"full":  {maxEndsPerList, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1)
			f.submit("j", Step{Count: 1, Size: unit.Resources{CPU: 1000, Memory: 100}, Estimate: clock.Minute})
			f.runFor(300)
			a := Answer{Outcome: OutcomeDone, Clock: unit.ExecutorMillis(f.now), Incarnation: 1}
			for n := range c.ends {
				a.Finished = append(a.Finished, FinishedRun{Number: unit.EndNumber(n + 1), Task: TaskID{Job: "other"}, Run: 1, Kind: EndDone})
			}
			o := Order{To: Target{Executor: "x0", Incarnation: 1}, Hold: &HoldOrder{Sent: f.now}}
			f.shard.HandleAnswer(f.now, unit.UnixMillis(f.now), &o, &a, nil)
			_, _, task := f.shard.findTask(TaskID{Job: "j"})
			is.Equal(task.State == TaskReady, c.gone)
		})
	}
}

// TestAppendsAreBounded guards against appends that the platform refuses for
// their size, and against a start that is ordered before its assignment is
// stored, because the append had no room for it.
func TestAppendsAreBounded(t *testing.T) {
	is := is.New(t)
	const jobs = 2*maxChangesPerAppend + 10
	f := newFixture(80)
	for i := range jobs {
		f.submit(unit.Job(fmt.Sprintf("j%03d", i)), Step{Count: 1, Size: unit.Resources{CPU: 1000, Memory: 100}, Estimate: clock.Minute})
	}
	stored := make(map[unit.Job]bool)
	for range 4 {
		changes, _ := f.shard.Tick(f.now, unit.UnixMillis(f.now), true)
		is.True(len(changes) <= maxChangesPerAppend)
		for _, c := range changes {
			stored[c.ID] = true
		}
		f.shard.HandleStored(f.now)
		_, orders := f.shard.Tick(f.now, unit.UnixMillis(f.now), false)
		for _, o := range orders {
			if o.Start != nil {
				is.True(stored[o.Start.Task.Job]) // the assignment is stored before the start
			}
			f.execute(o)
		}
		f.now += 50
	}
	is.Equal(len(stored), jobs)
}
