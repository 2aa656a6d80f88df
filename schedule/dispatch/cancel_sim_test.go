package dispatch

import (
	"maps"
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// cancelBound and stopBound are the platform's bounds for a cancelled job: no
	// start later than cancelBound after the acknowledgement, no run later than
	// stopBound after that.
	cancelBound = 3 * clock.Second
	stopBound   = 200 * clock.Millisecond
	// contactBound is the time without a fault after which the bounds apply. A run
	// that an executor starts late may last for contactBound and stopBound.
	contactBound = 3 * clock.Second
	// cancelRetryInterval is the interval between two attempts to cancel a job.
	cancelRetryInterval = 900 * clock.Millisecond
	// cancelCheckInterval is the interval between two checks of the runs.
	cancelCheckInterval = 50
	// removalDelay is how long an executor is silent before its entry is removed.
	removalDelay = 3 * clock.Second
)

// cancelSimulation is the state of the cancels in a [simulation].
type cancelSimulation struct {
	jobs            map[unit.Job]*simulatedCancel
	open            []unit.Job   // jobs whose cancel is not acknowledged
	submitInterval  int          // in ticks
	loanDisturbedAt clock.Millis // last fault of a request for loans

	// Counts that show what a simulation has covered.
	acknowledged, withRuns, lateStarts, calmLateStarts, unfencedStarts, droppedRows int
	slowestStop                                                                     clock.Span // in calm time
}

// simulatedCancel is the cancel of a job.
type simulatedCancel struct {
	shard          unit.Shard
	at             clock.Millis // when it is requested first
	external       bool         // is requested by the simulation of several shards
	requested      *Shard       // owner that has it
	retryAt        clock.Millis
	acknowledgedAt clock.Millis // 0 if it is not acknowledged
}

// add adds the counts of another simulation.
func (c *cancelSimulation) add(d *cancelSimulation) {
	c.acknowledged += d.acknowledged
	c.withRuns += d.withRuns
	c.lateStarts += d.lateStarts
	c.calmLateStarts += d.calmLateStarts
	c.unfencedStarts += d.unfencedStarts
	c.droppedRows += d.droppedRows
	c.slowestStop = max(c.slowestStop, d.slowestStop)
}

// rarely returns true with probability p, and draws no random number for 0: the
// seeds of simulations without the fault keep their meaning.
func (sim *simulation) rarely(p float64) bool { return p > 0 && sim.chance(p) }

// span returns a random span of low up to, but not including, high.
func (sim *simulation) span(low, high clock.Span) clock.Span {
	return low + clock.Span(sim.random.Int63n(int64(high-low)))
}

// injectFaults cuts x off from its owner, or silences it for so long that its entry
// is removed and put back later, at times with a restart in between.
func (sim *simulation) injectFaults(x *simulatedExecutor) {
	if sim.now >= x.cutOffUntil && sim.rarely(sim.faults.cutOffNow) {
		x.cutOffFrom, x.cutOffUntil = sim.epoch, sim.now.Add(sim.span(clock.Second, 14*clock.Second))
	}
	if sim.now >= x.unlistedUntil && sim.rarely(sim.faults.removed) {
		x.partitionedUntil = sim.now.Add(sim.span(4*clock.Second, 20*clock.Second))
		x.unlistedFrom, x.unlistedUntil = sim.now.Add(removalDelay), x.partitionedUntil.Add(sim.span(0, 2*clock.Second))
		if sim.chance(0.6) {
			x.restartAt = sim.now.Add(sim.span(0, x.partitionedUntil.Sub(sim.now)))
		}
	}
}

// isUnfenced reports whether an order is one to an earlier incarnation of x, and no
// owner has reconciled this one. No order can have fenced it, so that a start of a
// task that runs or has run elsewhere is no fault of the owners, nor that a hold
// discards ends that no list has shown. The run has to be stopped in time all the
// same.
func (sim *simulation) isUnfenced(x *simulatedExecutor, m *message) bool {
	if !m.deferred || m.order.To.Incarnation == x.incarnation {
		return false
	}
	for _, sh := range sim.shards {
		if e := sh.owner.executors.Get(x.id); e != nil && e.reconciled && e.Incarnation == x.incarnation {
			return false
		}
	}
	return true
}

// isUnlisted reports whether the platform's list has no entry of x.
func (x *simulatedExecutor) isUnlisted(now clock.Millis) bool {
	return now >= x.unlistedFrom && now < x.unlistedUntil
}

// disturbedUntil returns the time at which the last fault of x ended. Late orders
// do not count: the platform carries out orders late long after a fault.
func (x *simulatedExecutor) disturbedUntil() clock.Millis {
	return max(x.startedAt, x.partitionedUntil, x.cutOffUntil, x.silentUntil, x.unlistedUntil, x.undecodableUntil, x.outdatedUntil, x.lostAt)
}

// disturbedUntil returns the time at which the last fault ended that touches x or
// an owner. The replacement of an owner, a slow append and a fault of a request
// for loans touch all executors; late orders are no faults, see
// [simulatedExecutor.disturbedUntil].
func (sim *simulation) disturbedUntil(x *simulatedExecutor) clock.Millis {
	until := max(x.disturbedUntil(), sim.cancels.loanDisturbedAt)
	for _, sh := range sim.shards {
		until = max(until, sh.replacedAt, sh.slowUntil)
	}
	return until
}

// disturbLoans records a fault of a request for loans.
func (sim *simulation) disturbLoans() { sim.cancels.loanDisturbedAt = sim.now }

// cancelLater lets a job be cancelled at a time.
func (sim *simulation) cancelLater(sh *simulatedShard, id unit.Job, at clock.Millis, external bool) {
	if sim.cancels.jobs == nil {
		sim.cancels.jobs = make(map[unit.Job]*simulatedCancel)
	}
	sim.cancels.open = append(sim.cancels.open, id)
	sim.cancels.jobs[id] = &simulatedCancel{shard: sh.id, at: at, external: external}
}

// handleCancels requests the cancels that are due, again if the owner was replaced,
// and acknowledges those whose jobs have a stored end. A job that its owner does
// not have counts as cancelled.
func (sim *simulation) handleCancels() {
	sim.cancels.open = slices.DeleteFunc(sim.cancels.open, func(id unit.Job) bool {
		c := sim.cancels.jobs[id]
		if sim.now < c.at || !sim.requestCancel(id, c) {
			return false
		}
		c.acknowledgedAt = sim.now
		sim.cancels.acknowledged++
		for _, x := range sim.executors {
			if x.runsJob(id) {
				sim.cancels.withRuns++
				break
			}
		}
		return true
	})
}

// requestCancel requests a cancel that is due, and reports whether it is
// acknowledged.
func (sim *simulation) requestCancel(id unit.Job, c *simulatedCancel) bool {
	sh := sim.shards[c.shard]
	switch {
	case c.external:
		c.requested = sh.owner
	case c.requested != sh.owner && sim.now >= c.retryAt:
		c.requested, c.retryAt = sh.owner, sim.now.Add(cancelRetryInterval)
		if !sh.owner.Cancel(sim.now, sim.wall(), id) {
			return true
		}
	}
	if c.requested != sh.owner && c.requested != sh.formerOwner {
		return false // the requester gets no answer
	}
	state, stored := c.requested.State(id)
	return stored && state.Ended()
}

// runsJob reports whether a run of a job is on x.
func (x *simulatedExecutor) runsJob(id unit.Job) bool {
	for task := range x.running {
		if task.Job == id {
			return true
		}
	}
	return false
}

// checkStartOrder checks that no owner orders a start of a job whose cancel is
// acknowledged: the current one never, a former one not after cancelBound.
func (sim *simulation) checkStartOrder(from *Shard, o *StartOrder) {
	c := sim.cancels.jobs[o.Task.Job]
	if c == nil || c.acknowledgedAt == 0 {
		return
	}
	if age := sim.now.Sub(c.acknowledgedAt); from == sim.shards[c.shard].owner || age > cancelBound {
		sim.reportViolation("start of %s is ordered %d ms after its cancel was acknowledged", o.Task, age)
	}
}

// checkCancelledRuns checks that no run of a cancelled job is left too long.
func (sim *simulation) checkCancelledRuns() {
	if len(sim.cancels.jobs) == 0 || sim.now%cancelCheckInterval != 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(sim.executors)) {
		x := sim.executors[id]
		if hasRow := sim.shards[0].owner.executors.Get(id) != nil; hasRow != x.hasRow {
			if x.hasRow && sim.now > sim.shards[0].replacedAt {
				sim.cancels.droppedRows++
			}
			x.hasRow = hasRow
		}
		for _, task := range x.runningTasks() {
			r := x.running[task]
			c := sim.cancels.jobs[task.Job]
			if c == nil || c.acknowledgedAt == 0 || r.isOverdue {
				continue
			}
			base := max(c.acknowledgedAt, r.startedAt)
			if r.startedAt > c.acknowledgedAt && !r.isLate {
				r.isLate = true
				sim.cancels.lateStarts++
				if r.startedAt.Sub(sim.disturbedUntil(x)) > contactBound {
					sim.cancels.calmLateStarts++
				}
			}
			calm := sim.now.Sub(sim.disturbedUntil(x)) - contactBound
			age := sim.now.Sub(base)
			if calm > 0 {
				sim.cancels.slowestStop = max(sim.cancels.slowestStop, min(age, calm))
			}
			if age > cancelBound+stopBound && calm > cancelBound+stopBound {
				r.isOverdue = true
				sim.reportViolation("%s run %d is left on %s: started at %d, cancel acknowledged at %d, calm since %d; %s",
					task, r.run, id, r.startedAt, c.acknowledgedAt, sim.disturbedUntil(x), sim.describeRow(sim.shards[c.shard].owner, x, task))
			}
		}
	}
}

// describeRow says what an owner knows of an executor and of a task.
func (sim *simulation) describeRow(s *Shard, x *simulatedExecutor, id TaskID) string {
	e := s.executors.Get(x.id)
	if e == nil {
		return "the executor has no row"
	}
	row := "token " + strconv.Itoa(int(s.token(e))) + " of " + strconv.Itoa(int(x.token)) + ", reconciled " + strconv.FormatBool(e.reconciled) +
		", answers " + strconv.FormatBool(!e.unresponsive) + ", registered " + strconv.FormatBool(e.registered) + ", restarts " + strconv.Itoa(int(e.restarts))
	if _, _, t := s.findTask(id); t != nil {
		return row + ", task is " + t.State.String() + " on " + string(t.Executor) + ": " + s.stopState(t)
	}
	return row + ", task is unknown"
}

// submitCancelled submits a job, most of which are cancelled later: at once, in
// the append of the submission, or in the following seconds.
func (sim *simulation) submitCancelled(n int) {
	id := unit.Job("j" + strconv.Itoa(n))
	s := sim.batchSpec(id)
	cancelled := sim.chance(0.5)
	if sim.chance(0.5) {
		s.Steps = []Step{{Count: 1 + sim.random.Intn(2), Size: unit.Resources{CPU: 1000, Memory: 500}, Perpetual: true}}
		cancelled = true
	}
	if cancelled {
		delay := sim.span(0, 40)
		if sim.chance(0.7) {
			delay = sim.span(40, 7*clock.Second)
		}
		sim.cancelLater(sim.shards[0], id, sim.now.Add(delay), false)
	}
	sim.submitTo(sim.shards[0], s)
}

// runCancels advances time by a number of ticks with bursts of faults and calm
// times between them, in which only late orders go on, and a calm time at the end.
func (sim *simulation) runCancels(ticks int) {
	burst := sim.faults
	calm := faults{late: min(burst.late, 0.01), maxLate: burst.maxLate, deferred: burst.deferred}
	phaseEnd := 0
	for i := range ticks {
		switch {
		case i < phaseEnd:
		case i >= ticks-calmTicks:
			sim.faults, phaseEnd = calm, ticks
		case sim.faults == burst && i > 0:
			sim.faults, phaseEnd = calm, i+300+sim.random.Intn(calmTicks)
		default:
			sim.faults, phaseEnd = burst, i+100+sim.random.Intn(400)
		}
		if i%sim.cancels.submitInterval == 0 {
			sim.submitCancelled(i)
		}
		sim.tick()
		if sim.violations != nil {
			return
		}
	}
}

// calmTicks is the length of the calm time at the end, and a bound of the others.
const calmTicks = 900

// cancelMixes are the mixes of faults for [TestCancelledRunsEndUnderFaults].
var cancelMixes = map[string]faults{
	"none":                {},
	"late":                {late: 0.02, lateStart: 0.2, deferred: 0.5},
	"removed executors":   {removed: 0.001, lost: 0.01, late: 0.05, lateStart: 0.3, deferred: 0.9, maxLate: 20 * clock.Second},
	"idle executors":      {removed: 0.001, late: 0.05, lateStart: 0.7, deferred: 1, maxLate: 30 * clock.Second, crash: 0.0005},
	"deferred starts":     {crash: 0.002, silentRestart: 0.001, late: 0.1, lateStart: 0.3, deferred: 0.9, misdelivered: 0.5},
	"cut off":             {cutOffNow: 0.001, late: 0.05, lateStart: 0.2, deferred: 0.9, replaceOwner: 0.001, cutOff: 0.3},
	"rebalanced owners":   {rebalance: 0.005, late: 0.05, lateStart: 0.2, deferred: 0.5, crash: 0.0005},
	"slow appends":        {slowAppend: 0.1, replaceOwner: 0.002, lostAppend: 0.5, lost: 0.02},
	"outdated entries":    {outdated: 0.9, late: 0.2, crash: 0.004, misdelivered: 0.5, replaceOwner: 0.006},
	"undecodable entries": {replaceOwner: 0.003, undecodable: 0.4, late: 0.05, lateStart: 0.2, deferred: 0.5, crash: 0.0005},
	"all": {
		lost: 0.02, late: 0.05, lateStart: 0.2, deferred: 0.6, maxLate: 14 * clock.Second, crash: 0.0005, silentRestart: 0.0003, misdelivered: 0.5,
		partition: 0.0003, removed: 0.0003, cutOffNow: 0.0003, replaceOwner: 0.001, cutOff: 0.1, rebalance: 0.001, undecodable: 0.2,
		slowAppend: 0.02, lostAppend: 0.3,
	},
}

// TestCancelledRunsEndUnderFaults guards against a run of a cancelled job that
// starts or is left after the acknowledgement of the cancel, with no fault near.
func TestCancelledRunsEndUnderFaults(t *testing.T) {
	for name, f := range cancelMixes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var total cancelSimulation
			for seed := range int64(seeds()) {
				sim := newSimulation(seed, f)
				ticks := 2000
				sim.cancels.submitInterval = 30
				if name == "idle executors" {
					ticks, sim.cancels.submitInterval = 5000, 170 // those without runs get no holds
				}
				sim.runCancels(ticks)
				if sim.violations != nil {
					t.Logf("seed %d", seed)
				}
				is.NoErr(sim.violations)
				total.add(&sim.cancels)
			}
			t.Logf("%d cancels acknowledged, %d with runs left; %d late starts, %d in calm time, %d unfenced; %d rows dropped; slowest stop in calm time %d ms",
				total.acknowledged, total.withRuns, total.lateStarts, total.calmLateStarts, total.unfencedStarts, total.droppedRows, total.slowestStop)
			is.True(total.withRuns > 0) // the simulation covers runs to stop
		})
	}
}
