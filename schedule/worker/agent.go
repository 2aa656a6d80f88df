package worker

import (
	"context"
	"errors"
	"fmt"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

//go:generate go tool stringer -type=Phase -linecomment

// Phase is the state of an attempt as its worker reports it.
type Phase int

// The phases of an attempt at a worker.
const (
	PhaseUnknown       Phase = iota // unknown
	PhaseRunning                    // running
	PhaseCheckpointing              // checkpointing
	PhaseStopped                    // stopped
	PhaseFinished                   // finished
	PhaseFailed                     // failed
)

// MarshalText returns the text of p. The error is always nil.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText sets p from its text. It returns an error for an unknown
// phase.
func (p *Phase) UnmarshalText(text []byte) error {
	for c := PhaseUnknown; c <= PhaseFailed; c++ {
		if c.String() == string(text) {
			*p = c
			return nil
		}
	}
	return fmt.Errorf("worker: unknown phase %q", text)
}

// Live reports whether an attempt in phase p uses resources of the worker.
func (p Phase) Live() bool { return p == PhaseRunning || p == PhaseCheckpointing }

// Command is the part that all commands to a worker have in common. A worker
// refuses a command whose Epoch is lower than the highest epoch that it has
// received.
type Command struct {
	Epoch   unit.Epoch   `json:"epoch"`
	Task    unit.Task    `json:"task"`
	Attempt unit.Attempt `json:"attempt"`
}

// Start is the command to start an attempt. The lease starts at Stamp, so
// the worker refuses a delayed start that could overlap with a later attempt
// on another worker.
type Start struct {
	Command
	Instance   unit.Instance  `json:"instance"` // of the worker's last report; any other instance refuses the start
	Stamp      clock.Millis   `json:"stampMs"`  // [Report.Stamp] of the worker's last report
	Kind       unit.Kind      `json:"kind"`
	Limit      unit.Resources `json:"limit"`
	Lease      clock.Span     `json:"leaseMs"`
	Checkpoint string         `json:"checkpoint,omitempty"` // to resume from; empty starts from the beginning
	Payload    []byte         `json:"payload,omitempty"`
}

// Renewal extends the leases of the listed attempts and requests a report. It
// does not extend the lease of an attempt that is not listed, such as one of a
// former owner, so the worker stops that attempt when its lease ends. A lease
// that has ended is never renewed. Leases start at Stamp, for the same reason as
// that of [Start].
type Renewal struct {
	Epoch    unit.Epoch    `json:"epoch"`
	Instance unit.Instance `json:"instance"` // of the worker's last report; any other instance renews nothing and only reports
	Stamp    clock.Millis  `json:"stampMs"`  // [Report.Stamp] of the worker's last report
	Lease    clock.Span    `json:"leaseMs"`
	Attempts []Command     `json:"attempts"`
}

// Status is the state of one attempt as its worker reports it. Progress and
// Saved are in [0, 1].
type Status struct {
	Task       unit.Task      `json:"task"`
	Attempt    unit.Attempt   `json:"attempt"`
	Kind       unit.Kind      `json:"kind"`
	Limit      unit.Resources `json:"limit"`
	Phase      Phase          `json:"phase"`
	Usage      unit.Resources `json:"usage"`
	Age        clock.Span     `json:"ageMs"` // age of the usage figures
	RunTime    clock.Span     `json:"ranMs"` // run time of the attempt so far
	Progress   float64        `json:"progress"`
	Checkpoint string         `json:"checkpoint,omitempty"` // last complete checkpoint
	Saved      float64        `json:"saved,omitempty"`      // progress at that checkpoint
	Reason     string         `json:"reason,omitempty"`
	Result     []byte         `json:"result,omitempty"`
}

// Report is a worker's response to a renewal. It lists every attempt that
// the worker runs or whose result it keeps.
type Report struct {
	Epoch    unit.Epoch     `json:"epoch"`    // highest epoch received
	Instance unit.Instance  `json:"instance"` // changes when the worker restarts
	Stamp    clock.Millis   `json:"stampMs"`  // time of the report on the clock of the worker
	Capacity unit.Resources `json:"capacity"`
	Statuses []Status       `json:"statuses"`
}

// ErrFenced is wrapped by the error of a command whose epoch is lower than
// the highest epoch that the worker has received.
var ErrFenced = errors.New("worker: command of a lower epoch")

// Agent is the interface of the platform to its workers. Errors carry a
// verdict.
type Agent interface {
	// Start starts an attempt. It has no effect on an attempt that already
	// runs.
	Start(ctx context.Context, w unit.Worker, s Start) error
	// Renew extends leases and returns a report of what the worker runs and
	// keeps.
	Renew(ctx context.Context, w unit.Worker, r Renewal) (Report, error)
	// Checkpoint requests a checkpoint. A later report shows its completion.
	Checkpoint(ctx context.Context, w unit.Worker, c Command) error
	// Throttle limits an attempt to a share of its processor limit. The
	// share is in (0, 1].
	Throttle(ctx context.Context, w unit.Worker, c Command, share float64) error
	// Stop ends an attempt, whose phase becomes PhaseStopped. The worker reports
	// an unknown attempt as PhaseStopped too and refuses a start of it that
	// arrives later.
	Stop(ctx context.Context, w unit.Worker, c Command) error
	// Release drops a kept result. The owner calls it after the journal
	// holds the result.
	Release(ctx context.Context, w unit.Worker, c Command) error
}
