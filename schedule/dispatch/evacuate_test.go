package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Guards against an upkeep that takes away more perpetual tasks of a step than
// its budget allows, and against new runs on a machine that goes down.
func TestEvacuate(t *testing.T) {
	small := unit.Resources{CPU: 1000, Memory: 100}
	for name, c := range map[string]struct {
		step Step
		held int // of those on the executor, at the first call
		left int // after a second of calls
	}{
		"perpetual without a budget": {Step{Count: 4, Size: small, Perpetual: true}, 0, 0},
		"budget for all":             {Step{Count: 4, Size: small, Perpetual: true, MissBudget: 4}, 0, 0},
		"budget for one":             {Step{Count: 4, Size: small, Perpetual: true, MissBudget: 1}, 3, 0},
		"brief tasks end themselves": {Step{Count: 4, Size: small, Estimate: clock.Minute}, 0, 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(2)
			b.submit("j", c.step)
			b.pass(clock.Second)
			var from unit.Executor
			for id, n := range b.placed("j") {
				if n > len(b.runs[from]) {
					from = id
				}
			}
			before := len(b.runs[from])
			left, held, ok := b.shard.Evacuate(b.now, from)
			is.True(ok)
			is.Equal(left, before)
			if c.held > 0 {
				is.Equal(held, before-1)
			}
			is.True(c.held > 0 || held == 0)
			away := 0
			for range 20 {
				b.pass(100)
				left, _, _ = b.shard.Evacuate(b.now, from)
				n := 0
				for _, k := range b.placed("j") {
					n += k
				}
				away = max(away, 4-n)
			}
			is.Equal(left > 0, c.left > 0)
			if c.step.MissBudget > 0 {
				is.True(away <= c.step.MissBudget)
			}
			if c.left == 0 {
				is.Equal(len(b.runs[from]), 0)
			}
			b.submit("k", Step{Count: 3, Size: small, Estimate: clock.Second})
			b.pass(500)
			is.Equal(b.placed("k")[from], 0) // no new runs
		})
	}
}

// Guards against a call for an executor of another shard that counts as empty.
func TestEvacuateAnUnknownExecutor(t *testing.T) {
	is := is.New(t)
	b := newBench(1)
	_, _, ok := b.shard.Evacuate(b.now, "elsewhere")
	is.True(!ok)
}
