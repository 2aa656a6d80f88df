package process

import (
	"context"

	"mimosadock/entry/admin"
	"mimosadock/entry/control"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/job"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// errNoJournal is returned for requests about jobs by a process without a
// journal.
var errNoJournal = verdict.Refuse("this process has no journal, so it takes no jobs")

// Submit submits a job to the owner of its home data centre. If this process has
// not read a record of the job from the journal, HomeForNewJob selects the home.
func (b *backend) Submit(ctx context.Context, team unit.Team, s admin.Submission) (admin.Job, error) {
	spec := job.Spec{ID: s.ID, Team: team, Kind: s.Kind, Tasks: max(1, s.Tasks), Size: s.Size, Payload: s.Payload}
	home, err := control.Query(ctx, b.loop(), func(s *control.State, _ clock.Millis) unit.DataCentre {
		if home, ok := s.JobHome(spec.ID); ok {
			return home
		}
		return s.HomeForNewJob()
	})
	if err != nil {
		return admin.Job{}, err
	}
	if err := b.requestFromOwner(ctx, control.SubmitJob, home, spec); err != nil {
		return admin.Job{}, err
	}
	j, err := b.Job(ctx, s.ID)
	if err != nil { // the owner accepted it, but this process has not read it yet
		return admin.Job{ID: s.ID, Team: team, Kind: s.Kind, State: job.StateWaiting.String(), DataCentre: home}, nil
	}
	return j, nil
}

// Cancel cancels a job through the owner of its home data centre and returns the
// job with its new state.
func (b *backend) Cancel(ctx context.Context, _ string, id unit.Job) (admin.Job, error) {
	row, err := b.jobRow(ctx, id)
	if err != nil {
		return admin.Job{}, err
	}
	if err := b.requestFromOwner(ctx, control.CancelJob, row.Home, job.Spec{ID: id}); err != nil {
		return admin.Job{}, err
	}
	return b.Job(ctx, id)
}

// requestFromOwner sends a job action to the owner of a data centre and returns
// the owner's error. If the owner does not respond in time, the verdict is
// MayHaveRun.
func (b *backend) requestFromOwner(ctx context.Context, a control.JobAction, home unit.DataCentre, spec job.Spec) error {
	if b.process.jobRunner == nil {
		return errNoJournal
	}
	reply := make(chan control.JobReply, 1)
	r, err := control.SendAndWait(ctx, b.loop(), control.SendJobRequest{Action: a, Home: home, Spec: spec, Reply: reply}, reply)
	if err != nil {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "owner of the data centre did not answer in time", Err: err}
	}
	return r.Err
}

// Jobs returns the jobs of a team, or of all teams if team is empty.
func (b *backend) Jobs(ctx context.Context, team unit.Team) ([]admin.Job, error) {
	found, err := control.Query(ctx, b.loop(), func(s *control.State, _ clock.Millis) []control.JobRow { return s.Jobs(team) })
	rows := make([]admin.Job, 0, len(found))
	for i := range found {
		rows = append(rows, adminJob(&found[i]))
	}
	return rows, err
}

// Job returns a job with its tasks, or [admin.ErrNotFound].
func (b *backend) Job(ctx context.Context, id unit.Job) (admin.Job, error) {
	row, err := b.jobRow(ctx, id)
	if err != nil {
		return admin.Job{}, err
	}
	return adminJob(row), nil
}

// jobRow returns the control goroutine's row of a job, or [admin.ErrNotFound].
func (b *backend) jobRow(ctx context.Context, id unit.Job) (*control.JobRow, error) {
	row, err := control.Query(ctx, b.loop(), func(s *control.State, _ clock.Millis) *control.JobRow { return s.Job(id) })
	if err == nil && row == nil {
		err = admin.ErrNotFound
	}
	return row, err
}

// adminJob converts a row of the control goroutine to a job of package admin.
func adminJob(r *control.JobRow) admin.Job {
	j := admin.Job{ID: r.Spec.ID, Team: r.Spec.Team, Kind: r.Spec.Kind, State: r.State.String(), DataCentre: r.Home}
	for _, t := range r.Tasks {
		progress := t.Saved
		if t.State == job.StateFinished {
			progress = 1
		}
		j.Tasks = append(j.Tasks, admin.Task{
			ID: t.ID, State: t.State.String(), Attempt: t.Attempt, Worker: t.Worker,
			Progress: progress, Evicted: t.Evictions, Reason: t.WaitsOn, GapMs: t.InterruptedTime,
		})
	}
	return j
}

// Usage returns the quota and the resource usage of each team.
func (b *backend) Usage(ctx context.Context) ([]admin.Usage, error) {
	text := b.Text()
	if text == nil {
		return nil, nil
	}
	return control.Query(ctx, b.loop(), func(s *control.State, _ clock.Millis) []admin.Usage {
		uses := s.TeamUsage()
		rows := make([]admin.Usage, 0, len(text.Teams))
		for _, t := range text.Teams {
			u := uses[t.Name]
			rows = append(rows, admin.Usage{Team: t.Name, Quota: t.Quota, Used: u.Used, Share: s.ShareOf(u), Tasks: u.Tasks})
		}
		return rows
	})
}
