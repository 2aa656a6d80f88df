package admin

import (
	"context"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// Config is a services text that is or was in force, with its author.
type Config struct {
	Revision unit.Revision `json:"revision"`
	Text     string        `json:"text,omitempty"` // empty in a history
	Author   string        `json:"author,omitempty"`
	UnixMs   int64         `json:"unixMs,omitempty"` // time of the proposal, for display only
}

// Change is a proposed services text with the revision that it is based on.
type Change struct {
	BaseRevision unit.Revision `json:"baseRevision"`
	Text         string        `json:"text"`
}

// Conflict is the error of a change whose base revision is no longer in force.
type Conflict struct {
	Newer unit.Revision `json:"newerRevision"`
	Diff  string        `json:"diff"` // from the refused text to the one in force
}

// Error returns a fixed text. The revision in force is in the field Newer.
func (c *Conflict) Error() string { return "the configuration has changed since the base revision" }

// Submission is the request of a team to run a job.
type Submission struct {
	ID      unit.Job       `json:"id"` // chosen by the caller
	Kind    unit.Kind      `json:"kind"`
	Tasks   int            `json:"tasks"`
	Size    unit.Resources `json:"size,omitzero"` // of one task; zero selects the default of the kind
	Payload []byte         `json:"payload,omitempty"`
}

// Task is the state of a task in responses.
type Task struct {
	ID       unit.Task    `json:"id"`
	State    string       `json:"state"`
	Attempt  unit.Attempt `json:"attempt"`
	Worker   unit.Worker  `json:"worker,omitempty"`
	Progress float64      `json:"progress"` // in [0, 1]
	Evicted  int          `json:"evicted"`
	Reason   string       `json:"reason,omitempty"` // cause of waiting or of the end
	GapMs    clock.Span   `json:"gapMs,omitempty"`  // total time that a standing task was not running
}

// Job is the state of a job in responses.
type Job struct {
	ID         unit.Job        `json:"id"`
	Team       unit.Team       `json:"team"`
	Kind       unit.Kind       `json:"kind"`
	State      string          `json:"state"`
	DataCentre unit.DataCentre `json:"dataCentre"`
	Tasks      []Task          `json:"tasks,omitempty"`
}

// Host is the state of a host in responses.
type Host struct {
	Address    string          `json:"address"`
	DataCentre unit.DataCentre `json:"dataCentre"`
	Rack       unit.Rack       `json:"rack,omitempty"`
	Role       string          `json:"role"`
	State      string          `json:"state"`
	Slots      unit.Slots      `json:"slots,omitempty"`
	Capacity   unit.Resources  `json:"capacity,omitzero"`
	Used       unit.Resources  `json:"used,omitzero"`
}

// Service is a service with this process's view of its upstreams and slots.
type Service struct {
	service.Service
	Upstreams int        `json:"upstreams"`
	Held      unit.Slots `json:"slotsHeld"`
	Used      unit.Slots `json:"slotsUsed"`
}

// Usage is the quota of a team and its use.
type Usage struct {
	Team  unit.Team      `json:"team"`
	Quota unit.Resources `json:"quota"`
	Used  unit.Resources `json:"used"`
	Share float64        `json:"dominantShare"`
	Tasks int            `json:"tasks"`
}

// Status is a summary of the state of one process.
type Status struct {
	Instance   unit.Instance     `json:"instance"`
	DataCentre unit.DataCentre   `json:"dataCentre"`
	Ready      bool              `json:"ready"`
	Revision   unit.Revision     `json:"revision"`
	Members    int               `json:"members"`
	Owns       []unit.DataCentre `json:"owns"`
	Journal    string            `json:"journal"` // state of the connection to the journal
	Jobs       map[string]int    `json:"jobs"`    // number of jobs by state
}

// Backend carries out the requests of the interface. Its errors have a verdict.
// The error for an unknown name is [ErrNotFound].
type Backend interface {
	Status(ctx context.Context) (Status, error)
	Text() *service.Text
	Config(ctx context.Context) (Config, error)
	Apply(ctx context.Context, author string, c Change) (unit.Revision, error)
	History(ctx context.Context, limit int) ([]Config, error)
	Hosts(ctx context.Context) ([]Host, error)
	Drain(ctx context.Context, author, address string) error
	Services(ctx context.Context) ([]Service, error)
	Usage(ctx context.Context) ([]Usage, error)
	Submit(ctx context.Context, team unit.Team, s Submission) (Job, error)
	Jobs(ctx context.Context, team unit.Team) ([]Job, error) // all jobs if team is empty
	Job(ctx context.Context, id unit.Job) (Job, error)
	Cancel(ctx context.Context, author string, id unit.Job) (Job, error)
	Dump(ctx context.Context) (any, error)
}
