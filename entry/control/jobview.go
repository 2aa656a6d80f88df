package control

import (
	"cmp"
	"slices"

	"mimosadock/schedule/job"
	"mimosadock/schedule/quota"
	"mimosadock/schedule/unit"
)

// JobRow is a job with its home data centre and its tasks.
type JobRow struct {
	job.Job
	Home  unit.DataCentre
	Tasks []TaskRow
}

// TaskRow is a task with its id.
type TaskRow struct {
	job.Task
	ID unit.Task
}

// TeamUsage holds the declared resources and the number of the active tasks of
// a team.
type TeamUsage struct {
	Used  unit.Resources
	Tasks int
}

// JobHome returns the home data centre of a job, and false if the job is
// unknown.
func (s *State) JobHome(id unit.Job) (unit.DataCentre, bool) {
	for dc, b := range s.boards.All() {
		if (*b).Jobs.Jobs.Get(id) != nil {
			return dc, true
		}
	}
	return "", false
}

// HomeForNewJob returns the home data centre for a new job. It is the data centre
// of this process if that has workers, or else the first one by name that has. If
// none has workers, it is the data centre of this process.
func (s *State) HomeForNewJob() unit.DataCentre {
	var homes []unit.DataCentre
	for dc, b := range s.boards.All() {
		if (*b).Workers.Workers.Len() > 0 {
			homes = append(homes, dc)
		}
	}
	if len(homes) == 0 || slices.Contains(homes, s.Self.DataCentre) {
		return s.Self.DataCentre
	}
	return slices.Min(homes)
}

// Jobs returns the jobs of a team without their tasks, sorted by id. An empty
// team selects all teams.
func (s *State) Jobs(team unit.Team) []JobRow {
	var rows []JobRow
	for dc, b := range s.boards.All() {
		for _, j := range (*b).Jobs.Jobs.All() {
			if team == "" || j.Spec.Team == team {
				rows = append(rows, JobRow{Job: *j, Home: dc})
			}
		}
	}
	slices.SortFunc(rows, func(a, b JobRow) int { return cmp.Compare(a.Spec.ID, b.Spec.ID) })
	return rows
}

// Job returns a job with its tasks, or nil if the job is unknown.
func (s *State) Job(id unit.Job) *JobRow {
	dc, ok := s.JobHome(id)
	if !ok {
		return nil
	}
	t := &s.Board(dc).Jobs
	row := &JobRow{Job: *t.Jobs.Get(id), Home: dc}
	for i := range row.Spec.Tasks {
		task := job.TaskID(id, i)
		if k := t.Tasks.Get(task); k != nil {
			row.Tasks = append(row.Tasks, TaskRow{Task: *k, ID: task})
		}
	}
	return row
}

// TeamUsage returns the usage of each team with active tasks, by the declared
// sizes of the tasks.
func (s *State) TeamUsage() map[unit.Team]TeamUsage {
	uses := make(map[unit.Team]TeamUsage)
	for _, b := range s.boards.All() {
		t := &(*b).Jobs
		for _, k := range t.Tasks.All() {
			j := t.Jobs.Get(k.Job)
			if j == nil || !k.State.Active() {
				continue
			}
			u := uses[j.Spec.Team]
			u.Used, u.Tasks = u.Used.Add(j.Terms.Size), u.Tasks+1
			uses[j.Spec.Team] = u
		}
	}
	return uses
}

// ShareOf returns the dominant share of a usage in the capacity of the services
// text, or zero without a text.
func (s *State) ShareOf(u TeamUsage) float64 {
	if s.Text == nil {
		return 0
	}
	return quota.LargestFraction(u.Used, s.Text.Capacity)
}
