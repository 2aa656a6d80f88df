package placement

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

var testCapacity = unit.Resources{CPU: 16000, Memory: 16000}

// Guards against a score that ranks a clearly worse worker first.
func TestPlacementScores(t *testing.T) {
	base := WorkerOption{Size: unit.Resources{CPU: 1000, Memory: 1000}, Free: testCapacity, Capacity: testCapacity}
	with := func(change func(*WorkerOption)) WorkerOption { o := base; change(&o); return o }
	full := unit.Resources{CPU: 2000, Memory: 2000}
	tests := map[string]struct {
		policy        Policy[WorkerOption]
		better, worse WorkerOption
	}{
		"no interference":                     {InterferenceAware{}, base, with(func(o *WorkerOption) { o.Slowdown = 0.3 })},
		"spread over racks":                   {InterferenceAware{}, base, with(func(o *WorkerOption) { o.AttemptsInRack = 2 })},
		"free resources in proportion":        {InterferenceAware{}, base, with(func(o *WorkerOption) { o.Free.Memory = 2000 })},
		"accelerators stay free":              {InterferenceAware{}, base, with(func(o *WorkerOption) { o.Free.Accelerators = 1 })},
		"latency-critical gets most capacity": {InterferenceAware{}, base, with(func(o *WorkerOption) { o.Free = full })},
		"batch gets least capacity":           {InterferenceAware{}, with(func(o *WorkerOption) { o.Free, o.Class = full, service.Batch }), with(func(o *WorkerOption) { o.Class = service.Batch })},
		"least loaded":                        {LeastLoaded{}, base, with(func(o *WorkerOption) { o.Free = full })},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(tc.policy.Score(tc.better) > tc.policy.Score(tc.worse))
			is.Equal(Best(tc.policy, []WorkerOption{tc.worse, tc.better}), 1)
		})
	}
}

// Guards against a choice of victims that loses more work, misses more
// deadlines or exceeds more budgets than another choice.
func TestVictimScores(t *testing.T) {
	base := Victim{Class: service.Batch, LostWork: clock.Minute, WithinBudget: true, Slack: clock.Hour}
	with := func(change func(*Victim)) Victim { v := base; change(&v); return v }
	tests := map[string]struct {
		policy        Policy[Victim]
		chosen, other Victim
	}{
		"less work lost":            {MinLoss{}, with(func(v *Victim) { v.LostWork = 1 }), base},
		"fewer evictions":           {MinLoss{}, base, with(func(v *Victim) { v.Evictions = 1 })},
		"deadline can be met":       {MinLoss{}, base, with(func(v *Victim) { v.Slack = 1 })},
		"team borrows":              {MinLoss{}, with(func(v *Victim) { v.TeamBorrows = true }), base},
		"budget is left":            {MinLoss{}, with(func(v *Victim) { v.LostWork = clock.Hour }), with(func(v *Victim) { v.WithinBudget = false })},
		"pre-emption: placed last":  {Preemption{}, with(func(v *Victim) { v.PlacedAt = 9 }), base},
		"pre-emption: lowest class": {Preemption{}, base, with(func(v *Victim) { v.Class, v.PlacedAt = service.Standing, 9 })},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(tc.policy.Score(tc.chosen) > tc.policy.Score(tc.other))
		})
	}
}

// Guards against a queue that loses, repeats or reorders tasks. A sorted
// slice is the reference.
func TestQueueMatchesSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue Queue
		var ref []unit.Task // by score, then by order of addition
		scores := map[unit.Task]int{}
		for n := range rapid.IntRange(0, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "add") {
				task, score := unit.Task(rune('A'+n)), rapid.IntRange(0, 4).Draw(t, "score")
				scores[task] = score
				i := 0
				for i < len(ref) && scores[ref[i]] >= score {
					i++
				}
				ref = append(ref[:i:i], append([]unit.Task{task}, ref[i:]...)...)
				queue.Add(task, float64(score))
				continue
			}
			stop, mod := rapid.IntRange(1, 5).Draw(t, "stop"), rapid.IntRange(1, 3).Draw(t, "mod")
			var remaining []unit.Task
			visited := 0
			queue.Visit(func(task unit.Task) (bool, bool) {
				if task != ref[visited] {
					t.Fatalf("visited %s, want %s", task, ref[visited])
				}
				visited++
				if visited%mod != 0 {
					remaining = append(remaining, task)
				}
				return visited%mod == 0, visited < stop
			})
			if visited != min(stop, len(ref)) {
				t.Fatalf("visited %d of %d, want %d", visited, len(ref), stop)
			}
			ref = append(remaining, ref[visited:]...)
		}
		if queue.Len() != len(ref) {
			t.Fatalf("%d tasks remain, want %d", queue.Len(), len(ref))
		}
	})
}

// Guards against a shortlist that drops one of the best options.
func TestShortlistKeepsBest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Shortlist
		best := -1
		for _, s := range rapid.SliceOfN(rapid.IntRange(0, 50), 1, 40).Draw(t, "scores") {
			l.Add(unit.Worker(rune('A'+s)), WorkerOption{Free: unit.Resources{CPU: unit.MilliCPU(s)}, Capacity: testCapacity}, float64(s))
			best = max(best, s)
		}
		got := l.Best(LeastLoaded{}, func(unit.Worker) float64 { return 0 })
		if l.scores[0] != float64(best) || l.workers[0] != unit.Worker(rune('A'+best)) || got == "" {
			t.Fatalf("best score is %v, want %d", l.scores[0], best)
		}
	})
}
