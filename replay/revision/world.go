package revision

import (
	"context"
	"fmt"

	"mimosadock/replay/invariant"
	"mimosadock/replay/trace"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/config"
	"mimosadock/schedule/record"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
	"mimosadock/standin/journal"
)

// Intervals of the systems.
const (
	tick      = 50 * clock.Millisecond
	heartbeat = 500 * clock.Millisecond
	settle    = 6 * clock.Second // after the trace, until the last change must be in force
)

// readLimit is how many entries a process reads at once.
const readLimit = 64

// process is the row of one entry host with its current process.
type process struct {
	trace.Entry
	instance  unit.Instance
	life      int
	up        bool
	register  config.Register
	readiness config.Readiness
	origin    record.Origin
	seen      record.SeenIDs
}

// message is a version on its way from a peer.
type message struct {
	due  clock.Millis
	to   trace.EntryIndex
	life int
	from unit.DataCentre
	v    config.Version
}

// World is the state of one replay. Use [New].
type World struct {
	Ledger   invariant.Ledger
	Accepted []invariant.Acceptance
	Results  map[config.Result]int
	Refused  int // changes that the journal or a dead process did not take
	Slowest  clock.Span

	header    *trace.Header
	events    []trace.Event // still to come
	clock     clock.Manual
	journal   journal.Memory
	processes table.Table[trace.EntryIndex, process]
	observed  table.Table[unit.Instance, invariant.InForce]
	cut       table.Table[[2]unit.DataCentre, bool]
	messages  []message
	down      bool
	text      int
}

// New returns a world for the entry hosts of h.
func New(h *trace.Header) *World {
	w := &World{header: h, Results: make(map[config.Result]int)}
	w.journal.Clock = &w.clock
	for i, e := range h.Deployment.Entries {
		w.processes.Put(trace.EntryIndex(i), process{Entry: e})
		w.startProcess(trace.EntryIndex(i))
	}
	return w
}

// Replay replays t.
func Replay(t *trace.Trace) (*World, error) {
	w := New(&t.Header)
	return w, w.Run(t.Events)
}

func (w *World) startProcess(i trace.EntryIndex) {
	p := w.processes.Get(i)
	*p = process{Entry: p.Entry, life: p.life + 1, up: true}
	p.instance = unit.Instance(fmt.Sprintf("%s-%d", p.Host, p.life))
	p.origin.Writer = p.instance
	p.register.Attach(0)
	w.observed.Put(p.instance, invariant.InForce{Reachable: w.clock.Now(), Cut: true})
}

// Run replays the events.
func (w *World) Run(events []trace.Event) error {
	if err := w.change(&trace.Event{What: trace.Change, Author: "operator"}); err != nil {
		return err
	}
	w.events = events
	return w.runTo(clock.Millis(w.header.Length + settle))
}

// runTo runs the systems until the given instant.
func (w *World) runTo(end clock.Millis) error {
	for now := w.clock.Now(); now < end; now = now.Add(tick) {
		w.clock.Set(now)
		for ; len(w.events) > 0 && w.events[0].At <= now; w.events = w.events[1:] {
			if err := w.apply(&w.events[0]); err != nil {
				return err
			}
		}
		w.deliver(now)
		if err := w.read(); err != nil {
			return err
		}
		if now%clock.Millis(heartbeat) == 0 {
			w.tell(now)
		}
		w.observe(now)
	}
	return nil
}

func (w *World) apply(e *trace.Event) error {
	switch e.What {
	case trace.Change:
		return w.change(e)
	case trace.JournalDown, trace.JournalUp:
		w.down = e.What == trace.JournalDown
		w.journal.SetFailures(journal.Failures{Refuse: w.down})
	case trace.EntryDown:
		p := w.processes.Get(e.Entry)
		p.up = false
		w.observed.Delete(p.instance)
	case trace.EntryUp:
		if !w.processes.Get(e.Entry).up {
			w.startProcess(e.Entry)
		}
	case trace.LinkDown:
		w.cut.Put(e.Between, true)
	case trace.LinkUp:
		w.cut.Delete(e.Between)
	}
	return nil
}

// change appends a change that an operator sends to a process.
func (w *World) change(e *trace.Event) error {
	p := w.processes.Get(e.Entry)
	if !p.up {
		w.Refused++
		return nil
	}
	base := p.register.InForce().Revision
	base -= min(base, e.Behind)
	w.text++
	c, err := config.NewChange(base, config.Author(e.Author), config.Stamp(e.At), []byte(textOf(&w.header.Deployment, w.text)))
	if err != nil {
		return err
	}
	r, err := record.Encode(&p.origin, record.Change, c.Change)
	if err != nil {
		return err
	}
	var g record.Group
	if _, err := g.Add(r); err != nil {
		return err
	}
	if _, err := w.journal.Append(context.Background(), g.Entry()); err != nil {
		w.Refused++
	}
	return nil
}

// read lets every process follow the journal.
func (w *World) read() error {
	for _, p := range w.processes.All() {
		if !p.up {
			continue
		}
		entries, err := w.journal.Read(context.Background(), p.register.Next(), readLimit)
		if err != nil {
			p.readiness.SetJournalUnreachable()
			continue
		}
		for _, e := range entries {
			for _, it := range record.DecodeEntry(nil, e) {
				if err := w.take(p, it); err != nil {
					return err
				}
			}
			p.register.Advance(e.Offset + 1)
		}
		if len(entries) < readLimit {
			p.readiness.SetJournalRead()
		}
	}
	return nil
}

func (w *World) take(p *process, it record.Item) error {
	if it.Fault != record.NoFault || !p.seen.Add(it.Record.ID) {
		return nil
	}
	c, err := record.Decode[config.Change](it.Record)
	if err != nil {
		return err
	}
	o := p.register.Apply(it.Offset, it.Record.ID, config.Check(c))
	if int(it.Offset) >= w.Results[config.Accepted]+w.Results[config.Stale]+w.Results[config.Faulty] {
		// This process is the first to read the change.
		w.Results[o.Result]++
		if o.Result == config.Accepted {
			w.Accepted = append(w.Accepted, invariant.Acceptance{Revision: o.Version.Revision, At: w.clock.Now()})
		}
	}
	return nil
}

// tell sends the version of every process to those that it reaches.
func (w *World) tell(now clock.Millis) {
	between := clock.Span((w.header.Deployment.Between + 999) / 1000)
	for from, p := range w.processes.All() {
		for to, q := range w.processes.All() {
			if from == to || !p.up || !q.up || !w.reach(p.DataCentre, q.DataCentre) {
				continue
			}
			// A heartbeat, the question for the text and its answer.
			w.messages = append(w.messages, message{due: now.Add(3 * between), to: to, life: q.life, from: p.DataCentre, v: p.register.InForce()})
		}
	}
}

func (w *World) reach(a, b unit.DataCentre) bool {
	return w.cut.Get([2]unit.DataCentre{a, b}) == nil && w.cut.Get([2]unit.DataCentre{b, a}) == nil
}

// deliver hands over the messages that are due.
func (w *World) deliver(now clock.Millis) {
	rest := w.messages[:0]
	for _, m := range w.messages {
		if m.due > now {
			rest = append(rest, m)
			continue
		}
		if p := w.processes.Get(m.to); p.up && p.life == m.life {
			p.readiness.RecordRevision(m.v.Revision, m.from == p.DataCentre)
			p.register.Adopt(m.v, nil)
		}
	}
	w.messages = rest
}

// observe checks the invariant on what is in force.
func (w *World) observe(now clock.Millis) {
	for _, p := range w.processes.All() {
		if !p.up {
			continue
		}
		o := w.observed.Get(p.instance)
		before := o.Revision
		o.Revision = p.register.InForce().Revision
		// Before a process is ready it serves nothing under its old text.
		if cut := !p.readiness.Ready(o.Revision); cut != o.Cut {
			o.Cut, o.Reachable = cut, now
		}
		w.timeAdoption(o, before, now)
	}
	invariant.CheckRevisions(&w.Ledger, now, w.Accepted, &w.observed)
}

// timeAdoption notes how long the revisions that came into force took.
func (w *World) timeAdoption(o *invariant.InForce, before unit.Revision, now clock.Millis) {
	for _, a := range w.Accepted {
		if !o.Cut && a.Revision > before && a.Revision <= o.Revision && a.At >= o.Reachable {
			w.Slowest = max(w.Slowest, now.Sub(a.At))
		}
	}
}

// textOf returns the services text of the nth change.
func textOf(d *trace.Deployment, n int) string {
	return fmt.Sprintf(`version: 1
capacity: {cpu: %d, memory: 65536}
dataCentres:
  - {name: %s, region: home}
`, 1000+n, d.DataCentres[0])
}
