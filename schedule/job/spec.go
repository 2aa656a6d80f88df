package job

import (
	"bytes"
	"strconv"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// Bounds of a submission. They keep its record within one journal entry and
// the cancellation of a whole job within one tick.
const (
	MaxTasks                      = 10_000
	MaxPayload         unit.Bytes = 64 << 10
	MaxIDBytes                    = 200
	noWorkerRetryAfter            = 5 * clock.Second // while no worker is known
)

// Spec is the submission of a job by a caller. The caller chooses the id.
// Submissions with the same id and the same body are the same job.
type Spec struct {
	ID              unit.Job       `json:"id" cbor:"1,keyasint"`
	Team            unit.Team      `json:"team" cbor:"2,keyasint"`
	Kind            unit.Kind      `json:"kind" cbor:"3,keyasint"`
	Tasks           int            `json:"tasks" cbor:"4,keyasint"`
	Size            unit.Resources `json:"size,omitzero" cbor:"5,keyasint,omitempty"`        // of one task; zero means the size of the kind
	ExpectedRunTime clock.Span     `json:"expectedMs,omitempty" cbor:"6,keyasint,omitempty"` // of one task; zero means the run time of the kind
	Deadline        clock.Span     `json:"deadlineMs,omitempty" cbor:"7,keyasint,omitempty"` // after acceptance; zero means no deadline
	Payload         []byte         `json:"payload,omitempty" cbor:"8,keyasint,omitempty"`
}

// Equal reports whether s and o are the same submission.
func (s Spec) Equal(o Spec) bool {
	return s.ID == o.ID && s.Team == o.Team && s.Kind == o.Kind && s.Tasks == o.Tasks &&
		s.Size == o.Size && s.ExpectedRunTime == o.ExpectedRunTime && s.Deadline == o.Deadline &&
		bytes.Equal(s.Payload, o.Payload)
}

// Terms holds the properties of the kind that apply to a job. They are fixed
// when the job is accepted, so that a later change of the services text does
// not change accepted work.
type Terms struct {
	Class              service.WorkClass `json:"class" cbor:"1,keyasint"`
	Size               unit.Resources    `json:"size" cbor:"2,keyasint"` // declared, of one task
	ExpectedRunTime    clock.Span        `json:"expectedMs,omitempty" cbor:"3,keyasint,omitempty"`
	CheckpointInterval clock.Span        `json:"checkpointMs,omitempty" cbor:"4,keyasint,omitempty"` // zero means no checkpoints
	SafeTwice          bool              `json:"safeTwice,omitempty" cbor:"5,keyasint,omitempty"`    // two attempts of a task may run at the same time
	DependsOn          []string          `json:"dependsOn,omitempty" cbor:"6,keyasint,omitempty"`
}

// TaskID returns the id of the task with the given index, from 0.
func TaskID(j unit.Job, index int) unit.Task {
	return unit.Task(string(j) + "/" + strconv.Itoa(index))
}

// Check returns the terms of a submission. It returns an error with the
// verdict DidNotRun if the submission is invalid, names an unknown team or
// kind, or fits none of capacities, which are those of the known workers. If
// there is no known worker, the error has a retry delay.
func Check(s Spec, text *service.Text, capacities []unit.Resources) (Terms, error) {
	if err := s.validate(); err != nil {
		return Terms{}, err
	}
	if text == nil || text.Team(s.Team) == nil {
		return Terms{}, verdict.Refuse("unknown team %q", s.Team)
	}
	kind := text.Kind(s.Kind)
	if kind == nil {
		return Terms{}, verdict.Refuse("unknown kind %q", s.Kind)
	}
	if kind.Team != s.Team {
		return Terms{}, verdict.Refuse("kind %q belongs to team %q, not to %q", s.Kind, kind.Team, s.Team)
	}
	t := Terms{kind.Class, kind.Resources, kind.ExpectedMs, kind.CheckpointMs, kind.SafeTwice, kind.DependsOn}
	if s.Size != (unit.Resources{}) {
		t.Size = s.Size
	}
	if s.ExpectedRunTime != 0 {
		t.ExpectedRunTime = s.ExpectedRunTime
	}
	return t, t.checkSize(capacities)
}

// validate checks the bounds of the fields of s.
func (s Spec) validate() error {
	switch {
	case s.ID == "" || len(s.ID) > MaxIDBytes:
		return verdict.Refuse("id must have 1 to %d bytes", MaxIDBytes)
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return verdict.Refuse("tasks is %d, allowed are 1 to %d", s.Tasks, MaxTasks)
	case s.Size.CPU < 0 || s.Size.Memory < 0 || s.Size.Accelerators < 0:
		return verdict.Refuse("size has a negative component: %+v", s.Size)
	case s.ExpectedRunTime < 0 || s.Deadline < 0:
		return verdict.Refuse("expectedMs and deadlineMs must not be negative")
	case unit.Bytes(len(s.Payload)) > MaxPayload:
		return verdict.Refuse("payload has %d bytes, allowed are %d", len(s.Payload), MaxPayload)
	}
	return nil
}

// checkSize checks that a task of the job fits at least one worker.
func (t Terms) checkSize(capacities []unit.Resources) error {
	if t.Size.CPU <= 0 || t.Size.Memory <= 0 {
		return verdict.Refuse("size needs processor and memory above zero: %+v", t.Size)
	}
	if len(capacities) == 0 {
		err := verdict.Refuse("no worker is known yet")
		err.RetryAfter = noWorkerRetryAfter
		return err
	}
	for _, c := range capacities {
		if t.Size.Fits(c) {
			return nil
		}
	}
	return verdict.Refuse("a task of size %+v is larger than any worker", t.Size)
}
