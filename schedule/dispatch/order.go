package dispatch

import (
	"errors"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// ErrFenced says that another owner has used a higher epoch.
var ErrFenced = errors.New("another owner holds the shard")

// Record is one keyed record of the store. A record without a value drops its
// key.
type Record struct {
	Key   string
	Value []byte
}

// Target is where an order goes.
type Target struct {
	Executor unit.Executor
	Address  string
}

// Order is an order to an executor: a [StartOrder], [StopOrder], [PaceOrder]
// or [HoldOrder]; or an [AdviseOrder], which goes to no executor.
type Order struct {
	To     Target
	Start  *StartOrder
	Stop   *StopOrder
	Pace   *PaceOrder
	Hold   *HoldOrder
	Advise *AdviseOrder
}

// StartOrder starts a run.
type StartOrder struct {
	Task       TaskID
	Run        unit.Run
	Payload    string
	Deadline   unit.ExecutorMillis
	Token      unit.Token
	Checkpoint unit.Checkpoint
	Ticket     unit.Ticket // empty where the queue needs none
}

// StopOrder ends a run, or keeps it from starting.
type StopOrder struct {
	Task  TaskID
	Run   unit.Run
	Token unit.Token
}

// PaceOrder sets the share at which a run works.
type PaceOrder struct {
	Task    TaskID
	Run     unit.Run
	Percent unit.Percent
	Token   unit.Token
}

// HoldOrder renews the lease of an executor and asks what runs there.
type HoldOrder struct {
	Deadline unit.ExecutorMillis // 0 does not renew
	Token    unit.Token
	LastSeen unit.EndNumber // ends up to it may be forgotten
	Wait     clock.Span     // for an end
	Sent     clock.Millis
}

// Outcome tells what became of an order.
type Outcome int

// The outcomes. The zero value is the careful one.
const (
	OutcomeUnknown   Outcome = iota // unknown
	OutcomeDone                     // done
	OutcomeFenced                   // fenced
	OutcomeOld                      // old
	OutcomeLate                     // late
	OutcomeNoRoom                   // noRoom
	OutcomeNoTicket                 // noTicket
	OutcomeOtherLife                // otherLife
	OutcomeInvalid                  // invalid
	OutcomeBusy                     // busy
)

// Answer is an executor's answer to an order.
type Answer struct {
	Outcome  Outcome
	Clock    unit.ExecutorMillis
	Born     unit.UnixMillis // start of the executor's life, 0 if not told
	Running  []RunningRun    // of a hold
	Finished []FinishedRun   // of a hold
}

// RunningRun is a run that an executor holds.
type RunningRun struct {
	Task       TaskID
	Run        unit.Run
	Checkpoint unit.Checkpoint
	Progress   unit.Percent
	Figure     int64 // tail latency in ms of a task that serves, else thousandths of a core in use
}

// FinishedRun is a run that has ended.
type FinishedRun struct {
	Number     unit.EndNumber
	Task       TaskID
	Run        unit.Run
	How        EndKind
	Checkpoint unit.Checkpoint
}

// Registration is an executor's entry in the platform's list.
type Registration struct {
	Executor   unit.Executor
	Service    unit.Service
	Address    string
	DataCentre unit.DataCentre
	Capacity   unit.Resources
	Labels     []unit.Label
	Born       unit.UnixMillis // 0 if not told
	Draining   bool
	Leaves     clock.Span // least time left while draining
}

// Registrations are changes of the platform's list of executors.
type Registrations struct {
	Whole   bool // Entries are all there are
	Entries []Registration
	Removed []unit.Executor
	Foreign int // entries of other writers, which name no executor to use
}
