package dispatch

import (
	"cmp"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// AdvicePolicy configures a queue whose steps may run only on the executors that
// the advisor, an external service, allows. The advisor accepts one call of a
// process at a time.
type AdvicePolicy struct {
	Decision  clock.Span `cbor:"1,keyasint"` // duration of a call; stored but not used by the scheduler
	PerWorker clock.Span `cbor:"2,keyasint"` // additional duration for each executor in the call; stored but not used by the scheduler
	Valid     clock.Span `cbor:"3,keyasint"` // validity of a ticket
}

const (
	// adviceBatchSize is the maximum number of executors in a call. The latency
	// objective of a job allows for one call of this size for each step;
	// latencyObjective has no term for these calls.
	adviceBatchSize = 30
	// MaxAdvised is the maximum number of executors that the advisor accepts in a
	// call.
	MaxAdvised = 100
	// ticketMargin is the part of the validity of a ticket kept for the append
	// and the order that come before its use.
	ticketMargin = 400 * clock.Millisecond
	// adviceRetryDelay is the delay after a call without a response.
	adviceRetryDelay = 300 * clock.Millisecond
	// maxAdviceChecks bounds the steps for which a tick looks for executors to ask
	// about. Each goes through all executors.
	maxAdviceChecks = 200
)

// CallTime returns the duration of the largest call that the scheduler makes.
func (p *AdvicePolicy) CallTime() clock.Span { return p.Decision + p.PerWorker*adviceBatchSize }

// UsableTime returns how long a ticket can be used for starts. No start uses one that
// has none.
func (p *AdvicePolicy) UsableTime() clock.Span { return p.Valid - ticketMargin }

// StepID identifies a step of one occurrence of a job in requests to the advisor.
type StepID struct {
	Job        unit.Job
	Occurrence int
	Step       int
}

// AdviceRequest is a request to the advisor for the executors that may run a
// step.
type AdviceRequest struct {
	Step      StepID
	Executors []unit.Executor // at most [MaxAdvised]
}

// AdviceResponse is the advisor's response to an [AdviceRequest].
type AdviceResponse struct {
	Tickets map[unit.Executor]unit.Ticket // of the executors that may run the step
	Valid   clock.Span                    // validity of the tickets, from the response on
}

// eligibility holds the responses of the advisor for a step.
type eligibility struct {
	allowed map[unit.Executor]bool // whether each executor that was in a call may run the step
	tickets map[unit.Executor]ticket
}

// ticket allows starts of a step on one incarnation of an executor.
type ticket struct {
	ticket      unit.Ticket
	incarnation unit.UnixMillis
	validUntil  clock.Millis
}

// ticketOf returns the ticket for a step on e that is valid at now, or "".
func (s *Shard) ticketOf(now clock.Millis, k stepKey, e *Executor) unit.Ticket {
	known := s.advice.eligible[k]
	if known == nil {
		return ""
	}
	t, ok := known.tickets[e.Executor]
	if !ok || t.incarnation != e.Incarnation || now >= t.validUntil {
		return ""
	}
	return t.ticket
}

// adviceTracker holds the responses of the advisor and the state of the calls to
// it. The zero value is ready to use.
type adviceTracker struct {
	eligible map[stepKey]*eligibility
	needed   bool                              // a queue has an advice policy
	inFlight bool                              // a call has no response yet
	retryAt  clock.Millis                      // earliest time of the next call
	asked    map[unit.Executor]unit.UnixMillis // incarnations that the call in flight is about
	rotation rotation                          // of the steps to ask about
}

// requestAdvice sends a request to the advisor for the most urgent step that has
// no tickets for enough executors, unless a call is in flight.
func (s *Shard) requestAdvice(now clock.Millis) {
	if !s.advice.needed || s.advice.inFlight || now < s.advice.retryAt || len(s.readySteps) == 0 {
		return
	}
	var pools map[unit.Service]*executorPool
	checks := 0
	for _, k := range s.advice.rotation.order(s.sortedReady(now)) {
		j := s.jobs.Get(k.job)
		if j == nil || j.Spec == nil || j.State.Ended() || s.queue(j).Advice == nil {
			continue
		}
		if pools == nil {
			pools = s.pools(now)
		}
		if checks == maxAdviceChecks {
			s.advice.rotation.next = k
			return
		}
		checks++
		if names := s.adviceCandidates(now, k, j, pools[s.queue(j).Service]); len(names) > 0 {
			s.advice.inFlight = true
			s.advice.asked = s.incarnationsOf(names)
			id := StepID{k.job, k.occurrence, k.step}
			s.pendingOrders = append(s.pendingOrders, Order{Advise: &AdviceRequest{id, names}})
			s.report(Event{Kind: "adviceAsked", Task: TaskID{Job: k.job, Occurrence: k.occurrence, Step: k.step}})
			return
		}
	}
}

// incarnationsOf returns the current incarnations of executors.
func (s *Shard) incarnationsOf(ids []unit.Executor) map[unit.Executor]unit.UnixMillis {
	out := make(map[unit.Executor]unit.UnixMillis, len(ids))
	for _, id := range ids {
		if e := s.executors.Get(id); e != nil {
			out[id] = e.Incarnation
		}
	}
	return out
}

// adviceCandidates returns the executors for the next call for a step, at most
// adviceBatchSize. It returns none if the executors with tickets can take all
// waiting tasks. Tasks that ran before are considered first: they may use capacity
// that others may not.
func (s *Shard) adviceCandidates(now clock.Millis, k stepKey, j *Job, pool *executorPool) []unit.Executor {
	if pool == nil {
		return nil
	}
	request := s.newPlacementRequest(now, k, j, pool)
	tasks := j.tasks(k)
	for _, ranBefore := range []bool{true, false} {
		var first *Task
		waiting := 0
		for i := range tasks {
			if t := &tasks[i]; t.State == TaskReady && (t.Run > 0) == ranBefore {
				first = cmp.Or(first, t)
				waiting++
			}
		}
		if first == nil {
			continue
		}
		if names := request.forTask(first).adviceCandidates(waiting); len(names) > 0 {
			return names
		}
	}
	return nil
}

// adviceCandidates returns the executors for the next call for a number of waiting
// tasks that are like the requested one. Executors that can't take the task count
// neither as room for it nor as candidates. Executors whose ticket has expired come
// first. Executors that were in no call yet follow: those near the data first, then
// those with the most processor time that no task has requested.
func (request *placementRequest) adviceCandidates(waiting int) []unit.Executor {
	s, step, known := request.shard, request.step, request.shard.advice.eligible[request.key]
	var expired, unknown []*Executor
	for _, e := range request.pool.executors {
		if request.exclusionDespiteTicket(e) != NotExcluded {
			// With a ticket, another executor may be reserved in its place.
			if !e.reservedForBatch || request.hasTicket(e) || !request.takesIfOpen(e) {
				continue
			}
		} else if request.hasTicket(e) {
			if waiting -= request.countFitting(e); waiting <= 0 {
				return nil
			}
			continue
		}
		allowed, isKnown := false, false
		if known != nil {
			allowed, isKnown = known.allowed[e.Executor]
		}
		switch {
		case !isKnown:
			unknown = append(unknown, e)
		case allowed:
			expired = append(expired, e)
		}
	}
	slices.SortStableFunc(unknown, func(a, b *Executor) int {
		return cmp.Or(cmp.Compare(s.dataDistance(step, a), s.dataDistance(step, b)), cmp.Compare(b.unrequestedCPU(), a.unrequestedCPU()), cmp.Compare(a.Executor, b.Executor))
	})
	var names []unit.Executor
	for _, e := range append(expired, unknown...) {
		if len(names) == adviceBatchSize {
			break
		}
		names = append(names, e.Executor)
	}
	return names
}

// enableAdvice enables calls to the advisor if a queue has an advice policy.
func (s *Shard) enableAdvice(q *Queue) { s.advice.needed = s.advice.needed || q.Advice != nil }

// dataDistance returns 1 if the data of a step is on another rack than e, else
// 0.
func (s *Shard) dataDistance(st *Step, e *Executor) int {
	if st.Near != "" && !e.hasLabel(unit.Label(st.Near)) {
		return 1
	}
	return 0
}

// countFitting returns how many tasks like the requested one e can take beside its
// runs, at most the number of tasks of the step.
func (request *placementRequest) countFitting(e *Executor) int {
	free, d := request.freeCapacity(e), request.step.demand()
	n := request.step.Count
	for _, dimension := range [][2]int64{
		{int64(free.CPU), int64(d.CPU)}, {int64(free.Memory), int64(d.Memory)}, {int64(free.Accelerators), int64(d.Accelerators)},
	} {
		if dimension[1] > 0 {
			n = min(n, int(dimension[0]/dimension[1]))
		}
	}
	if most := request.step.MaxPerExecutor; most > 0 {
		n = min(n, most-e.countRuns(request.key))
	}
	return max(n, 0)
}

// HandleAdvice applies the response to a call to the advisor. If err is not nil,
// there was no response.
func (s *Shard) HandleAdvice(now clock.Millis, request *AdviceRequest, response *AdviceResponse, err error) {
	s.advice.inFlight = false
	if err != nil {
		s.advice.retryAt = now.Add(adviceRetryDelay)
		s.report(Event{Kind: "adviceMissing", Task: TaskID{Job: request.Step.Job, Occurrence: request.Step.Occurrence, Step: request.Step.Step}, Reason: err.Error()})
		return
	}
	k := stepKey{request.Step.Job, request.Step.Occurrence, request.Step.Step}
	j := s.jobs.Get(k.job)
	if j == nil || j.State.Ended() {
		return
	}
	if s.advice.eligible == nil {
		s.advice.eligible = make(map[stepKey]*eligibility)
	}
	known := s.advice.eligible[k]
	if known == nil {
		known = &eligibility{allowed: make(map[unit.Executor]bool), tickets: make(map[unit.Executor]ticket)}
		s.advice.eligible[k] = known
	}
	for _, id := range request.Executors {
		t, allowed := response.Tickets[id]
		known.allowed[id] = allowed
		delete(known.tickets, id)
		if incarnation, ok := s.advice.asked[id]; allowed && ok {
			known.tickets[id] = ticket{t, incarnation, now.Add(response.Valid)}
		}
	}
}

// dropTicket drops a ticket that an executor has refused, so that the next call
// requests another one.
func (s *Shard) dropTicket(id TaskID, e *Executor) {
	if known := s.advice.eligible[stepKey{id.Job, id.Occurrence, id.Step}]; known != nil {
		delete(known.tickets, e.Executor)
	}
}

// dropEndedAdvice drops the responses of the advisor for jobs that have ended.
func (s *Shard) dropEndedAdvice() {
	for k := range s.advice.eligible {
		if j := s.jobs.Get(k.job); j == nil || j.State.Ended() {
			delete(s.advice.eligible, k)
		}
	}
}
