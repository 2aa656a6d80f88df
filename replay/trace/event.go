package trace

import (
	"fmt"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

//go:generate go tool stringer -type=What -linecomment

// What says what an event is about.
type What int

// The events of a trace.
const (
	Request       What = iota // request
	Submit                    // submit
	Cancel                    // cancel
	Noise                     // noise
	UpstreamDown              // upstreamDown
	UpstreamUp                // upstreamUp
	UpstreamLeave             // upstreamLeave
	EntryLeave                // entryLeave
	EntryDown                 // entryDown
	EntryUp                   // entryUp
	WorkerDown                // workerDown
	WorkerUp                  // workerUp
	WorkerFails               // workerFails
	WorkerMends               // workerMends
	JournalDown               // journalDown
	JournalUp                 // journalUp
	LinkDown                  // linkDown
	LinkUp                    // linkUp
	Silence                   // silence
	Change                    // change
)

// MarshalText returns the camel-case name of w.
func (w What) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// UnmarshalText sets w from its camel-case name.
func (w *What) UnmarshalText(text []byte) error {
	for c := Request; c <= Change; c++ {
		if c.String() == string(text) {
			*w = c
			return nil
		}
	}
	return fmt.Errorf("trace: unknown event %q", text)
}

// EntryIndex counts the entry hosts of a deployment from 0.
type EntryIndex int

// Event is one line of a trace after the header. Which fields are used depends
// on What; docs/traces.md lists them.
type Event struct {
	At       clock.Millis  `json:"at"`
	What     What          `json:"what"`
	Entry    EntryIndex    `json:"entry,omitempty"`
	Service  unit.Service  `json:"service,omitempty"`
	Run      clock.Span    `json:"runMs,omitempty"`      // true run time
	Deadline clock.Span    `json:"deadlineMs,omitempty"` // of a request or a job, from At
	Upstream unit.Upstream `json:"upstream,omitempty"`
	Worker   unit.Worker   `json:"worker,omitempty"`
	Between  [2]DataCentre `json:"between,omitzero"` // of a link
	Job      *Job          `json:"job,omitempty"`
	Cancel   unit.Job      `json:"cancel,omitempty"`
	Factor   float64       `json:"factor,omitempty"` // slowdown of noise, above 1
	For      clock.Span    `json:"forMs,omitempty"`  // length of noise
	Behind   unit.Revision `json:"behind,omitempty"` // of a change: revisions that its base lies behind
	Author   string        `json:"author,omitempty"` // of a change
}

// DataCentre is the name of a data centre.
type DataCentre = unit.DataCentre

// Job is submitted work. The declared figures are what the scheduler is told;
// the true ones are what the fakes act on.
type Job struct {
	ID           unit.Job          `json:"id"`
	Kind         unit.Kind         `json:"kind"`
	Team         unit.Team         `json:"team"`
	Class        service.WorkClass `json:"class"`
	DataCentre   unit.DataCentre   `json:"dataCentre"`
	Tasks        int               `json:"tasks"`
	Declared     unit.Resources    `json:"declared"`
	True         unit.Resources    `json:"true"`
	DeclaredRun  clock.Span        `json:"declaredRunMs"`
	Run          clock.Span        `json:"runMs"`                  // true run time of a task; 0 runs until cancelled
	Straggler    int               `json:"straggler,omitempty"`    // run time factor of the last task, 0 is none
	Checkpoint   clock.Span        `json:"checkpointMs,omitempty"` // time between checkpoints, 0 is none
	Impossible   bool              `json:"impossible,omitempty"`   // can't run on any worker
	SafeToRepeat bool              `json:"safeToRepeat,omitempty"`
}
