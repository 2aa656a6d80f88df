package worker_test

import (
	"os"
	"strconv"
	"testing"

	standin "mimosadock/standin/worker"
)

// seedCount returns the number of seeds to run: the value of MIMOSA_SEEDS, or
// the given default.
func seedCount(fallback int) int {
	if n, err := strconv.Atoi(os.Getenv("MIMOSA_SEEDS")); err == nil {
		return n
	}
	return fallback
}

// Guards against violations of the guarantees while owners, workers, the network
// and the journal fail: a task that runs twice at once, resumes from an
// incomplete checkpoint, is lost or exceeds the capacity of a worker, and an
// outcome that changes after a caller received it.
func TestInvariants(t *testing.T) {
	const parts = 8
	n := seedCount(24)
	for part := range parts {
		t.Run("part"+strconv.Itoa(part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < n; seed += parts {
				if violation := newModel(uint64(seed), brokenRules{}).run(); violation != "" {
					t.Fatalf("seed %d: %s", seed, violation)
				}
			}
		})
	}
}

// Guards against a fault that appeared with only these of many seeds: a finished
// task ran again because the journal had no record of its start.
func TestSeedsThatFoundFaults(t *testing.T) {
	for _, seed := range []uint64{3003, 8225, 9965} {
		if violation := newModel(seed, brokenRules{}).run(); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

// Guards against checks of TestInvariants that cannot fail. Each case breaks one
// rule on purpose, and with some seed a check must report a violation.
func TestBrokenRulesAreDetected(t *testing.T) {
	tests := map[string]brokenRules{
		"attempts run on after the end of their lease": {worker: standin.Faults{IgnoreLeaseEnd: true}},
		"leases do not count from the stamp":           {worker: standin.Faults{IgnoreStampAndInstance: true}},
		"partial checkpoints are reported":             {worker: standin.Faults{ReportPartialCheckpoints: true}},
		"lower epochs are accepted":                    {worker: standin.Faults{AcceptAnyEpoch: true}},
		"leases of former owners are ignored":          {ignoreFormerLeases: true},
		"workers report too much capacity":             {overstateCapacity: true},
		"records are lost":                             {loseRecords: true},
		"outcomes are reported before they are stored": {reportBeforeDurable: true},
		"lost answers count as not run":                {treatLostAsNotRun: true},
	}
	for name, b := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(400) {
				if violation := newModel(seed, b).run(); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatal("none of 400 seeds violates a guarantee with this broken rule")
		})
	}
}
