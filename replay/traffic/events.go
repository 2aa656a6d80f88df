package traffic

import (
	"fmt"

	"mimosadock/replay/invariant"
	"mimosadock/replay/trace"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// apply applies the event of the trace at the given index.
func (sim *Simulation) apply(e *trace.Event, index int) {
	switch e.Type {
	case trace.Request:
		sim.addRequest(e, index)
	case trace.UpstreamDown:
		sim.stopUpstream(*sim.upstreams.Get(e.Upstream))
	case trace.UpstreamUp:
		(*sim.upstreams.Get(e.Upstream)).up = true
	case trace.UpstreamLeave:
		sim.announcedLeaving.Put(e.Upstream, true)
		o := sim.observed.Get(e.Upstream)
		o.Leaving, o.LeavingSince = true, sim.now.Millis()
	case trace.EntryDown:
		sim.stopProcess(sim.processes[e.Entry])
	case trace.EntryLeave:
		sim.processes[e.Entry].leaving = true
	case trace.EntryUp:
		sim.restartProcess(sim.processes[e.Entry])
	case trace.JournalDown, trace.JournalUp:
		sim.journalDown = e.Type == trace.JournalDown
	case trace.LinkDown:
		sim.cutLinks.Put(e.Link, true)
	case trace.LinkUp:
		sim.cutLinks.Delete(e.Link)
	case trace.Silence:
		sim.silenceConnections(e.Entry, *sim.upstreams.Get(e.Upstream))
	}
}

// addRequest adds the request of e. After the delay from the caller, the request
// reaches the entry host of the event, which the platform's load balancer chose.
// The request id contains the line number of the event in the trace, whose first
// line is the header.
func (sim *Simulation) addRequest(e *trace.Event, index int) {
	svc := sim.services.Service(e.Service)
	r := requestRow{
		Request: invariant.Request{ID: unit.Request(fmt.Sprintf("r%d", index+2)), Idempotent: svc.Idempotent},
		service: svc, runTime: e.RunTime, sentAt: sim.now,
	}
	deadline := svc.DeadlineMs
	if e.Deadline > 0 {
		deadline = e.Deadline
	}
	i := requestIndex(len(sim.requests))
	sim.requests = append(sim.requests, r)
	sim.openRequests++
	arrival := sim.now + stepsOfMicros(sim.header.Deployment.ClientDelay)
	sim.requests[i].deadline = arrival.Millis().Add(deadline)
	sim.calendar.add(arrival, action{kind: messageArrival, message: func() { sim.handleRequestArrival(i, e.Entry) }})
}

// handleRequestArrival passes a request to the process of the given entry host,
// or to the next one that is ready. If no process is ready, the request did not
// run.
func (sim *Simulation) handleRequestArrival(i requestIndex, entry trace.EntryIndex) {
	r := &sim.requests[i]
	for k := range sim.processes {
		p := sim.processes[(int(entry)+k)%len(sim.processes)]
		if !p.up || p.leaving {
			continue
		}
		r.process = p
		sim.calendar.add(stepOfInstant(r.deadline), action{kind: deadlineExpiry, request: i, process: p})
		p.scheme.Arrive(i)
		return
	}
	sim.closeRequest(r)
	r.Verdict = verdict.DidNotRun
}

// stopUpstream stops an upstream and ends all attempts at it. The connections to
// the processes break, so the attempts may have run.
func (sim *Simulation) stopUpstream(u *upstreamRow) {
	u.up = false
	u.incarnation++
	u.running, u.waiting = 0, nil
	sim.observed.Get(u.Address).Running = 0
	for i := range sim.attempts {
		if a := &sim.attempts[i]; a.upstream == u && !a.ended && !a.reported {
			a.ended = true
			sim.sendOutcome(attemptIndex(i), verdict.MayHaveRun)
		}
	}
}

// stopProcess ends a process. The connections to its callers break, so their
// requests may have run. The connections to the upstreams break too, and the
// upstreams stop the attempts after upstreamGrace.
func (sim *Simulation) stopProcess(p *processRow) {
	if !p.up {
		return
	}
	p.up = false
	for i := range sim.requests {
		if r := &sim.requests[i]; r.process == p {
			sim.closeRequest(r)
		}
	}
	for i := range sim.attempts {
		if a := &sim.attempts[i]; a.process == p && !a.ended {
			sim.calendar.add(sim.now+stepsOfSpan(upstreamGrace), action{kind: attemptEnd, attempt: attemptIndex(i)})
		}
	}
}

func (sim *Simulation) restartProcess(p *processRow) {
	if p.up && !p.leaving {
		return
	}
	sim.startProcess(sim.replaceProcess(p))
}

// silenceConnections stops all data on the open connections between an entry
// host and an upstream. This affects the connections in use and one idle
// connection.
func (sim *Simulation) silenceConnections(e trace.EntryIndex, u *upstreamRow) {
	u.silentIdle[e] = true
	for i := range sim.attempts {
		if a := &sim.attempts[i]; a.upstream == u && a.process.index == e && !a.reported {
			a.silent = true
			sim.calendar.add(sim.now+stepsOfSpan(silenceTimeout), action{kind: connectionTimeout, attempt: attemptIndex(i)})
		}
	}
}
