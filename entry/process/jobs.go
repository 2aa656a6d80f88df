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

// errNoWork is the answer to what concerns jobs in a process without a journal.
var errNoWork = verdict.Refuse("this process has no journal, so it takes no jobs")

// Submit submits a job to the owner of its home.
func (b *backend) Submit(ctx context.Context, team unit.Team, s admin.Submission) (admin.Job, error) {
	spec := job.Spec{ID: s.ID, Team: team, Kind: s.Kind, Tasks: max(1, s.Tasks), Size: s.Size, Payload: s.Payload}
	home, err := control.Ask(ctx, b.loop(), func(s *control.State, _ clock.Millis) unit.DataCentre {
		if home, ok := s.JobHome(spec.ID); ok {
			return home
		}
		return s.NewHome()
	})
	if err != nil {
		return admin.Job{}, err
	}
	if err := b.askOwner(ctx, control.SubmitJob, home, spec); err != nil {
		return admin.Job{}, err
	}
	j, err := b.Job(ctx, s.ID)
	if err != nil { // accepted by the owner, but not read here yet
		return admin.Job{ID: s.ID, Team: team, Kind: s.Kind, State: job.StateWaiting.String(), DataCentre: home}, nil
	}
	return j, nil
}

// Cancel cancels a job at the owner of its home and returns what came of it.
func (b *backend) Cancel(ctx context.Context, _ string, id unit.Job) (admin.Job, error) {
	row, err := b.jobRow(ctx, id)
	if err != nil {
		return admin.Job{}, err
	}
	if err := b.askOwner(ctx, control.CancelJob, row.Home, job.Spec{ID: id}); err != nil {
		return admin.Job{}, err
	}
	return b.Job(ctx, id)
}

func (b *backend) askOwner(ctx context.Context, a control.JobAction, home unit.DataCentre, spec job.Spec) error {
	if b.process.work == nil {
		return errNoWork
	}
	reply := make(chan control.JobReply, 1)
	r, err := control.Tell(ctx, b.loop(), control.AskOwner{Action: a, Home: home, Spec: spec, Reply: reply}, reply)
	if err != nil {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "owner of the data centre did not answer in time", Err: err}
	}
	return r.Err
}

// Jobs returns the jobs of a team.
func (b *backend) Jobs(ctx context.Context, team unit.Team) ([]admin.Job, error) {
	found, err := control.Ask(ctx, b.loop(), func(s *control.State, _ clock.Millis) []control.JobRow { return s.Jobs(team) })
	rows := make([]admin.Job, 0, len(found))
	for i := range found {
		rows = append(rows, jobOf(&found[i]))
	}
	return rows, err
}

// Job returns a job with its tasks.
func (b *backend) Job(ctx context.Context, id unit.Job) (admin.Job, error) {
	row, err := b.jobRow(ctx, id)
	if err != nil {
		return admin.Job{}, err
	}
	return jobOf(row), nil
}

func (b *backend) jobRow(ctx context.Context, id unit.Job) (*control.JobRow, error) {
	row, err := control.Ask(ctx, b.loop(), func(s *control.State, _ clock.Millis) *control.JobRow { return s.Job(id) })
	if err == nil && row == nil {
		err = admin.ErrNotFound
	}
	return row, err
}

func jobOf(r *control.JobRow) admin.Job {
	j := admin.Job{ID: r.Spec.ID, Team: r.Spec.Team, Kind: r.Spec.Kind, State: r.State.String(), DataCentre: r.Home}
	for _, t := range r.Tasks {
		progress := t.Saved
		if t.State == job.StateFinished {
			progress = 1
		}
		j.Tasks = append(j.Tasks, admin.Task{
			ID: t.ID, State: t.State.String(), Attempt: t.Attempt, Worker: t.Worker,
			Progress: progress, Evicted: t.Evictions, Reason: t.WaitsOn, GapMs: t.GapTime,
		})
	}
	return j
}

// Usage returns what the teams use.
func (b *backend) Usage(ctx context.Context) ([]admin.Usage, error) {
	text := b.Text()
	if text == nil {
		return nil, nil
	}
	return control.Ask(ctx, b.loop(), func(s *control.State, _ clock.Millis) []admin.Usage {
		uses := s.TeamUses()
		rows := make([]admin.Usage, 0, len(text.Teams))
		for _, t := range text.Teams {
			u := uses[t.Name]
			rows = append(rows, admin.Usage{Team: t.Name, Quota: t.Quota, Used: u.Used, Share: s.ShareOf(u), Tasks: u.Tasks})
		}
		return rows
	})
}
