package dispatch

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// maxSimulatedHold is the longest lease that an executor accepts, in milliseconds
// of its clock. It does not shorten the leases of the owners.
const maxSimulatedHold = 10_000

// simulatedExecutor is an executor of the [simulation].
type simulatedExecutor struct {
	id                unit.Executor
	address           string
	incarnation       unit.UnixMillis
	startedAt         clock.Millis
	clockRate         float64 // its clock relative to the actual time; below 1 it is slow
	token             unit.Token
	lease             unit.ExecutorMillis
	running           map[TaskID]*simulatedRun
	highestRuns       map[TaskID]unit.Run // highest run of each task that was started or stopped
	finished          []FinishedRun
	lastEnd           unit.EndNumber // number of the last end
	lapsedEnd         unit.EndNumber // number of the last end before the lease lapsed
	partitionedUntil  clock.Millis
	cutOffFrom        unit.Generation // owners from this epoch on do not reach it until cutOffUntil
	cutOffUntil       clock.Millis
	silentUntil       clock.Millis // its answers are lost until then
	restartAt         clock.Millis // when it restarts, 0 if it does not
	leavesAt          clock.Millis // when it leaves for good, 0 if it does not drain
	user              simulatedUse // last use by a current owner
	usedAt            clock.Millis // when exactly one current owner used it
	capacity          unit.Resources
	dataCentre        unit.DataCentre
	unlistedFrom      clock.Millis            // has no entry from then on
	unlistedUntil     clock.Millis            // has no entry until then
	undecodableUntil  clock.Millis            // its entry can't be decoded until then
	outdatedUntil     clock.Millis            // its entry may be that of formerIncarnation until then
	formerIncarnation unit.UnixMillis         // incarnation before the last restart
	lostAt            clock.Millis            // when an order to it was last lost
	unfencedEnds      map[unit.EndNumber]bool // ends of runs with isUnfenced
	hasRow            bool                    // the current owner has a row of it
	isUnfenced        bool                    // the order that it carries out is one for isUnfenced
}

// simulatedRun is a run on a simulatedExecutor.
type simulatedRun struct {
	run    unit.Run
	endsAt clock.Millis
	size   unit.Resources

	startedAt  clock.Millis
	isLate     bool // started after the cancel of its job was acknowledged
	isUnfenced bool // started by an order for isUnfenced
	isOverdue  bool // was reported by checkCancelledRuns
}

// isCutOff reports whether an owner does not reach x.
func (x *simulatedExecutor) isCutOff(owner *Shard, now clock.Millis) bool {
	return now < x.cutOffUntil && owner.Epoch >= x.cutOffFrom
}

// runningTasks returns the tasks that run on x, in a fixed order.
func (x *simulatedExecutor) runningTasks() []TaskID {
	if len(x.running) == 0 {
		return nil
	}
	tasks := make([]TaskID, 0, len(x.running))
	for id := range x.running {
		tasks = append(tasks, id)
	}
	slices.SortFunc(tasks, TaskID.compare)
	return tasks
}

// isCut reports whether orders of an owner do not reach an executor.
func (sim *simulation) isCut(owner *Shard, id unit.Executor) bool {
	x := sim.executors[id]
	return x != nil && (sim.now < x.partitionedUntil || x.isCutOff(owner, sim.now))
}

// reset clears the state that a restart loses.
func (x *simulatedExecutor) reset() {
	x.token, x.lease, x.finished, x.lastEnd, x.lapsedEnd = 0, 0, nil, 0, 0
	x.unfencedEnds = make(map[unit.EndNumber]bool)
	x.running, x.highestRuns = make(map[TaskID]*simulatedRun), make(map[TaskID]unit.Run)
}

// clock returns the reading of the clock of x, which may be slow.
func (x *simulatedExecutor) clock(now clock.Millis) unit.ExecutorMillis {
	return 1 + unit.ExecutorMillis(float64(now.Sub(x.startedAt))*x.clockRate)
}

// advance ends the runs and leases of x that are due. It may also restart or
// partition x.
func (sim *simulation) advance(x *simulatedExecutor) {
	if sim.chance(sim.faults.silentRestart) && sim.now >= x.silentUntil {
		x.silentUntil, x.restartAt = sim.now.Add(clock.Span(1000+sim.random.Intn(5000))), sim.now.Add(clock.Span(sim.random.Intn(1500)))
	}
	if sim.chance(sim.faults.crash) || x.restartAt > 0 && sim.now >= x.restartAt {
		x.reset()
		x.formerIncarnation = x.incarnation
		x.startedAt, x.incarnation, x.restartAt = sim.now, x.incarnation+100, 0
		if sim.rarely(sim.faults.outdated) {
			x.outdatedUntil = sim.now.Add(sim.span(0, 6*clock.Second))
		}
	}
	sim.injectFaults(x)
	if x.clock(sim.now) > x.lease {
		x.lapsedEnd = x.lastEnd
	}
	if sim.chance(sim.faults.partition) {
		x.partitionedUntil = sim.now.Add(clock.Span(sim.random.Intn(9000)))
	}
	for _, id := range x.runningTasks() {
		r := x.running[id]
		switch {
		case x.clock(sim.now) > x.lease:
			x.endRun(id, EndLeaseExpired)
		case sim.now >= r.endsAt && sim.chance(0.1):
			sim.failures[id]++
			x.endRun(id, EndFailed)
		case sim.now >= r.endsAt:
			sim.done[id] = true
			x.endRun(id, EndDone)
		}
	}
}

// endRun ends a run and adds its end to the list of finished runs.
func (x *simulatedExecutor) endRun(id TaskID, how EndKind) {
	x.lastEnd++
	x.finished = append(x.finished, FinishedRun{Number: x.lastEnd, Task: id, Run: x.running[id].run, Kind: how, Checkpoint: "c"})
	x.unfencedEnds[x.lastEnd] = x.running[id].isUnfenced
	delete(x.running, id)
}

// execute carries out an order at x and returns its answer.
func (sim *simulation) execute(x *simulatedExecutor, o *Order) Answer {
	a := Answer{Outcome: OutcomeDone, Clock: x.clock(sim.now), Incarnation: x.incarnation}
	token := unit.Token(0)
	switch {
	case o.Start != nil:
		token = o.Start.Token
	case o.Stop != nil:
		token = o.Stop.Token
	case o.Pace != nil:
		token = o.Pace.Token
	default:
		token = o.Hold.Token
	}
	if token < x.token {
		a.Outcome = OutcomeFenced
		return a
	}
	x.token = token
	switch {
	case o.Start != nil:
		a.Outcome = sim.startRun(x, o.Start)
	case o.Stop != nil:
		if r := x.running[o.Stop.Task]; r != nil && r.run <= o.Stop.Run {
			x.endRun(o.Stop.Task, EndStopped)
		}
		x.highestRuns[o.Stop.Task] = max(x.highestRuns[o.Stop.Task], o.Stop.Run)
	case o.Hold != nil:
		x.lease = max(x.lease, min(o.Hold.Deadline, x.clock(sim.now)+maxSimulatedHold))
		x.finished = slices.DeleteFunc(x.finished, func(f FinishedRun) bool {
			acknowledged := f.Number <= o.Hold.LastSeen
			if acknowledged && !x.isUnfenced && !x.unfencedEnds[f.Number] && f.Kind == EndDone && f.Number > x.lapsedEnd {
				sim.noted[f.Task] = true
			}
			return acknowledged
		})
		a.Finished = slices.Clone(x.finished)
		for _, id := range x.runningTasks() {
			a.Running = append(a.Running, RunningRun{Task: id, Run: x.running[id].run, Progress: unit.Percent(sim.now % 97)})
		}
	}
	return a
}

// startRun carries out a start order at x, under the rules of the platform.
func (sim *simulation) startRun(x *simulatedExecutor, o *StartOrder) Outcome {
	if r := x.running[o.Task]; r != nil && r.run == o.Run {
		return OutcomeDone
	}
	if o.Run <= x.highestRuns[o.Task] {
		return OutcomeStaleRun
	}
	if o.Deadline < x.clock(sim.now) {
		return OutcomeDeadlinePassed
	}
	x.lease = max(x.lease, min(o.Deadline, x.clock(sim.now)+maxSimulatedHold))
	spec := sim.spec(o.Task.Job)
	step := &spec.Steps[o.Task.Step]
	used := step.Size
	for _, r := range x.running {
		used = used.Add(r.size)
	}
	if !used.Fits(x.capacity) {
		return OutcomeNoRoom
	}
	if x.isUnfenced {
		sim.cancels.unfencedStarts++
	} else {
		sim.checkStart(x, o, spec)
	}
	x.highestRuns[o.Task] = o.Run
	r := &simulatedRun{run: o.Run, size: step.Size, startedAt: sim.now, isUnfenced: x.isUnfenced, endsAt: sim.now.Add(clock.Span(100 + sim.random.Intn(1500)))}
	if step.Perpetual {
		r.endsAt = clock.Never
	}
	x.running[o.Task] = r
	return OutcomeDone
}
