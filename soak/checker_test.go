package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosadock/standin/fleet"
)

// Guards against a check that cannot fail and against false violations. Each
// case applies a sequence of events that is valid or violates one guarantee.
func TestChecker(t *testing.T) {
	const id, first, second = "a", "a.0.0.0", "a.0.1.0"
	run := func(task string, n int, x string) fleet.Run {
		return fleet.Run{Task: task, Number: n, Executor: x, At: time.Now()}
	}
	for name, tc := range map[string]struct {
		apply func(c *Checker)
		want  string // empty for none
	}{
		"valid sequence": {func(c *Checker) {
			c.RunStarted(run(first, 1, "x"))
			c.RunEnded(run(first, 1, "x"), "done")
			c.EndAcknowledged(run(first, 1, "x"), "done")
			c.RunStarted(run(second, 1, "y"))
			c.RunEnded(run(second, 1, "y"), "done")
			c.RecordState(id, "completed")
		}, ""},
		"restart after a crash": {func(c *Checker) {
			c.RunStarted(run(first, 1, "x"))
			c.RunEnded(run(first, 1, "x"), "done")
			c.ExecutorEnded("x")
			c.RunStarted(run(first, 2, "y"))
		}, ""},
		"restart after the end of the lease": {func(c *Checker) {
			c.RunStarted(run(first, 1, "x"))
			c.RunEnded(run(first, 1, "x"), "done")
			c.LeaseExpired("x")
			c.RunStarted(run(first, 2, "y"))
			c.EndAcknowledged(run(first, 1, "x"), "done")
		}, ""},
		"two runs at once": {func(c *Checker) {
			c.RunStarted(run(first, 1, "x"))
			c.RunStarted(run(first, 2, "y"))
		}, "TWICE"},
		"restart after an acknowledged end": {func(c *Checker) {
			c.RunStarted(run(first, 1, "x"))
			c.RunEnded(run(first, 1, "x"), "done")
			c.EndAcknowledged(run(first, 1, "x"), "done")
			c.RunStarted(run(first, 2, "y"))
		}, "TWICE"},
		"restart before the end is acknowledged": {func(c *Checker) {
			c.RunStarted(run(first, 1, "x"))
			c.RunEnded(run(first, 1, "x"), "done")
			c.RunStarted(run(first, 2, "y"))
			c.EndAcknowledged(run(first, 1, "x"), "done")
		}, "TWICE"},
		"second step before the first": {func(c *Checker) { c.RunStarted(run(second, 1, "x")) }, "ORDER"},
		"run of an unknown job":        {func(c *Checker) { c.RunStarted(run("z.0.0.0", 1, "x")) }, "UNASKED"},
		"run after a refusal":          {func(c *Checker) { c.RecordRefused(id); c.RunStarted(run(first, 1, "x")) }, "REFUSED"},
		"run before a refusal":         {func(c *Checker) { c.RunStarted(run(first, 1, "x")); c.RecordRefused(id) }, "REFUSED"},
		"accepted job unknown":         {func(c *Checker) { c.RecordAccepted(id); c.RecordState(id, "") }, "LOST"},
		"unaccepted job unknown":       {func(c *Checker) { c.RecordState(id, "") }, ""},
		"completed too early":          {func(c *Checker) { c.RecordAccepted(id); c.RecordState(id, "completed") }, "MIXED"},
		"failed without cause":         {func(c *Checker) { c.RecordAccepted(id); c.RecordState(id, "failed") }, "LOST"},
		"run after a cancellation": {func(c *Checker) {
			c.RecordCancelled(id, time.Now().Add(-2*maxStartAfterCancel))
			c.RunStarted(run(first, 1, "x"))
		}, "UNASKED"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var c Checker
			c.RecordSubmission(id, 1, 2)
			tc.apply(&c)
			got := strings.Join(c.Violations(), "; ")
			is.Equal(got == "", tc.want == "")
			is.True(strings.HasPrefix(got, tc.want))
		})
	}
}
