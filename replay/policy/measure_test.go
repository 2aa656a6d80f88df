package policy

import (
	"os"
	"strconv"
	"testing"
)

// Guards against a policy that misses its target or is worse than its baseline:
// bulk requests that hold the slots in a swing, watches that delay checks, and a
// choice, ejection or adaptive limit without benefit.
func TestMeasures(t *testing.T) {
	n := 1
	if text := os.Getenv("MIMOSA_SEEDS"); text != "" {
		var err error
		if n, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	for seed := range uint64(n) {
		for _, m := range Measures(seed) {
			t.Logf("seed %d: %s %.2f, bound %.2f, plain queue %.2f", seed, m.Name, m.Value, m.Bound, m.PlainQueueValue)
			if !m.OK() {
				t.Errorf("seed %d: %s is outside its bound", seed, m.Name)
			}
		}
	}
}
