package control

import (
	"sync/atomic"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/maintenance"
	"mimosadock/schedule/unit"
	"mimosadock/scheduler/record"
)

//go:generate go tool stringer -type=Kind,Status,claim,ownership,answerAction -linecomment -output=enums_string.go

// Kind is the kind of a request to the owner of a shard.
type Kind int

// The kinds of requests. [KindProbe] checks that the owner responds,
// [KindPending] counts the jobs of a queue that have not started,
// [KindEvacuate] moves the runs of an executor elsewhere, and [KindLend] requests
// executors for another shard.
const (
	KindProbe    Kind = iota // probe
	KindSubmit               // submit
	KindState                // state
	KindCancel               // cancel
	KindPending              // pending
	KindEvacuate             // evacuate
	KindLend                 // lend
)

// Request is a request to the owner of a shard.
type Request struct {
	Kind  Kind           `cbor:"1,keyasint"`
	Shard unit.Shard     `cbor:"2,keyasint"`
	Job   unit.Job       `cbor:"3,keyasint,omitempty"`
	Spec  *dispatch.Spec `cbor:"4,keyasint,omitempty"` // for KindSubmit
	Queue unit.Queue     `cbor:"5,keyasint,omitempty"` // for KindPending

	Executor unit.Executor         `cbor:"6,keyasint,omitempty"` // for KindEvacuate
	Loan     *dispatch.LoanRequest `cbor:"7,keyasint,omitempty"` // for KindLend
}

// Status is the outcome of a request.
type Status int

// The outcomes of requests. [StatusUndetermined], the zero value and safe
// default, means that the request may or may not have been accepted.
// [StatusNotFound] means that the owner does not have the job or the executor.
// [StatusNotOwner] means that the process does not serve the shard or that its
// membership is not confirmed. [StatusLent] means that another shard uses the
// executor.
const (
	StatusUndetermined Status = iota // unsettled
	StatusAccepted                   // accepted
	StatusRefused                    // refused
	StatusNotFound                   // unknown
	StatusNotOwner                   // notOwner
	StatusLent                       // lent
)

// Reply is the reply to a request.
type Reply struct {
	Status     Status              `cbor:"1,keyasint"`
	State      dispatch.JobState   `cbor:"2,keyasint,omitempty"`
	Count      int                 `cbor:"3,keyasint,omitempty"`
	Reason     string              `cbor:"4,keyasint,omitempty"`
	RetryAfter clock.Span          `cbor:"5,keyasint,omitempty"`
	Held       int                 `cbor:"6,keyasint,omitempty"` // for KindEvacuate: remaining perpetual runs that can't be moved now within the miss budget of their step; Count is the number of all remaining runs
	Loans      *dispatch.LoanReply `cbor:"7,keyasint,omitempty"` // for KindLend
	Borrower   unit.Shard          `cbor:"8,keyasint,omitempty"` // for StatusLent
	Dropped    bool                `cbor:"9,keyasint,omitempty"` // for StatusNotOwner: the owner had the request for some time and has dropped it, so that it never runs
}

// joinOutcome is the follow-up that a join requires. The zero value requires
// none.
type joinOutcome struct {
	released bool // a shard was released; the next join reports this to the store
	rejoin   bool // a shard can only be served under a new generation
}

// The messages to the control goroutine. A message with an epoch applies only
// while the process owns the shard under this epoch.
type (
	requestMessage struct {
		request   *Request
		replyTo   chan<- Reply
		expiresAt clock.Millis // after that, a reply comes too late; 0 if there is no such time
		settled   *atomic.Bool // set by the control goroutine that takes the request, or by the sender that revokes it; nil if it is not revoked
	}
	joinedMessage struct {
		generation unit.Generation
		shards     []unit.Shard
		sentAt     clock.Millis
		sentBootAt clock.Millis // the same instant on the boot clock
		outcome    chan<- joinOutcome
	}
	loadedMessage struct {
		shard   unit.Shard
		epoch   unit.Generation
		records *record.Set
		err     error
	}
	storedMessage struct {
		shard    unit.Shard
		epoch    unit.Generation
		sequence int64      // of the last append
		refused  []unit.Job // jobs whose changes the store refuses for good
		err      error
	}
	orderResultMessage struct {
		shard  unit.Shard
		epoch  unit.Generation
		order  dispatch.Order
		answer dispatch.Answer
		err    error
	}
	adviceResultMessage struct {
		shard    unit.Shard
		epoch    unit.Generation
		request  dispatch.AdviceRequest
		response dispatch.AdviceResponse
		err      error
	}
	loanResultMessage struct {
		shard   unit.Shard
		epoch   unit.Generation
		request *dispatch.LoanRequest
		reply   *dispatch.LoanReply // nil if the request was refused or its outcome is unknown
	}
	registrationsMessage struct{ registrations dispatch.Registrations }
	// maintenanceMessage applies the result of a call to the maintenance plan of
	// the epoch that made the call.
	maintenanceMessage struct {
		epoch unit.Generation
		apply func(state *maintenanceState, now clock.Millis)
	}
	wavesMessage struct{ waves []maintenance.Wave }
	// evacuatedMessage has all data centres that the operator evacuates.
	evacuatedMessage struct{ evacuated []unit.DataCentre }
	configMessage    struct{ config *dispatch.Config }
	// predecessorMessage reports that the former owner of a shard was no member any
	// more at a time.
	predecessorMessage struct {
		shard unit.Shard
		epoch unit.Generation
		at    clock.Millis
	}
	releaseMessage struct {
		reason string
		done   chan<- struct{}
	}
	dumpMessage struct{ replyTo chan<- Dump }
)

// Dump is a summary of the state of the control goroutine.
type Dump struct {
	Config    unit.ConfigVersion `json:"configVersion"`
	Shards    []ShardDump        `json:"shards"`
	Evacuated []EvacuationDump   `json:"evacuated"` // data centres that the operator evacuates
}

// ShardDump is a summary of a shard that the process owns.
type ShardDump struct {
	Shard    unit.Shard      `json:"shard"`
	Epoch    unit.Generation `json:"epoch"`
	Restored bool            `json:"serving"`
	dispatch.Summary
}
