package dispatch

import (
	"errors"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// ErrFenced reports that an append was refused because another owner has used a
// higher epoch.
var ErrFenced = errors.New("another owner holds the shard")

// ErrRefused reports that the store refuses an append for what it contains, and
// would refuse it again.
var ErrRefused = errors.New("the store refuses the records")

// Record is one keyed record of the store. A record without a value deletes
// its key.
type Record struct {
	Key   string
	Value []byte
}

// Target is the incarnation of an executor that an order is made for.
//
// The platform tells executors apart by their ids only, so that a later
// incarnation under the same id can receive the order. An answer to an order names
// the incarnation that gave it, or its clock reading is below one that was read
// before; see [Target.answeredBy].
type Target struct {
	Executor    unit.Executor
	Address     string
	Incarnation unit.UnixMillis
	Clock       unit.ExecutorMillis // reading of the clock of the incarnation before the order was sent, 0 if none
	Connections int                 // number of connections to the executor that the owner may open, at least [MinConnections]; 0 is MinConnections
}

// Order is an order to an executor: a [StartOrder], [StopOrder], [PaceOrder]
// or [HoldOrder]. An [AdviceRequest] goes to the advisor instead, and a
// [LoanRequest] to the owner of another shard; they have no target.
type Order struct {
	To     Target
	Start  *StartOrder
	Stop   *StopOrder
	Pace   *PaceOrder
	Hold   *HoldOrder
	Advise *AdviceRequest
	Loan   *LoanRequest
}

// token returns the fencing token of an order to an executor.
func (o *Order) token() unit.Token {
	switch {
	case o.Start != nil:
		return o.Start.Token
	case o.Stop != nil:
		return o.Stop.Token
	case o.Pace != nil:
		return o.Pace.Token
	case o.Hold != nil:
		return o.Hold.Token
	}
	return 0
}

// StartOrder starts a run.
type StartOrder struct {
	Task       TaskID
	Run        unit.Run
	Payload    string
	Deadline   unit.ExecutorMillis // the executor refuses the start after this time, and otherwise extends its lease to it
	Token      unit.Token
	Checkpoint unit.Checkpoint
	Ticket     unit.Ticket // empty if the queue needs none
}

// StopOrder ends a run. If the run has not started, the order keeps it from
// starting.
type StopOrder struct {
	Task  TaskID
	Run   unit.Run
	Token unit.Token
}

// PaceOrder sets the share of full pace at which a run works.
type PaceOrder struct {
	Task    TaskID
	Run     unit.Run
	Percent unit.Percent
	Token   unit.Token
}

// HoldOrder renews the lease of an executor and requests its run lists.
type HoldOrder struct {
	Deadline unit.ExecutorMillis // new end of the lease; 0 does not renew it
	Token    unit.Token
	LastSeen unit.EndNumber // the executor may discard ends up to this number; 0 if there are no new ones
	Wait     clock.Span     // longest time that the executor may wait for an end before it answers
	Sent     clock.Millis
}

// Outcome is the result of an order.
type Outcome int

// The outcomes. [OutcomeUnknown], the zero value, means that the order may have
// been carried out. [OutcomeFenced] means that the executor has received a higher
// fencing token, [OutcomeStaleRun] that the executor has already started or
// stopped this or a later run of the task, [OutcomeDeadlinePassed] that the
// deadline of a start has passed on its clock, [OutcomeNoRoom] that its free
// capacity is too small, [OutcomeNoTicket] that a start has no valid ticket,
// [OutcomeOtherIncarnation] that another incarnation answers at the address,
// [OutcomeInvalid] that the executor rejects the order as malformed,
// [OutcomeBusy] that it can't take the order now, and [OutcomeNotSent] that the
// process did not send a start, because the executor takes none any more.
const (
	OutcomeUnknown          Outcome = iota // unknown
	OutcomeDone                            // done
	OutcomeFenced                          // fenced
	OutcomeStaleRun                        // old
	OutcomeDeadlinePassed                  // late
	OutcomeNoRoom                          // noRoom
	OutcomeNoTicket                        // noTicket
	OutcomeOtherIncarnation                // otherLife
	OutcomeInvalid                         // invalid
	OutcomeBusy                            // busy
	OutcomeNotSent                         // notSent
)

// Answer is an executor's answer to an order.
type Answer struct {
	Outcome     Outcome
	Clock       unit.ExecutorMillis // reading of the clock of the executor, 0 if not reported
	Incarnation unit.UnixMillis     // start time of the executor's incarnation, 0 if not reported
	Running     []RunningRun        // in answers to holds
	Finished    []FinishedRun       // in answers to holds
}

// RunningRun is a run that exists on an executor, as its run list reports it.
type RunningRun struct {
	Task        TaskID
	Run         unit.Run
	Checkpoint  unit.Checkpoint
	Progress    unit.Percent
	Measurement int64 // tail latency in ms of a serving task, else processor time in use in thousandths of a core
}

// FinishedRun is a run that has ended.
type FinishedRun struct {
	Number     unit.EndNumber
	Task       TaskID
	Run        unit.Run
	Kind       EndKind
	Checkpoint unit.Checkpoint
}

// Registration is an executor's entry in the platform's list.
type Registration struct {
	Executor    unit.Executor
	Service     unit.Service
	Address     string
	DataCentre  unit.DataCentre
	Capacity    unit.Resources
	Labels      []unit.Label
	Incarnation unit.UnixMillis // start time of the incarnation, 0 if not reported
	Draining    bool
	TimeLeft    clock.Span // shortest time until a draining executor leaves
}

// Registrations are changes of the platform's list of executors.
type Registrations struct {
	Complete    bool // Entries is the complete list
	Entries     []Registration
	Removed     []unit.Executor
	Undecodable []UndecodableEntry // no news of the executors that they name
}

// UndecodableEntry is an entry of the platform's list that does not describe a
// usable executor.
type UndecodableEntry struct {
	Executor unit.Executor // key of the entry, empty if it can't be decoded
	Reason   string
}
