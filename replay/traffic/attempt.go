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
	// upstreamGrace is how long an upstream may go on after a deadline.
	upstreamGrace = 500 * clock.Millisecond
	// dialTime is how long a dial may take before it is given up.
	dialTime = 500 * clock.Millisecond
	// silenceTime is how long a process waits at least for a sign of life on a
	// connection.
	silenceTime = 2 * clock.Second
)

// run runs an action that is due.
func (w *World) run(a action) {
	switch a.what {
	case atUpstream:
		w.reachUpstream(a.attempt)
	case finished:
		w.endAttempt(a.attempt)
	case atProcess:
		w.reachProcess(a.attempt)
	case silent:
		w.giveUp(a.attempt)
	case expired:
		w.expire(a.request, a.process)
	case atCaller:
		w.reachCaller(a.request, a.attempt)
	case delivered:
		a.message()
	}
}

// send sends a request from its process to an upstream.
func (w *World) send(r requestIndex, address unit.Upstream) attemptIndex {
	row := &w.requests[r]
	row.tries++
	row.open++
	u := *w.upstreams.Get(address)
	i := attemptIndex(len(w.attempts))
	w.attempts = append(w.attempts, attemptRow{request: r, process: row.process, to: u, sent: w.now})
	a := &w.attempts[i]
	switch {
	case !w.reach(row.process.DataCentre, u.DataCentre):
		// The dial is never answered; nothing was sent.
		a.ended, a.outcome = true, verdict.DidNotRun
		w.calendar.add(w.now+stepsIn(dialTime), action{what: atProcess, attempt: i})
	case u.silent[row.process.index]:
		delete(u.silent, row.process.index)
		a.silent, a.ended = true, true
		w.calendar.add(w.now+stepsIn(silenceTime), action{what: silent, attempt: i})
	default:
		w.calendar.add(w.now+max(1, w.way(row.process.DataCentre, u.DataCentre)), action{what: atUpstream, attempt: i})
		if row.service.Class != service.Long {
			w.calendar.add(stepAt(row.deadline), action{what: silent, attempt: i})
		}
	}
	return i
}

func (w *World) reachUpstream(i attemptIndex) {
	a := &w.attempts[i]
	u := a.to
	if !u.up || u.running+len(u.waiting) >= u.Connections {
		a.ended = true
		w.report(i, verdict.DidNotRun)
		return
	}
	a.life = u.life
	w.observed.Get(u.Address).Running++
	if u.running < int(u.Slots) {
		w.begin(i)
		return
	}
	u.waiting = append(u.waiting, i)
}

// begin starts an attempt in a free slot of its upstream.
func (w *World) begin(i attemptIndex) {
	a := &w.attempts[i]
	r := &w.requests[a.request]
	a.started = true
	a.to.running++
	r.Starts++
	invariant.CheckStart(&w.Ledger, w.now.Millis(), a.to.Address, w.observed.Get(a.to.Address), &r.Request)
	end := min(w.now+stepsIn(r.run), stepAt(r.deadline.Add(upstreamGrace)))
	w.calendar.add(max(end, w.now+1), action{what: finished, attempt: i})
}

// endAttempt frees the slot of an attempt and sends its answer.
func (w *World) endAttempt(i attemptIndex) {
	a := &w.attempts[i]
	u := a.to
	if a.ended || a.life != u.life {
		return
	}
	a.ended = true
	if a.started {
		u.running--
	} else {
		u.waiting = slices.DeleteFunc(u.waiting, func(other attemptIndex) bool { return other == i })
	}
	w.observed.Get(u.Address).Running--
	for len(u.waiting) > 0 && u.running < int(u.Slots) {
		next := u.waiting[0]
		u.waiting = u.waiting[1:]
		w.begin(next)
	}
	if r := &w.requests[a.request]; w.now.Millis() <= r.deadline {
		w.report(i, verdict.Ran)
		return
	}
	w.report(i, verdict.MayHaveRun)
}

// report sends the outcome of an attempt to its process.
func (w *World) report(i attemptIndex, v verdict.Verdict) {
	a := &w.attempts[i]
	a.outcome = v
	if a.silent || !w.reach(a.process.DataCentre, a.to.DataCentre) {
		return
	}
	w.calendar.add(w.now+max(1, w.way(a.process.DataCentre, a.to.DataCentre)), action{what: atProcess, attempt: i})
}

// giveUp ends an attempt whose connection shows no sign of life.
func (w *World) giveUp(i attemptIndex) {
	if a := &w.attempts[i]; !a.reported {
		a.outcome = verdict.MayHaveRun
		w.reachProcess(i)
	}
}

// reachProcess hands the outcome of an attempt to its process.
func (w *World) reachProcess(i attemptIndex) {
	a := &w.attempts[i]
	if a.reported {
		return
	}
	a.reported = true
	r := &w.requests[a.request]
	r.open--
	r.risked = r.risked || a.outcome != verdict.DidNotRun
	if a.process.up {
		a.process.scheme.Ended(i)
	}
}

// expire ends a request at its deadline.
func (w *World) expire(r requestIndex, p *processRow) {
	row := &w.requests[r]
	if row.closed || row.process != p || !p.up {
		return
	}
	v := row.verdict()
	if row.open > 0 {
		v = verdict.MayHaveRun
	}
	w.answer(r, v, -1)
}

// answer answers the caller of r: with the answer of an attempt, or with a
// verdict only if the attempt is negative.
func (w *World) answer(r requestIndex, v verdict.Verdict, a attemptIndex) {
	row := &w.requests[r]
	if row.closed {
		return
	}
	w.close(row)
	row.Verdict = v
	if row.process.leaving {
		cutOff := v != verdict.Ran && row.open > 0 && w.now.Millis() < row.deadline
		invariant.CheckDrained(&w.Ledger, w.now.Millis(), &row.Request, cutOff)
	}
	w.calendar.add(w.now+stepsOf(w.header.Deployment.Client), action{what: atCaller, request: r, attempt: a})
}

// close marks a request as answered or given up.
func (w *World) close(r *requestRow) {
	if !r.closed {
		r.closed = true
		w.open--
	}
}

func (w *World) reachCaller(r requestIndex, a attemptIndex) {
	row := &w.requests[r]
	row.Answers++
	row.done = w.now
	from, whole := row.ID, true
	if a >= 0 {
		at := &w.attempts[a]
		from, whole = w.requests[at.request].ID, at.started && at.ended
	}
	invariant.CheckAnswer(&w.Ledger, w.now.Millis(), &row.Request, from, whole)
}
