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
	now := time.Now()
	runAt := func(task string, n int, x string, at time.Time) fleet.Run {
		return fleet.Run{Task: task, Number: n, Executor: x, At: at, OrderedAt: at}
	}
	run := func(task string, n int, x string) fleet.Run { return runAt(task, n, x, time.Now()) }
	// perpetual starts a run of a perpetual task and ends it at the given time,
	// beside an executor "y" with room for two runs since roomSince.
	perpetual := func(c *Checker, endedAt, roomSince time.Time) {
		c.RecordPerpetualSubmission(id, 1)
		c.RecordAccepted(id)
		c.RecordExecutor("x", "a", 1, now.Add(-time.Minute))
		c.RecordExecutor("y", "a", 2, roomSince)
		c.RunStarted(runAt(first, 1, "x", endedAt.Add(-time.Second)))
		c.RunEnded(runAt(first, 1, "x", endedAt), "stopped")
	}
	overdue, calm := now.Add(-maxRestart-time.Second), now.Add(-minCalmToRestart-time.Second)
	cancelled := func(c *Checker, at time.Time) {
		c.RecordPerpetualSubmission(id, 1)
		c.RecordCancelled(id, at)
		c.RunStarted(runAt(first, 1, "x", at.Add(-time.Second)))
	}
	overdueStop := now.Add(-maxRunAfterCancel - time.Second)
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
		"start in an evacuated data centre": {func(c *Checker) {
			c.RecordExecutor("x", "b", 1, now.Add(-time.Minute))
			c.RecordEvacuation("b", now.Add(-maxStartAfterEvacuation-time.Second))
			c.RunStarted(run(first, 1, "x"))
		}, "EVAC"},
		"start soon after the request to evacuate": {func(c *Checker) {
			c.RecordExecutor("x", "b", 1, now.Add(-time.Minute))
			c.RecordEvacuation("b", now.Add(-maxStartAfterEvacuation+time.Second))
			c.RunStarted(run(first, 1, "x"))
		}, ""},
		"start beside an evacuation, and after its end": {func(c *Checker) {
			c.RecordExecutor("x", "b", 1, now.Add(-time.Minute))
			c.RecordEvacuation("a", now.Add(-time.Minute))
			c.RecordEvacuation("b", now.Add(-time.Minute))
			c.RecordEvacuationEnd("b")
			c.RunStarted(run(first, 1, "x"))
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
		"order from before a cancellation, carried out late": {func(c *Checker) {
			c.RecordCancelled(id, now.Add(-2*maxStartAfterCancel))
			late := run(first, 1, "x")
			late.OrderedAt = now.Add(-2 * maxStartAfterCancel)
			c.RunStarted(late)
		}, ""},
		"cancellation of an accepted job answered as unknown": {func(c *Checker) {
			c.RecordAccepted(id)
			c.RecordCancelUnknown(id, true, now)
		}, "LOST"},
		"second cancellation answered as unknown": {func(c *Checker) {
			c.RecordAccepted(id)
			c.RecordCancelUnknown(id, false, now)
		}, ""},
		"run goes on after its cancellation was answered as unknown": {func(c *Checker) {
			cancelled(c, overdueStop)
			c.RecordCancelUnknown(id, false, overdueStop)
			c.CheckStops(now)
		}, "UNASKED"},
		"late run of a cancelled job within its bound": {func(c *Checker) {
			cancelled(c, now.Add(-maxLateRunAfterCancel))
			c.RunEnded(run(first, 1, "x"), "stopped")
			c.RunStarted(runAt(first, 2, "x", now.Add(-maxRunAfterCancel)))
			c.CheckStops(now)
		}, ""},
		"late run of a cancelled job": {func(c *Checker) {
			cancelled(c, now.Add(-maxLateRunAfterCancel-time.Second))
			c.RunEnded(run(first, 1, "x"), "stopped")
			c.RunStarted(runAt(first, 2, "x", now.Add(-maxRunAfterCancel)))
			c.CheckStops(now)
		}, "UNASKED"},
		"perpetual task not restarted": {func(c *Checker) { perpetual(c, overdue, calm); c.CheckRestarts(now) }, "LOST"},
		"perpetual task of a crashed executor not restarted": {func(c *Checker) {
			perpetual(c, overdue, calm)
			c.RunStarted(runAt(first, 2, "x", now))
			c.ExecutorEnded("x")
			c.CheckRestarts(now.Add(maxRestart - time.Second))
			is.New(t).Equal(c.Violations(), nil)
			c.CheckRestarts(now.Add(maxRestart + time.Second))
		}, "LOST"},
		"perpetual task restarted": {func(c *Checker) {
			perpetual(c, overdue, calm)
			c.RunStarted(runAt(first, 2, "x", now))
			c.CheckRestarts(now)
		}, ""},
		"perpetual task within the bound": {func(c *Checker) { perpetual(c, now.Add(-maxRestart+time.Second), calm); c.CheckRestarts(now) }, ""},
		"perpetual task without room":     {func(c *Checker) { perpetual(c, overdue, calm.Add(2*time.Second)); c.CheckRestarts(now) }, ""},
		"perpetual task and room used for a time": {func(c *Checker) {
			perpetual(c, overdue, overdue)
			c.RecordSubmission("b", 1, 1)
			c.RunStarted(runAt("b.0.0.0", 1, "y", now.Add(-2*time.Second)))
			c.RunEnded(runAt("b.0.0.0", 1, "y", now.Add(-time.Second)), "done")
			c.CheckRestarts(now)
		}, ""},
		"perpetual task during a fault": {func(c *Checker) { perpetual(c, overdue, calm); c.RecordFault(); c.CheckRestarts(now) }, ""},
		"perpetual task after a recent fault": {func(c *Checker) {
			perpetual(c, overdue, calm)
			c.RecordFault()
			c.RecordFaultEnd(calm.Add(2 * time.Second))
			c.CheckRestarts(now)
		}, ""},
		"perpetual task after an earlier fault": {func(c *Checker) {
			perpetual(c, overdue, calm)
			c.RecordFault()
			c.RecordFaultEnd(calm)
			c.CheckRestarts(now)
		}, "LOST"},
		"perpetual task of a cancelled job": {func(c *Checker) { perpetual(c, overdue, calm); c.RecordCancelled(id, now); c.CheckRestarts(now) }, ""},
		"perpetual job completed":           {func(c *Checker) { perpetual(c, now, calm); c.RecordState(id, "completed") }, "MIXED"},
		"perpetual task twice": {func(c *Checker) {
			perpetual(c, now, calm)
			c.RunStarted(run(first, 2, "x"))
			c.RunStarted(run(first, 3, "y"))
		}, "TWICE"},
		"cancelled task still runs":            {func(c *Checker) { cancelled(c, overdueStop); c.CheckStops(now) }, "UNASKED"},
		"cancelled task within the bound":      {func(c *Checker) { cancelled(c, overdueStop.Add(2*time.Second)); c.CheckStops(now) }, ""},
		"cancellation not confirmed":           {func(c *Checker) { cancelled(c, now.Add(time.Hour)); c.CheckStops(now) }, ""},
		"cancelled task still runs in a fault": {func(c *Checker) { cancelled(c, overdueStop); c.RecordFault(); c.CheckStops(now) }, ""},
		"cancelled task has ended": {func(c *Checker) {
			cancelled(c, overdueStop)
			c.RunEnded(run(first, 1, "x"), "stopped")
			c.CheckStops(now)
		}, ""},
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

// Guards against perpetual jobs that the scenarios wait for in vain, and against
// batch jobs that they no longer wait for.
func TestUnfinishedJobs(t *testing.T) {
	for name, tc := range map[string]struct {
		perpetual bool
		want      []string
	}{
		"batch":     {false, []string{"a"}},
		"perpetual": {true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var c Checker
			c.RecordSubmission("a", 1, 1)
			if tc.perpetual {
				c.RecordPerpetualSubmission("a", 1)
			}
			c.RecordAccepted("a")
			is.New(t).Equal(c.UnfinishedJobs(), tc.want)
			is.New(t).Equal(c.IsPerpetual("a.0.0.0"), tc.perpetual)
		})
	}
}
