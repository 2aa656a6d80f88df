package control

import (
	"testing"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
)

// quiet returns a model in which nothing fails by itself. The data centre dc1
// has one entry process, at place 2.
func quiet() faults {
	f := faultless()
	f.length, f.noRestart, f.pins = clock.Hour, true, 0
	return f
}

const single = 2 // place of the only process of dc1

// ownerOf returns the owner of dc1 as the journal has it, and its epoch.
func (m *model) ownerOf(dc unit.DataCentre) (owner unit.Instance, epoch unit.Epoch) {
	for _, e := range m.records {
		if e.Claim != nil && e.Claim.DataCentre == dc && e.Claim.Epoch > epoch {
			owner, epoch = e.Claim.Instance, e.Claim.Epoch
		}
	}
	return owner, epoch
}

// untilEpoch runs until the journal has a claim of the epoch for dc1.
func (m *model) untilEpoch(t *testing.T, epoch unit.Epoch, limit clock.Span) {
	t.Helper()
	for end := m.now.Add(limit); m.now < end; m.runTo(m.now.Add(50)) {
		if _, e := m.ownerOf("dc1"); e >= epoch {
			return
		}
	}
	t.Fatalf("no claim of epoch %d by %d", epoch, m.now)
}

// expect checks how many of the slots of dc1 some processes hold.
func (m *model) expect(t *testing.T, what string, lo, hi unit.Slots, by func(*proc) bool) {
	t.Helper()
	if n := m.grantedOn(1, by); n < lo || n > hi {
		t.Errorf("at %d %s: %d slots granted, want %d to %d", m.now, what, n, lo, hi)
	}
}

func everyone(*proc) bool     { return true }
func outside(p *proc) bool    { return p.place != single }
func onlySingle(p *proc) bool { return p.place == single }

// Slots of dc1 in the model.
const (
	allSlots   = unit.Slots(2 * modelSlots)
	slowSlots  = unit.Slots(2 * (modelSlots / 2))
	quickSlots = allSlots - slowSlots
	moving     = unit.Slots(1) // on its way between two holders
)

// Guards against a data centre that gets no slots, or more than it should,
// after its owner has failed in a known way.
func TestOwnerFails(t *testing.T) {
	l := tenure.DefaultLimits()
	takeover := l.Outstanding(l.Confirm + l.Quick) // 8.6 s after the claim
	const settle = 4 * clock.Second                // until the slots are divided by demand after that
	tests := map[string]func(t *testing.T, m *model){
		"dies": func(t *testing.T, m *model) {
			m.kill(m.procs[single])
			m.untilEpoch(t, 2, 8*clock.Second)
			m.runTo(m.now.Add(l.Outstanding(l.Quick) + settle))
			m.expect(t, "after the proof of death", allSlots-moving, allSlots, outside)
		},
		"paused beyond T and G": func(t *testing.T, m *model) {
			p := m.procs[single]
			p.paused = m.now.Add(2*l.Confirm + l.Quick + 2*clock.Second)
			m.runTo(p.paused - 1)
			if right := ownRight(p); right.Quick(p.Now()) {
				t.Error("the quick right outlasts the pause")
			}
			if _, epoch := m.ownerOf("dc1"); epoch != 2 {
				t.Errorf("epoch %d, want 2", epoch)
			}
			m.expect(t, "at the end of the pause", 0, 0, onlySingle)
			m.runTo(m.now.Add(takeover + settle))
			m.expect(t, "after the pause", allSlots-moving, allSlots, everyone)
		},
		"cut off": func(t *testing.T, m *model) {
			m.isolate("dc1", clock.Hour)
			cut := m.now
			m.runTo(cut.Add(l.Confirm + l.Quick + settle))
			m.expect(t, "isolated owner", slowSlots, slowSlots, onlySingle)
			m.untilEpoch(t, 2, 8*clock.Second)
			claimed := m.now
			m.runTo(claimed.Add(takeover + clock.Second))
			m.expect(t, "takeover from outside, without waiting longer", quickSlots-1, quickSlots, outside)
			m.runTo(claimed.Add(takeover + settle))
			m.expect(t, "isolated owner after the takeover", slowSlots, slowSlots, onlySingle)
			m.expect(t, "takeover from outside", quickSlots, quickSlots, outside)
			m.runTo(cut.Add(tenure.Allow(m.limits.Isolated)))
			m.expect(t, "isolated owner after H", 0, 0, onlySingle)
			m.runTo(m.now.Add(l.Outstanding(l.Quick) + 2*settle + 2*clock.Second))
			m.expect(t, "outside after H", allSlots-moving, allSlots, outside)
		},
		"leaves": func(t *testing.T, m *model) {
			m.procs[single].leaving = true
			m.untilEpoch(t, 2, 30*clock.Second)
			m.runTo(m.now.Add(settle))
			m.expect(t, "after the hand-over", allSlots-moving, allSlots, outside)
		},
		"journal is cut off, a peer relays": func(t *testing.T, m *model) {
			m.cutLink(-1, single, clock.Hour)
			m.runTo(m.now.Add(20 * clock.Second))
			m.expect(t, "without the journal", allSlots-moving, allSlots, everyone)
			if _, epoch := m.ownerOf("dc1"); epoch != 1 {
				t.Errorf("epoch %d, want 1", epoch)
			}
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				m := newModel(seed, quiet())
				m.runTo(12_000)
				m.expect(t, "before", allSlots, allSlots, everyone)
				run(t, m)
				if m.fault != "" {
					t.Errorf("seed %d: %s", seed, m.fault)
				}
			}
		})
	}
}

// ownRight returns the right of a process to the slots of dc1.
func ownRight(p *proc) tenure.Right {
	_, right := p.loop.state.owned("dc1")
	return right
}

// Guards against slots that lie idle while the journal is down although every
// member lives and can promise.
func TestJournalDownForAnHour(t *testing.T) {
	f := quiet()
	f.centres, f.step, f.limits = []int{1, 1}, 400*clock.Millisecond, tenure.DefaultLimits()
	m := newModel(1, f)
	m.runTo(20_000)
	m.down = true
	for minute := range 60 {
		m.samples, m.granted = 0, 0
		m.runTo(m.now.Add(clock.Minute))
		if share := m.granted / m.samples; share < 0.85 || m.fault != "" {
			t.Fatalf("minute %d: granted share %.3f, want at least 0.85; %s", minute, share, m.fault)
		}
	}
}
