package policy

import (
	"os"
	"strconv"
	"testing"
)

// Guards against a policy that is worse than a plain one or misses its target:
// bulk requests that hold the slots in a swing, watches in the way of checks,
// and a choice, ejection or limit that does not help.
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
			t.Logf("seed %d: %s %.2f, bound %.2f, plain queue %.2f", seed, m.Name, m.Value, m.Bound, m.PlainQueue)
			if !m.OK() {
				t.Errorf("seed %d: %s is outside its bound", seed, m.Name)
			}
		}
	}
}
