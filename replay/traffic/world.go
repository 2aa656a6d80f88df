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

// requestIndex and attemptIndex are positions in the tables of a world.
type (
	requestIndex int
	attemptIndex int
)

// requestRow is one request of the trace.
type requestRow struct {
	invariant.Request
	service  *service.Service
	process  *processRow
	run      clock.Span
	at       Step // sent by the caller
	deadline clock.Millis
	tries    int  // attempts that were sent
	open     int  // attempts without an outcome
	risked   bool // an attempt may have run
	closed   bool // the process has answered
	done     Step // the answer reached the caller
}

// verdict returns the verdict of a request without an answer: it may have run if
// any of its attempts may have.
func (r *requestRow) verdict() verdict.Verdict {
	if r.risked {
		return verdict.MayHaveRun
	}
	return verdict.DidNotRun
}

// attemptRow is one attempt of a request at an upstream.
type attemptRow struct {
	request  requestIndex
	process  *processRow
	to       *upstreamRow
	life     int // of the upstream when the attempt reached it
	sent     Step
	started  bool
	ended    bool // at the upstream
	silent   bool // its connection carries nothing more
	outcome  verdict.Verdict
	reported bool // the process knows the outcome
}

// upstreamRow is the fake of one upstream. It runs as many attempts as it has
// slots; others wait in the order in which they came, up to its connections.
type upstreamRow struct {
	trace.Upstream
	up      bool
	life    int // counts restarts
	running int
	waiting []attemptIndex
	silent  map[trace.EntryIndex]bool // the next attempt meets a silent idle connection
}

// processRow is one entry host with its current process.
type processRow struct {
	trace.Entry
	index   trace.EntryIndex
	life    int
	up      bool
	leaving bool
	scheme  Scheme
}

// Instance returns the id of the current process.
func (p *processRow) Instance() unit.Instance {
	return unit.Instance(fmt.Sprintf("%s-%d", p.Host, p.life))
}

// Scheme is the part of an entry process that admits requests and chooses
// their upstreams.
type Scheme interface {
	// Arrive handles a request that reached the process.
	Arrive(r requestIndex)
	// Ended handles the outcome of an attempt of the process.
	Ended(a attemptIndex)
	// Step runs every step, after all events of the step.
	Step()
	// Tick runs the control systems.
	Tick()
}

// tick is the time between two runs of the control systems.
const tick = 50 * clock.Millisecond

// World is the state of one replay. Use [New].
type World struct {
	Ledger invariant.Ledger

	header      *trace.Header
	text        *service.Text
	now         Step
	clock       clock.Manual // stands at now, for the decision code
	calendar    calendar
	processes   []*processRow // the current process of each entry host
	draining    []*processRow // shut down gracefully and already replaced
	upstreams   table.Table[unit.Upstream, *upstreamRow]
	observed    table.Table[unit.Upstream, invariant.Upstream]
	requests    []requestRow
	attempts    []attemptRow
	cut         table.Table[[2]unit.DataCentre, bool]
	listed      table.Table[unit.Upstream, bool] // leaving
	start       Start
	journal     []tenure.Entry
	journalDown bool
	samples     []Sample
	open        int // requests without an answer
}

// Sample is the state of the world at one instant, for the report.
type Sample struct {
	At      clock.Millis
	Given   int // attempts at upstreams
	Waiting int // requests at entry processes
}

// Start returns the scheme of a process that starts.
type Start func(w *World, p *processRow) Scheme

// Replay replays t with the schemes that start returns.
func Replay(t *trace.Trace, start Start) (*World, error) {
	w, err := New(&t.Header, start)
	if err != nil {
		return nil, err
	}
	w.Run(t.Events)
	return w, nil
}

// New returns a world for the deployment of h, whose processes use the schemes
// that start returns.
func New(h *trace.Header, start Start) (*World, error) {
	text, err := textOf(&h.Deployment)
	if err != nil {
		return nil, err
	}
	w := &World{header: h, text: text, start: start}
	for _, u := range h.Deployment.Upstreams {
		w.upstreams.Put(u.Address, &upstreamRow{Upstream: u, up: true, silent: make(map[trace.EntryIndex]bool)})
		w.observed.Put(u.Address, invariant.Upstream{Slots: u.Slots})
	}
	for i, e := range h.Deployment.Entries {
		w.processes = append(w.processes, &processRow{Entry: e, index: trace.EntryIndex(i)})
	}
	for _, p := range w.processes {
		w.startProcess(p)
	}
	return w, nil
}

func (w *World) startProcess(p *processRow) {
	p.up, p.leaving = true, false
	p.life++
	p.scheme = w.start(w, p)
}

// warmUp is how long the processes run before the trace begins, so that the
// tenures have owners. A recorded system was running already.
var warmUp = stepsIn(20 * clock.Second)

// traceTime returns the instant of a step on the axis of the trace.
func traceTime(s Step) clock.Millis { return (s - warmUp).Millis() }

// Run replays the events and goes on until every request has ended, at the
// latest at its deadline.
func (w *World) Run(events []trace.Event) {
	next := 0
	end := stepAt(clock.Millis(w.header.Length)) + warmUp
	for ; w.now < end || w.open > 0; w.now++ {
		w.clock.Set(w.now.Millis())
		for ; next < len(events) && stepAt(events[next].At)+warmUp <= w.now; next++ {
			w.apply(&events[next], next)
		}
		for _, a := range w.calendar.take(w.now) {
			w.run(a)
		}
		if w.now%stepsIn(tick) == 0 {
			w.each(Scheme.Tick)
			w.sample()
		}
		w.each(Scheme.Step)
		invariant.CheckUpstreams(&w.Ledger, w.now.Millis(), &w.observed)
	}
}

// replace puts a new row in the place of a process and returns it. A process
// that is shutting down goes on beside the new one.
func (w *World) replace(p *processRow) *processRow {
	if p.up {
		w.draining = append(w.draining, p)
	}
	next := &processRow{Entry: p.Entry, index: p.index, life: p.life}
	w.processes[p.index] = next
	return next
}

func (w *World) each(f func(Scheme)) {
	for _, list := range [][]*processRow{w.processes, w.draining} {
		for _, p := range list {
			if p.up {
				f(p.scheme)
			}
		}
	}
}

func (w *World) sample() {
	if w.now < warmUp {
		return
	}
	s := Sample{At: traceTime(w.now)}
	for _, u := range w.upstreams.All() {
		s.Given += (*u).running + len((*u).waiting)
	}
	for i := range w.requests {
		if r := &w.requests[i]; !r.closed && r.process != nil && r.open == 0 {
			s.Waiting++
		}
	}
	w.samples = append(w.samples, s)
}

// record appends an entry to the journal. It is lost while the journal is down.
func (w *World) record(e tenure.Entry) {
	if w.journalDown {
		return
	}
	e.Offset = unit.Offset(len(w.journal))
	w.journal = append(w.journal, e)
}

// instance returns the process with the given id, or nil if it has ended.
func (w *World) instance(id unit.Instance) *processRow {
	for _, list := range [][]*processRow{w.processes, w.draining} {
		for _, p := range list {
			if p.up && p.Instance() == id {
				return p
			}
		}
	}
	return nil
}

// peerOf returns the peer of a process, or nil if its scheme has none.
func (w *World) peerOf(p *processRow) *peer {
	if s, ok := p.scheme.(interface{ connected() *peer }); ok {
		return s.connected()
	}
	return nil
}

// serving reports whether a process has open requests or attempts.
func (w *World) serving(p *processRow) bool {
	for i := range w.requests {
		if r := &w.requests[i]; r.process == p && (!r.closed || r.open > 0) {
			return true
		}
	}
	return false
}

// reach reports whether two data centres are in contact.
func (w *World) reach(a, b unit.DataCentre) bool {
	return w.cut.Get([2]unit.DataCentre{a, b}) == nil && w.cut.Get([2]unit.DataCentre{b, a}) == nil
}

// way returns the one-way delay between two data centres. A message within a
// data centre takes less than a step.
func (w *World) way(a, b unit.DataCentre) Step {
	if a == b {
		return 0
	}
	return stepsOf(w.header.Deployment.Between)
}

// tell delivers a message from one process to another after the way between
// them, unless they can't reach each other or the receiver has been replaced.
func (w *World) tell(from, to *processRow, f func()) {
	if !w.reach(from.DataCentre, to.DataCentre) {
		return
	}
	at := w.now + max(1, w.way(from.DataCentre, to.DataCentre))
	w.calendar.add(at, action{what: delivered, message: func() {
		if to.up {
			f()
		}
	}})
}
