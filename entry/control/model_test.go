package control

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
)

// modelConfig holds the size of a model and the probabilities of its faults.
// Unless stated otherwise, a probability applies per process and second.
type modelConfig struct {
	processCounts []int // number of entry processes, by data centre
	duration      clock.Span
	pause         float64    // pause of the process
	crash         float64    // crash of the process
	cut           float64    // cut of a link of the process, to another process or to the journal
	isolation     float64    // isolation of a whole data centre, per data centre and second
	outage        float64    // outage of the journal, per second
	loss          float64    // loss or long delay, per message or append
	clockDrift    float64    // range of the clock rates around 1
	pins          float64    // start of a long request, per process and tick
	upstreams     int        // number of upstreams in each data centre
	maxStarts     int        // most requests that a process starts on an upstream, per tick
	step          clock.Span // time between two ticks of a process
	shutdown      float64    // shutdown with hand-over
	limits        tenure.Limits
	noRestart     bool
	breakRule     func(*proc, clock.Millis) // runs after each tick to violate a rule; may be nil
}

// modelLimits returns the default limits with a shorter SlowRight, so that a
// run covers its end.
func modelLimits() tenure.Limits {
	l := tenure.DefaultLimits()
	l.SlowRight = 30 * clock.Second
	return l
}

const (
	modelSlots = 5 // slots of each upstream: 3 quick and 2 slow
)

// event is a function that runs at an instant of simulated time.
type event struct {
	at  clock.Millis
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// proc is one entry process of the model. A restart creates a new one at the
// same address.
type proc struct {
	model           *model
	index           int
	loop            *Loop
	startTime       clock.Millis
	clockRate       float64
	pausedUntil     clock.Millis // end of the pause
	dead            bool
	leaving         bool
	runningRequests int // number of requests in flight
	backlog         []Message
	readOffset      int
	readPending     bool
	finishPinned    map[int]func() // functions that end the pinned requests in flight, by request id
	pins            []*pendingPin
}

// Now returns the instant on the clock of the process, which drifts.
func (p *proc) Now() clock.Millis {
	return 1 + clock.Millis(float64(p.model.now-p.startTime)*p.clockRate)
}

// simulatedTime converts an instant on the clock of the process to simulated time.
func (p *proc) simulatedTime(t clock.Millis) clock.Millis {
	return p.startTime + clock.Millis(float64(t-1)/p.clockRate)
}

// model simulates processes with failing links, journal and upstreams.
type model struct {
	modelConfig
	rng          *rand.Rand
	now          clock.Millis
	seq          int
	queue        events
	procs        []*proc // by index
	dataCentres  []unit.DataCentre
	cuts         map[[2]int]int // active cuts of the link between two indexes; -1 is the journal
	journalDown  bool
	records      []tenure.JournalRecord
	text         *service.Text
	inFlight     map[unit.Upstream]int
	violation    string                // the first violation
	sampledSlots float64               // sum over the samples of all slots
	onPost       func(*proc, Outgoing) // receives every message; may be nil
	grantedSlots float64               // sum over the samples
	usedSlots    float64               // sum over the samples
}

func newModel(seed uint64, c modelConfig) *model {
	m := &model{modelConfig: c, rng: rand.New(rand.NewPCG(seed, 1)), cuts: map[[2]int]int{}, inFlight: map[unit.Upstream]int{}}
	m.text = modelText(len(c.processCounts), c.upstreams)
	for i, n := range c.processCounts {
		for range n {
			m.dataCentres = append(m.dataCentres, dataCentreName(i))
		}
	}
	m.procs = make([]*proc, len(m.dataCentres))
	for i := range m.procs {
		m.boot(i)
	}
	m.after(0, m.injectFaults)
	m.after(0, m.sampleUsage)
	return m
}

func modelText(centres, upstreams int) *service.Text {
	var dcs, members strings.Builder
	for i := range centres {
		fmt.Fprintf(&dcs, "  - {name: dc%d, region: lowland}\n", i)
		for j := range upstreams {
			fmt.Fprintf(&members, "      - {address: '10.0.%d.%d:80', dataCentre: dc%d}\n", i, j, i)
		}
	}
	text, err := service.Parse([]byte("version: 1\ncapacity: {cpu: 1, memory: 1}\ndataCentres:\n" + dcs.String() +
		"teams:\n  - {name: marts, quota: {cpu: 1, memory: 1}}\nupstreamSets:\n  - name: weighbook\n    slots: " + fmt.Sprint(modelSlots) +
		"\n    members:\n" + members.String() +
		"services:\n  - {name: watch, team: marts, class: long, upstreamSet: weighbook, deadlineMs: 60000, idempotent: true}\n"))
	if err != nil {
		panic(err)
	}
	return text
}

func (m *model) after(d clock.Span, run func()) {
	m.seq++
	heap.Push(&m.queue, event{at: m.now.Add(d), seq: m.seq, run: run})
}

func (m *model) chance(p float64) bool { return m.rng.Float64() < p }

func (m *model) randomSpan(lo, hi clock.Span) clock.Span {
	return lo + clock.Span(m.rng.Int64N(int64(hi-lo)+1))
}

func (m *model) run() { m.runTo(clock.Millis(m.duration)) }

func (m *model) runTo(end clock.Millis) {
	for m.violation == "" && len(m.queue) > 0 && m.queue[0].at <= end {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.run()
	}
	m.now = max(m.now, end)
}

func (m *model) boot(index int) {
	p := &proc{model: m, index: index, startTime: m.now, clockRate: 1 + (m.rng.Float64()-0.5)*m.clockDrift, finishPinned: map[int]func(){}}
	m.seq++
	self := Self{
		Instance: unit.Instance(fmt.Sprintf("%d-%05d", index, m.seq)), Host: unit.Host(fmt.Sprint("host", index)),
		DataCentre: m.dataCentres[index], Address: address(index),
	}
	p.loop = New(p, self, Systems()...)
	var seeds []string
	for i := range m.procs {
		seeds = append(seeds, address(i))
	}
	p.loop.Connect(p, p, m.limits, seeds)
	SetText{Revision: 1, Text: m.text}.Apply(&p.loop.state, p.Now())
	m.procs[index] = p
	m.after(m.randomSpan(0, m.step), p.step)
}

func address(index int) string { return fmt.Sprintf("10.1.0.%d:90", index) }

// step runs one tick of the process, unless it is paused.
func (p *proc) step() {
	if p.dead {
		return
	}
	if p.pausedUntil > p.model.now {
		p.model.after(p.pausedUntil.Sub(p.model.now), p.step)
		return
	}
	for _, msg := range p.backlog {
		p.apply(msg)
	}
	p.backlog = nil
	p.tick()
	p.read()
	p.startRequests()
	p.model.after(p.model.step, p.step)
}

func (p *proc) tick() {
	p.loop.RunTick()
	if p.model.breakRule != nil {
		p.model.breakRule(p, p.Now())
	}
}

func (p *proc) apply(msg Message) {
	msg.Apply(&p.loop.state, p.Now())
	if p.model.breakRule != nil {
		p.model.breakRule(p, p.Now())
	}
}

// receive applies a message, or queues it while the process is paused.
func (p *proc) receive(msg Message) {
	switch {
	case p.dead:
	case p.pausedUntil > p.model.now:
		p.backlog = append(p.backlog, msg)
	default:
		p.apply(msg)
	}
}

func (m *model) linked(a, b int) bool { return m.cuts[[2]int{min(a, b), max(a, b)}] == 0 }

// delay returns a message delay. It is usually short, and sometimes long enough
// to reorder messages.
func (m *model) delay() clock.Span {
	if m.chance(m.loss) {
		return m.randomSpan(1, 4*clock.Second)
	}
	return m.randomSpan(1, 5)
}

// Post sends a message over the simulated links. A message can be lost or
// repeated.
func (p *proc) Post(out Outgoing) {
	if p.model.onPost != nil {
		p.model.onPost(p, out)
	}
	for range 2 {
		if !p.model.chance(p.model.loss) {
			p.model.after(p.model.delay(), func() { p.model.deliver(p, out) })
		}
		if !p.model.chance(p.model.loss) { // otherwise the message is sent again
			return
		}
	}
}

func (m *model) deliver(from *proc, out Outgoing) {
	for index, to := range m.procs {
		if to.loop.state.Self.Address != out.Address || !m.linked(from.index, index) {
			continue
		}
		id := to.loop.state.Self.Instance
		if out.To != "" && (to.dead || out.To != id) {
			m.after(m.delay(), func() { from.receive(PeerDead{out.To}) })
		}
		to.receive(PeerMessage{From: from.loop.state.Self.Instance, To: out.To, Body: out.Body})
	}
}

// Append appends a record to the simulated journal. The append can be lost or
// delayed.
func (p *proc) Append(record any) {
	p.model.after(p.model.delay(), func() {
		if p.model.journalDown || !p.model.linked(-1, p.index) || p.model.chance(p.model.loss) {
			if p.model.chance(0.5) { // the writer can be notified of the failure
				p.receive(NotAppended{record})
			}
			return
		}
		e := tenure.JournalRecord{Offset: unit.Offset(len(p.model.records))}
		switch r := record.(type) {
		case tenure.Claim:
			e.Claim = &r
		case member.Goodbye:
			e.Goodbye = &r
		case member.Identity:
			e.Join = &r
		}
		p.model.records = append(p.model.records, e)
	})
}

// read reads the simulated journal from the end of the previous read.
func (p *proc) read() {
	if p.readPending {
		return
	}
	p.readPending = true
	startedAt, m := p.Now(), p.model
	m.after(m.delay(), func() {
		if m.journalDown || !m.linked(-1, p.index) {
			m.after(clock.Second/5, func() { p.readPending = false })
			return
		}
		found := m.records[p.readOffset:min(len(m.records), p.readOffset+m.rng.IntN(10)+1)]
		p.readOffset += len(found)
		complete := p.readOffset == len(m.records)
		m.after(m.delay(), func() {
			p.receive(MembersRead{StartedAt: startedAt, Records: found, Complete: complete})
			m.after(clock.Second/5, func() { p.readPending = false })
		})
	})
}

// startRequests starts short and pinned requests within the limits of the
// counters.
func (p *proc) startRequests() {
	s := &p.loop.state
	if p.leaving {
		p.shutDown()
		return
	}
	for _, row := range s.upstreams.All() {
		for range p.model.maxStarts {
			span := p.model.randomSpan(20, 3*clock.Second)
			if !row.upstream.Slots.Take(p.Now().Add(span)) {
				break
			}
			p.startRequest(row.upstream.Address, span, false, row.upstream.Slots.Release)
		}
	}
	if len(p.pins) < 2 && p.model.chance(p.model.pins) {
		pin := &pendingPin{target: &route.Target{Service: &s.Text.Services[0]}, deadline: p.Now().Add(p.model.randomSpan(1, 20*clock.Second))}
		pin.reply = make(chan *route.Upstream, 1)
		for _, row := range s.upstreams.All() {
			pin.target.Upstreams = append(pin.target.Upstreams, row.upstream)
		}
		p.pins = append(p.pins, pin)
		p.apply(requestPin{pin})
	}
	p.startPinned()
}

// shutDown shuts down a process that accepts no new requests. The process
// leaves once its requests have ended, and stops after its tenures are handed
// over.
func (p *proc) shutDown() {
	p.startPinned()
	if p.runningRequests > 0 || len(p.pins) > 0 {
		return
	}
	s := &p.loop.state
	if !s.node.Leaving {
		p.apply(Leave{})
		p.model.after(10*clock.Second, func() { p.model.kill(p) })
	}
	if s.goodbyeSubmitted {
		p.model.after(p.model.randomSpan(1, 3*clock.Second), func() { p.model.kill(p) })
	}
}

// startPinned starts the requests whose pinned grant has arrived, and releases
// grants that arrived after the deadline.
func (p *proc) startPinned() {
	kept := p.pins[:0]
	for _, pin := range p.pins {
		select {
		case up := <-pin.reply:
			if up != nil && p.Now() < pin.deadline {
				p.startRequest(up.Address, pin.deadline.Sub(p.Now()), true, up.Pinned.Release)
			} else if up != nil {
				up.Pinned.Release()
			}
		default:
			if p.Now() >= pin.deadline && pin.closed.CompareAndSwap(false, true) {
				continue
			}
			kept = append(kept, pin)
		}
	}
	p.pins = kept
}

// startRequest starts a request that ends on its own or at its deadline plus
// the grace.
func (p *proc) startRequest(up unit.Upstream, span clock.Span, pinned bool, release func()) {
	m := p.model
	deadline := p.simulatedTime(p.Now().Add(span))
	m.inFlight[up]++
	p.runningRequests++
	if n := m.inFlight[up]; n > modelSlots && m.violation == "" {
		m.violation = fmt.Sprintf("%d requests in flight on %s at %d ms", n, up, m.now)
	}
	m.seq++
	id, ended := m.seq, false
	finish := func() {
		if !ended {
			ended = true
			m.inFlight[up]--
			p.runningRequests--
			delete(p.finishPinned, id)
		}
	}
	if pinned {
		p.finishPinned[id] = finish
	}
	last := deadline.Add(modelLimits().Grace - 1)
	end := last
	if m.chance(0.7) {
		end = m.now.Add(m.randomSpan(1, max(1, last.Sub(m.now))))
	}
	m.after(end.Sub(m.now), func() {
		if !p.dead {
			finish()
			p.release(release)
		}
	})
	m.after(last.Sub(m.now), finish)
}

// release releases the slot, after the pause if the process is paused.
func (p *proc) release(f func()) {
	if p.pausedUntil > p.model.now {
		p.model.after(p.pausedUntil.Sub(p.model.now), func() { p.release(f) })
		return
	}
	f()
}

// injectFaults starts random faults once a second and schedules their end.
func (m *model) injectFaults() {
	m.after(clock.Second, m.injectFaults)
	if m.chance(m.outage) {
		m.journalDown = true
		m.after(m.randomSpan(clock.Second, 40*clock.Second), func() { m.journalDown = false })
	}
	for i := range m.processCounts {
		if m.chance(m.isolation) {
			m.isolate(dataCentreName(i), m.randomSpan(clock.Second, 50*clock.Second))
		}
	}
	for index, p := range m.procs {
		if m.chance(m.pause) && p.pausedUntil <= m.now {
			p.pausedUntil = m.now.Add(m.randomSpan(1, 20*clock.Second))
		}
		if m.chance(m.cut) {
			m.cutLink(m.rng.IntN(index+1)-1, index, m.randomSpan(clock.Second, 40*clock.Second))
		}
		p.leaving = p.leaving || m.chance(m.shutdown)
		if m.chance(m.crash) {
			m.kill(p)
		}
	}
}

// cutLink cuts the link between two indexes for the given time. Index -1 is the
// journal.
func (m *model) cutLink(a, b int, d clock.Span) {
	link := [2]int{min(a, b), max(a, b)}
	m.cuts[link]++
	m.after(d, func() { m.cuts[link]-- })
}

// isolate cuts a data centre off from all others and from the journal.
func (m *model) isolate(dc unit.DataCentre, d clock.Span) {
	for a := range m.procs {
		for b := -1; b < len(m.procs); b++ {
			if m.dataCentres[a] == dc && (b < 0 || m.dataCentres[b] != dc) {
				m.cutLink(a, b, d)
			}
		}
	}
}

// kill ends a process. Its short requests continue until their deadline plus
// the grace. Its pinned requests end within the grace, because its connections
// close.
func (m *model) kill(p *proc) {
	if p.dead {
		return
	}
	p.dead = true
	for _, finish := range p.finishPinned {
		m.after(modelLimits().Grace-1, finish)
	}
	if !m.noRestart {
		m.after(m.randomSpan(clock.Second/10, 15*clock.Second), func() { m.boot(p.index) })
	}
}

// sampleUsage adds a sample of the granted and used slots. It skips the first
// 10 s, in which the processes start.
func (m *model) sampleUsage() {
	m.after(clock.Second/4, m.sampleUsage)
	if m.now < 10_000 {
		return
	}
	m.sampledSlots += float64(len(m.processCounts) * m.upstreams * modelSlots)
	for _, n := range m.inFlight {
		m.usedSlots += float64(n)
	}
	for dc := range m.processCounts {
		m.grantedSlots += float64(m.grantedSlotsOf(dc, func(*proc) bool { return true }))
	}
}

// grantedSlotsOf returns the slots of a data centre that the included processes
// hold or still use.
func (m *model) grantedSlotsOf(dc int, include func(*proc) bool) (n unit.Slots) {
	for _, p := range m.procs {
		if p.dead || !include(p) {
			continue
		}
		for _, row := range p.loop.state.upstreams.All() {
			up := row.upstream
			if up.DataCentre != dataCentreName(dc) {
				continue
			}
			n += up.Pinned.Used() + up.Slots.UsableSlots(p.Now())
			if p.pausedUntil <= m.now { // the requests of a paused process may have ended
				n += max(0, up.Slots.Used()-up.Slots.UsableSlots(p.Now()))
			}
		}
	}
	return n
}

func dataCentreName(i int) unit.DataCentre { return unit.DataCentre(fmt.Sprint("dc", i)) }
