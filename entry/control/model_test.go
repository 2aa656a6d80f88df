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

// faults are the chances of what can go wrong in a model, and its size.
type faults struct {
	centres   []int // entry processes in each data centre
	length    clock.Span
	pause     float64 // chances per process and second
	death     float64
	cut       float64 // of a link or of the journal for one process
	isolation float64 // a whole data centre is cut off, per data centre and second
	outage    float64 // of the journal, per second
	loss      float64 // of one message or append
	drift     float64
	pins      float64    // of a long request, per process and tick
	upstreams int        // in each data centre
	tries     int        // requests that a process starts on an upstream at most, per tick
	step      clock.Span // time between two ticks of a process
	leave     float64    // of a shutdown with hand-over
	limits    tenure.Limits
	noRestart bool
	breakRule func(*proc, clock.Millis) // runs after each step; nil keeps the rules
}

// modelLimits are the limits of the product but for a short isolation bound, so
// that a run covers it.
func modelLimits() tenure.Limits {
	l := tenure.DefaultLimits()
	l.Isolated = 30 * clock.Second
	return l
}

const (
	modelSlots = 5 // of each upstream: 3 quick and 2 slow
)

// event is something that happens at an instant of the model's true time.
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

// proc is one entry process of the model. A restart puts a new one at the same
// address.
type proc struct {
	m       *model
	place   int
	loop    *Loop
	start   clock.Millis
	rate    float64
	paused  clock.Millis // until
	dead    bool
	leaving bool
	running int // requests in flight
	backlog []Message
	offset  int
	reading bool
	pinned  map[int]func() // ends of the pinned requests in flight
	pins    []*pinWait
}

// Now returns the instant on the clock of the process.
func (p *proc) Now() clock.Millis { return 1 + clock.Millis(float64(p.m.now-p.start)*p.rate) }

// truth returns the true instant of an instant on the clock of the process.
func (p *proc) truth(t clock.Millis) clock.Millis {
	return p.start + clock.Millis(float64(t-1)/p.rate)
}

// model runs processes against links, a journal and upstreams that fail.
type model struct {
	faults
	rng      *rand.Rand
	now      clock.Millis
	seq      int
	queue    events
	procs    []*proc // by place
	centre   []unit.DataCentre
	cuts     map[[2]int]int // link of two places; -1 is the journal
	down     bool
	records  []tenure.Entry
	text     *service.Text
	inFlight map[unit.Upstream]int
	fault    string // the first violation
	samples  float64
	onPost   func(*proc, Outgoing) // sees every message; nil for none
	granted  float64
	used     float64
}

func newModel(seed uint64, f faults) *model {
	m := &model{faults: f, rng: rand.New(rand.NewPCG(seed, 1)), cuts: map[[2]int]int{}, inFlight: map[unit.Upstream]int{}}
	m.text = modelText(len(f.centres), f.upstreams)
	for i, n := range f.centres {
		for range n {
			m.centre = append(m.centre, centreName(i))
		}
	}
	m.procs = make([]*proc, len(m.centre))
	for i := range m.procs {
		m.boot(i)
	}
	m.after(0, m.inject)
	m.after(0, m.sample)
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

func (m *model) span(lo, hi clock.Span) clock.Span {
	return lo + clock.Span(m.rng.Int64N(int64(hi-lo)+1))
}

func (m *model) run() { m.runTo(clock.Millis(m.length)) }

func (m *model) runTo(end clock.Millis) {
	for m.fault == "" && len(m.queue) > 0 && m.queue[0].at <= end {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.run()
	}
	m.now = max(m.now, end)
}

func (m *model) boot(place int) {
	p := &proc{m: m, place: place, start: m.now, rate: 1 + (m.rng.Float64()-0.5)*m.drift, pinned: map[int]func(){}}
	m.seq++
	self := Self{
		Instance: unit.Instance(fmt.Sprintf("%d-%05d", place, m.seq)), Host: unit.Host(fmt.Sprint("host", place)),
		DataCentre: m.centre[place], Address: address(place),
	}
	p.loop = New(p, self, Systems()...)
	var seeds []string
	for i := range m.procs {
		seeds = append(seeds, address(i))
	}
	p.loop.Connect(p, p, m.limits, seeds)
	SetText{Revision: 1, Text: m.text}.Apply(&p.loop.state, p.Now())
	m.procs[place] = p
	m.after(m.span(0, m.step), p.step)
}

func address(place int) string { return fmt.Sprintf("10.1.0.%d:90", place) }

// step is one tick of a process, unless it is paused.
func (p *proc) step() {
	if p.dead {
		return
	}
	if p.paused > p.m.now {
		p.m.after(p.paused.Sub(p.m.now), p.step)
		return
	}
	for _, msg := range p.backlog {
		p.apply(msg)
	}
	p.backlog = nil
	p.tick()
	p.read()
	p.load()
	p.m.after(p.m.step, p.step)
}

func (p *proc) tick() {
	p.loop.Step()
	if p.m.breakRule != nil {
		p.m.breakRule(p, p.Now())
	}
}

func (p *proc) apply(msg Message) {
	msg.Apply(&p.loop.state, p.Now())
	if p.m.breakRule != nil {
		p.m.breakRule(p, p.Now())
	}
}

// tell delivers a message to the control state, after a pause if there is one.
func (p *proc) tell(msg Message) {
	switch {
	case p.dead:
	case p.paused > p.m.now:
		p.backlog = append(p.backlog, msg)
	default:
		p.apply(msg)
	}
}

func (m *model) linked(a, b int) bool { return m.cuts[[2]int{min(a, b), max(a, b)}] == 0 }

// delay is mostly short and sometimes long enough to reorder messages.
func (m *model) delay() clock.Span {
	if m.chance(m.loss) {
		return m.span(1, 4*clock.Second)
	}
	return m.span(1, 5)
}

// Post sends a message over the model's links.
func (p *proc) Post(out Outgoing) {
	if p.m.onPost != nil {
		p.m.onPost(p, out)
	}
	for range 2 {
		if !p.m.chance(p.m.loss) {
			p.m.after(p.m.delay(), func() { p.m.deliver(p, out) })
		}
		if !p.m.chance(p.m.loss) { // otherwise repeat it
			return
		}
	}
}

func (m *model) deliver(from *proc, out Outgoing) {
	for place, to := range m.procs {
		if to.loop.state.Self.Address != out.Address || !m.linked(from.place, place) {
			continue
		}
		id := to.loop.state.Self.Instance
		if out.To != "" && (to.dead || out.To != id) {
			m.after(m.delay(), func() { from.tell(PeerGone{out.To}) })
		}
		to.tell(Delivered{From: from.loop.state.Self.Instance, To: out.To, Body: out.Body})
	}
}

// Append appends to the model's journal. It can be lost or come late.
func (p *proc) Append(record any) {
	p.m.after(p.m.delay(), func() {
		if p.m.down || !p.m.linked(-1, p.place) || p.m.chance(p.m.loss) {
			if p.m.chance(0.5) { // the writer may learn that the record did not get in
				p.tell(NotAppended{record})
			}
			return
		}
		e := tenure.Entry{Offset: unit.Offset(len(p.m.records))}
		switch r := record.(type) {
		case tenure.Claim:
			e.Claim = &r
		case member.Goodbye:
			e.Goodbye = &r
		case member.Identity:
			e.Join = &r
		}
		p.m.records = append(p.m.records, e)
	})
}

// read reads the journal from where the last read ended.
func (p *proc) read() {
	if p.reading {
		return
	}
	p.reading = true
	asked, m := p.Now(), p.m
	m.after(m.delay(), func() {
		if m.down || !m.linked(-1, p.place) {
			m.after(clock.Second/5, func() { p.reading = false })
			return
		}
		found := m.records[p.offset:min(len(m.records), p.offset+m.rng.IntN(10)+1)]
		p.offset += len(found)
		complete := p.offset == len(m.records)
		m.after(m.delay(), func() {
			p.tell(MembersRead{Asked: asked, Entries: found, Complete: complete})
			m.after(clock.Second/5, func() { p.reading = false })
		})
	})
}

// load sends as many requests as the counters admit, short and pinned ones.
func (p *proc) load() {
	s := &p.loop.state
	if p.leaving {
		p.depart()
		return
	}
	for _, row := range s.upstreams.All() {
		for range p.m.tries {
			span := p.m.span(20, 3*clock.Second)
			if !row.upstream.Slots.Take(p.Now().Add(span)) {
				break
			}
			p.begin(row.upstream.Address, span, false, row.upstream.Slots.Release)
		}
	}
	if len(p.pins) < 2 && p.m.chance(p.m.pins) {
		w := &pinWait{target: &route.Target{Service: &s.Text.Services[0]}, deadline: p.Now().Add(p.m.span(1, 20*clock.Second))}
		w.answer = make(chan *route.Upstream, 1)
		for _, row := range s.upstreams.All() {
			w.target.Upstreams = append(w.target.Upstreams, row.upstream)
		}
		p.pins = append(p.pins, w)
		p.apply(askPin{w})
	}
	p.usePins()
}

// depart ends a process that takes no new requests once those in flight have
// ended and its tenures are handed over.
func (p *proc) depart() {
	p.usePins()
	if p.running > 0 || len(p.pins) > 0 {
		return
	}
	s := &p.loop.state
	if !s.node.Leaving {
		p.apply(Leave{})
		p.m.after(10*clock.Second, func() { p.m.kill(p) })
	}
	if s.goodbyeSent {
		p.m.after(p.m.span(1, 3*clock.Second), func() { p.m.kill(p) })
	}
}

func (p *proc) usePins() {
	kept := p.pins[:0]
	for _, w := range p.pins {
		select {
		case up := <-w.answer:
			if up != nil && p.Now() < w.deadline {
				p.begin(up.Address, w.deadline.Sub(p.Now()), true, up.Pinned.Release)
			} else if up != nil {
				up.Pinned.Release()
			}
		default:
			if p.Now() >= w.deadline && w.closed.CompareAndSwap(false, true) {
				continue
			}
			kept = append(kept, w)
		}
	}
	p.pins = kept
}

// begin starts a request that ends by itself, or at its deadline and the grace.
func (p *proc) begin(up unit.Upstream, span clock.Span, pinned bool, release func()) {
	m := p.m
	deadline := p.truth(p.Now().Add(span))
	m.inFlight[up]++
	p.running++
	if n := m.inFlight[up]; n > modelSlots && m.fault == "" {
		m.fault = fmt.Sprintf("%d requests on %s at %d", n, up, m.now)
	}
	m.seq++
	id, over := m.seq, false
	finish := func() {
		if !over {
			over = true
			m.inFlight[up]--
			p.running--
			delete(p.pinned, id)
		}
	}
	if pinned {
		p.pinned[id] = finish
	}
	last := deadline.Add(modelLimits().Grace - 1)
	end := last
	if m.chance(0.7) {
		end = m.now.Add(m.span(1, max(1, last.Sub(m.now))))
	}
	m.after(end.Sub(m.now), func() {
		if !p.dead {
			finish()
			p.release(release)
		}
	})
	m.after(last.Sub(m.now), finish)
}

// release gives the slot back when the process runs.
func (p *proc) release(f func()) {
	if p.paused > p.m.now {
		p.m.after(p.paused.Sub(p.m.now), func() { p.release(f) })
		return
	}
	f()
}

// inject makes things fail and heal, once a second.
func (m *model) inject() {
	m.after(clock.Second, m.inject)
	if m.chance(m.outage) {
		m.down = true
		m.after(m.span(clock.Second, 40*clock.Second), func() { m.down = false })
	}
	for i := range m.centres {
		if m.chance(m.isolation) {
			m.isolate(centreName(i), m.span(clock.Second, 50*clock.Second))
		}
	}
	for place, p := range m.procs {
		if m.chance(m.pause) && p.paused <= m.now {
			p.paused = m.now.Add(m.span(1, 20*clock.Second))
		}
		if m.chance(m.cut) {
			m.cutLink(m.rng.IntN(place+1)-1, place, m.span(clock.Second, 40*clock.Second))
		}
		p.leaving = p.leaving || m.chance(m.leave)
		if m.chance(m.death) {
			m.kill(p)
		}
	}
}

// cutLink cuts the link of two places, of which -1 is the journal.
func (m *model) cutLink(a, b int, d clock.Span) {
	link := [2]int{min(a, b), max(a, b)}
	m.cuts[link]++
	m.after(d, func() { m.cuts[link]-- })
}

// isolate cuts a data centre off from all others and from the journal.
func (m *model) isolate(dc unit.DataCentre, d clock.Span) {
	for a := range m.procs {
		for b := -1; b < len(m.procs); b++ {
			if m.centre[a] == dc && (b < 0 || m.centre[b] != dc) {
				m.cutLink(a, b, d)
			}
		}
	}
}

// kill ends a process. Its short requests go on until their deadline and the
// grace; its pinned ones end within the grace, since its connections close.
func (m *model) kill(p *proc) {
	if p.dead {
		return
	}
	p.dead = true
	for _, finish := range p.pinned {
		m.after(modelLimits().Grace-1, finish)
	}
	if !m.noRestart {
		m.after(m.span(clock.Second/10, 15*clock.Second), func() { m.boot(p.place) })
	}
}

// sample adds to the utilisation, once the processes had time to start.
func (m *model) sample() {
	m.after(clock.Second/4, m.sample)
	if m.now < 10_000 {
		return
	}
	m.samples += float64(len(m.centres) * m.upstreams * modelSlots)
	for _, n := range m.inFlight {
		m.used += float64(n)
	}
	for dc := range m.centres {
		m.granted += float64(m.grantedOn(dc, func(*proc) bool { return true }))
	}
}

// grantedOn returns the slots of a data centre that some processes hold or still
// use now.
func (m *model) grantedOn(dc int, by func(*proc) bool) (n unit.Slots) {
	for _, p := range m.procs {
		if p.dead || !by(p) {
			continue
		}
		for _, row := range p.loop.state.upstreams.All() {
			up := row.upstream
			if up.DataCentre != centreName(dc) {
				continue
			}
			n += up.Pinned.Used() + up.Slots.Room(p.Now())
			if p.paused <= m.now { // else the requests may have ended without it
				n += max(0, up.Slots.Used()-up.Slots.Room(p.Now()))
			}
		}
	}
	return n
}

func centreName(i int) unit.DataCentre { return unit.DataCentre(fmt.Sprint("dc", i)) }
