package dispatch

import (
	"errors"
	"maps"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// restartFixture is a shard with the executors x0 and x1. The test carries out
// the orders to x0 itself.
type restartFixture struct {
	*fixture
	incarnation  unit.UnixMillis // of x0
	startedAt    clock.Millis    // of that incarnation
	running      map[TaskID]unit.Run
	paces        map[TaskID]unit.Percent
	finished     []FinishedRun
	lastEnd      unit.EndNumber
	silent       bool    // x0 carries out orders, and its answers are lost
	ignoresStops bool    // x0 confirms stops without carrying them out
	received     []Order // by x0
}

// newRestartFixture returns a fixture whose first incarnation of x0 has the start
// time 1.
func newRestartFixture() *restartFixture {
	return &restartFixture{
		fixture: newFixture(2), incarnation: 1,
		running: make(map[TaskID]unit.Run), paces: make(map[TaskID]unit.Percent),
	}
}

// restart replaces the incarnation of x0, under the same id and address.
func (f *restartFixture) restart() {
	f.incarnation++
	f.startedAt = f.now - 1
	clear(f.running)
	clear(f.paces)
	f.finished, f.lastEnd = nil, 0
}

// register passes the entry of the current incarnation of x0 to the shard.
func (f *restartFixture) register() {
	entry := f.shard.executors.Get("x0").Registration
	entry.Incarnation = f.incarnation
	f.shard.ApplyRegistrations(f.now, Registrations{Entries: []Registration{entry}}, anyExecutor)
}

// runFor is [fixture.runFor] with x0 as a restartable executor.
func (f *restartFixture) runFor(span clock.Span) {
	for end := f.now.Add(span); f.now < end; f.now += 20 {
		for _, canStore := range []bool{true, false} {
			_, orders := f.shard.Tick(f.now, unit.UnixMillis(f.now), canStore)
			if canStore {
				f.shard.HandleStored(f.now)
			}
			for _, o := range orders {
				if o.To.Executor == "x0" {
					f.executeAtX0(o)
				} else {
					f.execute(o)
				}
			}
		}
	}
}

// executeAtX0 carries out an order at the current incarnation of x0, also one that
// is meant for an earlier incarnation.
func (f *restartFixture) executeAtX0(o Order) {
	f.received = append(f.received, o)
	a := Answer{Outcome: OutcomeDone, Clock: unit.ExecutorMillis(f.now.Sub(f.startedAt)), Incarnation: f.incarnation}
	switch {
	case o.Start != nil:
		f.running[o.Start.Task] = o.Start.Run
	case o.Stop != nil:
		if f.running[o.Stop.Task] == o.Stop.Run && !f.ignoresStops {
			f.end(o.Stop.Task, EndStopped)
		}
	case o.Pace != nil:
		f.paces[o.Pace.Task] = o.Pace.Percent
	case o.Hold != nil:
		for len(f.finished) > 0 && f.finished[0].Number <= o.Hold.LastSeen {
			f.finished = f.finished[1:]
		}
		for id, run := range f.running {
			r := RunningRun{Task: id, Run: run, Progress: unit.Percent(f.now % 97)}
			if id.Job == "service" {
				r.Progress, r.Measurement = fullPace, f.tailLatency
			}
			a.Running = append(a.Running, r)
		}
		a.Finished = f.finished
	}
	if f.silent {
		f.shard.HandleAnswer(f.now, unit.UnixMillis(f.now), &o, &Answer{}, errors.New("no answer"))
		return
	}
	f.shard.HandleAnswer(f.now, unit.UnixMillis(f.now), &o, &a, nil)
}

// end ends a run on x0.
func (f *restartFixture) end(id TaskID, kind EndKind) {
	f.lastEnd++
	f.finished = append(f.finished, FinishedRun{Number: f.lastEnd, Task: id, Run: f.running[id], Kind: kind})
	delete(f.running, id)
}

// Guards against a cancelled task that runs on because its run is that of a later
// incarnation of its executor than the one to which the task was assigned: the
// start order was carried out there, or the job was restored from a record with
// the earlier incarnation.
func TestCancelledRunsOfALaterIncarnationAreStopped(t *testing.T) {
	for name, c := range map[string]struct {
		cancelFirst bool // the job is cancelled before the restart, and the stop is confirmed
		takeOver    bool // another owner takes over after the restart
	}{
		"cancelled after the restart":   {false, false},
		"stop confirmed before it":      {true, false},
		"restored by another owner":     {false, true},
		"cancelled, then another owner": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newRestartFixture()
			f.submit("j", Step{Count: 4, Size: resources(3000), Estimate: clock.Minute})
			f.runFor(clock.Second)
			is.True(len(f.running) > 0)
			runs := maps.Clone(f.running)
			if c.cancelFirst {
				f.shard.Cancel(f.now, unit.UnixMillis(f.now), "j")
				f.ignoresStops = true
				f.runFor(100)
				f.ignoresStops = false
			}
			f.restart()
			maps.Copy(f.running, runs) // copies of the start orders arrive late
			if c.takeOver {
				f.takeOver("j")
			}
			f.runFor(clock.Second)
			f.shard.Cancel(f.now, unit.UnixMillis(f.now), "j")
			f.runFor(3 * clock.Second)
			is.Equal(len(f.running), 0)
			is.Equal(f.countRuns("j"), 0)
		})
	}
}

// takeOver replaces the owner by one that has only the record of a job.
func (f *restartFixture) takeOver(id unit.Job) {
	j := f.shard.jobs.Get(id)
	next := Shard{Epoch: f.shard.Epoch + 1, Limits: DefaultLimits}
	next.Restore(f.now, unit.UnixMillis(f.now), id, cloneJob(&Change{Job: j}), j.Spec)
	entries := Registrations{Complete: true}
	for _, e := range f.shard.executors.All() {
		entry := e.Registration
		if entry.Executor == "x0" {
			entry.Incarnation = f.incarnation
		}
		entries.Entries = append(entries.Entries, entry)
	}
	next.ApplyRegistrations(f.now, entries, anyExecutor)
	next.StartOwnership(f.now)
	f.shard = next
}

// Guards against a best-effort run that works at full pace beside a serving task
// over its target, because the pace was ordered from an earlier incarnation.
func TestAdoptedRunsArePacedAgain(t *testing.T) {
	is := is.New(t)
	f := newRestartFixture()
	f.submit("service", Step{Count: 2, MaxPerExecutor: 1, Size: resources(1000), Perpetual: true, TailTarget: 50, Image: "s"})
	f.submit("batch", Step{Count: 2, MaxPerExecutor: 1, Size: resources(6000), Fills: true, Image: "b"})
	f.runFor(clock.Second)
	is.Equal(len(f.running), 2)
	f.tailLatency = 500
	f.runFor(4 * clock.Second)
	runs, paces := maps.Clone(f.running), maps.Clone(f.paces)
	is.Equal(len(paces), 1)
	f.restart()
	maps.Copy(f.running, runs)
	f.runFor(2 * clock.Second)
	for id := range paces {
		pace, ok := f.paces[id]
		is.True(ok) // the incarnation that runs the task has received a pace
		is.Equal(pace, unit.Percent(0))
	}
}

// Guards against a start that is repeated to an executor which does not answer, and
// against ends of a later incarnation that are discarded with an acknowledgement
// for an earlier one: the tasks would start again although they are done.
func TestEndsOfALaterIncarnationAreKept(t *testing.T) {
	is := is.New(t)
	f := newRestartFixture()
	f.submit("first", Step{Count: 4, Size: resources(1000)})
	f.runFor(200)
	for id := range maps.Clone(f.running) {
		f.end(id, EndDone)
	}
	f.runFor(200)
	is.Equal(len(f.finished), 0) // acknowledged
	f.silent = true
	f.submit("j", Step{Count: 8, Size: resources(1000), Estimate: clock.Minute})
	f.runFor(40)
	started := len(f.running)
	is.True(started > 0)
	f.restart()
	f.received = nil
	ended := make(map[TaskID]bool)
	for range 40 {
		f.runFor(100)
		for id := range maps.Clone(f.running) {
			f.end(id, EndDone)
			ended[id] = true
		}
	}
	is.Equal(len(ended), 0) // no start is repeated while x0 does not answer
	for _, o := range f.received {
		is.True(o.Start == nil)
		is.True(o.Hold == nil || o.Hold.LastSeen == 0)
	}
	f.silent = false
	f.register()
	f.runFor(2 * clock.Second)
	is.Equal(len(f.running)+f.countRuns("j"), 8)
}

// Guards against runs on an executor whose capacity and labels are those of a former
// incarnation, and against an entry of a former incarnation that undoes a restart.
func TestEntriesDescribeOneIncarnation(t *testing.T) {
	entry := func(incarnation unit.UnixMillis, label unit.Label) Registrations {
		return Registrations{Entries: []Registration{{
			Executor: "x0", Service: "s", Address: "a", Incarnation: incarnation, Labels: []unit.Label{label, "r0"}, Capacity: unit.Resources{CPU: 8000, Memory: 16000},
		}}}
	}
	for name, c := range map[string]struct {
		entries     []Registrations // after an answer has shown the restart
		incarnation unit.UnixMillis
		former, now int // runs that need the label of the former incarnation, and of the new one
	}{
		"no entry yet":       {nil, 2, 0, 0},
		"late entry":         {[]Registrations{entry(1, "a")}, 2, 0, 0},
		"new entry":          {[]Registrations{entry(2, "b")}, 2, 0, 1},
		"new and late entry": {[]Registrations{entry(2, "b"), entry(1, "a")}, 2, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newRestartFixture()
			f.shard.ApplyRegistrations(f.now, Registrations{Removed: []unit.Executor{"x1"}}, anyExecutor)
			f.runFor(reregistrationGrace + clock.Second)
			f.submit("before", Step{Count: 1, Size: resources(100), Needs: "a"})
			f.runFor(200)
			f.restart()
			f.runFor(clock.Second) // holds show it
			f.submit("former", Step{Count: 1, Size: resources(100), Needs: "a"})
			f.submit("now", Step{Count: 1, Size: resources(100), Needs: "b"})
			for _, r := range c.entries {
				f.shard.ApplyRegistrations(f.now, r, anyExecutor)
			}
			f.runFor(clock.Second)
			is.Equal(f.shard.executors.Get("x0").Incarnation, c.incarnation)
			runs := map[unit.Job]int{}
			for id := range f.running {
				runs[id.Job]++
			}
			is.Equal(runs["former"], c.former)
			is.Equal(runs["now"], c.now)
		})
	}
}

// Guards against runs that stay assigned to an executor, or a restart that is taken
// for granted, when another executor answers at its address.
func TestOtherExecutorAtTheAddress(t *testing.T) {
	for name, incarnation := range map[string]unit.UnixMillis{"without start time": 0, "with start time": 9} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newRestartFixture()
			f.submit("j", Step{Count: 4, Size: resources(1000), Estimate: clock.Minute})
			f.runFor(clock.Second)
			x0 := f.shard.executors.Get("x0")
			is.True(len(x0.runs) > 0)
			o := Order{To: x0.target(), Hold: &HoldOrder{Sent: f.now}}
			f.shard.HandleAnswer(f.now, unit.UnixMillis(f.now), &o, &Answer{Outcome: OutcomeOtherIncarnation, Incarnation: incarnation}, nil)
			is.Equal(len(x0.runs), 0)
			is.Equal(x0.Incarnation, unit.UnixMillis(1))
			is.True(!x0.registered)
		})
	}
}

// Guards against an answer of one incarnation that is applied to another one under
// the same id.
func TestAnswersOfOtherIncarnationsChangeNoRuns(t *testing.T) {
	for name, c := range map[string]struct {
		answer    Answer
		err       error
		sentTo    unit.UnixMillis // incarnation that the order was made for; 2 answers
		restarted bool            // the answer shows that x0 has restarted
		silent    bool
	}{
		"other executor at the former address": {Answer{Outcome: OutcomeOtherIncarnation}, nil, 1, false, false},
		"the same with its start time":         {Answer{Outcome: OutcomeOtherIncarnation, Incarnation: 9}, nil, 1, false, false},
		"no answer of the former":              {Answer{}, errors.New("no answer"), 1, false, false},
		"list of the former":                   {Answer{Outcome: OutcomeDone, Clock: 9000, Incarnation: 1}, nil, 1, false, false},
		"list for the former":                  {Answer{Outcome: OutcomeDone, Clock: 9000, Incarnation: 2}, nil, 1, false, false},
		"late list of the former":              {Answer{Outcome: OutcomeDone, Clock: 9000, Incarnation: 1}, nil, 2, false, false},
		"list of a later one":                  {Answer{Outcome: OutcomeDone, Clock: 1, Incarnation: 3}, nil, 2, true, false},
		"unnamed, clock set back":              {Answer{Outcome: OutcomeDone, Clock: 1}, nil, 2, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newRestartFixture()
			f.restart()
			f.runFor(clock.Second)
			f.submit("j", Step{Count: 4, Size: resources(1000), Estimate: clock.Minute})
			f.runFor(clock.Second)
			x0 := f.shard.executors.Get("x0")
			is.Equal(x0.Incarnation, unit.UnixMillis(2))
			before := len(x0.runs)
			is.True(before > 0)
			o := Order{To: x0.target(), Hold: &HoldOrder{Sent: f.now, Token: f.shard.token(x0), LastSeen: 57}}
			o.To.Incarnation = c.sentTo
			f.shard.HandleAnswer(f.now, unit.UnixMillis(f.now), &o, &c.answer, c.err)
			is.Equal(len(x0.runs), before)
			is.Equal(x0.acknowledgedEndNumber, unit.EndNumber(0))
			is.Equal(x0.Incarnation == 3, c.restarted)
			is.Equal(x0.reconciled, !c.restarted)
			is.Equal(x0.unresponsive, c.silent)
		})
	}
}
