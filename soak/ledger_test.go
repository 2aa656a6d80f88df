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
func TestLedger(t *testing.T) {
	const id, first, second = "a", "a.0.0.0", "a.0.1.0"
	run := func(task string, n int, x string) fleet.Run {
		return fleet.Run{Task: task, Number: n, Executor: x, Began: time.Now()}
	}
	for name, c := range map[string]struct {
		play func(l *Ledger)
		want string // empty for none
	}{
		"sound": {func(l *Ledger) {
			l.Began(run(first, 1, "x"))
			l.Ended(run(first, 1, "x"), "done")
			l.Noted(run(first, 1, "x"), "done")
			l.Began(run(second, 1, "y"))
			l.Ended(run(second, 1, "y"), "done")
			l.Shown(id, "completed")
		}, ""},
		"again after a crash": {func(l *Ledger) {
			l.Began(run(first, 1, "x"))
			l.Ended(run(first, 1, "x"), "done")
			l.Crashed("x")
			l.Began(run(first, 2, "y"))
		}, ""},
		"again after a lapse": {func(l *Ledger) {
			l.Began(run(first, 1, "x"))
			l.Ended(run(first, 1, "x"), "done")
			l.Lapsed("x")
			l.Began(run(first, 2, "y"))
			l.Noted(run(first, 1, "x"), "done")
		}, ""},
		"two at once": {func(l *Ledger) {
			l.Began(run(first, 1, "x"))
			l.Began(run(first, 2, "y"))
		}, "TWICE"},
		"after a noted end": {func(l *Ledger) {
			l.Began(run(first, 1, "x"))
			l.Ended(run(first, 1, "x"), "done")
			l.Noted(run(first, 1, "x"), "done")
			l.Began(run(first, 2, "y"))
		}, "TWICE"},
		"before a noted end": {func(l *Ledger) {
			l.Began(run(first, 1, "x"))
			l.Ended(run(first, 1, "x"), "done")
			l.Began(run(first, 2, "y"))
			l.Noted(run(first, 1, "x"), "done")
		}, "TWICE"},
		"out of order":         {func(l *Ledger) { l.Began(run(second, 1, "x")) }, "ORDER"},
		"nobody asked":         {func(l *Ledger) { l.Began(run("z.0.0.0", 1, "x")) }, "UNASKED"},
		"refused and run":      {func(l *Ledger) { l.Refused(id); l.Began(run(first, 1, "x")) }, "REFUSED"},
		"run and refused":      {func(l *Ledger) { l.Began(run(first, 1, "x")); l.Refused(id) }, "REFUSED"},
		"lost":                 {func(l *Ledger) { l.Accepted(id); l.Shown(id, "") }, "LOST"},
		"unknown and not told": {func(l *Ledger) { l.Shown(id, "") }, ""},
		"completed too early":  {func(l *Ledger) { l.Accepted(id); l.Shown(id, "completed") }, "MIXED"},
		"failed without cause": {func(l *Ledger) { l.Accepted(id); l.Shown(id, "failed") }, "LOST"},
		"runs on when cancelled": {func(l *Ledger) {
			l.Cancelled(id, time.Now().Add(-2*cancelBound))
			l.Began(run(first, 1, "x"))
		}, "UNASKED"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l Ledger
			l.Submitting(id, 1, 2)
			c.play(&l)
			got := strings.Join(l.Violations(), "; ")
			is.Equal(got == "", c.want == "")
			is.True(strings.HasPrefix(got, c.want))
		})
	}
}
