package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosadock/standin/fleet"
)

// Shows that each check can fail, and that sound days pass: a deliberate fault
// for each promise.
func TestChecker(t *testing.T) {
	const id, first, second = "a", "a.0.0.0", "a.0.1.0"
	run := func(task string, n int, x string) fleet.Run {
		return fleet.Run{Task: task, Number: n, Executor: x, StartedAt: time.Now()}
	}
	for name, c := range map[string]struct {
		play func(l *Checker)
		want string // empty for none
	}{
		"sound": {func(l *Checker) {
			l.RunStarted(run(first, 1, "x"))
			l.RunEnded(run(first, 1, "x"), "done")
			l.EndAcknowledged(run(first, 1, "x"), "done")
			l.RunStarted(run(second, 1, "y"))
			l.RunEnded(run(second, 1, "y"), "done")
			l.RecordState(id, "completed")
		}, ""},
		"again after a crash": {func(l *Checker) {
			l.RunStarted(run(first, 1, "x"))
			l.RunEnded(run(first, 1, "x"), "done")
			l.ExecutorCrashed("x")
			l.RunStarted(run(first, 2, "y"))
		}, ""},
		"again after a lapse": {func(l *Checker) {
			l.RunStarted(run(first, 1, "x"))
			l.RunEnded(run(first, 1, "x"), "done")
			l.LeaseExpired("x")
			l.RunStarted(run(first, 2, "y"))
			l.EndAcknowledged(run(first, 1, "x"), "done")
		}, ""},
		"two at once": {func(l *Checker) {
			l.RunStarted(run(first, 1, "x"))
			l.RunStarted(run(first, 2, "y"))
		}, "TWICE"},
		"after a noted end": {func(l *Checker) {
			l.RunStarted(run(first, 1, "x"))
			l.RunEnded(run(first, 1, "x"), "done")
			l.EndAcknowledged(run(first, 1, "x"), "done")
			l.RunStarted(run(first, 2, "y"))
		}, "TWICE"},
		"before a noted end": {func(l *Checker) {
			l.RunStarted(run(first, 1, "x"))
			l.RunEnded(run(first, 1, "x"), "done")
			l.RunStarted(run(first, 2, "y"))
			l.EndAcknowledged(run(first, 1, "x"), "done")
		}, "TWICE"},
		"out of order":         {func(l *Checker) { l.RunStarted(run(second, 1, "x")) }, "ORDER"},
		"nobody asked":         {func(l *Checker) { l.RunStarted(run("z.0.0.0", 1, "x")) }, "UNASKED"},
		"refused and run":      {func(l *Checker) { l.RecordRefused(id); l.RunStarted(run(first, 1, "x")) }, "REFUSED"},
		"run and refused":      {func(l *Checker) { l.RunStarted(run(first, 1, "x")); l.RecordRefused(id) }, "REFUSED"},
		"lost":                 {func(l *Checker) { l.RecordAccepted(id); l.RecordState(id, "") }, "LOST"},
		"unknown and not told": {func(l *Checker) { l.RecordState(id, "") }, ""},
		"completed too early":  {func(l *Checker) { l.RecordAccepted(id); l.RecordState(id, "completed") }, "MIXED"},
		"failed without cause": {func(l *Checker) { l.RecordAccepted(id); l.RecordState(id, "failed") }, "LOST"},
		"runs on when cancelled": {func(l *Checker) {
			l.RecordCancelled(id, time.Now().Add(-2*maxStartAfterCancel))
			l.RunStarted(run(first, 1, "x"))
		}, "UNASKED"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l Checker
			l.RecordSubmission(id, 1, 2)
			c.play(&l)
			got := strings.Join(l.Violations(), "; ")
			is.Equal(got == "", c.want == "")
			is.True(strings.HasPrefix(got, c.want))
		})
	}
}
