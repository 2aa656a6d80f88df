package dispatch

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// TimePart is a part of the time that an occurrence of a job takes.
type TimePart int

// The parts. They add up to the time from the acceptance of the job, or the start of
// the occurrence, until its end is stored. Each step counts with its task that ended
// last, and an occurrence with the chain of steps that ended last.
//
// [PartTakeover] ends when this owner has restored the job. [PartFirst] is the wait
// for the first assignment of a task of the first step, [PartNext] the same from the
// end of a step for the next one, and [PartSpread] lasts from there to the first
// assignment of the task that ended last. [PartOrder] lasts from the assignment of
// the run that succeeded until its executor confirmed it, [PartRun] until its end was
// listed, and [PartStore] until the end of the job was stored. [PartPaced] is taken
// from [PartRun]: the share of it in which the run was ordered not to work. [PartLost]
// are runs that ended without a result, and [PartRestart] the waits after them.
const (
	PartTakeover TimePart = iota // takeover
	PartFirst                    // firstWait
	PartNext                     // nextWait
	PartSpread                   // spread
	PartOrder                    // order
	PartRun                      // run
	PartPaced                    // paced
	PartLost                     // lost
	PartRestart                  // restartWait
	PartStore                    // store

	timePartCount int = iota
)

// Breakdown divides the time that an occurrence took into its parts.
type Breakdown struct {
	Queue     unit.Queue
	Parts     [timePartCount]clock.Span
	Estimate  clock.Span // of the runs in PartRun, by the submission
	Objective clock.Span // within which the occurrence should have ended
}

// Total returns the sum of the parts.
func (b *Breakdown) Total() clock.Span {
	var total clock.Span
	for _, p := range b.Parts {
		total += p
	}
	return total
}

// Late reports whether the occurrence took longer than its objective.
func (b *Breakdown) Late() bool { return b.Total() > b.Objective }

// taskTimes are the times of a task from which its breakdown is computed. They are
// not stored: a new owner begins with the time at which it restored the job.
type taskTimes struct {
	readyAt       clock.Millis // when it last became ready
	firstAssigned clock.Millis // 0 if it was not assigned
	assignedAt    clock.Millis // last assignment
	lost          clock.Span   // runs that ended without a result
	restartWait   clock.Span
	paceSince     clock.Millis // last change of the ordered pace, or start of the run
	paced         clock.Span   // until paceSince, time lost to a pace below the full one
}

// startRunning records that the current run works at full pace.
func (t *taskTimes) startRunning(now clock.Millis) { t.paceSince, t.paced = now, 0 }

// changePace records that the ordered pace was pace until now.
func (t *taskTimes) changePace(now clock.Millis, pace unit.Percent) {
	t.paced += now.Sub(t.paceSince) * clock.Span(fullPace-pace) / clock.Span(fullPace)
	t.paceSince = now
}

// assign records the assignment of a run.
func (t *taskTimes) assign(now clock.Millis) {
	if t.firstAssigned == 0 {
		t.firstAssigned = now
	} else {
		t.restartWait += now.Sub(t.readyAt)
	}
	t.assignedAt = now
	t.startRunning(now)
}

// requeue records the end of a run without a result.
func (t *taskTimes) requeue(now clock.Millis) {
	t.lost += now.Sub(t.assignedAt)
	t.readyAt = now
}

// stepTimes are the times of a step, see [taskTimes].
type stepTimes struct {
	unblockedAt   clock.Millis
	firstAssigned clock.Millis // of the first assigned task, 0 if there is none
	doneAt        clock.Millis
	chain         *Breakdown // until the end of the step; set once it is done
}

// assign records the assignment of a run of a task of the step.
func (s *stepTimes) assign(now clock.Millis, t *taskTimes) {
	if s.firstAssigned == 0 {
		s.firstAssigned = now
	}
	t.assign(now)
}

// restore records that a task was restored at now. A task with a run counts as
// assigned since then.
func (s *stepTimes) restore(now clock.Millis, t *Task) {
	s.unblockedAt, t.times.readyAt = now, now
	if t.State.assigned() {
		s.assign(now, &t.times)
	}
}

// finishStep records that a step is done, with t as its last task.
func (s *Shard) finishStep(now clock.Millis, j *Job, id TaskID, t *Task) {
	o, st := &j.Occurrences[id.Occurrence], &j.Spec.Steps[id.Step]
	step := &o.Steps[id.Step].times
	b, waitPart := &Breakdown{Queue: j.Queue, Objective: j.latencyObjective()}, PartFirst
	var last clock.Millis
	for _, predecessor := range st.After {
		if p := &o.Steps[predecessor].times; p.chain != nil && p.doneAt >= last {
			*b, last, waitPart = *p.chain, p.doneAt, PartNext
		}
	}
	if last == 0 {
		b.Parts[PartTakeover] = j.restoredAfter
	}
	b.Estimate += st.Estimate
	b.addTask(now, step, t, waitPart)
	step.doneAt, step.chain = now, b
}

// addTask adds the parts of a task from the time at which its step was unblocked
// until now. The wait for the first task of the step counts as waitPart.
func (b *Breakdown) addTask(now clock.Millis, step *stepTimes, t *Task, waitPart TimePart) {
	times := &t.times
	if times.firstAssigned == 0 {
		b.Parts[waitPart] += now.Sub(step.unblockedAt) // listed as done although this owner did not assign it
		return
	}
	b.Parts[waitPart] += step.firstAssigned.Sub(step.unblockedAt)
	b.Parts[PartSpread] += times.firstAssigned.Sub(step.firstAssigned)
	b.Parts[PartLost] += times.lost
	b.Parts[PartRestart] += times.restartWait
	if t.State == TaskReady { // a run that was given up has ended with a result
		b.Parts[PartRestart] += now.Sub(times.readyAt)
		return
	}
	confirmedAt := max(times.assignedAt, t.runningSince)
	b.Parts[PartOrder] += confirmedAt.Sub(times.assignedAt)
	times.changePace(now, t.orderedPace)
	b.Parts[PartPaced] += times.paced
	b.Parts[PartRun] += now.Sub(confirmedAt) - times.paced
}

// finishedOccurrence is an occurrence whose end is not reported yet.
type finishedOccurrence struct {
	id        TaskID // of the task that ended last
	endedAt   clock.Millis
	breakdown Breakdown
}

// finishOccurrence keeps the breakdown of an occurrence until its end is stored.
func (s *Shard) finishOccurrence(now clock.Millis, j *Job, id TaskID) {
	if b := j.Occurrences[id.Occurrence].Steps[id.Step].times.chain; b != nil {
		s.finished = append(s.finished, finishedOccurrence{id, now, *b})
	}
}

// reportFinished reports the occurrences whose ends are stored.
func (s *Shard) reportFinished(now clock.Millis) {
	rest := s.finished[:0]
	for _, f := range s.finished {
		if j := s.jobs.Get(f.id.Job); j != nil && j.dirty {
			rest = append(rest, f)
			continue
		}
		f.breakdown.Parts[PartStore] = now.Sub(f.endedAt)
		s.report(Event{Kind: "finished", Task: f.id, Age: f.breakdown.Total(), Breakdown: &f.breakdown})
	}
	s.finished = rest
}
