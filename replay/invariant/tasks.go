package invariant

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// RunningAttempt is one attempt that a worker actually runs.
type RunningAttempt struct {
	Task        unit.Task
	Attempt     unit.Attempt
	Worker      unit.Worker
	Granted     unit.Resources // resources that the attempt may use
	Speculative bool           // newest attempt of a task that is safe to run twice; may run beside another attempt
}

// CheckWorkers checks that the resources granted on a worker don't exceed its
// capacity and that no task runs in two places, apart from speculative attempts.
func CheckWorkers(l *Ledger, now clock.Millis, capacity *table.Table[unit.Worker, unit.Resources], running []RunningAttempt) {
	var granted table.Table[unit.Worker, unit.Resources]
	var workerOf table.Table[unit.Task, unit.Worker]
	for _, r := range running {
		total := granted.Ensure(r.Worker)
		*total = total.Add(r.Granted)
		l.RecordCheck(SinglePlacement)
		if other := workerOf.Get(r.Task); other != nil && !r.Speculative {
			l.RecordViolation(SinglePlacement, now, "task %s runs at %s and at %s", r.Task, *other, r.Worker)
			continue
		}
		if !r.Speculative {
			workerOf.Put(r.Task, r.Worker)
		}
	}
	for w, total := range granted.All() {
		l.RecordCheck(Capacity)
		if c := capacity.Get(w); c == nil || !total.Fits(*c) {
			l.RecordViolation(Capacity, now, "worker %s is given %+v", w, *total)
		}
	}
}

// Resumption counts the interruptions and resumptions of one task. A task is
// interrupted when its last running attempt ends before the task has finished:
// by an eviction, a failure, an expired lease or a crash.
type Resumption struct {
	Interruptions int
	Resumes       int // starts after an interruption
	FinishCount   int
	Exempt        bool // cancelled, failed or impossible; needs no resumption
}

// CheckResumption checks a task after a start or an end. A task is resumed at
// most once per interruption and finishes at most once.
func CheckResumption(l *Ledger, now clock.Millis, task unit.Task, r *Resumption) {
	l.RecordCheck(ResumeOnce)
	if r.Resumes > r.Interruptions {
		l.RecordViolation(ResumeOnce, now, "task %s was resumed %d times after %d interruptions", task, r.Resumes, r.Interruptions)
	}
	if r.FinishCount > 1 {
		l.RecordViolation(ResumeOnce, now, "task %s finished %d times", task, r.FinishCount)
	}
}

// CheckFinalResumptions checks at the end of a replay that every interrupted
// task was resumed, unless it is exempt or has finished.
func CheckFinalResumptions(l *Ledger, now clock.Millis, tasks *table.Table[unit.Task, Resumption]) {
	for task, r := range tasks.All() {
		l.RecordCheck(ResumeOnce)
		if r.Interruptions > r.Resumes && !r.Exempt && r.FinishCount == 0 {
			l.RecordViolation(ResumeOnce, now, "task %s was interrupted %d times and resumed %d times", task, r.Interruptions, r.Resumes)
		}
	}
}
