package control

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/group"
	"mimosadock/schedule/tenure"
)

// seeds returns how many seeds a random test runs, and first the first of them.
func seeds(t *testing.T, usual int) int { return fromEnv(t, "MIMOSA_SEEDS", usual) }

func first(t *testing.T) int { return fromEnv(t, "MIMOSA_FIRST_SEED", 0) }

func fromEnv(t *testing.T, name string, usual int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return usual
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

func faultless() faults {
	return faults{centres: []int{2, 1, 2}, length: 60 * clock.Second, drift: 0.0099, step: 50 * clock.Millisecond, pins: 0.05, upstreams: 2, tries: modelSlots, limits: modelLimits()}
}

func faulty() faults {
	f := faultless()
	f.length = 90 * clock.Second
	f.leave = 0.004
	f.pause, f.death, f.cut, f.isolation, f.outage, f.loss = 0.02, 0.006, 0.02, 0.007, 0.01, 0.03
	return f
}

// Guards against more requests in flight on an upstream than it has slots,
// whatever fails, and against a scheme that avoids it by granting too little.
func TestSlotsNeverExceeded(t *testing.T) {
	tests := map[string]struct {
		faults  faults
		seeds   int
		granted float64 // least share of the slots, over all seeds
		used    float64
	}{
		"faultless": {faults: faultless(), seeds: 2, granted: 0.9, used: 0.8},
		"faulty":    {faults: faulty(), seeds: 12, granted: 0.4, used: 0.35},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			granted, used := runSeeds(t, tc.faults, seeds(t, tc.seeds))
			t.Logf("granted %.3f, used %.3f of the slots", granted, used)
			if granted < tc.granted || used < tc.used {
				t.Errorf("granted %.3f, used %.3f; want at least %.2f and %.2f", granted, used, tc.granted, tc.used)
			}
		})
	}
}

// runSeeds runs the model on several seeds at once and returns the shares of the
// slots that were granted and used.
func runSeeds(t *testing.T, f faults, n int) (granted, used float64) {
	t.Helper()
	var (
		g       group.Group
		mu      sync.Mutex
		samples float64
	)
	start := first(t)
	for worker := range modelWorkers {
		g.Go("model", func(context.Context) error {
			for seed := start + worker; seed < start+n; seed += modelWorkers {
				m := newModel(uint64(seed), f)
				m.run()
				mu.Lock()
				granted, used, samples = granted+m.granted, used+m.used, samples+m.samples
				mu.Unlock()
				if m.fault != "" {
					return fmt.Errorf("seed %d: %s", seed, m.fault)
				}
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	return granted / samples, used / samples
}

// modelWorkers is how many models run at once.
const modelWorkers = 4

// Guards against a model that would not notice a broken rule.
func TestModelNoticesBrokenRules(t *testing.T) {
	tests := map[string]func(*proc, clock.Millis){
		"no wait after a takeover": func(p *proc, _ clock.Millis) {
			for _, r := range p.loop.state.node.Tenures.All() {
				r.Formers = nil
			}
		},
		"isolated owner keeps the quick slots": func(p *proc, now clock.Millis) {
			for _, r := range p.loop.state.node.Tenures.All() {
				r.Confirmed = now
			}
		},
		"grace not counted": func(p *proc, _ clock.Millis) {
			p.loop.state.node.Limits.Grace = -tenure.Allow(0)
			for _, g := range p.loop.state.granters.All() {
				(*g).Limits.Grace = -tenure.Allow(0)
			}
		},
		"silent former owner taken for gone": func(p *proc, now clock.Millis) {
			for _, r := range p.loop.state.node.Tenures.All() {
				for _, f := range r.Formers {
					if m := p.loop.state.node.Members.Get(f.Instance); m != nil && m.Silent(now) > clock.Second {
						m.Gone = true
					}
				}
			}
		},
		"silent member not needed for a confirmation": func(p *proc, now clock.Millis) {
			for _, m := range p.loop.state.node.Members.All() {
				m.DeadRead = m.Silent(now) > clock.Second
			}
		},
	}
	for name, rule := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := faulty()
			f.breakRule = rule
			for seed := range 200 {
				m := newModel(uint64(seed), f)
				m.run()
				if m.fault != "" {
					t.Logf("seed %d: %s", seed, m.fault)
					return
				}
			}
			t.Error("no violation was found")
		})
	}
}
