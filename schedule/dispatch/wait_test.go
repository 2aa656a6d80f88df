package dispatch

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/unit"
)

// TestWaitsAreExplained guards against a task that waits without a line that says
// how many executors were excluded for each reason.
func TestWaitsAreExplained(t *testing.T) {
	for name, c := range map[string]struct {
		step   Step
		reason string
	}{
		"processors": {Step{Count: 1, Size: resources(9000)}, "cpuExecutors=2 withoutBatchExecutors=0"},
		"memory":     {Step{Count: 1, Size: unit.Resources{CPU: 1, Memory: 17000}}, "memoryExecutors=2"},
		"label":      {Step{Count: 1, Size: resources(100), Needs: "r1", MaxPerExecutor: 1}, ""},
		"no label":   {Step{Count: 1, Size: resources(100), Needs: "z"}, "labelExecutors=2"},
		"spread":     {Step{Count: 3, Size: resources(100), MaxPerExecutor: 1}, "spreadExecutors=2"},
		"batch":      {Step{Count: 3, Size: resources(8000)}, "cpuExecutors=2 withoutBatchExecutors=2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2)
			var reasons []string
			f.shard.Report = func(e Event) {
				if e.Kind == "waits" {
					reasons = append(reasons, e.Reason)
				}
			}
			f.submit("j", c.step)
			f.runFor(starvationTimeout + 200)
			is.Equal(len(reasons) > 0, c.reason != "")
			is.True(c.reason == "" || strings.Contains(reasons[0], c.reason))
		})
	}
}
