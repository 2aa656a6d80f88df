package worker

import (
	"context"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

//go:generate go tool stringer -type=Phase -linecomment

// Phase is what a worker reports about an attempt.
type Phase int

// The phases of an attempt at a worker.
const (
	Unknown       Phase = iota // unknown
	Running                    // running
	Checkpointing              // checkpointing
	Stopped                    // stopped
	Finished                   // finished
	Failed                     // failed
)

// Command is the part that all commands to a worker have in common. A worker
// refuses a command whose Epoch is lower than the highest that it has seen.
type Command struct {
	Epoch   unit.Epoch   `json:"epoch"`
	Task    unit.Task    `json:"task"`
	Attempt unit.Attempt `json:"attempt"`
}

// Start asks a worker to start an attempt.
type Start struct {
	Command
	Kind       unit.Kind      `json:"kind"`
	Limit      unit.Resources `json:"limit"`
	Lease      clock.Span     `json:"leaseMs"`
	Checkpoint string         `json:"checkpoint,omitempty"` // resume from this one; empty starts anew
	Payload    []byte         `json:"payload,omitempty"`
}

// Renewal extends the leases of the named attempts and asks for a report.
// A worker stops attempts of lower epochs that are not named once their own
// lease ends.
type Renewal struct {
	Epoch    unit.Epoch `json:"epoch"`
	Lease    clock.Span `json:"leaseMs"`
	Attempts []Command  `json:"attempts"`
}

// Status is what a worker knows of one attempt. Progress is in [0, 1].
type Status struct {
	Task       unit.Task      `json:"task"`
	Attempt    unit.Attempt   `json:"attempt"`
	Phase      Phase          `json:"phase"`
	Usage      unit.Resources `json:"usage"`
	Age        clock.Span     `json:"ageMs"` // how old the usage figures are
	Progress   float64        `json:"progress"`
	Checkpoint string         `json:"checkpoint,omitempty"` // last whole checkpoint
	Reason     string         `json:"reason,omitempty"`
	Result     []byte         `json:"result,omitempty"`
}

// Report is a worker's answer to a renewal: every attempt that it runs or
// whose result it still keeps.
type Report struct {
	Epoch    unit.Epoch     `json:"epoch"` // highest epoch seen
	Capacity unit.Resources `json:"capacity"`
	Statuses []Status       `json:"statuses"`
}

// Agent is the platform's interface to one worker. Errors carry a verdict.
type Agent interface {
	// Start starts an attempt. Starting an attempt that runs already changes
	// nothing.
	Start(ctx context.Context, w unit.Worker, s Start) error
	// Renew extends leases and returns what the worker runs and keeps.
	Renew(ctx context.Context, w unit.Worker, r Renewal) (Report, error)
	// Checkpoint asks for a checkpoint. Its completion shows in a report.
	Checkpoint(ctx context.Context, w unit.Worker, c Command) error
	// Throttle limits an attempt to a share of its processor limit, in (0, 1].
	Throttle(ctx context.Context, w unit.Worker, c Command, share float64) error
	// Stop ends an attempt. Its status turns to Stopped.
	Stop(ctx context.Context, w unit.Worker, c Command) error
	// Release drops a kept result. It is called once the journal has it.
	Release(ctx context.Context, w unit.Worker, c Command) error
}
