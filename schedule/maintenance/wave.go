package maintenance

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

//go:generate go tool stringer -type=State,Outcome -linecomment -output=enums_string.go

// Wave asks that each of its machines goes down for upkeep once.
type Wave struct {
	Number   unit.Wave
	Machines []unit.Machine
	Within   clock.Span // from when the wave became known
	Most     int        // machines that may be down at once
}

// State is how far a machine of a wave is.
type State int

// The states of a machine.
const (
	Waiting    State = iota // waiting
	Evacuating              // evacuating
	Ordered                 // ordered
	Down                    // down
	Done                    // back
)

// Outcome tells what became of an order to go down.
type Outcome int

// The outcomes. The zero value is the careful one.
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
	Executor unit.Executor // its present life, empty while it is down
	Up       bool
}

// Evacuation is the answer of the owner of an executor.
type Evacuation struct {
	Left int // runs that are still there
	Held int // of them, perpetual tasks whose step can't spare them now
}

// Action is something to be done. One field is set.
type Action struct {
	List     bool               // ask for the list of machines
	Evacuate *EvacuationRequest // stop placing and move what can be moved
	Begin    *Begin             // order a machine to go down
	Report   *StatusOfAWave     // tell the operator
}

// EvacuationRequest asks the owner of an executor to empty it.
type EvacuationRequest struct {
	Machine  unit.Machine
	Executor unit.Executor
}

// Begin orders a machine to go down.
type Begin struct {
	Machine  unit.Machine
	Executor unit.Executor
	Wave     unit.Wave
}

// StatusOfAWave is what the operator is told of a wave.
type StatusOfAWave struct {
	Wave      unit.Wave
	Completed bool
}
