package dispatch

import (
	"errors"
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// newDataCentreFixture returns a fixture with four executors. x0 and x2 are in data
// centre d0 and on rack r0, x1 and x3 in d1 and on r1.
func newDataCentreFixture() *fixture {
	f := newFixture(4)
	for n := range 4 {
		f.register(n, nil)
	}
	return f
}

// register passes the entry of executor n, as change leaves it, to the shard.
func (f *fixture) register(n int, change func(*Registration)) {
	r := f.shard.executors.Get(unit.Executor("x" + strconv.Itoa(n))).Registration
	r.DataCentre = dataCentreOf(n)
	if change != nil {
		change(&r)
	}
	f.shard.ApplyRegistrations(f.now, Registrations{Entries: []Registration{r}}, anyExecutor)
}

// evacuate sets the evacuated data centres.
func (f *fixture) evacuate(names ...unit.DataCentre) {
	set := make(DataCentres)
	for _, name := range names {
		set[name] = struct{}{}
	}
	f.shard.SetEvacuated(f.now, set)
}

// runsIn returns the number of runs of a job in a data centre.
func (f *fixture) runsIn(name unit.DataCentre, id unit.Job) int {
	n := 0
	for x, runs := range f.runsByExecutor(id) {
		if f.shard.executors.Get(x).DataCentre == name {
			n += runs
		}
	}
	return n
}

// assignAll places the ready tasks and leaves their assignments to be stored.
func (f *fixture) assignAll() {
	_, orders := f.shard.Tick(f.now, unit.UnixMillis(f.now), true)
	for _, o := range orders {
		f.execute(o)
	}
}

// startOrders stores the assignments of [fixture.assignAll] and returns the orders to
// start them. All other orders are carried out.
func (f *fixture) startOrders() []Order {
	f.shard.HandleStored(f.now)
	_, orders := f.shard.Tick(f.now, unit.UnixMillis(f.now), false)
	return slices.DeleteFunc(orders, func(o Order) bool {
		if o.Start == nil {
			f.execute(o)
		}
		return o.Start == nil
	})
}

// fail ends all runs of a job as failed.
func (f *fixture) fail(id unit.Job) {
	for x, runs := range f.runs {
		for task, run := range runs {
			if task.Job == id {
				delete(runs, task)
				f.shard.handleRunEnd(f.now, 0, f.shard.executors.Get(x), &FinishedRun{Task: task, Run: run, Kind: EndFailed})
			}
		}
	}
}

// TestEvacuatedDataCentre guards against starts in a data centre that the operator
// evacuates, and against work that waits although there is room elsewhere.
func TestEvacuatedDataCentre(t *testing.T) {
	small := Step{Count: 8, Size: resources(1000), Estimate: clock.Minute}
	perpetual := Step{Count: 8, Size: resources(1000), Perpetual: true}
	for name, c := range map[string]struct {
		script func(f *fixture)
		d0, d1 int // runs of job j in each data centre
	}{
		"new jobs": {func(f *fixture) {
			f.evacuate("d0")
			f.submit("j", small)
		}, 0, 8},
		"unknown data centre": {func(f *fixture) {
			f.evacuate("elsewhere")
			f.submit("j", small)
		}, 4, 4},
		"runs go on": {func(f *fixture) {
			f.submit("j", small)
			f.runFor(clock.Second)
			f.evacuate("d0")
		}, 4, 4},
		"failed runs go elsewhere": {func(f *fixture) {
			f.submit("j", perpetual)
			f.runFor(clock.Second)
			f.evacuate("d0")
			f.fail("j")
		}, 0, 8},
		"the rack with the data": {func(f *fixture) {
			f.evacuate("d1")
			near := small
			near.Near = "r1"
			f.submit("j", near)
		}, 8, 0},
		"the only rack allowed": {func(f *fixture) {
			f.evacuate("d1")
			only := small
			only.Needs = "r1"
			f.submit("j", only)
		}, 0, 0},
		"two in turn": {func(f *fixture) {
			f.evacuate("d0")
			f.runFor(clock.Second)
			f.evacuate("d1")
			f.runFor(returnPeriod)
			f.submit("j", small)
		}, 8, 0},
		"all": {func(f *fixture) {
			f.evacuate("d0", "d1")
			f.submit("j", small)
		}, 0, 0},
		"all, then one returns": {func(f *fixture) {
			f.evacuate("d0", "d1")
			f.submit("j", small)
			f.runFor(5 * clock.Second)
			f.evacuate("d0")
			f.runFor(returnPeriod)
		}, 0, 8},
		"entry of a borrowed executor comes later": {func(f *fixture) {
			f.evacuate("d2")
			for _, n := range []int{0, 2} {
				f.register(n, func(r *Registration) { r.DataCentre = "d2" })
			}
			f.submit("j", small)
		}, 0, 8},
		"stored assignments": {func(f *fixture) {
			f.submit("j", small)
			f.assignAll()
			f.evacuate("d0")
			f.shard.HandleStored(f.now)
		}, 0, 8},
		"stored assignments of a gang": {func(f *fixture) {
			gang := small
			gang.Gang = true
			f.submit("j", gang)
			f.assignAll()
			f.evacuate("d0")
			if len(f.startOrders()) > 0 {
				f.submit("gang is started in part", small)
			}
		}, 0, 8},
		"operator's requests are not read yet": {func(f *fixture) {
			f.shard.AwaitsOperator = true
			f.submit("j", small)
		}, 0, 0},
		"operator's requests are read later": {func(f *fixture) {
			f.shard.AwaitsOperator = true
			f.submit("j", small)
			f.runFor(clock.Second)
			f.evacuate("d1")
		}, 8, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newDataCentreFixture()
			c.script(f)
			f.runFor(500)
			is.Equal(f.runsIn("d0", "j"), c.d0)
			is.Equal(f.runsIn("d1", "j"), c.d1)
			is.True(!f.shard.HasJob("gang is started in part"))
		})
	}
}

// TestUnansweredStarts guards against a start that is repeated although its executor
// takes none any more: its data centre is evacuated, or it drains. The run must not
// begin later either, and one that has begun must not be stopped.
func TestUnansweredStarts(t *testing.T) {
	evacuate := func(f *fixture) { f.evacuate("d0") }
	drain := func(f *fixture) {
		f.register(0, func(r *Registration) { r.Draining, r.TimeLeft = true, clock.Minute })
		f.register(2, func(r *Registration) { r.Draining, r.TimeLeft = true, clock.Minute })
	}
	for name, c := range map[string]struct {
		request    func(f *fixture)
		carriedOut bool // before the request
		gang       bool
		d0, d1     int // runs in each data centre in the end
	}{
		"evacuated, lost":              {evacuate, false, false, 0, 4},
		"evacuated, carried out":       {evacuate, true, false, 2, 2},
		"evacuated, lost, gang":        {evacuate, false, true, 0, 4},
		"evacuated, carried out, gang": {evacuate, true, true, 2, 2},
		"draining, lost":               {drain, false, false, 0, 4},
		"draining, carried out":        {drain, true, false, 2, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newDataCentreFixture()
			f.submit("j", Step{Count: 4, Size: resources(1000), Estimate: clock.Minute, Gang: c.gang})
			f.assignAll()
			for _, o := range f.startOrders() {
				if f.shard.executors.Get(o.To.Executor).DataCentre != "d0" {
					f.execute(o)
					continue
				}
				if c.carriedOut {
					f.runs[o.To.Executor][o.Start.Task] = o.Start.Run
				}
				f.shard.HandleAnswer(f.now, unit.UnixMillis(f.now), &o, &Answer{}, errors.New("no answer"))
			}
			c.request(f)
			f.runFor(3 * clock.Second)
			is.Equal(f.runsIn("d0", "j"), c.d0)
			is.Equal(f.runsIn("d1", "j"), c.d1)
		})
	}
}

// TestRunsAreListedBeforeTheyAreStopped guards against a stop of a run at work, whose
// start had no answer, before a list of runs has shown whether it is there. Another
// order is answered meanwhile.
func TestRunsAreListedBeforeTheyAreStopped(t *testing.T) {
	is := is.New(t)
	f := newDataCentreFixture()
	f.submit("j", Step{Count: 4, Size: resources(1000), Estimate: clock.Minute})
	f.assignAll()
	for _, o := range f.startOrders() {
		f.runs[o.To.Executor][o.Start.Task] = o.Start.Run
		f.shard.HandleAnswer(f.now, unit.UnixMillis(f.now), &o, &Answer{}, errors.New("no answer"))
	}
	f.evacuate("d0")
	f.holdsUnanswered = true
	for _, e := range f.shard.executors.All() {
		e.unresponsive = false
	}
	f.runFor(clock.Second)
	is.Equal(f.runsIn("d0", "j"), 2)
}

// TestStartsThatWereNotSent guards against a task that is lost, or a run that is taken
// for a possible one, after its start was held back on its way.
func TestStartsThatWereNotSent(t *testing.T) {
	is := is.New(t)
	f := newDataCentreFixture()
	f.submit("j", Step{Count: 4, Size: resources(1000), Estimate: clock.Minute})
	f.assignAll()
	orders := f.startOrders()
	f.evacuate("d0")
	for _, o := range orders {
		if f.shard.executors.Get(o.To.Executor).evacuated {
			f.shard.HandleAnswer(f.now, unit.UnixMillis(f.now), &o, &Answer{Outcome: OutcomeNotSent}, nil)
			_, _, task := f.shard.findTask(o.Start.Task)
			is.Equal(task.State, TaskReady) // at once, without a stop
			continue
		}
		f.execute(o)
	}
	f.runFor(500)
	is.Equal(f.runsIn("d1", "j"), 4)
}

// TestReturnOfADataCentre guards against a rush of new runs when an evacuation ends.
func TestReturnOfADataCentre(t *testing.T) {
	is := is.New(t)
	f := newFixture(64)
	for n := range 64 {
		f.register(n, nil)
	}
	usable := func() int {
		n := 0
		for _, e := range f.shard.executors.All() {
			if e.usable(f.now) && e.DataCentre == "d0" {
				n++
			}
		}
		return n
	}
	f.evacuate("d0")
	is.Equal(usable(), 0)
	f.runFor(5 * clock.Second)
	f.evacuate()
	is.True(usable() < 8)
	f.now = f.now.Add(returnPeriod / 2)
	half := usable()
	is.True(half > 8 && half < 24)
	f.now = f.now.Add(returnPeriod / 2)
	is.Equal(usable(), 32)
}

// TestLoadsWithoutEvacuatedDataCentres guards against executors that are counted as
// room, lent or given back although no start may leave for them.
func TestLoadsWithoutEvacuatedDataCentres(t *testing.T) {
	is := is.New(t)
	f := newDataCentreFixture()
	f.evacuate("d0")
	loads, _ := f.shard.serviceLoads(f.now)
	is.Equal(len(loads), 1)
	is.Equal(loads[0].Capacity, unit.MilliCPU(16000))
	is.Equal(f.shard.lendable(f.now, "s"), []unit.Executor{"x1", "x3"})
	executors, runs := f.shard.CountIn("d0")
	is.Equal(executors, 2)
	is.Equal(runs, 0)
}
