package dispatch

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Executor is a row of the table of executors.
type Executor struct {
	Registration
	registered          bool         // has an entry in the platform's list
	unregisteredAt      clock.Millis // when the entry went away
	drainingSince       clock.Millis // when it was first seen to drain
	evacuatingUntil     clock.Millis // until when it gets no new runs, as it goes down for upkeep
	lastListAt          clock.Millis // when its last list of runs came
	synced              bool         // what runs there is known under the owner's token
	restarts            unit.Token   // lives seen under this id by this owner
	runs                map[TaskID]unit.Run
	reserved            unit.Resources // by tasks that do not fill
	bestEffortCPU       unit.MilliCPU  // asked for by tasks that fill
	servingCount        int            // tasks with a bound of their tail latency
	unknownRuns         int            // unknown runs in the last list
	clock               unit.ExecutorMillis
	clockReadAt         clock.Millis // when clock was read, 0 if never
	latestLeaseEnd      clock.Millis // when every lease that was sent has ended for certain
	storedEnd           unit.EndNumber
	processedEnd        unit.EndNumber // becomes lastSeen when stored
	storingEnd          unit.EndNumber // part of the append in flight
	acknowledgedEnd     unit.EndNumber // lastSeen of the last hold that was answered
	holdInFlight        bool           // a hold has no answer yet
	unresponsive        bool           // the last order had no answer
	holdRetryAt         clock.Millis
	holdRetries         int
	consecutiveFailures int // failed runs since the last good one
	suspectUntil        clock.Millis
	servingCPU          unit.MilliCPU      // processor time reserved by serving tasks
	perpetualCPU        unit.MilliCPU      // processor time reserved by perpetual tasks
	overTargetSince     clock.Millis       // since when a serving task is over its bound, 0 if none
	lastSample          interferenceSample // the last one that was compared
	servingTasks        []servingTask      // those on the executor, from the last list
	servingImages       map[unit.Image]int // serving tasks by image
}

// maxClockDrift is the share by which the steady clock of an executor may be
// slow, with a margin for rounding.
const maxClockDrift = 0.021

// reregistrationGrace is how long an executor without an entry is still used if it
// answers. Entries that lapse with the store come back within 2 s.
const reregistrationGrace = 2500 * clock.Millisecond

// leaseMargin is added to the computed end of a lease for rounding.
const leaseMargin clock.Span = 60

// extendLease returns a deadline that lies span ahead and notes until when it may
// hold.
func (e *Executor) extendLease(now clock.Millis, span clock.Span) unit.ExecutorMillis {
	sinceRead := now.Sub(e.clockReadAt) + span
	e.latestLeaseEnd = max(e.latestLeaseEnd, e.clockReadAt.Add(sinceRead+clock.Span(float64(sinceRead)*maxClockDrift)+leaseMargin))
	return e.clock + unit.ExecutorMillis(sinceRead)
}

func (e *Executor) updateClock(now clock.Millis, a *Answer) {
	if a.Clock > 0 {
		e.clock, e.clockReadAt = a.Clock, now
	}
}

// usable reports whether new runs may be placed on e.
func (e *Executor) usable(now clock.Millis) bool {
	return (e.registered || now < e.unregisteredAt.Add(reregistrationGrace)) && e.synced && !e.unresponsive && !e.Draining && now >= e.suspectUntil && now >= e.evacuatingUntil
}

func (e *Executor) hasLabel(label unit.Label) bool { return slices.Contains(e.Labels, label) }

// unreservedCPU returns the processor time that no task has asked for.
func (e *Executor) unreservedCPU() unit.MilliCPU {
	return e.Capacity.CPU - e.reserved.CPU - e.bestEffortCPU
}

// servingUtilization is the share of its reservation that a serving task uses at its
// usual load. The platform's list does not tell it.
const servingUtilization = 0.4

// availableBestEffortCPU returns the processor time that tasks which fill may be expected to
// get: what is not reserved and what serving tasks leave of their reservation.
func (e *Executor) availableBestEffortCPU() unit.MilliCPU {
	return e.unreservedCPU() + unit.MilliCPU((1-servingUtilization)*float64(e.servingCPU))
}

func (e *Executor) addRun(id TaskID, run unit.Run, step *Step) {
	if _, ok := e.runs[id]; ok {
		e.runs[id] = run
		return
	}
	if e.runs == nil {
		e.runs = make(map[TaskID]unit.Run)
	}
	e.runs[id] = run
	e.updateTotals(step, 1)
}

func (e *Executor) removeRun(id TaskID, step *Step) {
	if _, ok := e.runs[id]; ok {
		delete(e.runs, id)
		e.updateTotals(step, -1)
	}
}

func (e *Executor) updateTotals(step *Step, n int) {
	demand := step.demand()
	if n > 0 {
		e.reserved = e.reserved.Add(demand)
	} else {
		e.reserved = e.reserved.Sub(demand)
	}
	if step.Fills {
		e.bestEffortCPU += unit.MilliCPU(n) * step.Size.CPU
	}
	if step.Perpetual {
		e.perpetualCPU += unit.MilliCPU(n) * demand.CPU
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

// otherServingImages returns how many images other than i serve on e.
func (e *Executor) otherServingImages(image unit.Image) int {
	n := len(e.servingImages)
	if e.servingImages[image] > 0 {
		n--
	}
	return n
}
