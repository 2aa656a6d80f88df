package control

import (
	"testing"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
)

// scenarioConfig returns the configuration of a model for one hour without random
// faults, restarts and pins. The data centre dc1 has one entry process, at
// singleIndex.
func scenarioConfig() modelConfig {
	c := faultlessConfig()
	c.duration, c.noRestart, c.pins = clock.Hour, true, 0
	return c
}

const singleIndex = 2 // index of the only process of dc1

// ownerOf returns the owner of a data centre and its epoch according to the
// journal.
func (m *model) ownerOf(dc unit.DataCentre) (owner unit.Instance, epoch unit.Epoch) {
	for _, e := range m.records {
		if e.Claim != nil && e.Claim.DataCentre == dc && e.Claim.Epoch > epoch {
			owner, epoch = e.Claim.Instance, e.Claim.Epoch
		}
	}
	return owner, epoch
}

// runUntilEpoch runs the model until the journal has a claim of the epoch for
// dc1. It fails the test when the limit has passed.
func (m *model) runUntilEpoch(t *testing.T, epoch unit.Epoch, limit clock.Span) {
	t.Helper()
	for end := m.now.Add(limit); m.now < end; m.runTo(m.now.Add(50)) {
		if _, e := m.ownerOf("dc1"); e >= epoch {
			return
		}
	}
	t.Fatalf("no claim of epoch %d until %d ms", epoch, m.now)
}

// expectGranted checks the number of slots of dc1 that the included processes
// hold.
func (m *model) expectGranted(t *testing.T, moment string, lo, hi unit.Slots, include func(*proc) bool) {
	t.Helper()
	if n := m.grantedSlotsOf(1, include); n < lo || n > hi {
		t.Errorf("at %d ms, %s: %d slots granted, want %d to %d", m.now, moment, n, lo, hi)
	}
}

func anyProcess(*proc) bool   { return true }
func notSingle(p *proc) bool  { return p.index != singleIndex }
func onlySingle(p *proc) bool { return p.index == singleIndex }

// Slots of dc1 in the model.
const (
	allSlots       = unit.Slots(2 * modelSlots)
	slowSlots      = unit.Slots(2 * (modelSlots / 2))
	quickSlots     = allSlots - slowSlots
	slotsInTransit = unit.Slots(1) // largest number that moves between two holders at a time
)

// Guards against a data centre whose slots are not granted, or granted beyond
// the limit, after a fault of its owner.
func TestOwnerFails(t *testing.T) {
	l := tenure.DefaultLimits()
	takeover := l.ReleaseDelay(l.QuickRight + l.MaxGrant) // 8.6 s after the claim
	const settleTime = 4 * clock.Second                   // time to divide the slots by demand afterwards
	tests := map[string]func(t *testing.T, m *model){
		"dies": func(t *testing.T, m *model) {
			m.kill(m.procs[singleIndex])
			m.runUntilEpoch(t, 2, 8*clock.Second)
			m.runTo(m.now.Add(l.ReleaseDelay(l.MaxGrant) + settleTime))
			m.expectGranted(t, "after the owner was marked dead", allSlots-slotsInTransit, allSlots, notSingle)
		},
		"paused beyond the quick right and the unpinned grants": func(t *testing.T, m *model) {
			p := m.procs[singleIndex]
			p.pausedUntil = m.now.Add(2*l.QuickRight + l.MaxGrant + 2*clock.Second)
			m.runTo(p.pausedUntil - 1)
			if right := ownRight(p); right.Quick(p.Now()) {
				t.Error("the quick right outlasts the pause")
			}
			if _, epoch := m.ownerOf("dc1"); epoch != 2 {
				t.Errorf("epoch %d, want 2", epoch)
			}
			m.expectGranted(t, "at the end of the pause", 0, 0, onlySingle)
			m.runTo(m.now.Add(takeover + settleTime))
			m.expectGranted(t, "after the pause", allSlots-slotsInTransit, allSlots, anyProcess)
		},
		"isolated": func(t *testing.T, m *model) {
			m.isolate("dc1", clock.Hour)
			cut := m.now
			m.runTo(cut.Add(l.QuickRight + l.MaxGrant + settleTime))
			m.expectGranted(t, "isolated owner", slowSlots, slowSlots, onlySingle)
			m.runUntilEpoch(t, 2, 8*clock.Second)
			claimed := m.now
			m.runTo(claimed.Add(takeover + clock.Second))
			m.expectGranted(t, "other processes right after the takeover", quickSlots-1, quickSlots, notSingle)
			m.runTo(claimed.Add(takeover + settleTime))
			m.expectGranted(t, "isolated owner after the takeover", slowSlots, slowSlots, onlySingle)
			m.expectGranted(t, "other processes after the takeover", quickSlots, quickSlots, notSingle)
			m.runTo(cut.Add(tenure.WithClockDrift(m.limits.SlowRight)))
			m.expectGranted(t, "isolated owner after the end of the slow right", 0, 0, onlySingle)
			m.runTo(m.now.Add(l.ReleaseDelay(l.MaxGrant) + 2*settleTime + 2*clock.Second))
			m.expectGranted(t, "other processes after the end of the slow right", allSlots-slotsInTransit, allSlots, notSingle)
		},
		"leaves": func(t *testing.T, m *model) {
			m.procs[singleIndex].leaving = true
			m.runUntilEpoch(t, 2, 30*clock.Second)
			m.runTo(m.now.Add(settleTime))
			m.expectGranted(t, "after the hand-over", allSlots-slotsInTransit, allSlots, notSingle)
		},
		"owner cut off from the journal, confirmed by promises": func(t *testing.T, m *model) {
			m.cutLink(-1, singleIndex, clock.Hour)
			m.runTo(m.now.Add(20 * clock.Second))
			m.expectGranted(t, "without the journal", allSlots-slotsInTransit, allSlots, anyProcess)
			if _, epoch := m.ownerOf("dc1"); epoch != 1 {
				t.Errorf("epoch %d, want 1", epoch)
			}
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				m := newModel(seed, scenarioConfig())
				m.runTo(12_000)
				m.expectGranted(t, "before the fault", allSlots, allSlots, anyProcess)
				run(t, m)
				if m.violation != "" {
					t.Errorf("seed %d: %s", seed, m.violation)
				}
			}
		})
	}
}

// ownRight returns the right of a process to the slots of dc1.
func ownRight(p *proc) tenure.Right {
	_, right := p.loop.state.ownGranter("dc1")
	return right
}

// Guards against idle slots during an outage of the journal while every member
// is alive. The owners can't read the journal and must confirm their tenures by
// the promises in heartbeats.
func TestJournalDownForAnHour(t *testing.T) {
	c := scenarioConfig()
	c.processCounts, c.step, c.limits = []int{1, 1}, 400*clock.Millisecond, tenure.DefaultLimits()
	m := newModel(1, c)
	m.runTo(20_000)
	m.journalDown = true
	for minute := range 60 {
		m.sampledSlots, m.grantedSlots = 0, 0
		m.runTo(m.now.Add(clock.Minute))
		if share := m.grantedSlots / m.sampledSlots; share < 0.85 || m.violation != "" {
			t.Fatalf("minute %d: granted share %.3f, want at least 0.85; %s", minute, share, m.violation)
		}
	}
}
