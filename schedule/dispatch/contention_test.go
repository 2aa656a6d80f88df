package dispatch

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// contentionLoad is a load of urgent jobs that swings beside perpetual tasks which
// need nearly all processors, as in a booking service whose callers come at the same
// hours: the mean of the urgent work is 4 % of the processors.
type contentionLoad struct {
	executors int
	urgent    float64 // mean load of urgent work, as a share of the processors
	swing     float64 // of the urgent load around its mean
	perpetual float64 // demand of perpetual tasks in the first seconds, as a share of the processors
	later     float64 // further demand of perpetual tasks for each 10 s
}

// contentionResult is what the callers of a play got.
type contentionResult struct {
	urgent, inTime   int
	perpetual, begun int // tasks
	idlePerpetual    int // perpetual jobs with no task running
	longestWait      clock.Span
}

// play plays a load for 40 s on executors of 32 cores.
func (l contentionLoad) play(prepare func(*Shard)) contentionResult {
	f := &pacedFixture{newFixture(l.executors), make(map[TaskID]clock.Span), make(map[unit.Job]clock.Span)}
	for _, e := range f.shard.executors.All() {
		e.Capacity = unit.Resources{CPU: 32000, Memory: 1 << 20}
	}
	if prepare != nil {
		prepare(&f.shard)
	}
	var result contentionResult
	owedPerpetual := 0.0
	cores := 32 * float64(l.executors)
	addPerpetual := func(share float64) { // in jobs of 14 tasks
		for owedPerpetual += share * cores / 6.4; owedPerpetual >= 14; owedPerpetual -= 14 {
			_ = f.shard.Submit(f.now, unit.UnixMillis(f.now), &Spec{
				ID: unit.Job(fmt.Sprintf("p%05d", result.perpetual)), Queue: Queue{Name: "p", Service: "s", TargetLatency: 2500},
				Steps: []Step{{Count: 14, Size: resources(6400), Perpetual: true}},
			}) // the shard of a fixture accepts all jobs
			result.perpetual += 14
		}
	}
	objective := clock.Span(1500)
	addPerpetual(l.perpetual)
	f.play(2000)
	owed := 0.0
	begin := f.now
	for n := 0; f.now < begin.Add(40*clock.Second); n++ {
		phase := 2 * math.Pi * float64(f.now.Sub(begin)) / 17000
		// A job has 10 tasks of 5.7 cores and 0.54 s.
		owed += 0.1 * l.urgent * cores / (10 * 5.7 * 0.54) * (1 - l.swing*math.Cos(phase))
		for ; owed >= 1; owed-- {
			_ = f.shard.Submit(f.now, unit.UnixMillis(f.now), &Spec{
				ID: unit.Job(fmt.Sprintf("u%05d", result.urgent)), Queue: Queue{Name: "u", Service: "s", MaxAttempts: 2, SlackFactor: 1.5, TargetLatency: objective - 810},
				Steps: []Step{{Count: 10, Size: resources(5700), Estimate: 540}},
			}) // accepted, as above
			result.urgent++
		}
		if n%20 == 19 {
			addPerpetual(l.later / 5)
		}
		f.play(100)
	}
	f.play(3000)
	for id, took := range f.took {
		if id[0] == 'u' {
			result.longestWait = max(result.longestWait, took)
			if j := f.shard.jobs.Get(id); j.State == JobCompleted && took <= objective {
				result.inTime++
			}
		}
	}
	for _, runs := range f.runs {
		for id := range runs {
			if id.Job[0] == 'p' {
				result.begun++
			}
		}
	}
	for id, j := range f.shard.jobs.All() {
		if id[0] == 'p' && unit.UnixMillis(f.now)-j.AcceptedAt > 3000 && f.countRuns(id) == 0 {
			result.idlePerpetual++
		}
	}
	return result
}

// TestContention guards against urgent jobs that miss their objective because
// perpetual tasks that start later take the room that the crest of the urgent load
// needs, and against perpetual jobs of which nothing runs for it. The plain rule
// orders steps by the time when their jobs are due and keeps a fixed share of the
// processors free.
func TestContention(t *testing.T) {
	plain := func(s *Shard) { s.plainOrder, s.fixedBatchShare = true, 0.04 }
	for name, c := range map[string]struct {
		load      contentionLoad
		inTime    float64 // least share of the urgent jobs
		plainMost float64 // largest share of them by the plain rule
	}{
		"perpetual tasks need all room from the start": {contentionLoad{80, 0.05, 0.55, 0.95, 0.02}, 0.95, 0.5},
		"perpetual tasks come beside a high load":      {contentionLoad{80, 0.07, 0.55, 0.70, 0.10}, 0.95, 0.8},
		"room for all": {contentionLoad{80, 0.05, 0.55, 0.60, 0.02}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, before := c.load.play(nil), c.load.play(plain)
			is.True(float64(got.inTime) >= c.inTime*float64(got.urgent))
			is.True(float64(before.inTime) <= c.plainMost*float64(before.urgent))
			is.True(got.longestWait <= 3*clock.Second)
			is.True(float64(got.begun) >= 0.95*float64(before.begun))
			is.Equal(got.idlePerpetual, 0)
		})
	}
}
