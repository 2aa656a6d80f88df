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
			f := newFixture(2)
			f.submit("j", c.step)
			f.runFor(clock.Second)
			var from unit.Executor
			for id, n := range f.runsByExecutor("j") {
				if n > len(f.runs[from]) {
					from = id
				}
			}
			before := len(f.runs[from])
			left, held, ok := f.shard.Evacuate(f.now, from)
			is.True(ok)
			is.Equal(left, before)
			if c.held > 0 {
				is.Equal(held, before-1)
			}
			is.True(c.held > 0 || held == 0)
			away := 0
			for range 20 {
				f.runFor(100)
				left, _, _ = f.shard.Evacuate(f.now, from)
				n := 0
				for _, k := range f.runsByExecutor("j") {
					n += k
				}
				away = max(away, 4-n)
			}
			is.Equal(left > 0, c.left > 0)
			if c.step.MissBudget > 0 {
				is.True(away <= c.step.MissBudget)
			}
			if c.left == 0 {
				is.Equal(len(f.runs[from]), 0)
			}
			f.submit("k", Step{Count: 3, Size: small, Estimate: clock.Second})
			f.runFor(500)
			is.Equal(f.runsByExecutor("k")[from], 0) // no new runs
		})
	}
}

// Guards against a call for an executor of another shard that counts as empty.
func TestEvacuateAnUnknownExecutor(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	_, _, ok := f.shard.Evacuate(f.now, "elsewhere")
	is.True(!ok)
}
