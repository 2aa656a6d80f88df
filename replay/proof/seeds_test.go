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

// seeds returns how many seeds to run: few by default, more when MIMOSA_SEEDS
// says so.
func seeds(few int) int {
	if n, err := strconv.Atoi(os.Getenv("MIMOSA_SEEDS")); err == nil {
		return n
	}
	return few
}

// Guards against violations that the committed traces happen not to show: the
// scenarios with faults are replayed for other seeds.
func TestInvariantsOverSeeds(t *testing.T) {
	const first = 100
	tests := map[string]func(seed uint64) (*invariant.Ledger, error){
		"marts-faults": requestsOf("marts-faults"),
		"tiles-orders": requestsOf("tiles-orders"),
		"tiles-changes": func(seed uint64) (*invariant.Ledger, error) {
			tr, err := generator.Generate("tiles-changes", seed)
			if err != nil {
				return nil, err
			}
			w, err := revision.Replay(tr)
			if err != nil {
				return nil, err
			}
			return &w.Ledger, nil
		},
	}
	for name, replay := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds(1)) {
				l, err := replay(first + seed)
				if err != nil {
					t.Fatal(err)
				}
				for _, v := range l.Kept() {
					t.Fatalf("seed %d: %s", first+seed, v)
				}
			}
		})
	}
}

func requestsOf(scenario string) func(seed uint64) (*invariant.Ledger, error) {
	return func(seed uint64) (*invariant.Ledger, error) {
		tr, err := generator.Generate(scenario, seed)
		if err != nil {
			return nil, err
		}
		w, err := traffic.Replay(tr, traffic.NewGranted)
		if err != nil {
			return nil, err
		}
		return &w.Ledger, nil
	}
}
