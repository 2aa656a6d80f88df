package traffic

import (
	"fmt"

	"mimosadock/replay/invariant"
	"mimosadock/replay/trace"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// apply applies an event of the trace, which is at the given index.
func (w *World) apply(e *trace.Event, index int) {
	switch e.What {
	case trace.Request:
		w.newRequest(e, index)
	case trace.UpstreamDown:
		w.upstreamDown(*w.upstreams.Get(e.Upstream))
	case trace.UpstreamUp:
		(*w.upstreams.Get(e.Upstream)).up = true
	case trace.UpstreamLeave:
		w.listed.Put(e.Upstream, true)
		o := w.observed.Get(e.Upstream)
		o.Leaving, o.Since = true, w.now.Millis()
	case trace.EntryDown:
		w.processDown(w.processes[e.Entry])
	case trace.EntryLeave:
		w.processes[e.Entry].leaving = true
	case trace.EntryUp:
		w.processUp(w.processes[e.Entry])
	case trace.JournalDown, trace.JournalUp:
		w.journalDown = e.What == trace.JournalDown
	case trace.LinkDown:
		w.cut.Put(e.Between, true)
	case trace.LinkUp:
		w.cut.Delete(e.Between)
	case trace.Silence:
		w.silence(e.Entry, *w.upstreams.Get(e.Upstream))
	}
}

// newRequest gives a request to the process that the platform's load balancer
// chose, or to the next one that is ready.
func (w *World) newRequest(e *trace.Event, index int) {
	svc := w.text.Service(e.Service)
	r := requestRow{
		Request: invariant.Request{ID: unit.Request(fmt.Sprintf("r%d", index+2)), Idempotent: svc.Idempotent},
		service: svc, run: e.Run, at: w.now,
	}
	span := svc.DeadlineMs
	if e.Deadline > 0 {
		span = e.Deadline
	}
	i := requestIndex(len(w.requests))
	w.requests = append(w.requests, r)
	w.open++
	arrival := w.now + stepsOf(w.header.Deployment.Client)
	w.requests[i].deadline = arrival.Millis().Add(span)
	w.calendar.add(arrival, action{what: delivered, message: func() { w.arrive(i, e.Entry) }})
}

func (w *World) arrive(i requestIndex, entry trace.EntryIndex) {
	r := &w.requests[i]
	for k := range w.processes {
		p := w.processes[(int(entry)+k)%len(w.processes)]
		if !p.up || p.leaving {
			continue
		}
		r.process = p
		w.calendar.add(stepAt(r.deadline), action{what: expired, request: i, process: p})
		p.scheme.Arrive(i)
		return
	}
	w.close(r)
	r.Verdict = verdict.DidNotRun
}

// upstreamDown ends everything at an upstream. The processes see broken
// connections.
func (w *World) upstreamDown(u *upstreamRow) {
	u.up = false
	u.life++
	u.running, u.waiting = 0, nil
	w.observed.Get(u.Address).Running = 0
	for i := range w.attempts {
		if a := &w.attempts[i]; a.to == u && !a.ended && !a.reported {
			a.ended = true
			w.report(attemptIndex(i), verdict.MayHaveRun)
		}
	}
}

// processDown ends a process. Its callers see broken connections, which may
// have run; the upstreams see them too and stop within their grace.
func (w *World) processDown(p *processRow) {
	if !p.up {
		return
	}
	p.up = false
	for i := range w.requests {
		if r := &w.requests[i]; r.process == p {
			w.close(r)
		}
	}
	for i := range w.attempts {
		if a := &w.attempts[i]; a.process == p && !a.ended {
			w.calendar.add(w.now+stepsIn(upstreamGrace), action{what: finished, attempt: attemptIndex(i)})
		}
	}
}

func (w *World) processUp(p *processRow) {
	if p.up && !p.leaving {
		return
	}
	w.startProcess(w.replace(p))
}

// silence makes the open connections between a process and an upstream carry
// nothing more: those in use and one idle one.
func (w *World) silence(e trace.EntryIndex, u *upstreamRow) {
	u.silent[e] = true
	for i := range w.attempts {
		if a := &w.attempts[i]; a.to == u && a.process.index == e && !a.reported {
			a.silent = true
			w.calendar.add(w.now+stepsIn(silenceTime), action{what: silent, attempt: attemptIndex(i)})
		}
	}
}
