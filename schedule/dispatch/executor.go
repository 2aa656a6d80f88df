package dispatch

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Executor is a row of the table of executors.
type Executor struct {
	Registration
	listed    bool         // has an entry in the platform's list
	goneAt    clock.Millis // when the entry went away
	drainAt   clock.Millis // when it was first seen to drain
	evacuated clock.Millis // until when it gets no new runs, as it goes down for upkeep
	listedAt  clock.Millis // when its last list of runs came
	synced    bool         // what runs there is known under the owner's token
	lives     unit.Token   // lives seen under this id by this owner
	tasks     map[TaskID]unit.Run
	used      unit.Resources // by tasks that do not fill
	fillCPU   unit.MilliCPU  // asked for by tasks that fill
	serving   int            // tasks with a bound of their tail latency
	strays    int            // unknown runs in the last list
	clock     unit.ExecutorMillis
	clockAt   clock.Millis // when clock was read, 0 if never
	leaseEnd  clock.Millis // when every lease that was sent has ended for certain
	lastSeen  unit.EndNumber
	noted     unit.EndNumber // becomes lastSeen when stored
	noting    unit.EndNumber // part of the append in flight
	told      unit.EndNumber // lastSeen of the last hold that was answered
	holding   bool           // a hold has no answer yet
	failing   bool           // the last order had no answer
	retryAt   clock.Millis
	retries   int
	streak    int // failed runs since the last good one
	suspect   clock.Millis
	slack     unit.MilliCPU      // processor time reserved by serving tasks
	standing  unit.MilliCPU      // processor time reserved by perpetual tasks
	over      clock.Millis       // since when a serving task is over its bound, 0 if none
	look      look               // the last one that was compared
	services  []service          // those on the executor, from the last list
	images    map[unit.Image]int // serving tasks by image
}

// clockDrift is the share by which the steady clock of an executor may be
// slow, with a margin for rounding.
const clockDrift = 0.021

// returnGrace is how long an executor without an entry is still used if it
// answers. Entries that lapse with the store come back within 2 s.
const returnGrace = 2500 * clock.Millisecond

// leaseMargin is added to the computed end of a lease for rounding.
const leaseMargin clock.Span = 60

// lease returns a deadline that lies span ahead and notes until when it may
// hold.
func (e *Executor) lease(now clock.Millis, span clock.Span) unit.ExecutorMillis {
	age := now.Sub(e.clockAt) + span
	e.leaseEnd = max(e.leaseEnd, e.clockAt.Add(age+clock.Span(float64(age)*clockDrift)+leaseMargin))
	return e.clock + unit.ExecutorMillis(age)
}

func (e *Executor) readClock(now clock.Millis, a *Answer) {
	if a.Clock > 0 {
		e.clock, e.clockAt = a.Clock, now
	}
}

// usable reports whether new runs may be placed on e.
func (e *Executor) usable(now clock.Millis) bool {
	return (e.listed || now < e.goneAt.Add(returnGrace)) && e.synced && !e.failing && !e.Draining && now >= e.suspect && now >= e.evacuated
}

func (e *Executor) has(l unit.Label) bool { return slices.Contains(e.Labels, l) }

// idleCPU returns the processor time that no task has asked for.
func (e *Executor) idleCPU() unit.MilliCPU { return e.Capacity.CPU - e.used.CPU - e.fillCPU }

// servingUse is the share of its reservation that a serving task uses at its
// usual load. The platform's list does not tell it.
const servingUse = 0.4

// fillRoom returns the processor time that tasks which fill may be expected to
// get: what is not reserved and what serving tasks leave of their reservation.
func (e *Executor) fillRoom() unit.MilliCPU {
	return e.idleCPU() + unit.MilliCPU((1-servingUse)*float64(e.slack))
}

func (e *Executor) add(id TaskID, run unit.Run, s *Step) {
	if _, ok := e.tasks[id]; ok {
		e.tasks[id] = run
		return
	}
	if e.tasks == nil {
		e.tasks = make(map[TaskID]unit.Run)
	}
	e.tasks[id] = run
	e.count(s, 1)
}

func (e *Executor) remove(id TaskID, s *Step) {
	if _, ok := e.tasks[id]; ok {
		delete(e.tasks, id)
		e.count(s, -1)
	}
}

func (e *Executor) count(s *Step, n int) {
	d := s.demand()
	if n > 0 {
		e.used = e.used.Add(d)
	} else {
		e.used = e.used.Sub(d)
	}
	if s.Fills {
		e.fillCPU += unit.MilliCPU(n) * s.Size.CPU
	}
	if s.Perpetual {
		e.standing += unit.MilliCPU(n) * d.CPU
	}
	if s.TailTarget > 0 {
		e.serving += n
		if e.images == nil {
			e.images = make(map[unit.Image]int)
		}
		if e.images[s.Image] += n; e.images[s.Image] == 0 {
			delete(e.images, s.Image)
		}
		e.slack += unit.MilliCPU(n) * s.Size.CPU
	}
}

// others returns how many images other than i serve on e.
func (e *Executor) others(i unit.Image) int {
	n := len(e.images)
	if e.images[i] > 0 {
		n--
	}
	return n
}
