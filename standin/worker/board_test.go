package worker_test

import (
	"os"
	"strconv"
	"testing"

	standin "mimosadock/standin/worker"
)

// seedCount returns how many seeds to run: few by default, more when MIMOSA_SEEDS
// says so.
func seedCount(otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv("MIMOSA_SEEDS")); err == nil {
		return n
	}
	return otherwise
}

// Guards against a task that runs twice at once, starts from half a checkpoint,
// is lost, or overfills a worker, and against callers who are told an outcome
// that does not last, while owners, workers, the network and the journal fail.
func TestInvariants(t *testing.T) {
	const parts = 8
	n := seedCount(24)
	for part := range parts {
		t.Run("part"+strconv.Itoa(part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < n; seed += parts {
				if fault := newModel(uint64(seed), brokenRules{}).run(); fault != "" {
					t.Fatalf("seed %d: %s", seed, fault)
				}
			}
		})
	}
}

// Guards against the return of faults that only these seeds of many have shown:
// a finished task whose start the journal lacked was run again.
func TestSeedsThatFoundFaults(t *testing.T) {
	for _, seed := range []uint64{3003, 8225, 9965} {
		if fault := newModel(seed, brokenRules{}).run(); fault != "" {
			t.Errorf("seed %d: %s", seed, fault)
		}
	}
}

// Guards against a check of TestInvariants that can't fail: every rule that is
// broken on purpose must be noticed.
func TestBrokenRulesAreDetected(t *testing.T) {
	tests := map[string]brokenRules{
		"attempts outlive their lease":   {worker: standin.Faults{IgnoreLeaseEnd: true}},
		"leases ignore the stamp":        {worker: standin.Faults{IgnoreStamp: true}},
		"half checkpoints are reported":  {worker: standin.Faults{ReportPartialCheckpoints: true}},
		"lower epochs are obeyed":        {worker: standin.Faults{AcceptAnyEpoch: true}},
		"leases of former owners forgot": {ignoreFormerLeases: true},
		"workers hold too much":          {overstateCapacity: true},
		"records are lost":               {loseRecords: true},
		"callers are told too early":     {reportBeforeDurable: true},
		"lost answers count as not run":  {treatLostAsNotRun: true},
	}
	for name, b := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(400) {
				if fault := newModel(seed, b).run(); fault != "" {
					t.Logf("seed %d: %s", seed, fault)
					return
				}
			}
			t.Fatal("no seed notices the broken rule")
		})
	}
}
