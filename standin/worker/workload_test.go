package worker_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/job"
	"mimosadock/schedule/member"
	"mimosadock/schedule/placement"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
	"mimosadock/schedule/work"
	"mimosadock/schedule/worker"
	standin "mimosadock/standin/worker"
)

// Parameters of the workload.
const (
	simDuration          = 40 * clock.Minute
	workloadTickInterval = 500 * clock.Millisecond
	workerCount          = 10
	batchJobCount        = 700
	minCriticalTasks     = 4  // latency-critical tasks outside of the peaks
	maxCriticalTasks     = 40 // latency-critical tasks at a peak
)

// workloadResult holds the figures of a run of the workload.
type workloadResult struct {
	evictions       int64
	migrations      int64
	batchWork       clock.Span // sum of the actual run times of the finished batch jobs
	criticalWaitP99 clock.Span // of latency-critical tasks, from submission to start
}

// actualResources is the actual usage of each kind. See [workloadConfig] for the
// declared resources.
var actualResources = map[unit.Kind]unit.Resources{
	"lookup": {CPU: 1000, Memory: 2000},
	"growth": {CPU: 2800, Memory: 9000}, // declared far too low
	"carve":  {CPU: 1800, Memory: 5400}, // declared a little too high
	"tally":  {CPU: 1000, Memory: 4000},
}

// workloadConfig returns the services text of the workload. With declareActual
// the declared resources are the actual ones.
func workloadConfig(declareActual bool) *service.Text {
	kinds := []service.Kind{
		newKind("lookup", service.LatencyCritical, 1000, 0, false),
		newKind("growth", service.Batch, 2000, clock.Minute, false),
		newKind("carve", service.Batch, 2000, clock.Minute, false),
		newKind("tally", service.Batch, 1000, clock.Minute, true),
	}
	declared := map[unit.Kind]unit.MiB{"lookup": 2000, "growth": 5500, "carve": 6000, "tally": 4000}
	for i := range kinds {
		kinds[i].Resources.Memory = declared[kinds[i].Name]
		if declareActual {
			kinds[i].Resources = actualResources[kinds[i].Name]
		}
	}
	return parseKinds(kinds)
}

// runWorkload runs the workload of a seed under the given policies. With
// declareActual the declared resources are the actual ones.
func runWorkload(seed uint64, p placement.Policies, declareActual bool) workloadResult {
	rng := rand.New(rand.NewPCG(seed, 11))
	var c clock.Manual
	c.Set(1000)
	runTimes := map[unit.Job]clock.Span{}
	sim := &standin.Simulation{
		Clock: &c, UsageLag: 5 * clock.Second, CheckpointTime: 4 * clock.Second,
		Profile: func(t unit.Task, k unit.Kind) standin.TaskProfile {
			return standin.TaskProfile{Usage: actualResources[k], RunTime: runTimes[unit.Job(t[:len(t)-2])]}
		},
		Slowdown: func(k, beside unit.Kind, load float64) float64 {
			if k == "growth" && beside == "growth" {
				return 0.08 * load
			}
			return 0
		},
	}
	var agents standin.Agents
	var list []member.Listing
	for i := range workerCount {
		w := standin.New(sim, unit.Worker(fmt.Sprintf("10.0.1.%d:7000", i+1)), unit.Resources{CPU: 16000, Memory: 60000})
		agents.Add(w)
		list = append(list, member.Listing{
			Address: string(w.ID), DataCentre: home, Role: member.RoleWorker, Rack: unit.Rack(fmt.Sprint(i % 4)), Capacity: w.Capacity,
		})
	}
	b := &work.Board{Home: home, Policies: p}
	b.SetText(workloadConfig(declareActual))
	b.SetWorkers(list)
	b.SetAuthority(c.Now(), work.Authority{IsOwner: true, Epoch: 1, AcceptUntil: clock.Never, RunUntil: clock.Never, FormerOwnersEndAt: -clock.Millis(clock.Hour)})
	submit := func(id unit.Job, k unit.Kind, t clock.Span) {
		runTimes[id] = t
		if _, err := b.Submit(c.Now(), job.Spec{ID: id, Team: "marts", Kind: k, Tasks: 1}); err != nil {
			panic(err)
		}
	}
	for i := range batchJobCount {
		k := []unit.Kind{"growth", "carve", "tally"}[rng.IntN(3)]
		t := clock.Span(float64(3*clock.Minute) * math.Exp(rng.NormFloat64()*0.4))
		if rng.IntN(40) == 0 {
			t *= 6 // a straggler
		}
		submit(unit.Job(fmt.Sprintf("%s-%d", k, i)), k, t)
	}
	var result workloadResult
	submittedAt := map[unit.Task]clock.Millis{}
	var waits []clock.Span
	criticalEnds := []clock.Millis{}
	for n := 0; c.Now() < clock.Millis(simDuration); n++ {
		// In each ten minutes the demand rises tenfold within 30 s at minute 5 and
		// falls again at minute 8.
		phase := float64(int64(c.Now())%int64(10*clock.Minute)) / float64(10*clock.Minute)
		targetCritical := minCriticalTasks
		if phase > 0.5 && phase < 0.8 {
			targetCritical = minCriticalTasks + int(float64(maxCriticalTasks-minCriticalTasks)*min(1, (phase-0.5)*20))
		}
		criticalEnds = slices.DeleteFunc(criticalEnds, func(t clock.Millis) bool { return t <= c.Now() })
		for len(criticalEnds) < targetCritical {
			id := unit.Job(fmt.Sprintf("lookup-%d-%d", n, len(criticalEnds)))
			t := clock.Span(40+rng.IntN(80)) * clock.Second
			criticalEnds = append(criticalEnds, c.Now().Add(t))
			submit(id, "lookup", t)
			submittedAt[job.TaskID(id, 0)] = c.Now()
		}
		runTick(b, &agents, c.Now())
		for t, since := range submittedAt {
			k := b.Jobs.Tasks.Get(t)
			h := b.Workers.Allocations.Get(worker.AttemptID{Task: t, Attempt: k.Attempt})
			if k.State.Ended() || h != nil && h.Start == worker.StartAccepted {
				waits = append(waits, c.Now().Sub(since))
				delete(submittedAt, t)
			}
		}
		c.Advance(workloadTickInterval)
	}
	for id, j := range b.Jobs.Jobs.All() {
		if j.State == job.StateFinished && j.Terms.Class == service.Batch {
			result.batchWork += runTimes[id]
		}
	}
	slices.Sort(waits)
	result.evictions, result.migrations, result.criticalWaitP99 = b.Count.Evictions, b.Count.Migrations, waits[len(waits)*99/100]
	return result
}

// runTick runs one tick of the board. The journal and the workers answer at
// once.
func runTick(b *work.Board, agents *standin.Agents, now clock.Millis) {
	b.Tick(now)
	for _, r := range b.TakeRecords(nil) {
		b.HandleWriteResult(now, r, verdict.Ran)
	}
	for _, batch := range b.DueCommandBatches(now, nil) {
		a := work.CommandBatchResult{Batch: batch}
		for _, cmd := range batch.Commands {
			rep, err := work.Execute(nil, agents, batch, cmd)
			a.Errs = append(a.Errs, err)
			a.Report = rep
		}
		b.HandleCommandBatchResult(now, a)
	}
}

// Guards against placement that evicts more than a quarter of the tasks that
// plain priority pre-emption evicts, or that finishes less than 90% of the batch
// work of placement with the actual resources.
func TestWorkloadAgainstBaselines(t *testing.T) {
	for seed := range uint64(min(seedCount(1), 5)) {
		result := runWorkload(seed, placement.Default(), false)
		preemptionResult := runWorkload(seed, placement.Baseline(), false)
		actualSizesResult := runWorkload(seed, placement.Default(), true)
		t.Logf("seed %d evictions: %d, plain pre-emption %d (at most a quarter); moves %d", seed, result.evictions, preemptionResult.evictions, result.migrations)
		t.Logf("seed %d batch work: %d s, planner with actual resources %d s (at least 90%%), plain %d s", seed, result.batchWork/1000, actualSizesResult.batchWork/1000, preemptionResult.batchWork/1000)
		t.Logf("seed %d p99 wait of latency-critical tasks: %d ms, plain %d ms", seed, result.criticalWaitP99, preemptionResult.criticalWaitP99)
		if result.evictions*4 > preemptionResult.evictions {
			t.Errorf("seed %d: %d evictions are more than a quarter of %d", seed, result.evictions, preemptionResult.evictions)
		}
		if result.batchWork*10 < actualSizesResult.batchWork*9 {
			t.Errorf("seed %d: batch work %d is less than 90%% of %d", seed, result.batchWork, actualSizesResult.batchWork)
		}
	}
}
