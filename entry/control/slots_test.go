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

// seedCount returns the number of seeds that a random test runs.
func seedCount(t *testing.T, defaultCount int) int {
	return intFromEnv(t, "MIMOSA_SEEDS", defaultCount)
}

func firstSeed(t *testing.T) int { return intFromEnv(t, "MIMOSA_FIRST_SEED", 0) }

func intFromEnv(t *testing.T, name string, defaultValue int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

func faultlessConfig() modelConfig {
	return modelConfig{processCounts: []int{2, 1, 2}, duration: 60 * clock.Second, clockDrift: 0.0099, step: 50 * clock.Millisecond, pins: 0.05, upstreams: 2, maxStarts: modelSlots, limits: modelLimits()}
}

func faultyConfig() modelConfig {
	c := faultlessConfig()
	c.duration = 90 * clock.Second
	c.shutdown = 0.004
	c.pause, c.crash, c.cut, c.isolation, c.outage, c.loss = 0.02, 0.006, 0.02, 0.007, 0.01, 0.03
	return c
}

// Guards against more requests in flight on an upstream than it has slots,
// under any fault, and against a scheme that prevents this by granting too
// little.
func TestSlotsNeverExceeded(t *testing.T) {
	tests := map[string]struct {
		config     modelConfig
		seeds      int
		minGranted float64 // lowest granted share of the slots, over all seeds
		minUsed    float64
	}{
		"faultless": {config: faultlessConfig(), seeds: 2, minGranted: 0.9, minUsed: 0.8},
		"faulty":    {config: faultyConfig(), seeds: 12, minGranted: 0.4, minUsed: 0.35},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			granted, used := runSeeds(t, tc.config, seedCount(t, tc.seeds))
			t.Logf("granted %.3f, used %.3f of the slots", granted, used)
			if granted < tc.minGranted || used < tc.minUsed {
				t.Errorf("granted %.3f, used %.3f; want at least %.2f and %.2f", granted, used, tc.minGranted, tc.minUsed)
			}
		})
	}
}

// runSeeds runs the model on several seeds in parallel. It returns the granted
// and used shares of the slots.
func runSeeds(t *testing.T, c modelConfig, n int) (granted, used float64) {
	t.Helper()
	var (
		g       group.Group
		mu      sync.Mutex
		samples float64
	)
	start := firstSeed(t)
	for worker := range modelWorkers {
		g.Go("model", func(context.Context) error {
			for seed := start + worker; seed < start+n; seed += modelWorkers {
				m := newModel(uint64(seed), c)
				m.run()
				mu.Lock()
				granted, used, samples = granted+m.grantedSlots, used+m.usedSlots, samples+m.sampledSlots
				mu.Unlock()
				if m.violation != "" {
					return fmt.Errorf("seed %d: %s", seed, m.violation)
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

// modelWorkers is the number of models that run in parallel.
const modelWorkers = 4

// Guards against a model that doesn't detect the violation of a rule.
func TestSlotModelDetectsViolations(t *testing.T) {
	tests := map[string]func(*proc, clock.Millis){
		"no wait after a takeover": func(p *proc, _ clock.Millis) {
			for _, r := range p.loop.state.node.Tenures.All() {
				r.FormerOwners = nil
			}
		},
		"isolated owner keeps the quick slots": func(p *proc, now clock.Millis) {
			for _, r := range p.loop.state.node.Tenures.All() {
				r.ConfirmedAt = now
			}
		},
		"grace ignored": func(p *proc, _ clock.Millis) {
			// Negative, so that it also cancels the fixed margin of WithClockDrift.
			p.loop.state.node.Limits.Grace = -tenure.WithClockDrift(0)
			for _, g := range p.loop.state.granters.All() {
				(*g).Limits.Grace = -tenure.WithClockDrift(0)
			}
		},
		"silent former owner treated as gone": func(p *proc, now clock.Millis) {
			for _, r := range p.loop.state.node.Tenures.All() {
				for _, c := range r.FormerOwners {
					if m := p.loop.state.node.Members.Get(c.Instance); m != nil && m.SilentFor(now) > clock.Second {
						m.Left = true
					}
				}
			}
		},
		"confirmation without the promise of a silent member": func(p *proc, now clock.Millis) {
			for _, m := range p.loop.state.node.Members.All() {
				m.ReadSinceDead = m.SilentFor(now) > clock.Second
			}
		},
	}
	for name, breakRule := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := faultyConfig()
			c.breakRule = breakRule
			for seed := range 200 {
				m := newModel(uint64(seed), c)
				m.run()
				if m.violation != "" {
					t.Logf("seed %d: %s", seed, m.violation)
					return
				}
			}
			t.Error("no violation was found")
		})
	}
}
