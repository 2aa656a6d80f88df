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

// reportTasks is the number of tasks of the batch job, as many as the workers
// can run at once.
const reportTasks = 4

// run starts the site, submits the jobs, sends the requests and returns the rows
// of the result table. After an error it returns the rows that are complete.
func run(ctx context.Context, checks int) (rows []row, err error) {
	s, err := openSite(ctx)
	defer func() { err = errors.Join(err, s.close()) }()
	if err != nil {
		return nil, err
	}
	applyTime, err := s.configure(ctx)
	if err != nil {
		return nil, err
	}
	rows = append(rows, row{"configuration", 1, 1, fmt.Sprintf("in force in %d processes after %d ms", processCount, applyTime.Milliseconds()), applyTime < 4*time.Second})
	if err := await(ctx, "slots are granted", func() bool { return sendRequest(ctx, s.processes[0], "lookup", "first", 1) == nil }); err != nil {
		return rows, err
	}
	if err := s.fillWorkers(ctx); err != nil {
		return rows, err
	}
	requests := make(chan []row, 1)
	g := group.New(ctx)
	g.Go("requests", func(ctx context.Context) error {
		requests <- s.sendRequests(ctx, checks)
		return nil
	})
	work, err := s.runJobs(ctx)
	rows = append(rows, work...)
	_ = g.Wait()
	return append(rows, <-requests...), err
}

// configure applies the services text. It returns the time from the acceptance
// of the text until the text is in force in all processes.
func (s *site) configure(ctx context.Context) (time.Duration, error) {
	var lastErr error
	if err := await(ctx, "the text is accepted", func() bool {
		var applied struct {
			Revision unit.Revision `json:"revision"`
		}
		lastErr = callOperator(ctx, s.processes[0], "PUT", "/v1/config", admin.Change{Text: servicesText}, &applied)
		return lastErr == nil
	}); err != nil {
		return 0, fmt.Errorf("%w; last answer: %w", err, lastErr)
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

// fillWorkers submits a standing job and a batch job that fills all workers. It
// waits until every task of the batch job has saved a checkpoint.
func (s *site) fillWorkers(ctx context.Context) error {
	p := s.processes[processCount-1] // in another data centre than the workers
	if err := submit(ctx, p, "farms", admin.Submission{ID: "feed", Kind: "feed", Tasks: 1}); err != nil {
		return err
	}
	if err := submit(ctx, p, "farms", admin.Submission{ID: "reports", Kind: "report", Tasks: reportTasks}); err != nil {
		return err
	}
	return await(ctx, "all reports have a checkpoint", func() bool {
		j := getJob(ctx, p, "reports")
		saved := 0
		for _, t := range j.Tasks {
			if t.Progress > 0 {
				saved++
			}
		}
		return saved == reportTasks
	})
}

// runJobs submits a latency-critical job whose task fits only if a batch task is
// evicted, and waits until that job and the batch job have finished. It returns
// the rows of the jobs. If waiting fails, it returns the rows and the error.
func (s *site) runJobs(ctx context.Context) ([]row, error) {
	p := s.processes[0]
	resumptions := make(map[unit.Task]resumption)
	s.recordAttempts(resumptions)
	submittedAt := time.Now()
	if err := submit(ctx, p, "marts", admin.Submission{ID: "ring", Kind: "ring", Tasks: 1}); err != nil {
		return nil, err
	}
	var startDelay time.Duration
	err := await(ctx, "the latency-critical task runs", func() bool {
		j := getJob(ctx, p, "ring")
		startDelay = time.Since(submittedAt)
		return len(j.Tasks) == 1 && j.Tasks[0].Attempt > 0
	})
	if err == nil {
		err = await(ctx, "the jobs have finished", func() bool {
			s.recordAttempts(resumptions)
			return getJob(ctx, p, "ring").State == "finished" && getJob(ctx, p, "reports").State == "finished"
		})
	}
	reports, feed := getJob(ctx, p, "reports"), getJob(ctx, p, "feed")
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
		{"urgent task", 1, countFinished(getJob(ctx, p, "ring")), fmt.Sprintf("started after %d ms on full workers", startDelay.Milliseconds()), startDelay < 2300*time.Millisecond},
		{"batch tasks", reportTasks, countFinished(reports), fmt.Sprintf("%d eviction(s), %d resumed from a checkpoint", evicted, countResumed(resumptions)), countFinished(reports) == reportTasks && evicted > 0 && countResumed(resumptions) > 0},
		{"standing task", 1, int64(running), "still running", running == 1},
	}, err
}

// resumption holds what was observed on the workers about the attempts of one
// task.
type resumption struct {
	lastAttempt unit.Attempt
	checkpoint  string // from which a later attempt resumed; empty if none did
}

// recordAttempts updates resumptions with the attempts that run on the workers.
// For a task that runs as a later attempt than before, it stores the checkpoint
// that the attempt had when it was first observed.
func (s *site) recordAttempts(resumptions map[unit.Task]resumption) {
	for _, w := range s.workers {
		for _, l := range w.Running(nil) {
			r, known := resumptions[l.Task]
			if known && l.Attempt > r.lastAttempt {
				r.checkpoint = l.Checkpoint
			}
			r.lastAttempt = l.Attempt
			resumptions[l.Task] = r
		}
	}
}

// countResumed returns the number of tasks that resumed from a checkpoint.
func countResumed(resumptions map[unit.Task]resumption) int {
	n := 0
	for _, r := range resumptions {
		if r.checkpoint != "" {
			n++
		}
	}
	return n
}

// countFinished returns the number of finished tasks of a job.
func countFinished(j admin.Job) int64 {
	n := int64(0)
	for _, t := range j.Tasks {
		if t.State == "finished" {
			n++
		}
	}
	return n
}

// sendRequests concurrently sends one long watch, one order and a sequence of
// short checks. It returns their rows.
func (s *site) sendRequests(ctx context.Context, checks int) []row {
	g := group.New(context.WithoutCancel(ctx))
	var watch, order error
	whole := int64(0)
	g.Go("watch", func(ctx context.Context) error {
		watch = sendRequest(ctx, s.processes[1], "watch", "watch-1", 3000)
		return nil
	})
	g.Go("order", func(ctx context.Context) error {
		order = sendRequest(ctx, s.processes[2], "order", "order-1", 20)
		return nil
	})
	g.Go("checks", func(ctx context.Context) error {
		for i := range checks {
			if sendRequest(ctx, s.processes[i%processCount], "lookup", fmt.Sprintf("check-%d", i), 2) == nil {
				whole++
			}
		}
		return nil
	})
	_ = g.Wait()
	orders, peak := 0, int64(0)
	for _, u := range s.upstreams {
		orders += u.RunCount("order-1")
		peak = max(peak, u.MaxInFlight())
	}
	return []row{
		{"short checks", int64(checks), whole, "whole answers, over three processes", whole == int64(checks)},
		{"order, not idempotent", 1, countSuccess(order), fmt.Sprintf("ran %d time(s)", orders), order == nil && orders == 1},
		{"long watch", 1, countSuccess(watch), "beside the checks", watch == nil},
		{"upstream slots", slotsPerUpstream, peak, "most in flight on one upstream", peak <= slotsPerUpstream},
	}
}

// countSuccess returns 1 if err is nil and 0 otherwise.
func countSuccess(err error) int64 {
	if err != nil {
		return 0
	}
	return 1
}
