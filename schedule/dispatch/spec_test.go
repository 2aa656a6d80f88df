package dispatch

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/unit"
)

// Guards against a submission whose numbers end the process, by more occurrences
// than it has memory for, or overflow in the sums and times of the shard.
func TestBoundsOfSubmissions(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Spec)
		ok     bool
	}{
		"usual":                  {func(*Spec) {}, true},
		"repeated":               {func(s *Spec) { s.Repeat, s.Interval = 1000, 1000 }, true},
		"many occurrences":       {func(s *Spec) { s.Repeat = math.MaxInt }, false},
		"many tasks altogether":  {func(s *Spec) { s.Repeat, s.Steps[0].Count = maxOccurrences, maxTasks }, false},
		"huge interval":          {func(s *Spec) { s.Repeat, s.Interval = 3, math.MaxInt64 }, false},
		"huge start":             {func(s *Spec) { s.Repeat, s.StartAt = 3, math.MaxInt64 }, false},
		"negative start":         {func(s *Spec) { s.Repeat, s.StartAt = 3, math.MinInt64 }, false},
		"huge estimate":          {func(s *Spec) { s.Steps[0].Estimate = math.MaxInt64 }, false},
		"huge processor":         {func(s *Spec) { s.Steps[0].Size.CPU = math.MaxInt64 }, false},
		"huge memory":            {func(s *Spec) { s.Steps[0].Size.Memory = math.MaxInt64 }, false},
		"huge accelerators":      {func(s *Spec) { s.Steps[0].Size.Accelerators = math.MaxInt64 }, false},
		"more than any executor": {func(s *Spec) { s.Steps[0].Size = unit.Resources{CPU: 1_000_000, Memory: 10_000_000} }, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := Spec{Steps: []Step{{Count: 20, Size: unit.Resources{CPU: 1000, Memory: 100}, Estimate: 100}}}
			c.change(&s)
			is.Equal(s.Check() == nil, c.ok)
		})
	}
}
