package job

import (
	"mimosadock/schedule/unit"
)

// Head is the part that all records of jobs have in common. Epoch is that of
// the owner that wrote the record.
type Head struct {
	Home    unit.DataCentre `json:"home" cbor:"1,keyasint"`
	Epoch   unit.Epoch      `json:"epoch" cbor:"2,keyasint"`
	Job     unit.Job        `json:"job" cbor:"3,keyasint"`
	Task    unit.Task       `json:"task,omitempty" cbor:"4,keyasint,omitempty"`
	Attempt unit.Attempt    `json:"attempt,omitempty" cbor:"5,keyasint,omitempty"`
}

// Subject returns the head of a record.
func (h Head) Subject() Head { return h }

// Record is the body of a journal record about a job.
type Record interface {
	// Subject returns what the record is about.
	Subject() Head
}

// The bodies of the records of jobs.
type (
	// Submitted says that a job was accepted.
	Submitted struct {
		Head
		Spec  Spec  `json:"spec" cbor:"6,keyasint"`
		Terms Terms `json:"terms" cbor:"7,keyasint"`
	}
	// Started says that an attempt was given to a worker. Spare attempts run
	// beside the first one.
	Started struct {
		Head
		Worker unit.Worker `json:"worker" cbor:"6,keyasint"`
		Spare  bool        `json:"spare,omitempty" cbor:"7,keyasint,omitempty"`
	}
	// Checkpointed names the last whole checkpoint of an attempt.
	Checkpointed struct {
		Head
		Checkpoint string  `json:"checkpoint" cbor:"6,keyasint"`
		Progress   float64 `json:"progress" cbor:"7,keyasint"`
	}
	// Evicted says that an attempt ended without a result and that the task
	// waits again. Counted evictions use up the budget of the job; a lost
	// worker or a lapsed lease does not.
	Evicted struct {
		Head
		Counted bool   `json:"counted,omitempty" cbor:"6,keyasint,omitempty"`
		Reason  string `json:"reason" cbor:"7,keyasint"`
	}
	// Finished says that an attempt ended with a result.
	Finished struct {
		Head
		Worker unit.Worker `json:"worker" cbor:"6,keyasint"`
		Result []byte      `json:"result,omitempty" cbor:"7,keyasint,omitempty"`
	}
	// Failed says that an attempt failed at a worker. The task is tried again
	// unless Final is set.
	Failed struct {
		Head
		Worker unit.Worker `json:"worker" cbor:"6,keyasint"`
		Reason string      `json:"reason" cbor:"7,keyasint"`
		Final  bool        `json:"final,omitempty" cbor:"8,keyasint,omitempty"`
	}
	// Cancelled says that a job was cancelled.
	Cancelled struct{ Head }
	// Impossible says that a job can never run.
	Impossible struct {
		Head
		Reason string `json:"reason" cbor:"6,keyasint"`
	}
	// Moved says that a job has another home from now on. The former owner
	// writes it after all attempts of the job have ended.
	Moved struct {
		Head
		To unit.DataCentre `json:"to" cbor:"6,keyasint"`
	}
)

var (
	_ Record = Submitted{}
	_ Record = Started{}
	_ Record = Checkpointed{}
	_ Record = Evicted{}
	_ Record = Finished{}
	_ Record = Failed{}
	_ Record = Cancelled{}
	_ Record = Impossible{}
	_ Record = Moved{}
)
