package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Guards against sound runs that an overloaded owner moves because it has got
// no list of runs for some seconds.
func TestRunsAreNotMovedWithoutLists(t *testing.T) {
	for name, c := range map[string]struct {
		silent bool
		moved  bool
	}{
		"lists tell of no progress": {false, true},
		"no lists":                  {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(1)
			b.submit("j", Step{Count: 1, Size: unit.Resources{CPU: 1000, Memory: 100}, Estimate: clock.Minute})
			b.progress = 40
			b.pass(300)
			is.Equal(b.placed("j")["x0"], 1)
			b.mute = c.silent
			b.pass(stallAfter + 300)
			_, _, task := b.shard.find(TaskID{Job: "j"})
			is.Equal(task.State != TaskRunning || task.Run > 1, c.moved)
		})
	}
}

// Guards against a run that is given up although its end stands on the next
// page of a long list.
func TestFullListsOfEndsGiveNothingUp(t *testing.T) {
	for name, c := range map[string]struct {
		ends int
		gone bool
	}{
		"short": {endsPerList - 1, true},
		"full":  {endsPerList, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(1)
			b.submit("j", Step{Count: 1, Size: unit.Resources{CPU: 1000, Memory: 100}, Estimate: clock.Minute})
			b.pass(300)
			a := Answer{Outcome: OutcomeDone, Clock: unit.ExecutorMillis(b.now), Born: 1}
			for n := range c.ends {
				a.Finished = append(a.Finished, FinishedRun{Number: unit.EndNumber(n + 1), Task: TaskID{Job: "other"}, Run: 1, How: EndDone})
			}
			o := Order{To: Target{Executor: "x0"}, Hold: &HoldOrder{Sent: b.now}}
			b.shard.Answered(b.now, unit.UnixMillis(b.now), &o, &a, nil)
			_, _, task := b.shard.find(TaskID{Job: "j"})
			is.Equal(task.State == TaskReady, c.gone)
		})
	}
}

// Guards against appends that the platform refuses for their size, and against
// starts whose intent was left for a later append.
func TestAppendsAreBounded(t *testing.T) {
	is := is.New(t)
	const jobs = 2*mostChanges + 10
	b := newBench(80)
	for i := range jobs {
		b.submit(unit.Job(fmt.Sprintf("j%03d", i)), Step{Count: 1, Size: unit.Resources{CPU: 1000, Memory: 100}, Estimate: clock.Minute})
	}
	stored := make(map[unit.Job]bool)
	for range 4 {
		changes, _ := b.shard.Turn(b.now, unit.UnixMillis(b.now), true)
		is.True(len(changes) <= mostChanges)
		for _, c := range changes {
			stored[c.ID] = true
		}
		b.shard.Stored(b.now)
		_, orders := b.shard.Turn(b.now, unit.UnixMillis(b.now), false)
		for _, o := range orders {
			if o.Start != nil {
				is.True(stored[o.Start.Task.Job]) // the intent is stored before the start
			}
			b.carryOut(o)
		}
		b.now += 50
	}
	is.Equal(len(stored), jobs)
}
