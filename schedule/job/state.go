package job

import "fmt"

//go:generate go tool stringer -type=State -linecomment

// State is the state of a task or of a whole job.
type State int

// The states of a task. A task is submitted until the journal holds its job. It
// is placed from the choice of a worker until a report shows it as running. A
// task is evicted when its last attempt has ended without a result, for any
// reason, such as an eviction, a failure, a lost worker or an expired lease.
// After that it is resumed instead of placed.
const (
	StateSubmitted     State = iota // submitted
	StateWaiting                    // waiting
	StatePlaced                     // placed
	StateRunning                    // running
	StateCheckpointing              // checkpointing
	StateEvicted                    // evicted
	StateResumed                    // resumed
	StateFinished                   // finished
	StateFailed                     // failed
	StateCancelled                  // cancelled
	StateImpossible                 // impossible
	stateCount         = iota
)

// stateSet is a set of states.
type stateSet uint16

// newStateSet returns the set of the given states.
func newStateSet(states ...State) stateSet {
	var s stateSet
	for _, st := range states {
		s |= 1 << st
	}
	return s
}

func (s stateSet) has(st State) bool { return s&(1<<st) != 0 }

// transitions lists the states that may follow each state. A placed task
// returns to waiting if its start certainly did not run. A waiting task may
// become finished, because the record of its start can be fenced or written
// after the record of its end. A submitted task may become placed or impossible
// at a process that lost the ownership before the result of its own write
// arrived, because that process applies the records of the next owner.
var transitions = [stateCount]stateSet{
	StateSubmitted:     newStateSet(StateWaiting, StatePlaced, StateCancelled, StateImpossible),
	StateWaiting:       newStateSet(StatePlaced, StateFinished, StateCancelled, StateImpossible),
	StatePlaced:        newStateSet(StateWaiting, StateRunning, StateCheckpointing, StateEvicted, StateFinished, StateFailed, StateCancelled),
	StateRunning:       newStateSet(StateCheckpointing, StateEvicted, StateFinished, StateFailed, StateCancelled),
	StateCheckpointing: newStateSet(StateRunning, StateEvicted, StateFinished, StateFailed, StateCancelled),
	StateEvicted:       newStateSet(StateResumed, StateFinished, StateCancelled, StateImpossible),
	StateResumed:       newStateSet(StateRunning, StateCheckpointing, StateEvicted, StateFinished, StateFailed, StateCancelled),
}

// CanTransition reports whether a task may change from one state to another.
func CanTransition(from, to State) bool { return transitions[from].has(to) }

// Ended reports whether s is final.
func (s State) Ended() bool { return transitions[s] == 0 }

// Active reports whether an attempt of the task may run at a worker.
func (s State) Active() bool {
	return newStateSet(StatePlaced, StateRunning, StateCheckpointing, StateResumed).has(s)
}

// AwaitsWorker reports whether the task waits for a worker.
func (s State) AwaitsWorker() bool { return s == StateWaiting || s == StateEvicted }

// MarshalText returns the text of s. The error is always nil.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText sets s from its text. It returns an error for an unknown
// state.
func (s *State) UnmarshalText(text []byte) error {
	for c := StateSubmitted; c < stateCount; c++ {
		if c.String() == string(text) {
			*s = c
			return nil
		}
	}
	return fmt.Errorf("job: unknown state %q", text)
}
