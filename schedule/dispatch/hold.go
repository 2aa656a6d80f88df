package dispatch

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// endsPerList is the most ends that an executor lists at once.
const endsPerList = 500

// hold asks executors for what runs there, where something does or where that
// is not known.
func (s *Shard) hold(now clock.Millis) {
	for _, e := range s.executors.All() {
		if e.holding || now < e.retryAt || e.Address == "" || e.noted > e.lastSeen {
			continue
		}
		if e.synced && len(e.tasks) == 0 && e.strays == 0 && e.told == e.lastSeen {
			continue
		}
		h := &HoldOrder{Token: s.token(e), LastSeen: e.lastSeen, Sent: now}
		// A lease is not renewed for an executor that doesn't answer, so that
		// its end is known.
		if e.clockAt > 0 && !e.failing {
			h.Deadline = e.lease(now, s.Limits.Lease)
			if e.synced && e.strays == 0 && len(e.tasks) > 0 {
				h.Wait = s.Limits.HoldWait
				if e.serving > 0 && e.fillCPU > 0 {
					h.Wait = min(h.Wait, disturbedWait)
				}
			}
		}
		e.holding = true
		s.orders = append(s.orders, Order{To: e.target(), Hold: h})
	}
}

// listed takes the lists of a hold.
func (s *Shard) listed(now clock.Millis, wall unit.UnixMillis, e *Executor, h *HoldOrder, a *Answer) {
	if a.Outcome != OutcomeDone {
		e.retryAt = now.Add(200 * clock.Millisecond)
		return
	}
	e.told, e.listedAt = h.LastSeen, now
	for i := range a.Finished {
		f := &a.Finished[i]
		if f.Number > e.noted {
			e.noted = f.Number
			s.end(now, wall, e, f)
		}
	}
	here := make(map[TaskID]unit.Run, len(a.Running))
	strays := 0
	l := look{at: now}
	for i := range a.Running {
		r := &a.Running[i]
		here[r.Task] = r.Run
		if !s.running(now, e, r, &l) {
			strays++
		}
	}
	e.strays = strays
	s.observe(now, e, &l)
	if len(a.Finished) >= endsPerList {
		// The ends of runs that are not listed may stand on the next page.
		return
	}
	s.absent(now, e, h, here)
	if !e.synced {
		e.synced = true
		// The former owner may have renewed the lease just before.
		rest := s.Limits.Lease + clock.Span(float64(s.Limits.Lease)*clockDrift) + leaseMargin
		e.leaseEnd = max(e.leaseEnd, now.Add(rest))
		s.report(Event{What: "executorKnown", Executor: e.Executor})
	}
	if strays > 0 {
		e.retryAt = now.Add(50 * clock.Millisecond)
	}
}

// running takes a row of what runs on e. It returns false for a run that
// should not be there, and orders its end.
func (s *Shard) running(now clock.Millis, e *Executor, r *RunningRun, l *look) bool {
	j, st, t := s.find(r.Task)
	if t == nil || t.Run != r.Run || t.Executor != e.Executor || !t.State.assigned() {
		s.orders = append(s.orders, Order{To: e.target(), Stop: &StopOrder{r.Task, r.Run, s.token(e)}})
		return false
	}
	if t.State == TaskStarting || t.recovered {
		s.runs(now, r.Task, j, t)
	}
	if r.Checkpoint != "" {
		t.Checkpoint = r.Checkpoint
	}
	if r.Progress != t.progress {
		t.progress, t.progressAt = r.Progress, now
	}
	l.add(e, st, r)
	return true
}

// absent gives up runs that should be on e and are not: they belonged to an
// earlier life, were never started before a takeover, or were forgotten.
func (s *Shard) absent(now clock.Millis, e *Executor, h *HoldOrder, here map[TaskID]unit.Run) {
	for id, run := range e.tasks {
		if here[id] == run {
			continue
		}
		j, st, t := s.find(id)
		if t == nil || t.Run != run {
			delete(e.tasks, id)
			continue
		}
		settled := t.recovered || t.State == TaskRunning && t.answered > 0 && t.answered < h.Sent ||
			t.State == TaskStopping && t.answered > 0 && t.answered < h.Sent
		if t.State == TaskPlaced || t.Born == e.Born && !settled {
			continue
		}
		s.report(Event{What: "runGone", Task: id, Run: run, Executor: e.Executor})
		s.requeue(now, id, j, st, t, e)
	}
}

// lapse gives up the runs of executors whose leases must have ended.
func (s *Shard) lapse(now clock.Millis) {
	for _, e := range s.executors.All() {
		if len(e.tasks) == 0 {
			continue
		}
		end := e.leaseEnd
		if !e.synced && e.lives == 0 {
			// The former owner may have renewed the lease after the takeover.
			end = max(end, s.gained.Add(s.Limits.OwnerGuard+s.Limits.Lease+s.Limits.Lease/20))
		}
		if !e.failing && e.synced || now < end {
			continue
		}
		for id := range e.tasks {
			j, st, t := s.find(id)
			if t == nil {
				delete(e.tasks, id)
				continue
			}
			if t.State == TaskPlaced {
				continue
			}
			s.report(Event{What: "runLapsed", Task: id, Run: t.Run, Executor: e.Executor, Age: now.Sub(end)})
			s.requeue(now, id, j, st, t, e)
		}
		e.synced = false
	}
}

// stop ends the runs of jobs that have ended, once the end is stored.
func (s *Shard) stop(_ clock.Millis) {
	rest := s.stopping[:0]
	for _, id := range s.stopping {
		j := s.jobs.Get(id)
		if j == nil || !j.stops {
			continue
		}
		if j.shown != j.State {
			rest = append(rest, id)
			continue
		}
		left := false
		s.eachTask(id, j, func(tid TaskID, st *Step, t *Task) {
			switch {
			case t.State == TaskReady || t.State == TaskBlocked || t.State == TaskPlaced:
				if t.State == TaskPlaced {
					if e := s.executors.Get(t.Executor); e != nil {
						e.remove(tid, st)
					}
				}
				t.State = TaskEnded
			case t.State == TaskStarting || t.State == TaskRunning:
				left = true
				t.State, t.answered, t.inFlight = TaskStopping, 0, false
			case t.State == TaskStopping:
				left = true
			}
		})
		if !left {
			j.stops, j.Spec, j.Occurrences = false, nil, nil
			s.mark(id, j)
			continue
		}
		rest = append(rest, id)
	}
	s.stopping = rest
}

func (s *Shard) eachTask(id unit.Job, j *Job, f func(TaskID, *Step, *Task)) {
	for k := range j.Occurrences {
		for i := range j.Occurrences[k].Steps {
			st := &j.Spec.Steps[i]
			tasks := j.Occurrences[k].Steps[i].Tasks
			for n := range tasks {
				f(TaskID{id, k, i, n}, st, &tasks[n])
			}
		}
	}
}
