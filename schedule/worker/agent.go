package worker

import (
	"context"
	"errors"
	"fmt"

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

// MarshalText returns the name of p.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText sets p from its name.
func (p *Phase) UnmarshalText(text []byte) error {
	for c := Unknown; c <= Failed; c++ {
		if c.String() == string(text) {
			*p = c
			return nil
		}
	}
	return fmt.Errorf("worker: unknown phase %q", text)
}

// Live reports whether an attempt in phase p uses the worker.
func (p Phase) Live() bool { return p == Running || p == Checkpointing }

// Command is the part that all commands to a worker have in common. A worker
// refuses a command whose Epoch is lower than the highest that it has seen.
type Command struct {
	Epoch   unit.Epoch   `json:"epoch"`
	Task    unit.Task    `json:"task"`
	Attempt unit.Attempt `json:"attempt"`
}

// Start asks a worker to start an attempt. The lease counts from Stamp, so that
// a start that was delayed on its way is refused once it could clash with a
// later attempt elsewhere.
type Start struct {
	Command
	Instance   unit.Instance  `json:"instance"` // of the worker's last report; another one refuses
	Stamp      clock.Millis   `json:"stampMs"`  // of the worker's last report
	Kind       unit.Kind      `json:"kind"`
	Limit      unit.Resources `json:"limit"`
	Lease      clock.Span     `json:"leaseMs"`
	Checkpoint string         `json:"checkpoint,omitempty"` // resume from this one; empty starts anew
	Payload    []byte         `json:"payload,omitempty"`
}

// Renewal extends the leases of the named attempts and asks for a report.
// A worker stops attempts of lower epochs that are not named once their own
// lease ends. A lease that has ended is never renewed. Leases count from Stamp,
// for the same reason as that of [Start].
type Renewal struct {
	Epoch    unit.Epoch    `json:"epoch"`
	Instance unit.Instance `json:"instance"` // of the worker's last report; another one only reports
	Stamp    clock.Millis  `json:"stampMs"`  // of the worker's last report
	Lease    clock.Span    `json:"leaseMs"`
	Attempts []Command     `json:"attempts"`
}

// Status is what a worker knows of one attempt. Progress is in [0, 1].
type Status struct {
	Task       unit.Task      `json:"task"`
	Attempt    unit.Attempt   `json:"attempt"`
	Kind       unit.Kind      `json:"kind"`
	Limit      unit.Resources `json:"limit"`
	Phase      Phase          `json:"phase"`
	Usage      unit.Resources `json:"usage"`
	Age        clock.Span     `json:"ageMs"` // how old the usage figures are
	Ran        clock.Span     `json:"ranMs"` // time that the attempt has run
	Progress   float64        `json:"progress"`
	Checkpoint string         `json:"checkpoint,omitempty"` // last whole checkpoint
	Saved      float64        `json:"saved,omitempty"`      // progress at that checkpoint
	Reason     string         `json:"reason,omitempty"`
	Result     []byte         `json:"result,omitempty"`
}

// Report is a worker's answer to a renewal: every attempt that it runs or
// whose result it still keeps.
type Report struct {
	Epoch    unit.Epoch     `json:"epoch"`    // highest epoch seen
	Instance unit.Instance  `json:"instance"` // changes when the worker restarts
	Stamp    clock.Millis   `json:"stampMs"`  // clock of the worker
	Capacity unit.Resources `json:"capacity"`
	Statuses []Status       `json:"statuses"`
}

// ErrFenced is wrapped by the error of a command whose epoch is lower than the
// highest that the worker has seen.
var ErrFenced = errors.New("worker: command of a lower epoch")

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
	// Stop ends an attempt. Its status turns to Stopped. An attempt that the
	// worker does not know is reported as Stopped as well, and a start of it
	// that arrives later is refused.
	Stop(ctx context.Context, w unit.Worker, c Command) error
	// Release drops a kept result. It is called once the journal has it.
	Release(ctx context.Context, w unit.Worker, c Command) error
}
