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
	for i := range e.runs {
		a := &e.runs[i]
		if !a.isCurrent() || a.task.State != TaskRunning || a.task.confirmedAt == 0 {
			continue
		}
		switch {
		case a.step.Perpetual && !s.withinMissBudget(a.id, a.job, a.step):
			blocking++
		case a.step.Perpetual, a.step.SavesProgress && a.task.Checkpoint != "":
			s.moveRun(a.id, a.task, e, "machine is evacuated")
		}
	}
	return len(e.runs), blocking, true
}

// withinMissBudget reports whether an evacuation may make a task unavailable:
// fewer other tasks of its step are unavailable than the miss budget allows.
func (s *Shard) withinMissBudget(id TaskID, j *Job, st *Step) bool {
	if st.MissBudget == 0 {
		return true
	}
	unavailable := 0
	for i := range j.Occurrences[id.Occurrence].Steps[id.Step].Tasks {
		other := &j.Occurrences[id.Occurrence].Steps[id.Step].Tasks[i]
		if i != id.Index && (other.State != TaskRunning || other.progress < 100) {
			unavailable++
		}
	}
	return unavailable < st.MissBudget
}
