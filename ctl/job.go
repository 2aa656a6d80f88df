package main

import (
	"fmt"
	"net/url"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"mimosadock/entry/admin"
	"mimosadock/schedule/unit"
)

// terminalStates are the states in which a job or a task no longer changes.
var terminalStates = []string{"finished", "failed", "cancelled", "impossible"}

// registerJob adds the commands for jobs.
func (c *cli) registerJob(cmd *kingpin.CmdClause) {
	var s admin.Submission
	var id, team, state, payload string
	var interval time.Duration

	submit := cmd.Command("submit", "Submit a job. Submitting the same id and content again refers to the same job.")
	submit.Arg("id", "Id of the job, chosen by you.").Required().StringVar(&id)
	submit.Flag("kind", "Kind of work.").Required().StringVar((*string)(&s.Kind))
	submit.Flag("tasks", "Number of tasks.").Default("1").IntVar(&s.Tasks)
	submit.Flag("payload", "File with the input of the tasks, - for standard input.").StringVar(&payload)
	submit.Flag("team", "Team, for operators.").StringVar(&team)
	submit.Action(func(*kingpin.ParseContext) error { return c.jobSubmit(id, team, payload, s) })

	list := cmd.Command("list", "List jobs.")
	list.Flag("team", "Team, for operators.").StringVar(&team)
	list.Flag("state", "Only jobs in this state.").StringVar(&state)
	list.Action(func(*kingpin.ParseContext) error { return c.jobList(team, state) })

	for name, run := range map[string]func(string) error{"show": c.jobShow, "cancel": c.jobCancel} {
		sub := cmd.Command(name, map[string]string{"show": "Show a job with its tasks.", "cancel": "Cancel a job."}[name])
		sub.Arg("id", "Id of the job.").Required().StringVar(&id)
		sub.Action(func(*kingpin.ParseContext) error { return run(id) })
	}

	watch := cmd.Command("watch", "Follow a job until it ends.")
	watch.Arg("id", "Id of the job.").Required().StringVar(&id)
	watch.Flag("every", "Poll interval.").Default("1s").DurationVar(&interval)
	watch.Action(func(*kingpin.ParseContext) error { return c.jobWatch(id, interval) })
}

func (c *cli) jobSubmit(id, team, payload string, s admin.Submission) error {
	s.ID = unit.Job(id)
	if payload != "" {
		data, err := readText(payload, c.in)
		if err != nil {
			return err
		}
		s.Payload = []byte(data)
	}
	var j admin.Job
	if err := c.client.call(c.ctx, "POST", "/v1/jobs?team="+url.QueryEscape(team), s, &j); err != nil {
		return err
	}
	return c.showJob(j)
}

func (c *cli) jobList(team, state string) error {
	var rows []admin.Job
	q := url.Values{"team": {team}, "state": {state}}
	if err := c.client.call(c.ctx, "GET", "/v1/jobs?"+q.Encode(), nil, &rows); err != nil {
		return err
	}
	return render(c, rows, rows,
		column[admin.Job]{"JOB", func(j admin.Job) any { return j.ID }},
		column[admin.Job]{"TEAM", func(j admin.Job) any { return j.Team }},
		column[admin.Job]{"KIND", func(j admin.Job) any { return j.Kind }},
		column[admin.Job]{"STATE", func(j admin.Job) any { return j.State }},
		column[admin.Job]{"TASKS", func(j admin.Job) any { return len(j.Tasks) }},
	)
}

func (c *cli) job(method, id, suffix string) (admin.Job, error) {
	var j admin.Job
	err := c.client.call(c.ctx, method, "/v1/jobs/"+url.PathEscape(id)+suffix, nil, &j)
	return j, err
}

func (c *cli) jobShow(id string) error {
	j, err := c.job("GET", id, "")
	if err != nil {
		return err
	}
	return c.showJob(j)
}

func (c *cli) jobCancel(id string) error {
	j, err := c.job("POST", id, "/cancel")
	if err != nil {
		return err
	}
	return c.showJob(j)
}

func (c *cli) showJob(j admin.Job) error {
	if c.output != "json" {
		fmt.Fprintf(c.out, "job %s of team %s, kind %s: %s in %s\n", j.ID, j.Team, j.Kind, j.State, j.DataCentre)
	}
	return render(c, j, j.Tasks,
		column[admin.Task]{"TASK", func(t admin.Task) any { return t.ID }},
		column[admin.Task]{"STATE", func(t admin.Task) any { return t.State }},
		column[admin.Task]{"ATTEMPT", func(t admin.Task) any { return t.Attempt }},
		column[admin.Task]{"WORKER", func(t admin.Task) any { return t.Worker }},
		column[admin.Task]{"PROGRESS", func(t admin.Task) any { return fmt.Sprintf("%.0f%%", 100*t.Progress) }},
		column[admin.Task]{"EVICTED", func(t admin.Task) any { return t.Evicted }},
		column[admin.Task]{"REASON", func(t admin.Task) any { return t.Reason }},
	)
}

// jobWatch polls a job and prints a line when its progress has changed, until
// the job ends. The interval is at least 100 ms.
func (c *cli) jobWatch(id string, interval time.Duration) error {
	ticker := time.NewTicker(max(interval, 100*time.Millisecond))
	defer ticker.Stop()
	last := ""
	for {
		j, err := c.job("GET", id, "")
		if err != nil {
			return err
		}
		if line := progressLine(j); line != last && c.output != "json" {
			fmt.Fprintln(c.out, line)
			last = line
		}
		if slices.Contains(terminalStates, j.State) {
			return c.showJob(j)
		}
		select {
		case <-ticker.C:
		case <-c.ctx.Done():
			return c.ctx.Err()
		}
	}
}

// progressLine returns the state of a job, the number of ended tasks and the mean
// progress of all tasks.
func progressLine(j admin.Job) string {
	ended, sum := 0, 0.0
	for _, t := range j.Tasks {
		sum += t.Progress
		if slices.Contains(terminalStates, t.State) {
			ended++
		}
	}
	return fmt.Sprintf("%s: %d of %d tasks ended, progress %.0f%%", j.State, ended, len(j.Tasks), 100*sum/float64(max(1, len(j.Tasks))))
}
