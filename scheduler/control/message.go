package control

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/maintenance"
	"mimosadock/schedule/unit"
	"mimosadock/scheduler/record"
)

//go:generate go tool stringer -type=Kind,Status -linecomment -output=enums_string.go

// Kind is a kind of call about jobs.
type Kind int

// The kinds of calls.
const (
	Probe    Kind = iota // probe
	Submit               // submit
	State                // state
	Cancel               // cancel
	Pending              // pending
	Evacuate             // evacuate
)

// Ask is a call about jobs to the owner of a shard.
type Ask struct {
	Kind  Kind           `cbor:"1,keyasint"`
	Shard unit.Shard     `cbor:"2,keyasint"`
	Job   unit.Job       `cbor:"3,keyasint,omitempty"`
	Spec  *dispatch.Spec `cbor:"4,keyasint,omitempty"` // of a submission
	Queue unit.Queue     `cbor:"5,keyasint,omitempty"` // of a count

	Executor unit.Executor `cbor:"6,keyasint,omitempty"` // to be evacuated
}

// Status is the outcome of a call.
type Status int

// The outcomes of calls. The zero value is the careful one.
const (
	Unsettled Status = iota // unsettled
	Accepted                // accepted
	Refused                 // refused
	Unknown                 // unknown
	NotOwner                // notOwner
)

// Reply is the answer to a call.
type Reply struct {
	Status     Status            `cbor:"1,keyasint"`
	State      dispatch.JobState `cbor:"2,keyasint,omitempty"`
	Count      int               `cbor:"3,keyasint,omitempty"`
	Reason     string            `cbor:"4,keyasint,omitempty"`
	RetryAfter clock.Span        `cbor:"5,keyasint,omitempty"`
	Held       int               `cbor:"6,keyasint,omitempty"` // of an evacuation: runs that can't be spared; Count is all that are left
}

// joinOutcome tells what is to be done after a join. The zero value is nothing.
type joinOutcome struct {
	released bool // a shard was given up, which the next join tells the store
	rejoin   bool // a shard can be served under a new generation only
}

// The messages to the control goroutine.
type (
	askMessage struct {
		ask   *Ask
		reply chan<- Reply
	}
	joinedMessage struct {
		generation unit.Generation
		shards     []unit.Shard
		sentAt     clock.Millis
		done       chan<- joinOutcome
	}
	loadedMessage struct {
		shard unit.Shard
		epoch unit.Generation
		saved *record.Set
		err   error
	}
	storedMessage struct {
		shard unit.Shard
		epoch unit.Generation
		err   error
	}
	answeredMessage struct {
		shard  unit.Shard
		epoch  unit.Generation
		order  dispatch.Order
		answer dispatch.Answer
		err    error
	}
	advisedMessage struct {
		shard   unit.Shard
		epoch   unit.Generation
		order   dispatch.AdviseOrder
		advised dispatch.Advised
		err     error
	}
	registrationsMessage struct{ registrations dispatch.Registrations }
	// upkeepMessage carries an outcome to the plan of the tenure that asked.
	upkeepMessage struct {
		epoch unit.Generation
		apply func(u *upkeep, now clock.Millis)
	}
	wavesMessage   struct{ waves []maintenance.Wave }
	configMessage  struct{ config *dispatch.Config }
	releaseMessage struct {
		reason string
		done   chan<- struct{}
	}
	dumpMessage struct{ reply chan<- Dump }
)

// Dump is the state of the control goroutine.
type Dump struct {
	Config unit.ConfigVersion `json:"configVersion"`
	Shards []ShardDump        `json:"shards"`
}

// ShardDump is the state of a shard that the process owns.
type ShardDump struct {
	Shard   unit.Shard      `json:"shard"`
	Epoch   unit.Generation `json:"epoch"`
	Serving bool            `json:"serving"`
	dispatch.Summary
}
