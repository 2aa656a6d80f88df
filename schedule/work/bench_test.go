package work

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/job"
	"mimosadock/schedule/placement"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
	"mimosadock/schedule/worker"
)

const tasksPerWorker = 11 // 13,800 tasks on 1,200 workers, rounded down

// newFilledBoard returns a board whose workers run as many tasks each as at
// the target load. The tasks belong to 210 teams, and 16 of the kinds
// interfere with each other.
func newFilledBoard(tb testing.TB, workers int) *Board {
	tb.Helper()
	b := &Board{Home: "kelso", Policies: placement.Default()}
	text := "version: 1\ncapacity: {cpu: 900000000, memory: 900000000, accelerators: 9000}\nteams:\n"
	for i := range 210 {
		text += fmt.Sprintf("- {name: team%d, quota: {cpu: 100000, memory: 100000}}\n", i)
	}
	text += "kinds:\n"
	for i := range 210 {
		class := []string{"batch", "batch", "batch", "latencyCritical"}[i%4]
		text += fmt.Sprintf("- {name: kind%d, team: team%d, class: %s, resources: {cpu: 1000, memory: 4000}, expectedMs: 60000, checkpointMs: 30000}\n", i, i, class)
	}
	parsed, err := service.Parse([]byte(text))
	if err != nil {
		tb.Fatal(err)
	}
	b.SetText(parsed)
	for i := range workers {
		w := unit.Worker(fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250))
		b.Workers.Put(w, "", unit.Rack(fmt.Sprint(i/10)), unit.Resources{CPU: 16000, Memory: 60000})
	}
	b.SetAuthority(1000, Authority{IsOwner: true, Epoch: 1, AcceptUntil: clock.Never, RunUntil: clock.Never, FormerOwnersEndAt: -clock.Millis(clock.Hour)})
	for _, r := range b.Workers.Workers.All() {
		r.Epoch, r.ReportReceivedAt = 1, 1000
	}
	for i := range 210 {
		for range 5 { // enough samples that no kind is limited to Policies.ProbeTasks tasks
			b.KindEstimates.Ensure(unit.Kind(fmt.Sprintf("kind%d", i))).AddUsage(unit.Resources{CPU: 900, Memory: 3000})
		}
	}
	for i := range 16 {
		for o := range 16 {
			b.Interference.Update(unit.Kind(fmt.Sprintf("kind%d", i)), []unit.Kind{unit.Kind(fmt.Sprintf("kind%d", o))}, 2, 0.2)
		}
	}
	remaining := workers * tasksPerWorker
	for n := 0; remaining > 0; n++ {
		tasks := min(remaining, maxStarts)
		submitJob(tb, b, n, tasks)
		remaining -= tasks
		for range 3 {
			b.Tick(1000)
		}
	}
	if got := b.Workers.Allocations.Len(); got != workers*tasksPerWorker {
		tb.Fatalf("%d tasks are placed, want %d", got, workers*tasksPerWorker)
	}
	return b
}

// submitJob submits job n and accepts it.
func submitJob(tb testing.TB, b *Board, n, tasks int) {
	s := job.Spec{
		ID: unit.Job(fmt.Sprintf("job%d", n)), Team: unit.Team(fmt.Sprintf("team%d", n%210)),
		Kind: unit.Kind(fmt.Sprintf("kind%d", n%210)), Tasks: tasks,
	}
	if _, err := b.Submit(1000, s); err != nil {
		tb.Fatal(err)
	}
	for _, r := range b.TakeRecords(nil) {
		b.HandleWriteResult(1000, r, verdict.Ran)
	}
}

// BenchmarkPlacement measures the placement of one queued task while the
// workers run the tasks of the target load. It reports the 99th percentile
// in microseconds and the share of one core that 230 starts a second take.
func BenchmarkPlacement(bb *testing.B) {
	for _, workers := range []int{65, 300, 1200} {
		bb.Run(fmt.Sprintf("workers=%d", workers), func(bb *testing.B) {
			b := newFilledBoard(bb, workers)
			durations := make([]time.Duration, 0, bb.N)
			bb.ResetTimer()
			for i := range bb.N {
				bb.StopTimer()
				id := unit.Job(fmt.Sprintf("job%d", 1_000_000+i))
				submitJob(bb, b, 1_000_000+i, 1)
				bb.StartTimer()
				start := time.Now()
				b.placeWaiting(1000)
				durations = append(durations, time.Since(start))
				bb.StopTimer()
				k := b.Jobs.Tasks.Get(job.TaskID(id, 0))
				if k.Attempt == 0 {
					bb.Fatal("task was not placed")
				}
				b.removeAttempt(1000, b.Workers.Allocations.Get(worker.AttemptID{Task: job.TaskID(id, 0), Attempt: k.Attempt}))
				b.Jobs.Jobs.Get(id).State = job.StateFinished
				b.Jobs.Delete(id)
				bb.StartTimer()
			}
			slices.Sort(durations)
			var sum time.Duration
			for _, d := range durations {
				sum += d
			}
			bb.ReportMetric(float64(durations[len(durations)*99/100].Microseconds()), "p99-us")
			bb.ReportMetric(230*sum.Seconds()/float64(len(durations))*100, "%core@230/s")
		})
	}
}
