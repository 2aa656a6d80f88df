package trace

import (
	"fmt"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

//go:generate go tool stringer -type=EventType -linecomment

// EventType is the type of an event. Its text is the value in the trace.
type EventType int

// The events of a trace. Down and Up events are failures and recoveries of a
// host, the journal or a link. A Leave event announces a graceful departure.
// Request and Submit are a request and a job of a caller. Noise slows a worker
// down for a time. A worker fails every attempt between WorkerFails and
// WorkerRecovers. Silence stops all data on the open connections between an
// entry host and an upstream. Change is an operator's change of the
// configuration.
const (
	Request        EventType = iota // request
	Submit                          // submit
	Cancel                          // cancel
	Noise                           // noise
	UpstreamDown                    // upstreamDown
	UpstreamUp                      // upstreamUp
	UpstreamLeave                   // upstreamLeave
	EntryLeave                      // entryLeave
	EntryDown                       // entryDown
	EntryUp                         // entryUp
	WorkerDown                      // workerDown
	WorkerUp                        // workerUp
	WorkerFails                     // workerFails
	WorkerRecovers                  // workerMends
	JournalDown                     // journalDown
	JournalUp                       // journalUp
	LinkDown                        // linkDown
	LinkUp                          // linkUp
	Silence                         // silence
	Change                          // change
)

// MarshalText returns the camel-case name of t.
func (t EventType) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText sets t from its camel-case name. It returns an error for an
// unknown name.
func (t *EventType) UnmarshalText(text []byte) error {
	for candidate := Request; candidate <= Change; candidate++ {
		if candidate.String() == string(text) {
			*t = candidate
			return nil
		}
	}
	return fmt.Errorf("trace: unknown event %q", text)
}

// EntryIndex is the position of an entry host in a deployment, from 0.
type EntryIndex int

// Event is one line of a trace after the header. The type determines which
// fields are used. docs/traces.md lists them.
type Event struct {
	At          clock.Millis  `json:"at"`
	Type        EventType     `json:"what"`
	Entry       EntryIndex    `json:"entry,omitempty"`
	Service     unit.Service  `json:"service,omitempty"`
	RunTime     clock.Span    `json:"runMs,omitempty"`      // actual run time
	Deadline    clock.Span    `json:"deadlineMs,omitempty"` // of a request, relative to At; 0 takes that of the service
	Upstream    unit.Upstream `json:"upstream,omitempty"`
	Worker      unit.Worker   `json:"worker,omitempty"`
	Link        [2]DataCentre `json:"between,omitzero"` // ends of a link
	Job         *Job          `json:"job,omitempty"`
	Cancel      unit.Job      `json:"cancel,omitempty"`
	NoiseFactor float64       `json:"factor,omitempty"` // slowdown by noise, above 1
	NoiseLength clock.Span    `json:"forMs,omitempty"`  // duration of noise
	BaseLag     unit.Revision `json:"behind,omitempty"` // of a change: number of revisions between its base and the latest one
	Author      string        `json:"author,omitempty"` // of a change
}

// DataCentre is the name of a data centre, the same type as [unit.DataCentre].
type DataCentre = unit.DataCentre

// Job is submitted work. The scheduler receives the declared sizes and run
// times. The simulated workers use the actual ones.
type Job struct {
	ID                 unit.Job          `json:"id"`
	Kind               unit.Kind         `json:"kind"`
	Team               unit.Team         `json:"team"`
	Class              service.WorkClass `json:"class"`
	DataCentre         unit.DataCentre   `json:"dataCentre"`
	Tasks              int               `json:"tasks"`
	Declared           unit.Resources    `json:"declared"`
	Actual             unit.Resources    `json:"true"`
	DeclaredRunTime    clock.Span        `json:"declaredRunMs"`
	RunTime            clock.Span        `json:"runMs"`                  // actual run time of a task, 0 runs until cancelled
	StragglerFactor    int               `json:"straggler,omitempty"`    // factor on the run time of the last task, 0 without a straggler
	CheckpointInterval clock.Span        `json:"checkpointMs,omitempty"` // time between checkpoints, 0 without checkpoints
	Impossible         bool              `json:"impossible,omitempty"`   // no worker can run it
	SafeToRepeat       bool              `json:"safeToRepeat,omitempty"`
}
