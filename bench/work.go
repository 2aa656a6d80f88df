package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"mimosadock/bench/measure"
	"mimosadock/replay/outcome"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/job"
	"mimosadock/schedule/member"
	"mimosadock/schedule/placement"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
	"mimosadock/schedule/work"
	"mimosadock/schedule/worker"
)

// The target scale of placement, the times of the run and the bounds.
const (
	workerCount    = 1200
	taskDuration   = 60 * clock.Second // at 230 starts per second 13,800 tasks are running
	tasksPerJob    = 23
	submitInterval = clock.Millis(clock.Second) * tasksPerJob / startsPerSecond
	warmUpTime     = 75 * clock.Second
	measureTime    = 10 * clock.Second
	workTick       = 50 * clock.Millisecond

	maxPlacementYardsticks = 20_000 // per second; 2% of a core
	maxControlYardsticks   = 39_000 // per second; 3.9% of a core
	maxStartYardsticks     = 1000   // 1 ms
)

func workMeasures() measure.Group {
	var w *workBench
	run := func() *workBench {
		if w == nil {
			w = newWorkBench()
			w.run()
		}
		return w
	}
	return measure.Group{
		"work.placement.yardsticksPerSecond": {Bound: maxPlacementYardsticks, Run: func() (float64, []outcome.Figure) {
			return run().yardsticksPerSecond(run().placementTime), nil
		}},
		// The time that the board needs for the reports of all workers, its
		// records and its tick.
		"work.control.yardsticksPerSecond": {Bound: maxControlYardsticks, Run: func() (float64, []outcome.Figure) {
			return run().yardsticksPerSecond(run().boardTime), nil
		}},
		// The placement time of a tick divided by the starts in that tick.
		"work.placement.p99StartYardsticks": {Bound: maxStartYardsticks, Run: func() (float64, []outcome.Figure) {
			starts := run().timesPerStart
			slices.Sort(starts)
			return float64(starts[len(starts)*99/100]) / nanosPerYardstick(), nil
		}},
		"work.placement.startsPerSecond": {Side: outcome.AtLeast, Bound: startsPerSecond * 0.99, Run: func() (float64, []outcome.Figure) {
			return run().startsPerSecond(), []outcome.Figure{{Name: "running", Value: float64(run().running())}}
		}},
	}
}

// nanosPerYardstick measures and returns the time of a yardstick.
func nanosPerYardstick() float64 {
	return measure.Nanos(measure.Yardstick)
}

// workBench drives a board at the target scale in virtual time and serves as
// the agent of all workers. It measures only the time that the board uses.
type workBench struct {
	board         work.Board
	now           clock.Millis
	tasksByWorker map[unit.Worker]map[worker.AttemptID]*runningTask
	answers       []work.CommandBatchResult
	jobCount      int
	startCount    int
	boardTime     time.Duration   // used by the board
	placementTime time.Duration   // part of boardTime for the tick and the batches
	timesPerStart []time.Duration // placement time per start, one for each tick with starts
	measuring     bool            // false during the warm-up
}

// runningTask is an attempt that runs on a worker. The calls to the worker take
// no virtual time.
type runningTask struct {
	start     worker.Start
	startedAt clock.Millis
}

var _ worker.Agent = (*workBench)(nil)

func newWorkBench() *workBench {
	w := &workBench{now: 1000, tasksByWorker: make(map[unit.Worker]map[worker.AttemptID]*runningTask)}
	w.board = work.Board{Home: "kelso", Policies: placement.Default()}
	text, err := service.Parse([]byte(`version: 1
capacity: {cpu: 19200000, memory: 73728000}
dataCentres:
  - {name: kelso, region: lowland}
teams:
  - {name: marts, quota: {cpu: 19200000, memory: 73728000}}
kinds:
  - {name: report, team: marts, class: batch, resources: {cpu: 1000, memory: 2048}, expectedMs: 60000, checkpointMs: 20000}
`))
	if err != nil {
		panic("bench: the services text is invalid")
	}
	w.board.SetText(text)
	listing := make([]member.Listing, workerCount)
	for i := range listing {
		address := fmt.Sprintf("10.%d.%d.1:90", i/250, i%250)
		listing[i] = member.Listing{
			Address: address, Host: unit.Host(address), DataCentre: "kelso", Rack: unit.Rack(fmt.Sprint(i / 10)),
			Role: member.RoleWorker, Capacity: unit.Resources{CPU: 16_000, Memory: 60 << 10},
		}
		w.tasksByWorker[unit.Worker(address)] = make(map[worker.AttemptID]*runningTask)
	}
	w.board.SetWorkers(listing)
	return w
}

// run runs the board for the warm-up and then for the measurement.
func (w *workBench) run() {
	for end := w.now.Add(warmUpTime); w.now < end; w.now = w.now.Add(workTick) {
		w.tick()
	}
	w.measuring = true
	for end := w.now.Add(measureTime); w.now < end; w.now = w.now.Add(workTick) {
		w.tick()
	}
}

func (w *workBench) startsPerSecond() float64 {
	return float64(w.startCount) / (float64(measureTime) / float64(clock.Second))
}

func (w *workBench) running() int {
	n := 0
	for _, tasks := range w.tasksByWorker {
		n += len(tasks)
	}
	return n
}

// tick runs the board once and executes its commands. The board receives the
// answers in the next tick.
func (w *workBench) tick() {
	if w.now%submitInterval == 0 {
		w.submit()
	}
	boardStart := time.Now()
	authority := work.Authority{IsOwner: true, Epoch: 1, AcceptUntil: clock.Never, RunUntil: clock.Never, FormerOwnersEndAt: -clock.Millis(clock.Hour)}
	w.board.SetAuthority(w.now, authority)
	for _, a := range w.answers {
		w.board.HandleCommandBatchResult(w.now, a)
	}
	w.answers = w.answers[:0]
	records := w.board.TakeRecords(nil)
	for _, r := range records {
		w.board.HandleWriteResult(w.now, r, verdict.Ran)
	}
	placementStart := time.Now()
	w.board.Tick(w.now)
	batches := w.board.DueCommandBatches(w.now, nil)
	w.recordTick(time.Since(boardStart), time.Since(placementStart), batches)
	for _, b := range batches {
		a := work.CommandBatchResult{Batch: b}
		for _, c := range b.Commands {
			report, err := work.Execute(context.Background(), w, b, c)
			a.Errs = append(a.Errs, err)
			if report != nil {
				a.Report = report
			}
		}
		w.answers = append(w.answers, a)
	}
}

// recordTick adds the times of a tick to the totals. It has no effect during the
// warm-up.
func (w *workBench) recordTick(boardTime, placementTime time.Duration, batches []work.CommandBatch) {
	if !w.measuring {
		return
	}
	w.boardTime += boardTime
	w.placementTime += placementTime
	starts := 0
	for _, b := range batches {
		for _, c := range b.Commands {
			if c.Kind == work.CommandStart {
				starts++
			}
		}
	}
	if starts > 0 {
		w.timesPerStart = append(w.timesPerStart, placementTime/time.Duration(starts))
	}
}

// yardsticksPerSecond converts the time t, used during the measurement, to
// yardsticks per second of virtual time.
func (w *workBench) yardsticksPerSecond(t time.Duration) float64 {
	return t.Seconds() * 1e9 / (float64(measureTime) / float64(clock.Second)) / nanosPerYardstick()
}

// submit submits the next job.
func (w *workBench) submit() {
	w.jobCount++
	_, _ = w.board.Submit(w.now, job.Spec{ID: unit.Job(fmt.Sprint("report-", w.jobCount)), Team: "marts", Kind: "report", Tasks: tasksPerJob})
}

// Start starts an attempt.
func (w *workBench) Start(_ context.Context, at unit.Worker, s worker.Start) error {
	w.tasksByWorker[at][worker.AttemptID{Task: s.Task, Attempt: s.Attempt}] = &runningTask{s, w.now}
	if w.measuring {
		w.startCount++
	}
	return nil
}

// Renew reports the running and finished attempts of a worker.
func (w *workBench) Renew(_ context.Context, at unit.Worker, _ worker.Renewal) (worker.Report, error) {
	r := worker.Report{Epoch: 1, Instance: unit.Instance(at), Stamp: w.now, Capacity: unit.Resources{CPU: 16_000, Memory: 60 << 10}}
	for ref, t := range w.tasksByWorker[at] {
		s := worker.Status{
			Task: ref.Task, Attempt: ref.Attempt, Kind: t.start.Kind, Limit: t.start.Limit, Phase: worker.PhaseRunning,
			Usage: t.start.Limit, RunTime: w.now.Sub(t.startedAt), Progress: float64(w.now.Sub(t.startedAt)) / float64(taskDuration),
		}
		if w.now.Sub(t.startedAt) >= taskDuration {
			s.Phase, s.Progress = worker.PhaseFinished, 1
		}
		r.Statuses = append(r.Statuses, s)
	}
	return r, nil
}

// Checkpoint does nothing.
func (w *workBench) Checkpoint(context.Context, unit.Worker, worker.Command) error { return nil }

// Throttle does nothing.
func (w *workBench) Throttle(context.Context, unit.Worker, worker.Command, float64) error { return nil }

// Stop ends an attempt.
func (w *workBench) Stop(ctx context.Context, at unit.Worker, c worker.Command) error {
	return w.Release(ctx, at, c)
}

// Release removes an attempt.
func (w *workBench) Release(_ context.Context, at unit.Worker, c worker.Command) error {
	delete(w.tasksByWorker[at], worker.AttemptID{Task: c.Task, Attempt: c.Attempt})
	return nil
}
