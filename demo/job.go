package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mimosadock/entry/admin"
	"mimosadock/schedule/group"
	"mimosadock/schedule/unit"
)

// reportTasks are as many as the workers hold at once.
const reportTasks = 4

// run starts the site, sends the work and returns what happened.
func run(ctx context.Context, checks int) (rows []row, err error) {
	s, err := openSite(ctx)
	defer func() { err = errors.Join(err, s.close()) }()
	if err != nil {
		return nil, err
	}
	inForce, err := s.configure(ctx)
	if err != nil {
		return nil, err
	}
	rows = append(rows, row{"configuration", 1, 1, fmt.Sprintf("in force in %d processes after %d ms", processes, inForce.Milliseconds()), inForce < 4*time.Second})
	if err := await(ctx, "slots are granted", func() bool { return send(ctx, s.processes[0], "lookup", "first", 1) == nil }); err != nil {
		return rows, err
	}
	if err := s.fill(ctx); err != nil {
		return rows, err
	}
	requests := make(chan []row, 1)
	g := group.New(ctx)
	g.Go("requests", func(ctx context.Context) error {
		requests <- s.requests(ctx, checks)
		return nil
	})
	work, err := s.work(ctx)
	rows = append(rows, work...)
	_ = g.Wait()
	return append(rows, <-requests...), err
}

// configure applies the services text and returns how long it took until it
// was in force everywhere.
func (s *site) configure(ctx context.Context) (time.Duration, error) {
	var last error
	if err := await(ctx, "the text is accepted", func() bool {
		var applied struct {
			Revision unit.Revision `json:"revision"`
		}
		last = call(ctx, s.processes[0], "PUT", "/v1/config", admin.Change{Text: servicesText}, &applied)
		return last == nil
	}); err != nil {
		return 0, fmt.Errorf("%w; last answer: %w", err, last)
	}
	accepted := time.Now()
	err := await(ctx, "the text is in force", func() bool {
		for _, p := range s.processes {
			if v := p.Loop.View(); v.Revision != 1 || !v.Ready {
				return false
			}
		}
		return true
	})
	return time.Since(accepted), err
}

// fill submits standing work and a batch job that takes all workers, and waits
// until the latter has run long enough for a checkpoint.
func (s *site) fill(ctx context.Context) error {
	p := s.processes[processes-1] // of another data centre than the workers
	if err := submit(ctx, p, "farms", admin.Submission{ID: "feed", Kind: "feed", Tasks: 1}); err != nil {
		return err
	}
	if err := submit(ctx, p, "farms", admin.Submission{ID: "reports", Kind: "report", Tasks: reportTasks}); err != nil {
		return err
	}
	return await(ctx, "all reports have a checkpoint", func() bool {
		j := show(ctx, p, "reports")
		saved := 0
		for _, t := range j.Tasks {
			if t.Progress > 0 {
				saved++
			}
		}
		return saved == reportTasks
	})
}

// work submits an urgent task that needs the room of a batch task, and waits
// for the end of both jobs.
func (s *site) work(ctx context.Context) ([]row, error) {
	p := s.processes[0]
	seen := make(map[unit.Task]resumption)
	s.noteResumed(seen)
	began := time.Now()
	if err := submit(ctx, p, "marts", admin.Submission{ID: "ring", Kind: "ring", Tasks: 1}); err != nil {
		return nil, err
	}
	var start time.Duration
	err := await(ctx, "the urgent task runs", func() bool {
		j := show(ctx, p, "ring")
		start = time.Since(began)
		return len(j.Tasks) == 1 && j.Tasks[0].Attempt > 0
	})
	if err == nil {
		err = await(ctx, "the jobs have finished", func() bool {
			s.noteResumed(seen)
			return show(ctx, p, "ring").State == "finished" && show(ctx, p, "reports").State == "finished"
		})
	}
	reports, feed := show(ctx, p, "reports"), show(ctx, p, "feed")
	evicted := 0
	for _, t := range reports.Tasks {
		evicted += t.Evicted
	}
	running := 0
	for _, t := range feed.Tasks {
		if t.State == "running" || t.State == "placed" {
			running++
		}
	}
	return []row{
		{"urgent task", 1, done(show(ctx, p, "ring")), fmt.Sprintf("started after %d ms on full workers", start.Milliseconds()), start < 2300*time.Millisecond},
		{"batch tasks", reportTasks, done(reports), fmt.Sprintf("%d eviction(s), %d resumed from a checkpoint", evicted, countResumed(seen)), done(reports) == reportTasks && evicted > 0 && countResumed(seen) > 0},
		{"standing task", 1, int64(running), "still running", running == 1},
	}, err
}

// resumption is what was seen of the attempts of one task.
type resumption struct {
	attempt unit.Attempt // the last one
	from    string       // checkpoint that a later one began from
}

// noteResumed notes which tasks run as a later attempt than before, and the
// checkpoint that they had when the attempt was first seen.
func (s *site) noteResumed(seen map[unit.Task]resumption) {
	for _, w := range s.workers {
		for _, l := range w.Running(nil) {
			r, known := seen[l.Task]
			if known && l.Attempt > r.attempt {
				r.from = l.From
			}
			r.attempt = l.Attempt
			seen[l.Task] = r
		}
	}
}

func countResumed(seen map[unit.Task]resumption) int {
	n := 0
	for _, r := range seen {
		if r.from != "" {
			n++
		}
	}
	return n
}

func done(j admin.Job) int64 {
	n := int64(0)
	for _, t := range j.Tasks {
		if t.State == "finished" {
			n++
		}
	}
	return n
}

// requests sends one long watch, one order and many short checks at once.
func (s *site) requests(ctx context.Context, checks int) []row {
	g := group.New(context.WithoutCancel(ctx))
	var watch, order error
	whole := int64(0)
	g.Go("watch", func(ctx context.Context) error {
		watch = send(ctx, s.processes[1], "watch", "watch-1", 3000)
		return nil
	})
	g.Go("order", func(ctx context.Context) error { order = send(ctx, s.processes[2], "order", "order-1", 20); return nil })
	g.Go("checks", func(ctx context.Context) error {
		for i := range checks {
			if send(ctx, s.processes[i%processes], "lookup", fmt.Sprintf("check-%d", i), 2) == nil {
				whole++
			}
		}
		return nil
	})
	_ = g.Wait()
	orders, peak := 0, int64(0)
	for _, u := range s.upstreams {
		orders += u.Ran("order-1")
		peak = max(peak, u.Peak())
	}
	return []row{
		{"short checks", int64(checks), whole, "whole answers, over three processes", whole == int64(checks)},
		{"order, not idempotent", 1, one(order), fmt.Sprintf("ran %d time(s)", orders), order == nil && orders == 1},
		{"long watch", 1, one(watch), "beside the checks", watch == nil},
		{"upstream slots", slots, peak, "most in flight on one upstream", peak <= slots},
	}
}

func one(err error) int64 {
	if err != nil {
		return 0
	}
	return 1
}
