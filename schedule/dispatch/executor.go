package dispatch

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Executor is a row of the table of executors.
type Executor struct {
	Registration
	registered            bool                // has an entry in the platform's list
	unregisteredAt        clock.Millis        // when the entry was removed
	drainingSince         clock.Millis        // when the entry first had the draining flag
	evacuatingUntil       clock.Millis        // gets no new runs before, because of maintenance
	vacatingUntil         clock.Millis        // gets no new runs before, because it is to be lent to another shard
	evacuated             bool                // gets no new runs, because the operator evacuates its data centre
	returnsAt             clock.Millis        // gets no new runs before, because the evacuation of its data centre has just ended
	lastListAt            clock.Millis        // when the last run lists came
	listRequestedAt       clock.Millis        // when they were requested
	reconciled            bool                // its run lists were reconciled with the tables under the token of this owner
	reconciledBefore      bool                // it was reconciled under this owner, so that leaseExpiresBy includes the leases of earlier ones
	restarts              unit.Token          // restarts under this id since the start of the ownership; part of the fencing token
	runs                  []assignment        // one for each task assigned to it
	runIndex              map[TaskID]int      // index in runs
	stepRuns              map[stepKey]int     // number of runs of each step with a MaxPerExecutor
	allocated             unit.Resources      // to assigned tasks; best-effort tasks are allocated no processor time
	bestEffortCPU         unit.MilliCPU       // requested by best-effort tasks
	servingCount          int                 // assigned serving tasks
	unknownRuns           int                 // runs in the last list that the tables do not have
	clock                 unit.ExecutorMillis // last reading of the clock of the executor
	clockReadAt           clock.Millis        // when clock was read, 0 if never
	leaseExpiresBy        clock.Millis        // time by which all granted leases must have expired
	storedEndNumber       unit.EndNumber      // ends up to this number are stored
	processedEndNumber    unit.EndNumber      // ends up to this number are in the tables; becomes storedEndNumber once stored
	storingEndNumber      unit.EndNumber      // ends up to this number are stored with the append in flight
	acknowledgedEndNumber unit.EndNumber      // LastSeen of the last hold that was answered
	holdInFlight          bool                // a hold has no answer yet
	unresponsive          bool                // the last order had no answer
	holdRetryAt           clock.Millis        // earliest time of the next hold
	unansweredHolds       int                 // holds without an answer in a row
	consecutiveFailures   int                 // failed runs in a row; suspectThreshold-1 once it becomes suspect, 0 after a success or a restart
	suspectUntil          clock.Millis        // gets no new runs before, because runs failed, stalled or were refused
	slowUntil             clock.Millis        // suspect until then because its runs are slow, see Shard.avoidSlow
	reservedCPU           unit.MilliCPU       // processor time kept from first runs of perpetual tasks, see Shard.reserveForRestarts
	reservedForBatch      bool                // gets no first runs of perpetual tasks, see Shard.reserveForBatch
	overdueCPU            unit.MilliCPU       // part of reservedCPU that is kept from all but restarts
	servingCPU            unit.MilliCPU       // processor time allocated to serving tasks
	perpetual             unit.Resources      // part of allocated that perpetual tasks have
	vacatingSince         clock.Millis        // when it was first kept free of new runs to be lent
	notLentBefore         clock.Millis        // is not lent before, because it could not be vacated in time
	overTargetSince       clock.Millis        // since when a serving task exceeds its target, 0 if none does
	speed                 speedMeter          // of the batch runs on it
	lastSample            interferenceSample  // last one used for training
	silentSince           clock.Millis        // when it became unresponsive
	reference             unit.ExecutorMillis // reading of its clock that is known most precisely
	referenceSentAt       clock.Millis        // when the hold was sent whose answer had reference, 0 if there was none
	referenceDelay        clock.Span          // from that hold to its answer
	servingTasks          []servingTask       // from the last run list
	bestEffortLoadsKnown  bool                // the best-effort loads of servingTasks are up to date
	availableAt           availability        // when it last got able to take more tasks
	promisedIn            int64               // last placement that promised room on it to a task that waits for its rack, 0 if none did
	accepting             bool                // accepted new runs at the last placement
	listChanged           bool                // a run list came since the runs were last checked for stalls
	pacesChanged          bool                // target paces were set since the paces were last sent
	servingImages         map[unit.Image]int  // number of serving tasks by image
	formerIncarnations    []unit.UnixMillis   // ended ones, oldest first
	entryIncarnation      unit.UnixMillis     // incarnation whose entry gave the capacity and the labels
}

// assignment is a run of a task that is assigned to an executor. Its pointers
// refer to the rows of the task, which exist as long as the assignment.
type assignment struct {
	id   TaskID
	run  unit.Run
	job  *Job
	step *Step
	task *Task
}

// isCurrent reports whether the assignment is that of the task's current run. It
// is not if the job has ended and lost its spec.
func (a *assignment) isCurrent() bool { return a.job.Spec != nil && a.task.Run == a.run }

// availability counts the changes after which executors may take more tasks than
// before. A task that no executor could take needs to be rated again only for
// executors whose availability is later.
type availability uint64

// maxClockDrift is the largest share by which the monotonic clock of an
// executor may be slow, with a margin for rounding.
const maxClockDrift = 0.021

// reregistrationGrace is how long an executor without an entry is still used
// if it answers. Entries that expire because the store fails come back within
// 2 s.
const reregistrationGrace = 2500 * clock.Millisecond

// leaseMargin is added to the computed end of a lease for rounding, in
// milliseconds.
const leaseMargin clock.Span = 60

// extendLease returns a deadline on the executor's clock that lies span ahead,
// and raises leaseExpiresBy to the time by which the deadline must have passed.
func (e *Executor) extendLease(now clock.Millis, span clock.Span) unit.ExecutorMillis {
	offset := now.Sub(e.clockReadAt) + span
	e.leaseExpiresBy = max(e.leaseExpiresBy, e.clockReadAt.Add(offset+clock.Span(float64(offset)*maxClockDrift)+leaseMargin))
	return e.clock + unit.ExecutorMillis(offset)
}

// updateClock records the clock reading of an answer, if it has one.
func (e *Executor) updateClock(now clock.Millis, a *Answer) {
	if a.Clock > 0 {
		e.clock, e.clockReadAt = a.Clock, now
	}
}

// usable reports whether new runs may be placed on e.
func (e *Executor) usable(now clock.Millis) bool {
	return (e.registered || now < e.unregisteredAt.Add(reregistrationGrace)) && e.entryIncarnation == e.Incarnation && e.reconciled && !e.unresponsive && e.takesStarts() && now >= e.suspectUntil && now >= e.evacuatingUntil && now >= e.returnsAt
}

// serviceable reports whether e is usable, can be given deadlines on its clock and
// has no unknown runs, which use an unknown part of its capacity.
func (e *Executor) serviceable(now clock.Millis) bool {
	return e.usable(now) && e.clockReadAt > 0 && e.unknownRuns == 0
}

// accepts reports whether e is serviceable and is not to be lent to another shard.
func (e *Executor) accepts(now clock.Millis) bool {
	return e.serviceable(now) && now >= e.vacatingUntil
}

// hasLabel reports whether e has a label.
func (e *Executor) hasLabel(label unit.Label) bool { return slices.Contains(e.Labels, label) }

// unrequestedCPU returns the processor time that no task has requested. It is
// negative if best-effort tasks request more than there is.
func (e *Executor) unrequestedCPU() unit.MilliCPU {
	return e.Capacity.CPU - e.allocated.CPU - e.bestEffortCPU
}

// servingUtilization is the share of its allocation that a serving task uses
// at its usual load. The platform's list does not report it.
const servingUtilization = 0.4

// availableBestEffortCPU returns the processor time that further best-effort
// tasks can be expected to get: what no task has requested, and what serving
// tasks leave of their allocation.
func (e *Executor) availableBestEffortCPU() unit.MilliCPU {
	return e.unrequestedCPU() + unit.MilliCPU((1-servingUtilization)*float64(e.servingCPU))
}

// countRuns returns the number of runs of a step with a MaxPerExecutor that are
// assigned to e.
func (e *Executor) countRuns(k stepKey) int { return e.stepRuns[k] }

// indexOf returns the index of the assignment of a task in the runs of e, or -1.
func (e *Executor) indexOf(id TaskID) int {
	if i, ok := e.runIndex[id]; ok {
		return i
	}
	return -1
}

// addRun assigns a run of a task to e and counts the task if it is new there.
func (e *Executor) addRun(a assignment) {
	a.job.assignedRuns++
	if i := e.indexOf(a.id); i >= 0 {
		e.runs[i].job.assignedRuns--
		e.runs[i] = a
		return
	}
	if e.runIndex == nil {
		e.runIndex = make(map[TaskID]int)
	}
	e.runIndex[a.id] = len(e.runs)
	e.runs = append(e.runs, a)
	e.updateTotals(a.id, a.step, 1)
}

// removeRun removes a task from e, if it is there. The last assignment takes its
// index, so that a loop over the indices that removes runs has to go backwards.
func (e *Executor) removeRun(id TaskID) {
	i := e.indexOf(id)
	if i < 0 {
		return
	}
	step, last := e.runs[i].step, len(e.runs)-1
	e.runs[i].job.assignedRuns--
	e.runs[i] = e.runs[last]
	e.runIndex[e.runs[i].id] = i
	delete(e.runIndex, id)
	e.runs[last] = assignment{}
	e.runs = e.runs[:last]
	e.updateTotals(id, step, -1)
}

// updateTotals adds n to the totals of e for a task of a step. n is 1 or -1.
func (e *Executor) updateTotals(id TaskID, step *Step, n int) {
	e.bestEffortLoadsKnown = false
	if step.MaxPerExecutor > 0 {
		if e.stepRuns == nil {
			e.stepRuns = make(map[stepKey]int)
		}
		k := stepKey{id.Job, id.Occurrence, id.Step}
		if e.stepRuns[k] += n; e.stepRuns[k] == 0 {
			delete(e.stepRuns, k)
		}
	}
	demand := step.demand()
	add := unit.Resources.Add
	if n < 0 {
		add = unit.Resources.Sub
	}
	e.allocated = add(e.allocated, demand)
	if step.Perpetual {
		e.perpetual = add(e.perpetual, demand)
	}
	if step.Fills {
		e.bestEffortCPU += unit.MilliCPU(n) * step.Size.CPU
	}
	if step.TailTarget > 0 {
		e.servingCount += n
		if e.servingImages == nil {
			e.servingImages = make(map[unit.Image]int)
		}
		if e.servingImages[step.Image] += n; e.servingImages[step.Image] == 0 {
			delete(e.servingImages, step.Image)
		}
		e.servingCPU += unit.MilliCPU(n) * step.Size.CPU
	}
}

// otherServingImages returns the number of images on e that serve, without the
// given one.
func (e *Executor) otherServingImages(image unit.Image) int {
	n := len(e.servingImages)
	if e.servingImages[image] > 0 {
		n--
	}
	return n
}
