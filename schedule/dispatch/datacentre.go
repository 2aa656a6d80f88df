package dispatch

import (
	"hash/fnv"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// DataCentres is a set of data centres. It must not be changed once it is shared.
type DataCentres map[unit.DataCentre]struct{}

// Has reports whether a data centre is in the set.
func (d DataCentres) Has(name unit.DataCentre) bool {
	_, ok := d[name]
	return ok
}

// returnPeriod is the time in which the executors of a data centre become usable
// again one after the other when its evacuation ends. All of them at once would get
// most new runs for a time while they are idle and may be slow from a restart.
const returnPeriod = 2 * clock.Second

// returnDelay returns the part of returnPeriod that an executor waits. It depends on
// the id only, so that each owner spreads the executors in the same way.
func returnDelay(id unit.Executor) clock.Span {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return clock.Span(h.Sum32()) % returnPeriod
}

// TakesStarts reports whether a start may leave for an executor with this entry. It
// is the one condition for placements, for the first copy of a start, for repeated
// ones, and for those that wait for a connection. evacuated tells whether the
// operator evacuates its data centre. Runs that exist there go on.
func (r *Registration) TakesStarts(evacuated bool) bool { return !r.Draining && !evacuated }

// takesStarts is [Registration.TakesStarts] for a row of the table of executors.
func (e *Executor) takesStarts() bool { return e.TakesStarts(e.evacuated) }

// SetEvacuated sets the data centres that the operator evacuates: no start leaves for
// their executors until a later call leaves them out. It also ends the wait for the
// operator's requests, see [Shard.AwaitsOperator].
func (s *Shard) SetEvacuated(now clock.Millis, evacuated DataCentres) {
	s.AwaitsOperator = false
	s.evacuated, s.loadsAt = evacuated, 0
	for _, e := range s.executors.All() {
		s.updateEvacuated(now, e)
	}
}

// updateEvacuated records whether the data centre of an executor is evacuated, after
// a change of its entry or of the evacuated data centres.
func (s *Shard) updateEvacuated(now clock.Millis, e *Executor) {
	evacuated := s.evacuated.Has(e.DataCentre)
	if e.evacuated && !evacuated {
		e.returnsAt = now.Add(returnDelay(e.Executor))
	}
	e.evacuated = evacuated
}

// CountIn returns the number of executors with an entry that the shard uses in a data
// centre, and the number of runs that are assigned to executors there.
func (s *Shard) CountIn(name unit.DataCentre) (executors, runs int) {
	for _, e := range s.executors.All() {
		if e.DataCentre != name {
			continue
		}
		runs += len(e.runs)
		if e.registered {
			executors++
		}
	}
	return executors, runs
}

// gangRun is a run of a gang.
type gangRun struct {
	step stepKey
	run  unit.Run
}

// gangTakesStarts reports whether all members of the run of a gang that a task is part
// of may be started where they are assigned. The others would wait in vain for one
// that is not started. It returns true for a task that is not in a gang. Which
// executors take starts doesn't change while the starts of an append are ordered, so
// that the result for a member is that for all others.
func (s *Shard) gangTakesStarts(id TaskID, j *Job, st *Step) bool {
	if !st.Gang {
		return true
	}
	k := stepKey{id.Job, id.Occurrence, id.Step}
	members := j.tasks(k)
	run := gangRun{k, members[id.Index].Run}
	if takes, ok := s.gangStarts[run]; ok {
		return takes
	}
	takes := !slices.ContainsFunc(members, func(t Task) bool {
		e := s.executors.Get(t.Executor)
		return t.Run == run.run && e != nil && !e.takesStarts()
	})
	if s.gangStarts == nil {
		s.gangStarts = make(map[gangRun]bool)
	}
	s.gangStarts[run] = takes
	return takes
}

// withdrawStart stops a run whose start had no answer and must not be repeated. It
// waits for a list of runs that was requested after the last copy of the start: a run
// that is listed goes on, and one that is not listed has not begun its work, so that
// no task at work is stopped. The stop keeps a copy that is carried out late from
// starting the run.
func (s *Shard) withdrawStart(id TaskID, j *Job, st *Step, t *Task, e *Executor) {
	if e.listRequestedAt <= t.lastActionAt {
		return
	}
	s.moveRun(id, t, e, "executor takes no starts")
	s.stopGang(id, j, st, t.Run)
}

// stopGang stops the other members of the run of a gang, of which a member will not
// be there. It does nothing for a task that is not in a gang.
func (s *Shard) stopGang(id TaskID, j *Job, st *Step, run unit.Run) {
	if !st.Gang {
		return
	}
	members := j.Occurrences[id.Occurrence].Steps[id.Step].Tasks
	for i := range members {
		t := &members[i]
		if i == id.Index || t.Run != run || t.State != TaskStarting && t.State != TaskRunning {
			continue
		}
		e := s.executors.Get(t.Executor)
		if e == nil {
			continue
		}
		other := id
		other.Index = i
		s.moveRun(other, t, e, "a member of the gang is not started")
	}
}
