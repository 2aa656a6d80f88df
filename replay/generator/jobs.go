package generator

import (
	"fmt"

	"mimosadock/replay/trace"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// jobTraceLength is the length of a trace of jobs.
const jobTraceLength = 20 * clock.Minute

// randomBatchJob returns a batch job whose actual sizes and run times differ
// widely from the declared ones.
func (b *builder) randomBatchJob(kind unit.Kind, team unit.Team) trace.Job {
	declared := unit.Resources{CPU: 2000, Memory: 6 << 10}
	runTime := b.logNormalSpan(90*clock.Second, 0.6, 15*clock.Second, 6*clock.Minute)
	return trace.Job{
		Kind: kind, Team: team, Class: service.Batch, Tasks: 1 + b.rng.IntN(6),
		Declared: declared, Actual: b.scaleRandomly(declared, 0.3, 1.8),
		DeclaredRunTime: b.uniformSpan(runTime/4, runTime*4), RunTime: runTime, CheckpointInterval: 20 * clock.Second,
	}
}

// addBatchJobs adds n batch jobs over the first two thirds of the trace and
// returns their ids. One in 40 has a straggler. One in 50 is impossible because
// a task needs twice the memory of a worker.
func (b *builder) addBatchJobs(n int, kind unit.Kind, teams ...unit.Team) []unit.Job {
	ids := make([]unit.Job, 0, n)
	for i := range n {
		j := b.randomBatchJob(kind, teams[b.rng.IntN(len(teams))])
		if i%40 == 20 {
			j.StragglerFactor, j.SafeToRepeat = 8, i%80 == 20
		}
		if i%50 == 30 {
			j.Impossible, j.Tasks = true, 1
			j.Declared.Memory, j.Actual.Memory = 2*workerMemory, 2*workerMemory
		}
		ids = append(ids, b.addJob(clock.Millis(b.uniformSpan(0, jobTraceLength*2/3)), j))
	}
	return ids
}

// addCriticalTasks adds latency-critical tasks at the given rate over the first
// nine tenths of the trace.
func (b *builder) addCriticalTasks(r rate) {
	size := unit.Resources{CPU: 4000, Memory: 8 << 10}
	for at := clock.Millis(0); at < clock.Millis(jobTraceLength*9/10); at += clock.Millis(100 * clock.Millisecond) {
		for range b.poisson(r(at) / 10) {
			b.addJob(at, trace.Job{
				Kind: "serve", Team: "urgent", Class: service.LatencyCritical, Tasks: 1,
				Declared: size, Actual: b.scaleRandomly(size, 0.6, 1),
				DeclaredRunTime: clock.Minute, RunTime: b.logNormalSpan(40*clock.Second, 0.4, 10*clock.Second, 2*clock.Minute),
			})
		}
	}
}

// addStandingTasks adds n tasks that run until the end of the trace.
func (b *builder) addStandingTasks(n int, kind unit.Kind, team unit.Team) {
	size := unit.Resources{CPU: 1500, Memory: 4 << 10}
	for range n {
		b.addJob(clock.Millis(b.uniformSpan(0, clock.Minute)), trace.Job{
			Kind: kind, Team: team, Class: service.Standing, Tasks: 1,
			Declared: size, Actual: b.scaleRandomly(size, 0.7, 1), CheckpointInterval: 10 * clock.Second,
		})
	}
}

// addCancellations cancels every nth of the jobs at one instant.
func (b *builder) addCancellations(at clock.Millis, ids []unit.Job, nth int) {
	for i := 0; i < len(ids); i += nth {
		b.add(trace.Event{At: at, Type: trace.Cancel, Cancel: ids[i]})
	}
}

// addNoise slows n random workers at one instant.
func (b *builder) addNoise(at clock.Millis, n int, factor float64, length clock.Span) {
	for range n {
		b.add(trace.Event{At: at, Type: trace.Noise, Worker: b.randomWorker(), NoiseFactor: factor, NoiseLength: length})
	}
}

// addWorkerCrashes adds n crashes of workers, each followed by a restart.
func (b *builder) addWorkerCrashes(n int) {
	for range n {
		at, worker := clock.Millis(b.uniformSpan(jobTraceLength/6, jobTraceLength*5/6)), b.randomWorker()
		b.add(trace.Event{At: at, Type: trace.WorkerDown, Worker: worker})
		b.add(trace.Event{At: at.Add(b.uniformSpan(20*clock.Second, 2*clock.Minute)), Type: trace.WorkerUp, Worker: worker})
	}
}

// addFailingWorkers adds n periods of four minutes in which a random worker fails
// every attempt.
func (b *builder) addFailingWorkers(n int) {
	for range n {
		at, worker := clock.Millis(b.uniformSpan(jobTraceLength/6, jobTraceLength/2)), b.randomWorker()
		b.add(trace.Event{At: at, Type: trace.WorkerFails, Worker: worker})
		b.add(trace.Event{At: at.Add(4 * clock.Minute), Type: trace.WorkerRecovers, Worker: worker})
	}
}

// martsWork returns a trace of batch reports and standing feeds beside
// latency-critical tasks whose rate rises tenfold within a second. The trace
// also has noise, crashes and failures of workers, a journal outage and many
// simultaneous cancellations.
func martsWork(name string, seed uint64) *trace.Trace {
	const from, to = 8 * clock.Minute, 8*clock.Minute + 30*clock.Second
	b := newBuilder(name, seed, martLayout(), jobTraceLength)
	b.trace.Header.PeakFrom, b.trace.Header.PeakTo = from, to+clock.Minute
	b.addStandingTasks(20, "feed", "marts")
	ids := b.addBatchJobs(1250, "growth-report", "marts", "farms", "vets")
	b.addCriticalTasks(swingRate(0.5, 10, clock.Millis(from), clock.Millis(to)))
	b.addNoise(clock.Millis(6*clock.Minute), 8, 1.6, 2*clock.Minute)
	b.addNoise(clock.Millis(from), 8, 2, clock.Minute)
	b.addWorkerCrashes(5)
	b.addFailingWorkers(2)
	b.addCancellations(clock.Millis(from+10*clock.Second), ids, 40)
	b.addJournalOutage(14*clock.Minute, clock.Minute)
	return b.sortedTrace()
}

// tilesWork returns a trace of batch plans for carving moulds and standing
// firing watches beside latency-critical tasks whose rate rises tenfold within
// a second.
func tilesWork(name string, seed uint64) *trace.Trace {
	const from, to = 7 * clock.Minute, 7*clock.Minute + 30*clock.Second
	b := newBuilder(name, seed, tileLayout(), jobTraceLength)
	b.trace.Header.PeakFrom, b.trace.Header.PeakTo = from, to+clock.Minute
	b.addStandingTasks(60, "firing-watch", "kilns")
	ids := b.addBatchJobs(900, "carving-plan", "moulds", "restorers")
	b.addCriticalTasks(swingRate(0.4, 10, clock.Millis(from), clock.Millis(to)))
	b.addNoise(clock.Millis(from), 6, 1.8, clock.Minute)
	b.addWorkerCrashes(8)
	b.addFailingWorkers(1)
	b.addCancellations(clock.Millis(from+5*clock.Second), ids, 40)
	return b.sortedTrace()
}

// tilesChanges returns a trace of operators that submit concurrent changes with
// the same base while the journal, a link and entry processes fail.
func tilesChanges(name string, seed uint64) *trace.Trace {
	b := newBuilder(name, seed, tileLayout(), 2*clock.Minute)
	for at := clock.Millis(2 * clock.Second); at < clock.Millis(100*clock.Second); at = at.Add(b.uniformSpan(clock.Second, 3*clock.Second)) {
		operators := 1 + b.rng.IntN(3)
		for i := range operators {
			b.add(trace.Event{
				At: at, Type: trace.Change, Entry: b.randomEntry(), BaseLag: unit.Revision(b.rng.IntN(8) / 7),
				Author: fmt.Sprintf("operator-%d", i+1),
			})
		}
	}
	b.addJournalOutage(30*clock.Second, 6*clock.Second)
	b.addLinkOutage("mueang", "kokha", 28*clock.Second, 10*clock.Second)
	b.addEntryCrashes(3)
	return b.sortedTrace()
}
