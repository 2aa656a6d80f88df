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

// Intervals of the systems, and the time that the simulation runs after the
// trace.
const (
	tickInterval      = 50 * clock.Millisecond
	heartbeatInterval = 500 * clock.Millisecond
	settleTime        = 6 * clock.Second // longer than the last change may take to come into force
)

// readLimit is the maximum number of journal entries per read.
const readLimit = 64

// process is the current process of one entry host.
type process struct {
	trace.Entry
	instance    unit.Instance
	incarnation int
	up          bool
	register    config.Register
	readiness   config.Readiness
	idSource    record.IDSource
	seenRecords record.SeenIDs
}

// message is a configuration version in transit to a process.
type message struct {
	due         clock.Millis
	to          trace.EntryIndex
	incarnation int
	from        unit.DataCentre
	version     config.Version
}

// Simulation is the state of one replay. Use [New].
type Simulation struct {
	Ledger          invariant.Ledger
	Accepted        []invariant.Acceptance
	Results         map[config.Result]int
	LostChanges     int // changes that were not stored because the journal or the process was down
	SlowestAdoption clock.Span

	header      *trace.Header
	events      []trace.Event // events that are not applied yet
	clock       clock.Manual
	journal     journal.Memory
	processes   table.Table[trace.EntryIndex, process]
	observed    table.Table[unit.Instance, invariant.ProcessRevision] // actual revisions, for the checks of invariants
	cutLinks    table.Table[[2]unit.DataCentre, bool]                 // links that are down
	messages    []message
	journalDown bool
	changeCount int // number of submitted changes
}

// New returns a simulation of the entry hosts of h.
func New(h *trace.Header) *Simulation {
	sim := &Simulation{header: h, Results: make(map[config.Result]int)}
	sim.journal.Clock = &sim.clock
	for i, e := range h.Deployment.Entries {
		sim.processes.Put(trace.EntryIndex(i), process{Entry: e})
		sim.startProcess(trace.EntryIndex(i))
	}
	return sim
}

// Replay replays the changes of t and returns the final state.
func Replay(t *trace.Trace) (*Simulation, error) {
	sim := New(&t.Header)
	return sim, sim.Run(t.Events)
}

func (sim *Simulation) startProcess(i trace.EntryIndex) {
	p := sim.processes.Get(i)
	*p = process{Entry: p.Entry, incarnation: p.incarnation + 1, up: true}
	p.instance = unit.Instance(fmt.Sprintf("%s-%d", p.Host, p.incarnation))
	p.idSource.Writer = p.instance
	p.register.Attach(0)
	sim.observed.Put(p.instance, invariant.ProcessRevision{ReadinessChangedAt: sim.clock.Now(), NotReady: true})
}

// Run submits an initial change and replays the events. It continues for
// settleTime after the end of the trace.
func (sim *Simulation) Run(events []trace.Event) error {
	if err := sim.submitChange(&trace.Event{Type: trace.Change, Author: "operator"}); err != nil {
		return err
	}
	sim.events = events
	return sim.runUntil(clock.Millis(sim.header.Length + settleTime))
}

// runUntil runs the systems until the given instant.
func (sim *Simulation) runUntil(end clock.Millis) error {
	for now := sim.clock.Now(); now < end; now = now.Add(tickInterval) {
		sim.clock.Set(now)
		for ; len(sim.events) > 0 && sim.events[0].At <= now; sim.events = sim.events[1:] {
			if err := sim.apply(&sim.events[0]); err != nil {
				return err
			}
		}
		sim.deliver(now)
		if err := sim.followJournal(); err != nil {
			return err
		}
		if now%clock.Millis(heartbeatInterval) == 0 {
			sim.sendVersions(now)
		}
		sim.observe(now)
	}
	return nil
}

func (sim *Simulation) apply(e *trace.Event) error {
	switch e.Type {
	case trace.Change:
		return sim.submitChange(e)
	case trace.JournalDown, trace.JournalUp:
		sim.journalDown = e.Type == trace.JournalDown
		sim.journal.SetFailures(journal.Failures{Refuse: sim.journalDown})
	case trace.EntryDown:
		p := sim.processes.Get(e.Entry)
		p.up = false
		sim.observed.Delete(p.instance)
	case trace.EntryUp:
		if !sim.processes.Get(e.Entry).up {
			sim.startProcess(e.Entry)
		}
	case trace.LinkDown:
		sim.cutLinks.Put(e.Link, true)
	case trace.LinkUp:
		sim.cutLinks.Delete(e.Link)
	}
	return nil
}

// submitChange appends an operator's change to the journal through the process
// of the event's entry host. The base of the change is e.BaseLag revisions
// behind the revision in force there.
func (sim *Simulation) submitChange(e *trace.Event) error {
	p := sim.processes.Get(e.Entry)
	if !p.up {
		sim.LostChanges++
		return nil
	}
	base := p.register.InForce().Revision
	base -= min(base, e.BaseLag)
	sim.changeCount++
	c, err := config.NewChange(base, config.Author(e.Author), config.Stamp(e.At), []byte(servicesText(&sim.header.Deployment, sim.changeCount)))
	if err != nil {
		return err
	}
	r, err := record.Encode(&p.idSource, record.Change, c.Change)
	if err != nil {
		return err
	}
	var builder record.EntryBuilder
	if _, err := builder.Add(r); err != nil {
		return err
	}
	if _, err := sim.journal.Append(context.Background(), builder.Entry()); err != nil {
		sim.LostChanges++
	}
	return nil
}

// followJournal reads the new journal entries in every running process.
func (sim *Simulation) followJournal() error {
	for _, p := range sim.processes.All() {
		if !p.up {
			continue
		}
		entries, err := sim.journal.Read(context.Background(), p.register.Next(), readLimit)
		if err != nil {
			p.readiness.SetJournalUnreachable()
			continue
		}
		for _, e := range entries {
			for _, it := range record.DecodeEntry(nil, e) {
				if err := sim.applyRecord(p, it); err != nil {
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

// applyRecord applies a journal record to the register of p. The first process
// that reads a change also counts its result. A damaged or repeated record has
// no effect.
func (sim *Simulation) applyRecord(p *process, it record.DecodedRecord) error {
	if it.Fault != record.NoFault || !p.seenRecords.Add(it.Record.ID) {
		return nil
	}
	c, err := record.Decode[config.Change](it.Record)
	if err != nil {
		return err
	}
	o := p.register.Apply(it.Offset, it.Record.ID, config.Check(c))
	if int(it.Offset) >= sim.Results[config.Accepted]+sim.Results[config.Stale]+sim.Results[config.Faulty] {
		// This process is the first to read the change.
		sim.Results[o.Result]++
		if o.Result == config.Accepted {
			sim.Accepted = append(sim.Accepted, invariant.Acceptance{Revision: o.Version.Revision, At: sim.clock.Now()})
		}
	}
	return nil
}

// sendVersions sends the configuration version of every process to the processes
// that it can reach.
func (sim *Simulation) sendVersions(now clock.Millis) {
	between := clock.Span((sim.header.Deployment.DataCentreDelay + 999) / 1000)
	for from, p := range sim.processes.All() {
		for to, q := range sim.processes.All() {
			if from == to || !p.up || !q.up || !sim.canReach(p.DataCentre, q.DataCentre) {
				continue
			}
			// The delay covers a heartbeat, the request for the text and the
			// response.
			sim.messages = append(sim.messages, message{due: now.Add(3 * between), to: to, incarnation: q.incarnation, from: p.DataCentre, version: p.register.InForce()})
		}
	}
}

func (sim *Simulation) canReach(a, b unit.DataCentre) bool {
	return sim.cutLinks.Get([2]unit.DataCentre{a, b}) == nil && sim.cutLinks.Get([2]unit.DataCentre{b, a}) == nil
}

// deliver delivers the messages that are due.
func (sim *Simulation) deliver(now clock.Millis) {
	pending := sim.messages[:0]
	for _, m := range sim.messages {
		if m.due > now {
			pending = append(pending, m)
			continue
		}
		if p := sim.processes.Get(m.to); p.up && p.incarnation == m.incarnation {
			p.readiness.RecordRevision(m.version.Revision, m.from == p.DataCentre)
			p.register.Adopt(m.version, nil)
		}
	}
	sim.messages = pending
}

// observe updates the observed revision of every process and checks the
// invariant on revisions.
func (sim *Simulation) observe(now clock.Millis) {
	for _, p := range sim.processes.All() {
		if !p.up {
			continue
		}
		o := sim.observed.Get(p.instance)
		before := o.Revision
		o.Revision = p.register.InForce().Revision
		// A process that isn't ready serves no request under its old text, so the
		// check exempts it.
		if notReady := !p.readiness.Ready(o.Revision); notReady != o.NotReady {
			o.NotReady, o.ReadinessChangedAt = notReady, now
		}
		sim.updateSlowestAdoption(o, before, now)
	}
	invariant.CheckRevisions(&sim.Ledger, now, sim.Accepted, &sim.observed)
}

// updateSlowestAdoption records the time from acceptance to adoption of the
// revisions that came into force since before.
func (sim *Simulation) updateSlowestAdoption(o *invariant.ProcessRevision, before unit.Revision, now clock.Millis) {
	for _, a := range sim.Accepted {
		if !o.NotReady && a.Revision > before && a.Revision <= o.Revision && a.At >= o.ReadinessChangedAt {
			sim.SlowestAdoption = max(sim.SlowestAdoption, now.Sub(a.At))
		}
	}
}

// servicesText returns the services text of the nth change. The texts differ in
// their capacity.
func servicesText(d *trace.Deployment, n int) string {
	return fmt.Sprintf(`version: 1
capacity: {cpu: %d, memory: 65536}
dataCentres:
  - {name: %s, region: home}
`, 1000+n, d.DataCentres[0])
}
