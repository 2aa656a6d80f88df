package maintenance

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

//go:generate go tool stringer -type=State,Outcome -linecomment -output=enums_string.go

// Wave is a request of the operator to take each of its machines down for
// maintenance once.
type Wave struct {
	Number   unit.Wave
	Machines []unit.Machine
	Within   clock.Span // time limit, from when the plan receives the wave
	Most     int        // maximum number of machines down at once; below 1 counts as 1
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

// The outcomes. The zero value makes no assumption: the order may have been
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
	Machine  unit.Machine
	Executor unit.Executor // current incarnation; empty while the machine is down
	Up       bool
}

// Evacuation is the progress of an evacuation, as the owner of the executor
// reports it.
type Evacuation struct {
	Left int // runs remaining on the executor
	Held int // part of Left: perpetual tasks that their step can't spare now
}

// Action is an action that the owner of the plan carries out. Exactly one field
// is set.
type Action struct {
	List     bool               // request the list of machines
	Evacuate *EvacuationRequest // stop placement on an executor and move its tasks where possible
	Begin    *Begin             // order a machine to go down
	Report   *StatusOfAWave     // report the status of a wave to the operator
}

// EvacuationRequest is a request to the owner of an executor to evacuate it.
type EvacuationRequest struct {
	Machine  unit.Machine
	Executor unit.Executor
}

// Begin is an order to take a machine down.
type Begin struct {
	Machine  unit.Machine
	Executor unit.Executor
	Wave     unit.Wave
}

// StatusOfAWave is the status of a wave that the operator receives.
type StatusOfAWave struct {
	Wave      unit.Wave
	Completed bool
}
