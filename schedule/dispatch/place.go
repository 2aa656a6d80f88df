package dispatch

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Policy rates a candidate for a demand. A lower rating is better; false
// excludes the candidate.
type Policy[C, D any] interface {
	Rate(candidate C, demand D) (float64, bool)
}

// best returns the candidate with the lowest rating, the first one of equals.
func best[C, D any](p Policy[C, D], candidates []C, demand D) (C, bool) {
	var chosen C
	var lowest float64
	found := false
	for _, c := range candidates {
		if r, ok := p.Rate(c, demand); ok && (!found || r < lowest) {
			chosen, lowest, found = c, r, true
		}
	}
	return chosen, found
}

// wanted is a task to place.
type wanted struct {
	step     *Step
	avoid    unit.Executor
	here     func(*Executor) int // tasks of the step on an executor
	rack     unit.Rack           // where the others of the step run
	admit    func(*Executor) bool
	opens    func(*Executor) bool    // takes what is kept for brief tasks
	crowding func(*Executor) float64 // share of the room of a service that it takes
}

// Apart keeps tasks that fill away from tasks that serve, packs those that
// serve, and spreads the rest over idle processors.
type Apart struct{}

var _ Policy[*Executor, wanted] = Apart{}

// Weights of the ratings. They only order what is compared: each of the first
// four outweighs all that follow it.
const (
	weightRack    = 1e6 // runs take a multiple of their time away from their data
	weightOpen    = 2e5 // takes an executor that is kept for brief tasks
	weightAvoid   = 1e5 // a run of the task failed or stood still there
	weightServing = 1e4 // tasks that fill beside tasks that serve
	weightStreak  = 1e3 // each run that failed there in a row
	weightEmpty   = 500 // opens an executor without serving tasks for one
	weightTaken   = 250 // takes processor time from tasks that fill
	weightImage   = 200 // each other image that serves there
	weightApart   = 100 // a brief task takes room that tasks which fill need more
	perCore       = 1e3 // thousandths of a core in a core
)

// freeCrowding is how crowded the best executor with serving tasks must be
// before a task that fills takes room on one without any.
const freeCrowding = 0.3

// Rate implements [Policy].
func (Apart) Rate(e *Executor, w wanted) (float64, bool) {
	s := w.step
	if !s.demand().Fits(e.Capacity.Sub(e.used)) || s.Needs != "" && !e.has(s.Needs) ||
		s.MaxPerExecutor > 0 && w.here(e) >= s.MaxPerExecutor {
		return 0, false
	}
	if !w.admit(e) {
		return 0, false
	}
	rating := weightStreak * float64(e.streak)
	if s.Near != "" && !e.has(unit.Label(s.Near)) || w.rack != "" && !e.has(unit.Label(w.rack)) {
		rating += weightRack
	}
	if w.avoid == e.Executor {
		rating += weightAvoid
	}
	idle := float64(e.idleCPU())
	switch {
	case s.Fills:
		if e.fillRoom() < s.Size.CPU {
			return 0, false
		}
		if e.serving > 0 {
			rating += weightServing * w.crowding(e)
		} else {
			rating += weightServing * freeCrowding
		}
		rating -= 10 * float64(e.fillRoom()) / perCore
	case s.Perpetual:
		if e.fillCPU > 0 {
			rating += weightServing + 10*float64(e.fillCPU)/perCore
		}
		if e.serving == 0 {
			rating += weightEmpty
		}
		// Services of one image peak together and leave room together.
		rating += weightImage * float64(e.others(s.Image))
		if w.opens(e) {
			rating += weightOpen
		}
		rating += 10 * float64(e.Capacity.CPU-e.used.CPU) / perCore // the fullest that holds it
	default:
		if idle < float64(s.Size.CPU) {
			rating += weightTaken
		}
		if e.serving == 0 {
			rating += weightApart
		}
		rating -= idle / perCore
	}
	return rating, true
}

// place gives ready tasks to executors, most urgent first.
func (s *Shard) place(now clock.Millis) {
	if len(s.ready) == 0 {
		return
	}
	rooms := s.rooms(now)
	keys := s.sortedReady()
	s.restart(now, keys, rooms)
	var policy Apart
	for _, k := range keys {
		j := s.jobs.Get(k.job)
		if j == nil || j.Spec == nil || j.State.Ended() {
			delete(s.ready, k)
			continue
		}
		r := rooms[s.queue(j).Service]
		if r == nil {
			continue
		}
		st := &j.Spec.Steps[k.step]
		tasks := j.Occurrences[k.occurrence].Steps[k.step].Tasks
		all := true
		if st.Gang {
			all = s.placeGang(now, policy, k, j, st, tasks, r)
		} else {
			all = s.placeEach(now, policy, k, j, st, tasks, r)
		}
		if all {
			delete(s.ready, k)
		}
	}
}

// starveAfter is how long a job may have nothing running before its next task
// is placed wherever there is room for it. The platform allows 3 s.
const starveAfter = 2 * clock.Second

// starved reports whether a job has a step that waits for long and nothing
// running.
func (s *Shard) starved(now clock.Millis, k stepKey, j *Job) bool {
	if since, ok := s.ready[k]; !ok || now.Sub(since) < starveAfter {
		return false
	}
	for o := range j.Occurrences {
		for i := range j.Occurrences[o].Steps {
			for n := range j.Occurrences[o].Steps[i].Tasks {
				if j.Occurrences[o].Steps[i].Tasks[n].State.assigned() {
					return false
				}
			}
		}
	}
	return true
}

// restart places perpetual tasks that ran before, ahead of those that never
// did, so that they get the room that they have just left.
func (s *Shard) restart(now clock.Millis, keys []stepKey, rooms map[unit.Service]*room) {
	for _, k := range keys {
		j := s.jobs.Get(k.job)
		if j == nil || j.Spec == nil || j.State.Ended() || !j.Spec.Steps[k.step].Perpetual || j.Spec.Steps[k.step].Gang {
			continue
		}
		r := rooms[s.queue(j).Service]
		if r == nil {
			continue
		}
		st := &j.Spec.Steps[k.step]
		tasks := j.Occurrences[k.occurrence].Steps[k.step].Tasks
		for i := range tasks {
			if tasks[i].State != TaskReady || tasks[i].Run == 0 {
				continue
			}
			if e, ok := best(Apart{}, r.executors, s.want(now, k, j, &tasks[i], r)); ok {
				r.take(st, e)
				s.assign(now, TaskID{k.job, k.occurrence, k.step, i}, j, st, &tasks[i], e)
			}
		}
	}
}

func (s *Shard) want(now clock.Millis, k stepKey, j *Job, t *Task, r *room) wanted {
	st, starved, advised := &j.Spec.Steps[k.step], s.starved(now, k, j), s.queue(j).Advice != nil
	w := wanted{step: st, avoid: t.avoid, admit: func(e *Executor) bool {
		if advised && s.ticketOf(now.Add(ticketMargin), k, e) == "" {
			return false
		}
		return s.admits(e, st, r, t.Run > 0, starved)
	}}
	w.crowding = func(e *Executor) float64 { return s.crowding(e, st) }
	w.opens = func(e *Executor) bool { return !r.opens(e) }
	w.here = func(e *Executor) int {
		n := 0
		for id := range e.tasks {
			if id.Job == k.job && id.Occurrence == k.occurrence && id.Step == k.step {
				n++
			}
		}
		return n
	}
	return w
}

// placeEach places the ready tasks of a step one by one. It returns false if
// some found no room.
func (s *Shard) placeEach(now clock.Millis, p Apart, k stepKey, j *Job, st *Step, tasks []Task, r *room) bool {
	for i := range tasks {
		t := &tasks[i]
		if t.State != TaskReady {
			continue
		}
		w := s.want(now, k, j, t, r)
		if st.SameRack {
			w.rack = s.rackOf(tasks)
		}
		e, ok := best(p, r.executors, w)
		if !ok {
			return false
		}
		r.take(st, e)
		s.assign(now, TaskID{k.job, k.occurrence, k.step, i}, j, st, t, e)
	}
	return true
}

// placeGang places all tasks of a step or none.
func (s *Shard) placeGang(now clock.Millis, p Apart, k stepKey, j *Job, st *Step, tasks []Task, r *room) bool {
	run := unit.Run(0)
	var saved unit.Checkpoint
	for i := range tasks {
		if tasks[i].State != TaskReady {
			return false
		}
		run = max(run, tasks[i].Run)
		saved = max(saved, tasks[i].Checkpoint)
	}
	chosen := make([]*Executor, 0, len(tasks))
	for i := range tasks {
		w := s.want(now, k, j, &tasks[i], r)
		if len(chosen) > 0 && st.SameRack {
			w.rack = rackLabel(chosen[0])
		}
		e, ok := best(p, r.executors, w)
		if !ok {
			break
		}
		e.add(TaskID{k.job, k.occurrence, k.step, i}, run+1, st)
		chosen = append(chosen, e)
	}
	for i, e := range chosen {
		id := TaskID{k.job, k.occurrence, k.step, i}
		e.remove(id, st)
		if len(chosen) < len(tasks) {
			continue
		}
		tasks[i].Run, tasks[i].Checkpoint = run, saved
		r.take(st, e)
		s.assign(now, id, j, st, &tasks[i], e)
	}
	return len(chosen) == len(tasks)
}

// assign notes the intent to start the next run of a task on e.
func (s *Shard) assign(now clock.Millis, id TaskID, j *Job, st *Step, t *Task, e *Executor) {
	t.State = TaskPlaced
	t.Run++
	t.Executor, t.Born = e.Executor, e.Born
	t.answered, t.progress, t.sentAt = 0, 0, now
	t.unanswered, t.inFlight, t.recovered, t.paced, t.wantPace = false, false, false, fullPace, fullPace
	e.add(id, t.Run, st)
	s.held = append(s.held, id)
	s.mark(id.Job, j)
}

// rackOf returns the rack on which the tasks of a step run, or "".
func (s *Shard) rackOf(tasks []Task) unit.Rack {
	for i := range tasks {
		if tasks[i].State.assigned() {
			if e := s.executors.Get(tasks[i].Executor); e != nil {
				return rackLabel(e)
			}
		}
	}
	return ""
}

// rackLabel returns the label of an executor that names its rack: labels are
// its kind and its rack, in this order.
func rackLabel(e *Executor) unit.Rack {
	if len(e.Labels) == 0 {
		return ""
	}
	return unit.Rack(e.Labels[len(e.Labels)-1])
}
