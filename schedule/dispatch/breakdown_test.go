package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// TestBreakdownsAddUp guards against a breakdown whose parts do not add up to the
// time from the acceptance of a job until its end is stored, or that assigns a delay
// to another part than the one in which it arose.
func TestBreakdownsAddUp(t *testing.T) {
	first, second := TaskID{Job: "j"}, TaskID{Job: "j", Step: 1}
	for name, c := range map[string]struct {
		play func(f *fixture) // from the acceptance until the first step is done
		part TimePart
		want clock.Span // least value of the part
	}{
		"run":        {func(f *fixture) { f.runFor(1000); f.endRun(first, EndDone) }, PartRun, 900},
		"wait":       {func(f *fixture) { f.runFor(1000); f.end("other"); f.runFor(500); f.endRun(first, EndDone) }, PartFirst, 900},
		"failed run": {func(f *fixture) { f.runFor(1000); f.endRun(first, EndFailed); f.runFor(500); f.endRun(first, EndDone) }, PartLost, 900},
		"lapsed run": {func(f *fixture) {
			f.runFor(1000)
			f.endRun(first, EndLeaseExpired)
			f.runFor(500)
			f.endRun(first, EndDone)
		}, PartLost, 900},
		"stored late": {func(f *fixture) { f.runFor(100); f.endRun(first, EndDone) }, PartStore, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1)
			var finished []Breakdown
			f.shard.Report = func(e Event) {
				if e.Kind == "finished" {
					finished = append(finished, *e.Breakdown)
				}
			}
			if c.part == PartFirst {
				f.submit("other", Step{Count: 1, Size: resources(8000)})
				f.runFor(100)
			}
			acceptedAt := f.now
			f.submit("j", Step{Count: 1, Size: resources(4000), Estimate: 500}, Step{Count: 1, Size: resources(4000), Estimate: 300, After: []int{0}})
			c.play(f)
			f.runFor(700)
			f.endRun(second, EndDone)
			f.now += 60
			f.runFor(20)
			is.Equal(len(finished), 1)
			b := finished[0]
			is.Equal(b.Total(), f.now.Add(-20).Sub(acceptedAt)) // the last tick stored the end
			is.True(b.Parts[c.part] >= c.want)
			is.Equal(b.Estimate, clock.Span(800))
			is.Equal(b.Parts[PartStore], clock.Span(60))
			is.Equal(b.Late(), b.Total() > 800) // the objective of the fixture's queue is its critical path
		})
	}
}

// TestBreakdownsAfterTakeover guards against a new owner that leaves the time before
// its takeover out.
func TestBreakdownsAfterTakeover(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	var finished *Breakdown
	f.shard.Report = func(e Event) {
		if e.Kind == "finished" {
			finished = e.Breakdown
		}
	}
	spec := &Spec{ID: "j", Queue: Queue{Name: "q", Service: "s", MaxAttempts: 2, SlackFactor: 1}, Steps: []Step{{Count: 1, Size: resources(4000), Estimate: 500}}}
	f.shard.Restore(f.now, unit.UnixMillis(f.now), "j", Job{
		Queue: "q", State: JobQueued, AcceptedAt: unit.UnixMillis(f.now) - 700, Occurrences: []Occurrence{{Steps: []StepState{{Tasks: make([]Task, 1)}}}},
	}, spec)
	f.runFor(300)
	f.endRun(TaskID{Job: "j"}, EndDone)
	f.runFor(20)
	is.Equal(finished.Parts[PartTakeover], clock.Span(700))
	is.Equal(finished.Total(), clock.Span(1000))
}

// end cancels a job and stops its runs.
func (f *fixture) end(id unit.Job) {
	f.shard.Cancel(f.now, unit.UnixMillis(f.now), id)
	f.runFor(100)
}
