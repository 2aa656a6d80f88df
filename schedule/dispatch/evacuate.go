package dispatch

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// evacuationHolds is how long an executor gets no new runs after it was last
// asked to be evacuated. It is asked for several times a second.
const evacuationHolds = 3 * clock.Second

// Evacuate keeps new runs from an executor and moves those that can be moved. It
// returns the runs that are left and, of them, the perpetual ones that their
// step can't spare now; false if the executor is not known.
func (s *Shard) Evacuate(now clock.Millis, id unit.Executor) (left, held int, ok bool) {
	e := s.executors.Get(id)
	if e == nil {
		return 0, 0, false
	}
	if now >= e.evacuated {
		s.report(Event{What: "evacuating", Executor: id})
	}
	e.evacuated = now.Add(evacuationHolds)
	for tid := range e.tasks {
		j, st, t := s.find(tid)
		if t == nil || t.State != TaskRunning || t.answered == 0 {
			continue
		}
		switch {
		case st.Perpetual && !s.spares(tid, j, st):
			held++
		case st.Perpetual, st.SavesProgress && t.Checkpoint != "":
			s.move(tid, t, e, "machine is evacuated")
		}
	}
	return len(e.tasks), held, true
}

// spares reports whether a task may be taken away by an order: fewer others of
// its step are away than its budget allows.
func (s *Shard) spares(id TaskID, j *Job, st *Step) bool {
	if st.MissBudget == 0 {
		return true
	}
	away := 0
	for i := range j.Occurrences[id.Occurrence].Steps[id.Step].Tasks {
		o := &j.Occurrences[id.Occurrence].Steps[id.Step].Tasks[i]
		if i != id.Index && (o.State != TaskRunning || o.progress < 100) {
			away++
		}
	}
	return away < st.MissBudget
}
