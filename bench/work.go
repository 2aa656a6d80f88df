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

// The target scale of placement.
const (
	fleetWorkers = 1200
	taskRun      = 60 * clock.Second // 230 starts a second keep 13,800 running
	tasksPerJob  = 23
	submitEvery  = clock.Millis(clock.Second) * tasksPerJob / startsPerSecond
	fillFor      = 75 * clock.Second
	measureFor   = 10 * clock.Second
	workTick     = 50 * clock.Millisecond

	placementYardsticks = 20_000 // 2% of a core in a second
	controlYardsticks   = 39_000 // 3.9% of a core in a second
	startYardsticks     = 1000   // 1 ms
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
		"work.placement.yardsticksPerSecond": {Bound: placementYardsticks, Run: func() (float64, []outcome.Figure) {
			return run().perSecond(run().placing), nil
		}},
		// The board with the reports of all workers and its records.
		"work.control.yardsticksPerSecond": {Bound: controlYardsticks, Run: func() (float64, []outcome.Figure) {
			return run().perSecond(run().spent), nil
		}},
		// The time of a tick of the board divided by its starts.
		"work.placement.p99StartYardsticks": {Bound: startYardsticks, Run: func() (float64, []outcome.Figure) {
			starts := run().starts
			slices.Sort(starts)
			return float64(starts[len(starts)*99/100]) / yardstickNanos(), nil
		}},
		"work.placement.startsPerSecond": {Side: outcome.AtLeast, Bound: startsPerSecond * 0.99, Run: func() (float64, []outcome.Figure) {
			return run().startsPerSecond(), []outcome.Figure{{Name: "running", Value: float64(run().running())}}
		}},
	}
}

// yardstickNanos returns the time of a yardstick, measured now.
func yardstickNanos() float64 {
	return measure.Nanos(measure.Yardstick)
}

// workBench drives a board at the target scale. Only the time that the board
// takes counts.
type workBench struct {
	board   work.Board
	now     clock.Millis
	fleet   map[unit.Worker]map[worker.Ref]*runningTask
	answers []work.Answer
	jobs    int
	started int
	spent   time.Duration   // by the board
	placing time.Duration   // of it, by its systems and for the batches
	starts  []time.Duration // per start, of the ticks with starts
	counted bool
}

// runningTask is an attempt at a worker that takes no time to ask.
type runningTask struct {
	start worker.Start
	at    clock.Millis
}

var _ worker.Agent = (*workBench)(nil)

func newWorkBench() *workBench {
	w := &workBench{now: 1000, fleet: make(map[unit.Worker]map[worker.Ref]*runningTask)}
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
		panic("bench: services text has faults")
	}
	w.board.SetText(text)
	listing := make([]member.Listing, fleetWorkers)
	for i := range listing {
		address := fmt.Sprintf("10.%d.%d.1:90", i/250, i%250)
		listing[i] = member.Listing{
			Address: address, Host: unit.Host(address), DataCentre: "kelso", Rack: unit.Rack(fmt.Sprint(i / 10)),
			Role: member.Worker, Capacity: unit.Resources{CPU: 16_000, Memory: 60 << 10},
		}
		w.fleet[unit.Worker(address)] = make(map[worker.Ref]*runningTask)
	}
	w.board.SetWorkers(listing)
	return w
}

func (w *workBench) run() {
	for end := w.now.Add(fillFor); w.now < end; w.now = w.now.Add(workTick) {
		w.tick()
	}
	w.counted = true
	for end := w.now.Add(measureFor); w.now < end; w.now = w.now.Add(workTick) {
		w.tick()
	}
}

func (w *workBench) startsPerSecond() float64 {
	return float64(w.started) / (float64(measureFor) / float64(clock.Second))
}

func (w *workBench) running() int {
	n := 0
	for _, tasks := range w.fleet {
		n += len(tasks)
	}
	return n
}

// tick runs the board once and carries out what it asks for.
func (w *workBench) tick() {
	if w.now%submitEvery == 0 {
		w.submit()
	}
	begin := time.Now()
	right := work.Right{Owner: true, Epoch: 1, Quick: clock.Never, Slow: clock.Never, Sole: -clock.Millis(clock.Hour)}
	w.board.SetRight(w.now, right)
	for _, a := range w.answers {
		w.board.HandleAnswer(w.now, a)
	}
	w.answers = w.answers[:0]
	records := w.board.Records(nil)
	for _, r := range records {
		w.board.HandleWritten(w.now, r, verdict.Ran)
	}
	placing := time.Now()
	w.board.Tick(w.now)
	batches := w.board.Batches(w.now, nil)
	w.note(time.Since(begin), time.Since(placing), batches)
	for _, b := range batches {
		a := work.Answer{Batch: b}
		for _, c := range b.Commands {
			report, err := work.Do(context.Background(), w, b, c)
			a.Errs = append(a.Errs, err)
			if report != nil {
				a.Report = report
			}
		}
		w.answers = append(w.answers, a)
	}
}

// note counts the time of a tick.
func (w *workBench) note(spent, placing time.Duration, batches []work.Batch) {
	if !w.counted {
		return
	}
	w.spent += spent
	w.placing += placing
	starts := 0
	for _, b := range batches {
		for _, c := range b.Commands {
			if c.Call == work.CallStart {
				starts++
			}
		}
	}
	if starts > 0 {
		w.starts = append(w.starts, placing/time.Duration(starts))
	}
}

// perSecond returns a time in yardsticks per second of virtual time.
func (w *workBench) perSecond(t time.Duration) float64 {
	return t.Seconds() * 1e9 / (float64(measureFor) / float64(clock.Second)) / yardstickNanos()
}

func (w *workBench) submit() {
	w.jobs++
	_, _ = w.board.Submit(w.now, job.Spec{ID: unit.Job(fmt.Sprint("report-", w.jobs)), Team: "marts", Kind: "report", Tasks: tasksPerJob})
}

// Start starts an attempt.
func (w *workBench) Start(_ context.Context, at unit.Worker, s worker.Start) error {
	w.fleet[at][worker.Ref{Task: s.Task, Attempt: s.Attempt}] = &runningTask{s, w.now}
	if w.counted {
		w.started++
	}
	return nil
}

// Renew reports what a worker runs.
func (w *workBench) Renew(_ context.Context, at unit.Worker, _ worker.Renewal) (worker.Report, error) {
	r := worker.Report{Epoch: 1, Instance: unit.Instance(at), Stamp: w.now, Capacity: unit.Resources{CPU: 16_000, Memory: 60 << 10}}
	for ref, t := range w.fleet[at] {
		s := worker.Status{
			Task: ref.Task, Attempt: ref.Attempt, Kind: t.start.Kind, Limit: t.start.Limit, Phase: worker.Running,
			Usage: t.start.Limit, Ran: w.now.Sub(t.at), Progress: float64(w.now.Sub(t.at)) / float64(taskRun),
		}
		if w.now.Sub(t.at) >= taskRun {
			s.Phase, s.Progress = worker.Finished, 1
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

// Release drops an attempt.
func (w *workBench) Release(_ context.Context, at unit.Worker, c worker.Command) error {
	delete(w.fleet[at], worker.Ref{Task: c.Task, Attempt: c.Attempt})
	return nil
}
