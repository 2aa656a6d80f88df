package generator

import (
	"fmt"

	"mimosadock/replay/trace"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// workLength is the length of the traces of jobs.
const workLength = 20 * clock.Minute

// report is a batch job whose true sizes and run times are far from the
// declared ones.
func (b *builder) report(kind unit.Kind, team unit.Team) trace.Job {
	declared := unit.Resources{CPU: 2000, Memory: 6 << 10}
	run := b.skewed(90*clock.Second, 0.6, 15*clock.Second, 6*clock.Minute)
	return trace.Job{
		Kind: kind, Team: team, Class: service.Batch, Tasks: 1 + b.rng.IntN(6),
		Declared: declared, True: b.off(declared, 0.3, 1.8),
		DeclaredRun: b.between(run/4, run*4), Run: run, Checkpoint: 20 * clock.Second,
	}
}

// reports submits n batch jobs over the first two thirds of the trace. One in
// forty has a straggler and one in fifty can never run.
func (b *builder) reports(n int, kind unit.Kind, teams ...unit.Team) []unit.Job {
	ids := make([]unit.Job, 0, n)
	for i := range n {
		j := b.report(kind, teams[b.rng.IntN(len(teams))])
		if i%40 == 20 {
			j.Straggler, j.SafeToRepeat = 8, i%80 == 20
		}
		if i%50 == 30 {
			j.Impossible, j.Tasks = true, 1
			j.Declared.Memory, j.True.Memory = 2*workerMemory, 2*workerMemory
		}
		ids = append(ids, b.submit(clock.Millis(b.between(0, workLength*2/3)), j))
	}
	return ids
}

// urgentTasks submits latency-critical tasks at the given rate.
func (b *builder) urgentTasks(r rate) {
	size := unit.Resources{CPU: 4000, Memory: 8 << 10}
	for at := clock.Millis(0); at < clock.Millis(workLength*9/10); at += clock.Millis(100 * clock.Millisecond) {
		for range b.poisson(r(at) / 10) {
			b.submit(at, trace.Job{
				Kind: "serve", Team: "urgent", Class: service.LatencyCritical, Tasks: 1,
				Declared: size, True: b.off(size, 0.6, 1),
				DeclaredRun: clock.Minute, Run: b.skewed(40*clock.Second, 0.4, 10*clock.Second, 2*clock.Minute),
			})
		}
	}
}

// standing submits n tasks that run until the end of the trace.
func (b *builder) standing(n int, kind unit.Kind, team unit.Team) {
	size := unit.Resources{CPU: 1500, Memory: 4 << 10}
	for range n {
		b.submit(clock.Millis(b.between(0, clock.Minute)), trace.Job{
			Kind: kind, Team: team, Class: service.Standing, Tasks: 1,
			Declared: size, True: b.off(size, 0.7, 1), Checkpoint: 10 * clock.Second,
		})
	}
}

// cancelWave cancels every nth of the jobs at the same instant.
func (b *builder) cancelWave(at clock.Millis, ids []unit.Job, nth int) {
	for i := 0; i < len(ids); i += nth {
		b.add(trace.Event{At: at, What: trace.Cancel, Cancel: ids[i]})
	}
}

// noise slows n workers at once.
func (b *builder) noise(at clock.Millis, n int, factor float64, length clock.Span) {
	for range n {
		b.add(trace.Event{At: at, What: trace.Noise, Worker: b.worker(), Factor: factor, For: length})
	}
}

// workerFaults lets n workers die and return.
func (b *builder) workerFaults(n int) {
	for range n {
		at, w := clock.Millis(b.between(workLength/6, workLength*5/6)), b.worker()
		b.add(trace.Event{At: at, What: trace.WorkerDown, Worker: w})
		b.add(trace.Event{At: at.Add(b.between(20*clock.Second, 2*clock.Minute)), What: trace.WorkerUp, Worker: w})
	}
}

// failingWorkers lets n workers fail all that they start for a while.
func (b *builder) failingWorkers(n int) {
	for range n {
		at, w := clock.Millis(b.between(workLength/6, workLength/2)), b.worker()
		b.add(trace.Event{At: at, What: trace.WorkerFails, Worker: w})
		b.add(trace.Event{At: at.Add(4 * clock.Minute), What: trace.WorkerMends, Worker: w})
	}
}

// martsWork has batch reports and a feed beside latency-critical tasks that
// swing to ten times their rate within a second, with noise, failures, an
// outage of the journal and a wave of cancellations at once.
func martsWork(name string, seed uint64) *trace.Trace {
	const from, to = 8 * clock.Minute, 8*clock.Minute + 30*clock.Second
	b := newBuilder(name, seed, martLayout(), workLength)
	b.trace.Header.PeakFrom, b.trace.Header.PeakTo = from, to+clock.Minute
	b.standing(20, "feed", "marts")
	ids := b.reports(1250, "growth-report", "marts", "farms", "vets")
	b.urgentTasks(swing(0.5, 10, clock.Millis(from), clock.Millis(to)))
	b.noise(clock.Millis(6*clock.Minute), 8, 1.6, 2*clock.Minute)
	b.noise(clock.Millis(from), 8, 2, clock.Minute)
	b.workerFaults(5)
	b.failingWorkers(2)
	b.cancelWave(clock.Millis(from+10*clock.Second), ids, 40)
	b.journalFault(14*clock.Minute, clock.Minute)
	return b.finish()
}

// tilesWork has mould-carving plans and standing firing watches beside urgent
// tasks.
func tilesWork(name string, seed uint64) *trace.Trace {
	const from, to = 7 * clock.Minute, 7*clock.Minute + 30*clock.Second
	b := newBuilder(name, seed, tileLayout(), workLength)
	b.trace.Header.PeakFrom, b.trace.Header.PeakTo = from, to+clock.Minute
	b.standing(60, "firing-watch", "kilns")
	ids := b.reports(900, "carving-plan", "moulds", "restorers")
	b.urgentTasks(swing(0.4, 10, clock.Millis(from), clock.Millis(to)))
	b.noise(clock.Millis(from), 6, 1.8, clock.Minute)
	b.workerFaults(8)
	b.failingWorkers(1)
	b.cancelWave(clock.Millis(from+5*clock.Second), ids, 40)
	return b.finish()
}

// tilesChanges has operators that race with changes on the same base while the
// journal and links fail.
func tilesChanges(name string, seed uint64) *trace.Trace {
	b := newBuilder(name, seed, tileLayout(), 2*clock.Minute)
	for at := clock.Millis(2 * clock.Second); at < clock.Millis(100*clock.Second); at = at.Add(b.between(clock.Second, 3*clock.Second)) {
		racers := 1 + b.rng.IntN(3)
		for i := range racers {
			b.add(trace.Event{
				At: at, What: trace.Change, Entry: b.entry(), Behind: unit.Revision(b.rng.IntN(8) / 7),
				Author: fmt.Sprintf("operator-%d", i+1),
			})
		}
	}
	b.journalFault(30*clock.Second, 6*clock.Second)
	b.linkFault("mueang", "kokha", 28*clock.Second, 10*clock.Second)
	b.entryFaults(3)
	return b.finish()
}
