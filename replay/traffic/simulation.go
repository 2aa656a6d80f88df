package traffic

import (
	"fmt"

	"mimosadock/replay/invariant"
	"mimosadock/replay/trace"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/table"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// requestIndex and attemptIndex are positions in the tables of a simulation.
type (
	requestIndex int
	attemptIndex int
)

// requestRow is one request of the trace.
type requestRow struct {
	invariant.Request
	service      *service.Service
	process      *processRow
	runTime      clock.Span
	sentAt       Step // when the caller sent it
	deadline     clock.Millis
	attemptsSent int
	openAttempts int  // attempts without an outcome
	mayHaveRun   bool // an attempt may have run
	closed       bool // the process has answered or failed, or no process accepted it
	answeredAt   Step // when the answer reached the caller
}

// verdict returns the verdict of a request that no attempt answered. The request
// may have run if any of its attempts may have run.
func (r *requestRow) verdict() verdict.Verdict {
	if r.mayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.DidNotRun
}

// attemptRow is one attempt of a request at an upstream.
type attemptRow struct {
	request     requestIndex
	process     *processRow
	upstream    *upstreamRow
	incarnation int // of the upstream when the attempt reached it
	sentAt      Step
	started     bool
	ended       bool // at the upstream
	silent      bool // its connection no longer delivers data
	outcome     verdict.Verdict
	reported    bool // the process has received the outcome
}

// upstreamRow is one simulated upstream. It runs one attempt per slot. Further
// attempts wait in the order of arrival. The limit of connections bounds the sum
// of running and waiting attempts.
type upstreamRow struct {
	trace.Upstream
	up          bool
	incarnation int // number of restarts
	running     int
	waiting     []attemptIndex
	silentIdle  map[trace.EntryIndex]bool // entry hosts whose next attempt uses a silent idle connection
}

// processRow is one process of an entry host.
type processRow struct {
	trace.Entry
	index       trace.EntryIndex
	incarnation int
	up          bool
	leaving     bool
	scheme      Scheme
}

// Instance returns the instance id of the process.
func (p *processRow) Instance() unit.Instance {
	return unit.Instance(fmt.Sprintf("%s-%d", p.Host, p.incarnation))
}

// Scheme is the part of an entry process that admits requests and chooses
// their upstreams.
type Scheme interface {
	// Arrive handles a request that reached the process.
	Arrive(r requestIndex)
	// AttemptEnded handles the outcome of an attempt of the process.
	AttemptEnded(a attemptIndex)
	// Step starts waiting requests. It runs once per step of the simulation,
	// after all events of the step.
	Step()
	// Tick runs the control systems once per tick.
	Tick()
}

// tickInterval is the time between two runs of the control systems.
const tickInterval = 50 * clock.Millisecond

// Simulation is the state of one replay. Use [New].
type Simulation struct {
	Ledger invariant.Ledger

	header           *trace.Header
	services         *service.Text
	now              Step
	clock            clock.Manual // the clock of the decision code, set to now
	calendar         calendar
	processes        []*processRow // the current process of each entry host
	draining         []*processRow // processes that shut down gracefully and have a successor
	upstreams        table.Table[unit.Upstream, *upstreamRow]
	observed         table.Table[unit.Upstream, invariant.Upstream] // actual states, for the checks of invariants
	requests         []requestRow
	attempts         []attemptRow
	cutLinks         table.Table[[2]unit.DataCentre, bool] // links that are down
	announcedLeaving table.Table[unit.Upstream, bool]      // upstreams that the trace has announced as leaving
	newScheme        SchemeFunc
	journal          []tenure.JournalRecord
	journalDown      bool
	samples          []Sample
	openRequests     int // requests that are not closed
}

// Sample is the state of the simulation at one instant. The report plots it.
type Sample struct {
	At          clock.Millis
	AtUpstreams int // attempts that run or wait at upstreams
	Waiting     int // requests that wait at entry processes
}

// SchemeFunc returns the scheme of a process that is being started.
type SchemeFunc func(sim *Simulation, p *processRow) Scheme

// Replay replays t with the schemes that newScheme returns. It returns an error
// if the deployment of t has no valid services text.
func Replay(t *trace.Trace, newScheme SchemeFunc) (*Simulation, error) {
	sim, err := New(&t.Header, newScheme)
	if err != nil {
		return nil, err
	}
	sim.Run(t.Events)
	return sim, nil
}

// New returns a simulation of the deployment of h. Its processes use the schemes
// that newScheme returns. New returns an error if the deployment has no valid
// services text.
func New(h *trace.Header, newScheme SchemeFunc) (*Simulation, error) {
	text, err := servicesText(&h.Deployment)
	if err != nil {
		return nil, err
	}
	sim := &Simulation{header: h, services: text, newScheme: newScheme}
	for _, u := range h.Deployment.Upstreams {
		sim.upstreams.Put(u.Address, &upstreamRow{Upstream: u, up: true, silentIdle: make(map[trace.EntryIndex]bool)})
		sim.observed.Put(u.Address, invariant.Upstream{Slots: u.Slots})
	}
	for i, e := range h.Deployment.Entries {
		sim.processes = append(sim.processes, &processRow{Entry: e, index: trace.EntryIndex(i)})
	}
	for _, p := range sim.processes {
		sim.startProcess(p)
	}
	return sim, nil
}

func (sim *Simulation) startProcess(p *processRow) {
	p.up, p.leaving = true, false
	p.incarnation++
	p.scheme = sim.newScheme(sim, p)
}

// warmUpTime is how long the processes run before the trace begins. A trace
// starts in a running system, so the tenures need owners before the first event.
var warmUpTime = stepsOfSpan(20 * clock.Second)

// traceTime returns the instant of s relative to the start of the trace.
func traceTime(s Step) clock.Millis { return (s - warmUpTime).Millis() }

// Run replays the events and continues until every request is closed. A request
// is closed at its deadline at the latest.
func (sim *Simulation) Run(events []trace.Event) {
	next := 0
	end := stepOfInstant(clock.Millis(sim.header.Length)) + warmUpTime
	for ; sim.now < end || sim.openRequests > 0; sim.now++ {
		sim.clock.Set(sim.now.Millis())
		for ; next < len(events) && stepOfInstant(events[next].At)+warmUpTime <= sim.now; next++ {
			sim.apply(&events[next], next)
		}
		for _, a := range sim.calendar.takeDue(sim.now) {
			sim.runAction(a)
		}
		if sim.now%stepsOfSpan(tickInterval) == 0 {
			sim.forEachScheme(Scheme.Tick)
			sim.sample()
		}
		sim.forEachScheme(Scheme.Step)
		invariant.CheckUpstreams(&sim.Ledger, sim.now.Millis(), &sim.observed)
	}
}

// replaceProcess replaces p by a new row for the same entry host and returns
// the new row. A process that is shutting down continues to run beside its
// successor.
func (sim *Simulation) replaceProcess(p *processRow) *processRow {
	if p.up {
		sim.draining = append(sim.draining, p)
	}
	next := &processRow{Entry: p.Entry, index: p.index, incarnation: p.incarnation}
	sim.processes[p.index] = next
	return next
}

func (sim *Simulation) forEachScheme(f func(Scheme)) {
	for _, list := range [][]*processRow{sim.processes, sim.draining} {
		for _, p := range list {
			if p.up {
				f(p.scheme)
			}
		}
	}
}

func (sim *Simulation) sample() {
	if sim.now < warmUpTime {
		return
	}
	s := Sample{At: traceTime(sim.now)}
	for _, u := range sim.upstreams.All() {
		s.AtUpstreams += (*u).running + len((*u).waiting)
	}
	for i := range sim.requests {
		if r := &sim.requests[i]; !r.closed && r.process != nil && r.openAttempts == 0 {
			s.Waiting++
		}
	}
	sim.samples = append(sim.samples, s)
}

// appendJournal appends an entry to the journal. The entry is lost while the
// journal is down.
func (sim *Simulation) appendJournal(e tenure.JournalRecord) {
	if sim.journalDown {
		return
	}
	e.Offset = unit.Offset(len(sim.journal))
	sim.journal = append(sim.journal, e)
}

// processByID returns the process with the given instance id, or nil if that
// process has ended.
func (sim *Simulation) processByID(id unit.Instance) *processRow {
	for _, list := range [][]*processRow{sim.processes, sim.draining} {
		for _, p := range list {
			if p.up && p.Instance() == id {
				return p
			}
		}
	}
	return nil
}

// coordinatorOf returns the coordinator of a process, or nil if its scheme has
// none.
func (sim *Simulation) coordinatorOf(p *processRow) *coordinator {
	if s, ok := p.scheme.(interface{ membershipCoordinator() *coordinator }); ok {
		return s.membershipCoordinator()
	}
	return nil
}

// hasOpenWork reports whether p has requests that are not closed or attempts
// without an outcome.
func (sim *Simulation) hasOpenWork(p *processRow) bool {
	for i := range sim.requests {
		if r := &sim.requests[i]; r.process == p && (!r.closed || r.openAttempts > 0) {
			return true
		}
	}
	return false
}

// canReach reports whether the link between two data centres works.
func (sim *Simulation) canReach(a, b unit.DataCentre) bool {
	return sim.cutLinks.Get([2]unit.DataCentre{a, b}) == nil && sim.cutLinks.Get([2]unit.DataCentre{b, a}) == nil
}

// networkDelay returns the one-way delay between two data centres. It is 0
// within a data centre, where a message takes less than a step.
func (sim *Simulation) networkDelay(a, b unit.DataCentre) Step {
	if a == b {
		return 0
	}
	return stepsOfMicros(sim.header.Deployment.DataCentreDelay)
}

// sendMessage calls f after the network delay from one process to another. The
// message is lost if their data centres have no working link or if the receiver
// has ended on arrival.
func (sim *Simulation) sendMessage(from, to *processRow, f func()) {
	if !sim.canReach(from.DataCentre, to.DataCentre) {
		return
	}
	at := sim.now + max(1, sim.networkDelay(from.DataCentre, to.DataCentre))
	sim.calendar.add(at, action{kind: messageArrival, message: func() {
		if to.up {
			f()
		}
	}})
}
