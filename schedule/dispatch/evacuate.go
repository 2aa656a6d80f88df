package dispatch

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// evacuationPeriod is how long an executor gets no new runs after the last
// request to evacuate it. Requests come several times a second.
const evacuationPeriod = 3 * clock.Second

// Evacuate keeps new runs from an executor and moves the runs that can be
// moved. It returns the number of runs that remain and, of these, the number
// of perpetual runs that can't be moved now without exceeding the miss budget
// of their step. It returns false if the executor is unknown.
func (s *Shard) Evacuate(now clock.Millis, id unit.Executor) (remaining, blocking int, ok bool) {
	e := s.executors.Get(id)
	if e == nil {
		return 0, 0, false
	}
	if now >= e.evacuatingUntil {
		s.report(Event{Kind: "evacuating", Executor: id})
	}
	e.evacuatingUntil = now.Add(evacuationPeriod)
	var budgets missBudgets
	for i := range e.runs {
		a := &e.runs[i]
		if !a.isCurrent() || a.task.State != TaskRunning || a.task.confirmedAt == 0 {
			continue
		}
		switch {
		case a.step.Perpetual && !budgets.take(a):
			blocking++
		case a.step.Perpetual, a.step.SavesProgress && a.task.Checkpoint != "":
			s.moveRun(a.id, a.task, e, "machine is evacuated")
		}
	}
	return len(e.runs), blocking, true
}

// missBudgets has the number of unavailable tasks of each step of which runs are moved
// in one call. Executors may have hundreds of runs of a step with thousands of tasks.
// The zero value is ready to use.
type missBudgets map[stepKey]int

// take reports whether a run may be moved, and counts its task as unavailable if so:
// fewer other tasks of its step are unavailable than the miss budget allows.
func (m *missBudgets) take(a *assignment) bool {
	if a.step.MissBudget == 0 {
		return true
	}
	k := stepKey{a.id.Job, a.id.Occurrence, a.id.Step}
	others, ok := (*m)[k]
	if !ok {
		tasks := a.job.tasks(k)
		for i := range tasks {
			if tasks[i].isUnavailable() {
				others++
			}
		}
		if *m == nil {
			*m = make(missBudgets)
		}
		(*m)[k] = others
	}
	if a.task.isUnavailable() {
		others--
	}
	if others >= a.step.MissBudget {
		return false
	}
	(*m)[k] = others + 1
	return true
}

// isUnavailable reports whether a perpetual task is not at work.
func (t *Task) isUnavailable() bool { return t.State != TaskRunning || t.progress < 100 }
