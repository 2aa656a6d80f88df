package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mimosadock/entry/stream"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/config"
	"mimosadock/schedule/group"
	"mimosadock/schedule/journal"
	"mimosadock/schedule/record"
	"mimosadock/schedule/snapshot"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
	standin "mimosadock/standin/journal"
)

// Sizes and times of configModel. The retention removes entries after about 8 s
// of virtual time.
const (
	nodeCount          = 3
	faultDuration      = 40 * clock.Second
	healDuration       = 10 * clock.Second
	stepInterval       = 50 * clock.Millisecond
	retainedEntries    = 300
	maxActivationDelay = 4 * clock.Second // time until an accepted change must be in force
)

// violation describes the violation of a rule that configModel checks.
type violation string

const (
	textReverted          violation = "a process went back to a lower or another text"
	changeLost            violation = "an accepted change is not in the history"
	revisionAcceptedTwice violation = "two changes of one revision were accepted"
	activatedLate         violation = "an accepted change was not in force in time"
)

// fault is a deliberate fault of a process that violates one rule.
type fault int

const (
	noFault fault = iota
	adoptsLower
	treatsErrorAsAccepted
	ignoresBase
	readsLate
	neverSnapshots
)

// stateFunc is a message that runs a function in the control goroutine.
type stateFunc func(s *State, now clock.Millis)

func (f stateFunc) Apply(s *State, now clock.Millis) { f(s, now) }

// journalLink is the connection of one node to the journal. It can be cut.
type journalLink struct {
	*standin.Memory
	cut atomic.Bool
}

func (l *journalLink) Append(ctx context.Context, data []byte) (unit.Offset, error) {
	if l.cut.Load() {
		return 0, verdict.Refuse("cut off")
	}
	return l.Memory.Append(ctx, data)
}

func (l *journalLink) Follow(ctx context.Context, from unit.Offset, limit int, wait clock.Span) (journal.Page, error) {
	if l.cut.Load() {
		return journal.Page{}, verdict.Refuse("cut off")
	}
	return l.Memory.Follow(ctx, from, limit, wait)
}

// configNode is a host with its current process. The host restarts the process.
type configNode struct {
	name           unit.DataCentre
	loop           *Loop
	link           *journalLink
	group          *group.Group
	isolated       bool // whether the node is cut off from its peers
	healAt         clock.Millis
	reachableSince clock.Millis // start of the current period in which the node can get the newest text
	revision       unit.Revision
}

type acceptedChange struct {
	version config.Version
	id      record.ID
	at      clock.Millis
}

type pendingProposal struct {
	base  unit.Revision
	reply chan ChangeReply
}

// configModel simulates processes, operators and faults, and collects the
// violations.
type configModel struct {
	rng                *rand.Rand
	fault              fault
	start              time.Time
	journal            *standin.Memory
	nodes              []*configNode
	versions           map[unit.Revision]config.Version
	accepted           map[unit.Revision]acceptedChange // by base revision
	pending            []pendingProposal
	violations         map[violation]string
	journalDown        bool
	healAt             clock.Millis
	replyCounts        map[string]int
	lastCommonSnapshot atomic.Uint64 // offset of the newest common snapshot
	textCount          int
	fillerOrigin       record.IDSource
}

func (m *configModel) Now() clock.Millis { return clock.Millis(time.Since(m.start).Milliseconds()) }

func (m *configModel) chance(perMille int) bool { return m.rng.IntN(1000) < perMille }

func (m *configModel) randomSpan(limit clock.Span) clock.Span {
	return clock.Span(m.rng.Int64N(int64(limit)))
}

func (m *configModel) recordViolation(r violation, format string, args ...any) {
	if m.violations[r] == "" {
		m.violations[r] = fmt.Sprintf("at %d ms: ", m.Now()) + fmt.Sprintf(format, args...)
	}
}

// boot starts a process on a node.
func (m *configModel) boot(n *configNode) {
	self := Self{Instance: unit.Instance(fmt.Sprintf("%s-%d", n.name, m.Now())), DataCentre: n.name}
	n.loop = New(m, self, ReceiptSystem, ConfigSystem, SnapshotSystem)
	n.loop.SetSnapshotLimits(snapshot.Limits{Entries: retainedEntries, Changes: 64})
	w := stream.NewWriter(n.link, m)
	n.loop.SetSubmitter(w.Offer)
	r := &stream.Reader{Journal: n.link, Clock: m, ObserveEnd: w.ObserveEnd, Deliver: m.deliver(n)}
	n.loop.SetRecover(r.Recover)
	n.group, n.reachableSince, n.revision = &group.Group{}, m.Now(), 0
	n.group.Go("control", n.loop.Run)
	n.group.Go("writer", w.Run)
	n.group.Go("reader", r.Run)
	var owners []snapshot.Owner
	for _, o := range m.nodes {
		if o.loop != nil {
			owners = append(owners, snapshot.Owner{DataCentre: o.name, Instance: o.loop.state.Self.Instance})
		}
	}
	for _, o := range m.nodes {
		if o.loop != nil && m.fault != neverSnapshots {
			o.loop.Offer(stateFunc(func(s *State, _ clock.Millis) { s.Owners = owners }))
		}
	}
}

// deliver returns the function that sends the reader's batches to the control
// goroutine, with the faults of the model.
func (m *configModel) deliver(n *configNode) func(context.Context, *stream.Batch) error {
	deliverBatch := DeliverTo(n.loop)
	return func(ctx context.Context, b *stream.Batch) error {
		for _, f := range b.Snapshots {
			if f.Scope == snapshot.Common {
				m.lastCommonSnapshot.Store(max(m.lastCommonSnapshot.Load(), uint64(f.FirstOffset)))
			}
		}
		switch {
		case m.fault == readsLate && n == m.nodes[0]:
			time.Sleep(6 * time.Second)
		case m.fault == ignoresBase:
			msg := NewJournalRead(b)
			return n.loop.Send(ctx, stateFunc(func(s *State, now clock.Millis) {
				base := s.register.Committed().Revision
				for _, it := range b.Items {
					if c, ok := msg.changes[it.Record.ID]; ok && !s.seen.Has(it.Record.ID) {
						c.Base = base
						base++
						msg.changes[it.Record.ID] = c
					}
				}
				msg.Apply(s, now)
			}))
		}
		return deliverBatch(ctx, b)
	}
}

// step applies a random set of faults, restarts and proposals.
func (m *configModel) step() {
	now := m.Now()
	m.fillJournal()
	for _, n := range m.nodes {
		if now >= n.healAt {
			n.isolated = false
			n.link.cut.Store(false)
		}
		if m.chance(5) {
			n.healAt = now.Add(m.randomSpan(8 * clock.Second))
			n.link.cut.Store(m.chance(700))
			n.isolated = m.chance(500)
		}
		if m.chance(4) {
			n.group.Stop()
			if err := n.group.Wait(); err != nil {
				panic(err)
			}
			m.boot(n)
		}
	}
	if now >= m.healAt {
		m.journalDown = false
		m.journal.SetFailures(standin.Failures{})
	}
	if !m.journalDown && m.chance(8) {
		m.healAt, m.journalDown = now.Add(m.randomSpan(6*clock.Second)), true
		f := []standin.Failures{{Refuse: true}, {Silent: true}, {Delay: m.randomSpan(3 * clock.Second)}}
		m.journal.SetFailures(f[m.rng.IntN(len(f))])
	} else if !m.journalDown && m.chance(20) {
		m.journal.SetFailures(standin.Failures{LoseAnswers: 1 + m.rng.IntN(3)})
	}
	if m.chance(60) {
		base := m.propose(nil)
		if m.chance(400) {
			m.propose(&base)
		}
	}
}

// fillJournal appends filler entries, some of them damaged, so that the
// retention removes older entries.
func (m *configModel) fillJournal() {
	var g record.EntryBuilder
	if m.journalDown {
		return
	}
	for range m.rng.IntN(4) {
		r, _ := record.Encode(&m.fillerOrigin, record.Audit, "filler")
		g.Reset()
		if ok, err := g.Add(r); !ok {
			panic(err)
		}
		data := slices.Clone(g.Entry())
		if m.chance(50) {
			data[m.rng.IntN(len(data))] ^= 1
		}
		_, _ = m.journal.Append(context.Background(), data)
	}
}

// propose sends a change from an operator to a random node. The base is the
// given revision, or else the revision in force at the node or the one before
// it.
func (m *configModel) propose(base *unit.Revision) unit.Revision {
	n := m.nodes[m.rng.IntN(len(m.nodes))]
	from := n.loop.View().Revision
	if m.chance(150) {
		from -= min(from, 1)
	}
	if base != nil {
		from = *base
	}
	m.textCount++
	c, err := config.NewChange(from, "morag", 0, fmt.Appendf(nil, "version: 1\n# %d\n", m.textCount))
	if err != nil {
		panic(err)
	}
	p := pendingProposal{base: from, reply: make(chan ChangeReply, 1)}
	n.loop.Offer(ProposeChange{Change: c, Deadline: m.Now().Add(5 * clock.Second), Reply: p.reply})
	m.pending = append(m.pending, p)
	return from
}

// collectReplies records the replies that have arrived.
func (m *configModel) collectReplies() {
	m.pending = slices.DeleteFunc(m.pending, func(p pendingProposal) bool {
		select {
		case a := <-p.reply:
			m.recordReply(p, a)
			return true
		default:
			return false
		}
	})
}

func (m *configModel) recordReply(p pendingProposal, a ChangeReply) {
	if m.fault == treatsErrorAsAccepted && a.Err != nil && a.Outcome.Result != config.Stale {
		a = ChangeReply{Outcome: config.Outcome{Result: config.Accepted, Version: config.Version{Revision: p.base + 1}}}
	}
	if a.Err != nil {
		m.replyCounts[verdict.Of(a.Err).String()+a.Outcome.Result.String()]++
		return
	}
	m.replyCounts["accepted"]++
	if old, ok := m.accepted[p.base]; ok {
		m.recordViolation(revisionAcceptedTwice, "base %d: revisions %d and %d", p.base, old.version.Revision, a.Outcome.Version.Revision)
	}
	m.accepted[p.base] = acceptedChange{a.Outcome.Version, a.Outcome.ID, m.Now()}
}

// exchangeRevisions does the work of heartbeats: every process receives the
// revisions of the others and adopts a higher text. Some of the exchanged
// versions are old ones.
func (m *configModel) exchangeRevisions() {
	for _, n := range m.nodes {
		for _, o := range m.nodes {
			if n == o || n.isolated || o.isolated || m.fault == readsLate && n == m.nodes[0] {
				continue
			}
			v := o.loop.View().Config
			if m.chance(100) {
				v = m.versions[unit.Revision(m.rng.IntN(1+int(v.Revision)))]
				if m.fault == adoptsLower && v.Text != nil {
					n.loop.Offer(stateFunc(func(s *State, _ clock.Millis) {
						s.register, s.Revision = config.Register{}, 0
						s.register.Adopt(v, nil)
						s.copyInForce()
						s.RequestTick()
					}))
				}
			}
			// The readiness counts only revisions of the own data centre, so o
			// reports as if it were in the data centre of n.
			n.loop.Offer(RevisionReported{Instance: o.loop.state.Self.Instance, DataCentre: n.name, Revision: v.Revision})
			if v.Text != nil {
				n.loop.Offer(AdoptVersion{Version: v, History: o.loop.View().History})
			}
		}
	}
}

// checkNodes checks the version in force at every node against the rules.
func (m *configModel) checkNodes() {
	now, highest := m.Now(), unit.Revision(0)
	for _, a := range m.accepted {
		highest = max(highest, a.version.Revision)
	}
	upToDatePeers := 0 // nodes that can send the newest text to peers
	for _, n := range m.nodes {
		if !n.isolated && n.loop.View().Revision >= highest {
			upToDatePeers++
		}
	}
	// If no process can write to the journal for a whole retention, the journal
	// loses the configuration and can't deliver it to any node.
	journalDown := m.journalDown
	if !journalDown {
		b, err := m.journal.Bounds(context.Background())
		journalDown = err != nil || b.First > unit.Offset(m.lastCommonSnapshot.Load())
	}
	for _, n := range m.nodes {
		v := n.loop.View().Config
		if v.Revision < n.revision {
			m.recordViolation(textReverted, "%s has revision %d after %d", n.name, v.Revision, n.revision)
		}
		n.revision = v.Revision
		if old, ok := m.versions[v.Revision]; ok && old.Hash != v.Hash {
			m.recordViolation(textReverted, "%s has another text of revision %d", n.name, v.Revision)
		}
		m.versions[v.Revision] = v
		if (n.link.cut.Load() || journalDown) && (n.isolated || upToDatePeers == 0) {
			n.reachableSince = now
		}
		for _, a := range m.accepted {
			if now > max(a.at, n.reachableSince).Add(maxActivationDelay) && v.Revision < a.version.Revision {
				m.recordViolation(activatedLate, "%s has revision %d, %d was accepted at %d", n.name, v.Revision, a.version.Revision, a.at)
			}
		}
	}
}

// run simulates the time with faults, then repairs all faults and checks that
// every accepted change is in every history.
func (m *configModel) run() {
	for i := clock.Span(0); i < (faultDuration+healDuration)/stepInterval; i++ {
		if i*stepInterval < faultDuration {
			m.step()
		} else {
			m.healAll()
		}
		if i%10 == 0 {
			m.exchangeRevisions()
		}
		time.Sleep(stepInterval.Duration())
		synctest.Wait()
		m.collectReplies()
		m.checkNodes()
	}
	for _, n := range m.nodes {
		past := make(chan []config.HistoryEntry, 1)
		n.loop.Offer(stateFunc(func(s *State, _ clock.Millis) { past <- s.register.History() }))
		history := <-past
		for _, a := range m.accepted {
			if !slices.ContainsFunc(history, func(p config.HistoryEntry) bool { return p.ID == a.id && p.Revision == a.version.Revision }) {
				m.recordViolation(changeLost, "%s has no revision %d of %d", n.name, a.version.Revision, len(history))
			}
		}
	}
}

func (m *configModel) healAll() {
	m.journalDown = false
	m.journal.SetFailures(standin.Failures{})
	for _, n := range m.nodes {
		n.isolated = false
		n.link.cut.Store(false)
	}
}

// runConfigModel runs the model and returns the violations and the number of
// each kind of reply.
func runConfigModel(t *testing.T, seed uint64, f fault) (map[violation]string, map[string]int) {
	m := &configModel{
		rng: rand.New(rand.NewPCG(seed, 0)), fault: f, versions: map[unit.Revision]config.Version{},
		accepted: map[unit.Revision]acceptedChange{}, violations: map[violation]string{}, replyCounts: map[string]int{},
		fillerOrigin: record.IDSource{Writer: "filler"},
	}
	synctest.Test(t, func(*testing.T) {
		m.start = time.Now()
		m.journal = &standin.Memory{Clock: m}
		m.journal.SetRetention(standin.Retention{Entries: retainedEntries})
		for i := range nodeCount {
			m.nodes = append(m.nodes, &configNode{name: unit.DataCentre('a' + rune(i)), link: &journalLink{Memory: m.journal}})
		}
		for _, n := range m.nodes {
			m.boot(n)
		}
		m.run()
		for _, n := range m.nodes {
			n.group.Stop()
			if err := n.group.Wait(); err != nil {
				t.Error(err)
			}
		}
	})
	return m.violations, m.replyCounts
}

func configSeedCount(t *testing.T, minCount int) int {
	n, err := strconv.Atoi(os.Getenv("MIMOSA_SEEDS"))
	if err != nil && os.Getenv("MIMOSA_SEEDS") != "" {
		t.Fatal(err)
	}
	return max(n, minCount)
}

// Guards against a configuration that goes back to an older text, is lost, is
// accepted twice or comes into force late. The faults are racing operators,
// restarts of processes, journal failures and retention, and peers that send
// old versions.
func TestConfigurationRules(t *testing.T) {
	const workers = 6
	var mu sync.Mutex
	total := map[string]int{}
	n := configSeedCount(t, 8)
	for _, seed := range []uint64{3583, 7285} { // all processes are cut off for a whole retention
		if violations, _ := runConfigModel(t, seed, noFault); len(violations) > 0 {
			t.Errorf("seed %d: %v", seed, violations)
		}
	}
	t.Run("seeds", func(t *testing.T) {
		for w := range workers {
			t.Run(fmt.Sprint(w), func(t *testing.T) {
				t.Parallel()
				for seed := w; seed < n; seed += workers {
					violations, results := runConfigModel(t, uint64(seed), noFault)
					for r, at := range violations {
						t.Errorf("seed %d: %s: %s", seed, r, at)
					}
					mu.Lock()
					for k, n := range results {
						total[k] += n
					}
					mu.Unlock()
				}
			})
		}
	})
	t.Log("answers:", n, total)
	if total["accepted"] == 0 || total["didNotRunstale"] == 0 || total["mayHaveRunundecided"] == 0 {
		t.Error("the model no longer reaches all outcomes")
	}
}

// Guards against a configModel that doesn't detect the violation of a rule.
func TestConfigModelDetectsViolations(t *testing.T) {
	tests := map[string]struct {
		fault fault
		want  violation
	}{
		"adopts a lower revision":       {adoptsLower, textReverted},
		"treats an error as acceptance": {treatsErrorAsAccepted, changeLost},
		"ignores the base":              {ignoresBase, revisionAcceptedTwice},
		"reads late":                    {readsLate, activatedLate},
		"writes no snapshots":           {neverSnapshots, changeLost},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				if violations, _ := runConfigModel(t, seed, tc.fault); violations[tc.want] != "" {
					return
				}
			}
			t.Errorf("no seed reveals the violation: %s", tc.want)
		})
	}
}

// Guards against a process that becomes ready with the old text of a peer after
// it has read a journal that has lost the configuration.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	old, err := config.NewChange(0, "morag", 0, []byte("version: 1\n"))
	if err != nil {
		t.Fatal(err)
	}
	v := config.Version{Revision: 1, Hash: config.HashOf(old.Source), Source: old.Source, Text: old.Text}
	tests := map[string]struct {
		from    unit.Offset
		reports []Message
		want    bool
	}{
		"whole journal":      {from: 0, want: true},
		"configuration lost": {from: 5, want: false},
		"lost, same data centre reports the same revision": {from: 5, reports: []Message{RevisionReported{DataCentre: "a", Revision: 1}}, want: true},
		"lost, same data centre reports a higher revision": {from: 5, reports: []Message{RevisionReported{DataCentre: "a", Revision: 2}}, want: false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := New(new(clock.Manual), Self{DataCentre: "a"}, ConfigSystem)
			read := NewJournalRead(&stream.Batch{Recovered: true, From: tc.from, Next: tc.from, ReachedEnd: true})
			for _, m := range append([]Message{AdoptVersion{Version: v}, read}, tc.reports...) {
				m.Apply(&l.state, 0)
			}
			l.RunTick()
			if l.View().Ready != tc.want || l.View().Revision != 1 {
				t.Errorf("unexpected state: ready %v, revision %d", l.View().Ready, l.View().Revision)
			}
		})
	}
}
