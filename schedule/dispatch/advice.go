package dispatch

import (
	"cmp"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Advice is set for queues whose policy allows only some executors to run a
// step. Which ones is told by a service that takes one call of a process at a
// time.
type Advice struct {
	Decision  clock.Span `cbor:"1,keyasint"` // of a call
	PerWorker clock.Span `cbor:"2,keyasint"` // and for each executor that it names
	Valid     clock.Span `cbor:"3,keyasint"` // of a ticket
}

const (
	// adviceBatch is how many executors a call names. The latency objective of
	// a job counts one call on as many for each step.
	adviceBatch = 30
	// MaxAdvised is the most that the platform takes in a call.
	MaxAdvised = 100
	// ticketMargin is kept of a ticket's time for the append and the order that
	// come before its use.
	ticketMargin = 400 * clock.Millisecond
	// adviceRetry is the pause after a call without an answer.
	adviceRetry = 300 * clock.Millisecond
)

// StepID names a step of one occurrence of a job.
type StepID struct {
	Job        unit.Job
	Occurrence int
	Step       int
}

// AdviseOrder asks which executors may run a step.
type AdviseOrder struct {
	Step      StepID
	Executors []unit.Executor // at most [MaxAdvised]
}

// Advised is the answer to an [AdviseOrder].
type Advised struct {
	Tickets map[unit.Executor]unit.Ticket // of those that may run the step
	Valid   clock.Span                    // from the answer on
}

// eligibility is what is known of the executors that may run a step. The zero
// value knows nothing.
type eligibility struct {
	known map[unit.Executor]bool // whether it may, for each that was asked for
	held  map[unit.Executor]ticket
}

// ticket allows starts of a step during one life of an executor.
type ticket struct {
	ticket unit.Ticket
	born   unit.UnixMillis
	until  clock.Millis
}

// ticketOf returns the ticket for a step on e that can still be used, or "".
func (s *Shard) ticketOf(now clock.Millis, k stepKey, e *Executor) unit.Ticket {
	g := s.advice.eligible[k]
	if g == nil {
		return ""
	}
	t, ok := g.held[e.Executor]
	if !ok || t.born != e.Born || now >= t.until {
		return ""
	}
	return t.ticket
}

// advice holds the calls for advice. The zero value is ready to use.
type advice struct {
	eligible map[stepKey]*eligibility
	used     bool         // a queue needs advice
	asking   bool         // a call has no answer yet
	retryAt  clock.Millis // of the next call
}

// advise asks for the executors that may run the most urgent step which waits
// for some.
func (s *Shard) advise(now clock.Millis) {
	if !s.advice.used || s.advice.asking || now < s.advice.retryAt || len(s.ready) == 0 {
		return
	}
	var rooms map[unit.Service]*room
	for _, k := range s.sortedReady() {
		j := s.jobs.Get(k.job)
		if j == nil || j.Spec == nil || j.State.Ended() || s.queue(j).Advice == nil {
			continue
		}
		if rooms == nil {
			rooms = s.rooms(now)
		}
		if names := s.toAsk(now, k, j, rooms[s.queue(j).Service]); len(names) > 0 {
			s.advice.asking = true
			id := StepID{k.job, k.occurrence, k.step}
			s.orders = append(s.orders, Order{Advise: &AdviseOrder{id, names}})
			s.report(Event{What: "adviceAsked", Task: TaskID{Job: k.job, Occurrence: k.occurrence, Step: k.step}})
			return
		}
	}
}

// toAsk returns the executors to ask for next: none while those with tickets
// have room for the waiting tasks, first those whose ticket has run out, then
// those that were never asked for, the emptiest first.
func (s *Shard) toAsk(now clock.Millis, k stepKey, j *Job, r *room) []unit.Executor {
	if r == nil {
		return nil
	}
	st := &j.Spec.Steps[k.step]
	waiting := 0
	for i := range j.Occurrences[k.occurrence].Steps[k.step].Tasks {
		if j.Occurrences[k.occurrence].Steps[k.step].Tasks[i].State == TaskReady {
			waiting++
		}
	}
	g := s.advice.eligible[k]
	var renew, fresh []*Executor
	for _, e := range r.executors {
		if !st.demand().Fits(e.Capacity.Sub(e.used)) || st.Needs != "" && !e.has(st.Needs) {
			continue
		}
		if s.ticketOf(now.Add(ticketMargin), k, e) != "" {
			waiting -= st.fitting(e)
			continue
		}
		may, asked := false, false
		if g != nil {
			may, asked = g.known[e.Executor]
		}
		switch {
		case !asked:
			fresh = append(fresh, e)
		case may:
			renew = append(renew, e)
		}
	}
	if waiting <= 0 {
		return nil
	}
	slices.SortStableFunc(fresh, func(a, b *Executor) int {
		return cmp.Or(cmp.Compare(s.remote(st, a), s.remote(st, b)), cmp.Compare(b.idleCPU(), a.idleCPU()), cmp.Compare(a.Executor, b.Executor))
	})
	var names []unit.Executor
	for _, e := range append(renew, fresh...) {
		if len(names) == adviceBatch {
			break
		}
		names = append(names, e.Executor)
	}
	return names
}

// noteAdvice notes whether a queue needs advice.
func (s *Shard) noteAdvice(q *Queue) { s.advice.used = s.advice.used || q.Advice != nil }

// remote returns 1 if the data of a step is on another rack than e, else 0.
func (s *Shard) remote(st *Step, e *Executor) int {
	if st.Near != "" && !e.has(unit.Label(st.Near)) {
		return 1
	}
	return 0
}

// fitting returns how many tasks of s find room on e.
func (s *Step) fitting(e *Executor) int {
	free, d := e.Capacity.Sub(e.used), s.demand()
	n := s.Count
	for _, x := range [][2]int64{
		{int64(free.CPU), int64(d.CPU)}, {int64(free.Memory), int64(d.Memory)}, {int64(free.Accelerators), int64(d.Accelerators)},
	} {
		if x[1] > 0 {
			n = min(n, int(x[0]/x[1]))
		}
	}
	if s.MaxPerExecutor > 0 {
		n = min(n, s.MaxPerExecutor)
	}
	return max(n, 0)
}

// Advised takes the answer to a call for advice, or its absence if err is not
// nil.
func (s *Shard) Advised(now clock.Millis, o *AdviseOrder, a *Advised, err error) {
	s.advice.asking = false
	if err != nil {
		s.advice.retryAt = now.Add(adviceRetry)
		s.report(Event{What: "adviceMissing", Task: TaskID{Job: o.Step.Job, Occurrence: o.Step.Occurrence, Step: o.Step.Step}, Reason: err.Error()})
		return
	}
	k := stepKey{o.Step.Job, o.Step.Occurrence, o.Step.Step}
	j := s.jobs.Get(k.job)
	if j == nil || j.State.Ended() {
		return
	}
	if s.advice.eligible == nil {
		s.advice.eligible = make(map[stepKey]*eligibility)
	}
	g := s.advice.eligible[k]
	if g == nil {
		g = &eligibility{known: make(map[unit.Executor]bool), held: make(map[unit.Executor]ticket)}
		s.advice.eligible[k] = g
	}
	for _, id := range o.Executors {
		t, may := a.Tickets[id]
		g.known[id] = may
		delete(g.held, id)
		if e := s.executors.Get(id); may && e != nil {
			g.held[id] = ticket{t, e.Born, now.Add(a.Valid)}
		}
	}
}

// refuseTicket drops a ticket that an executor did not accept, so that it is
// asked for again.
func (s *Shard) refuseTicket(id TaskID, e *Executor) {
	if g := s.advice.eligible[stepKey{id.Job, id.Occurrence, id.Step}]; g != nil {
		delete(g.held, e.Executor)
	}
}

// forgetAdvice drops what is known of the steps of jobs that have ended.
func (s *Shard) forgetAdvice() {
	for k := range s.advice.eligible {
		if j := s.jobs.Get(k.job); j == nil || j.State.Ended() {
			delete(s.advice.eligible, k)
		}
	}
}
