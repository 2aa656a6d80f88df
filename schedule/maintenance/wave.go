package maintenance

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

//go:generate go tool stringer -type=State,Outcome -linecomment -output=enums_string.go

// Wave is a request of the operator to take each of its machines down for
// maintenance once.
type Wave struct {
	Number    unit.Wave
	Machines  []unit.Machine
	TimeLimit clock.Span // time limit, counted from when the plan receives the wave
	MaxDown   int        // maximum number of machines down at once; below 1 counts as 1
}

// State is the progress of one machine in a wave.
type State int

// The states of a machine, in order. A machine that doesn't exist or is
// excluded from the wave is done without going down.
const (
	Waiting    State = iota // waiting
	Evacuating              // evacuating
	Ordered                 // ordered
	Down                    // down
	Done                    // back
)

// Outcome is the result of an order to take a machine down.
type Outcome int

// The outcomes. With Unknown, the zero value, the order may or may not have been
// carried out.
const (
	Unknown  Outcome = iota // unknown
	Begun                   // begun
	Busy                    // busy
	Fenced                  // fenced
	Excluded                // excluded
)

// Machine is a row of the platform's list of machines.
type Machine struct {
	ID       unit.Machine
	Executor unit.Executor // current incarnation; empty while the machine is down
	Up       bool
}

// EvacuationStatus is the progress of an evacuation that the owner of the
// executor reports. Blocking counts runs of perpetual tasks that can't be moved
// now without exceeding the miss budget of their step, see package dispatch.
type EvacuationStatus struct {
	Remaining int // runs remaining on the executor
	Blocking  int // part of Remaining that must not stop now
}

// Action is an action that the owner of the plan carries out. Exactly one field
// is set.
type Action struct {
	List     bool               // request the list of machines
	Evacuate *EvacuationRequest // stop placement on an executor and move its tasks where possible
	Begin    *Order             // order a machine to go down
	Report   *WaveStatus        // report the status of a wave to the operator
}

// EvacuationRequest is a request to the owner of an executor to evacuate it for a
// wave.
type EvacuationRequest struct {
	Machine     unit.Machine
	Executor    unit.Executor
	Wave        unit.Wave
	RequestedAt clock.Millis
}

// Order is an order to take a machine down.
type Order struct {
	Machine  unit.Machine
	Executor unit.Executor
	Wave     unit.Wave
}

// WaveStatus is the status of a wave that the operator receives.
type WaveStatus struct {
	Wave      unit.Wave
	Completed bool
}
