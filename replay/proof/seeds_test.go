package proof

import (
	"os"
	"strconv"
	"testing"

	"mimosadock/replay/generator"
	"mimosadock/replay/invariant"
	"mimosadock/replay/revision"
	"mimosadock/replay/traffic"
)

// seedCount returns the number of seeds to run: the value of MIMOSA_SEEDS, or
// fallback if it isn't set to a number.
func seedCount(fallback int) int {
	if n, err := strconv.Atoi(os.Getenv("MIMOSA_SEEDS")); err == nil {
		return n
	}
	return fallback
}

// Guards against violations of invariants under combinations of faults that the
// committed traces lack. The test replays the fault scenarios from seed 100 on.
func TestInvariantsOverSeeds(t *testing.T) {
	const first = 100
	tests := map[string]func(seed uint64) (*invariant.Ledger, error){
		"marts-faults": replayRequests("marts-faults"),
		"tiles-orders": replayRequests("tiles-orders"),
		"tiles-changes": func(seed uint64) (*invariant.Ledger, error) {
			tr, err := generator.Generate("tiles-changes", seed)
			if err != nil {
				return nil, err
			}
			sim, err := revision.Replay(tr)
			if err != nil {
				return nil, err
			}
			return &sim.Ledger, nil
		},
	}
	for name, replay := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seedCount(1)) {
				l, err := replay(first + seed)
				if err != nil {
					t.Fatal(err)
				}
				for _, v := range l.FirstViolations() {
					t.Fatalf("seed %d: %s", first+seed, v)
				}
			}
		})
	}
}

func replayRequests(scenario string) func(seed uint64) (*invariant.Ledger, error) {
	return func(seed uint64) (*invariant.Ledger, error) {
		tr, err := generator.Generate(scenario, seed)
		if err != nil {
			return nil, err
		}
		sim, err := traffic.Replay(tr, traffic.NewEntryScheme)
		if err != nil {
			return nil, err
		}
		return &sim.Ledger, nil
	}
}
