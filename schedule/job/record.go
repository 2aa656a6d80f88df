package job

import (
	"mimosadock/schedule/unit"
)

// Header is the part that all records of jobs have in common. Home is the data
// centre whose owner schedules the job. Epoch is the epoch of the owner that
// wrote the record. Task and Attempt are empty in a record of a whole job.
type Header struct {
	Home    unit.DataCentre `json:"home" cbor:"1,keyasint"`
	Epoch   unit.Epoch      `json:"epoch" cbor:"2,keyasint"`
	Job     unit.Job        `json:"job" cbor:"3,keyasint"`
	Task    unit.Task       `json:"task,omitempty" cbor:"4,keyasint,omitempty"`
	Attempt unit.Attempt    `json:"attempt,omitempty" cbor:"5,keyasint,omitempty"`
}

// RecordHeader returns the header, so that every type that embeds it implements
// [Record].
func (h Header) RecordHeader() Header { return h }

// Record is the body of a journal record about a job.
type Record interface {
	// RecordHeader returns the header, which identifies the job, the task and
	// the attempt of the record.
	RecordHeader() Header
}

// The bodies of the records of jobs.
type (
	// Submitted records that a job was accepted.
	Submitted struct {
		Header
		Spec  Spec  `json:"spec" cbor:"6,keyasint"`
		Terms Terms `json:"terms" cbor:"7,keyasint"`
	}
	// Started records that an attempt was assigned to a worker. A speculative
	// attempt runs beside the first one.
	Started struct {
		Header
		Worker      unit.Worker `json:"worker" cbor:"6,keyasint"`
		Speculative bool        `json:"spare,omitempty" cbor:"7,keyasint,omitempty"`
	}
	// Checkpointed records the last complete checkpoint of an attempt.
	Checkpointed struct {
		Header
		Checkpoint string  `json:"checkpoint" cbor:"6,keyasint"`
		Progress   float64 `json:"progress" cbor:"7,keyasint"`
	}
	// Evicted records that an attempt ended without a result and that the
	// task waits again. A counted eviction uses up the eviction budget of
	// the job. The loss of a worker or the end of a lease is not counted.
	Evicted struct {
		Header
		Counted bool   `json:"counted,omitempty" cbor:"6,keyasint,omitempty"`
		Reason  string `json:"reason" cbor:"7,keyasint"`
	}
	// Finished records that an attempt ended with a result.
	Finished struct {
		Header
		Worker unit.Worker `json:"worker" cbor:"6,keyasint"`
		Result []byte      `json:"result,omitempty" cbor:"7,keyasint,omitempty"`
	}
	// Failed records that an attempt failed at a worker. The task is retried
	// unless Final is set.
	Failed struct {
		Header
		Worker unit.Worker `json:"worker" cbor:"6,keyasint"`
		Reason string      `json:"reason" cbor:"7,keyasint"`
		Final  bool        `json:"final,omitempty" cbor:"8,keyasint,omitempty"`
	}
	// Cancelled records that a job was cancelled.
	Cancelled struct{ Header }
	// Impossible records that a job can never run.
	Impossible struct {
		Header
		Reason string `json:"reason" cbor:"6,keyasint"`
	}
	// Moved records that a job has a new home. The former owner writes it
	// after all attempts of the job have ended.
	Moved struct {
		Header
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
