package traffic

import (
	"slices"

	"mimosadock/replay/invariant"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

const (
	// upstreamGrace is how long an upstream may run a request after its
	// deadline.
	upstreamGrace = 500 * clock.Millisecond
	// dialTimeout is the timeout of a dial.
	dialTimeout = 500 * clock.Millisecond
	// silenceTimeout is the minimum time without data after which a process
	// treats a connection as broken.
	silenceTimeout = 2 * clock.Second
)

// runAction executes a due action.
func (sim *Simulation) runAction(a action) {
	switch a.kind {
	case attemptArrival:
		sim.handleAttemptArrival(a.attempt)
	case attemptEnd:
		sim.endAttempt(a.attempt)
	case outcomeArrival:
		sim.handleOutcomeArrival(a.attempt)
	case connectionTimeout:
		sim.timeOutAttempt(a.attempt)
	case deadlineExpiry:
		sim.expireRequest(a.request, a.process)
	case answerArrival:
		sim.handleAnswerArrival(a.request, a.attempt)
	case messageArrival:
		a.message()
	}
}

// sendAttempt sends a request from its process to an upstream and returns the
// new attempt.
func (sim *Simulation) sendAttempt(r requestIndex, address unit.Upstream) attemptIndex {
	row := &sim.requests[r]
	row.attemptsSent++
	row.openAttempts++
	u := *sim.upstreams.Get(address)
	i := attemptIndex(len(sim.attempts))
	sim.attempts = append(sim.attempts, attemptRow{request: r, process: row.process, upstream: u, sentAt: sim.now})
	a := &sim.attempts[i]
	switch {
	case !sim.canReach(row.process.DataCentre, u.DataCentre):
		// The dial times out before anything is sent.
		a.ended, a.outcome = true, verdict.DidNotRun
		sim.calendar.add(sim.now+stepsOfSpan(dialTimeout), action{kind: outcomeArrival, attempt: i})
	case u.silentIdle[row.process.index]:
		delete(u.silentIdle, row.process.index)
		a.silent, a.ended = true, true
		sim.calendar.add(sim.now+stepsOfSpan(silenceTimeout), action{kind: connectionTimeout, attempt: i})
	default:
		sim.calendar.add(sim.now+max(1, sim.networkDelay(row.process.DataCentre, u.DataCentre)), action{kind: attemptArrival, attempt: i})
		if row.service.Class != service.Long {
			sim.calendar.add(stepOfInstant(row.deadline), action{kind: connectionTimeout, attempt: i})
		}
	}
	return i
}

func (sim *Simulation) handleAttemptArrival(i attemptIndex) {
	a := &sim.attempts[i]
	u := a.upstream
	if !u.up || u.running+len(u.waiting) >= u.Connections {
		a.ended = true
		sim.sendOutcome(i, verdict.DidNotRun)
		return
	}
	a.incarnation = u.incarnation
	sim.observed.Get(u.Address).Running++
	if u.running < int(u.Slots) {
		sim.startAttempt(i)
		return
	}
	u.waiting = append(u.waiting, i)
}

// startAttempt starts an attempt in a free slot of its upstream. The attempt
// ends after the run time of the request, at the latest upstreamGrace after the
// deadline.
func (sim *Simulation) startAttempt(i attemptIndex) {
	a := &sim.attempts[i]
	r := &sim.requests[a.request]
	a.started = true
	a.upstream.running++
	r.Starts++
	invariant.CheckStart(&sim.Ledger, sim.now.Millis(), a.upstream.Address, sim.observed.Get(a.upstream.Address), &r.Request)
	end := min(sim.now+stepsOfSpan(r.runTime), stepOfInstant(r.deadline.Add(upstreamGrace)))
	sim.calendar.add(max(end, sim.now+1), action{kind: attemptEnd, attempt: i})
}

// endAttempt frees the slot of an attempt, starts the attempts that wait for
// one and sends the outcome. It has no effect if the attempt has ended or the
// upstream has restarted.
func (sim *Simulation) endAttempt(i attemptIndex) {
	a := &sim.attempts[i]
	u := a.upstream
	if a.ended || a.incarnation != u.incarnation {
		return
	}
	a.ended = true
	if a.started {
		u.running--
	} else {
		u.waiting = slices.DeleteFunc(u.waiting, func(other attemptIndex) bool { return other == i })
	}
	sim.observed.Get(u.Address).Running--
	for len(u.waiting) > 0 && u.running < int(u.Slots) {
		next := u.waiting[0]
		u.waiting = u.waiting[1:]
		sim.startAttempt(next)
	}
	if r := &sim.requests[a.request]; sim.now.Millis() <= r.deadline {
		sim.sendOutcome(i, verdict.Ran)
		return
	}
	sim.sendOutcome(i, verdict.MayHaveRun)
}

// sendOutcome sends the outcome of an attempt to its process. The outcome is
// lost if the connection is silent or the data centres have no working link.
func (sim *Simulation) sendOutcome(i attemptIndex, v verdict.Verdict) {
	a := &sim.attempts[i]
	a.outcome = v
	if a.silent || !sim.canReach(a.process.DataCentre, a.upstream.DataCentre) {
		return
	}
	sim.calendar.add(sim.now+max(1, sim.networkDelay(a.process.DataCentre, a.upstream.DataCentre)), action{kind: outcomeArrival, attempt: i})
}

// timeOutAttempt ends an attempt whose outcome has not reached its process. The
// attempt may have run.
func (sim *Simulation) timeOutAttempt(i attemptIndex) {
	if a := &sim.attempts[i]; !a.reported {
		a.outcome = verdict.MayHaveRun
		sim.handleOutcomeArrival(i)
	}
}

// handleOutcomeArrival passes the outcome of an attempt to the scheme of its
// process. It ignores a second outcome.
func (sim *Simulation) handleOutcomeArrival(i attemptIndex) {
	a := &sim.attempts[i]
	if a.reported {
		return
	}
	a.reported = true
	r := &sim.requests[a.request]
	r.openAttempts--
	r.mayHaveRun = r.mayHaveRun || a.outcome != verdict.DidNotRun
	if a.process.up {
		a.process.scheme.AttemptEnded(i)
	}
}

// expireRequest answers a request that is still open at its deadline.
func (sim *Simulation) expireRequest(r requestIndex, p *processRow) {
	row := &sim.requests[r]
	if row.closed || row.process != p || !p.up {
		return
	}
	v := row.verdict()
	if row.openAttempts > 0 {
		v = verdict.MayHaveRun
	}
	sim.answer(r, v, -1)
}

// answer sends the answer of attempt a to the caller of r. If a is negative, the
// caller receives only the verdict v.
func (sim *Simulation) answer(r requestIndex, v verdict.Verdict, a attemptIndex) {
	row := &sim.requests[r]
	if row.closed {
		return
	}
	sim.closeRequest(row)
	row.Verdict = v
	if row.process.leaving {
		cutOff := v != verdict.Ran && row.openAttempts > 0 && sim.now.Millis() < row.deadline
		invariant.CheckDrain(&sim.Ledger, sim.now.Millis(), &row.Request, cutOff)
	}
	sim.calendar.add(sim.now+stepsOfMicros(sim.header.Deployment.ClientDelay), action{kind: answerArrival, request: r, attempt: a})
}

// closeRequest marks a request as closed.
func (sim *Simulation) closeRequest(r *requestRow) {
	if !r.closed {
		r.closed = true
		sim.openRequests--
	}
}

func (sim *Simulation) handleAnswerArrival(r requestIndex, a attemptIndex) {
	row := &sim.requests[r]
	row.Answers++
	row.answeredAt = sim.now
	answeredID, complete := row.ID, true
	if a >= 0 {
		attempt := &sim.attempts[a]
		answeredID, complete = sim.requests[attempt.request].ID, attempt.started && attempt.ended
	}
	invariant.CheckAnswer(&sim.Ledger, sim.now.Millis(), &row.Request, answeredID, complete)
}
