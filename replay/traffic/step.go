package traffic

import (
	"mimosadock/replay/trace"
	"mimosadock/schedule/clock"
)

// Step is an instant or a span in steps of half a millisecond, the greatest
// common divisor of the delays in the traces.
type Step int64

// Conversion factors between steps and other units.
const (
	stepsPerMilli              = 2
	microsPerStep trace.Micros = 500
)

// Millis returns the instant in milliseconds, the resolution of the decision
// code, rounded down.
func (s Step) Millis() clock.Millis { return clock.Millis(s / stepsPerMilli) }

// MillisSince returns the time since the earlier step from in milliseconds.
func (s Step) MillisSince(from Step) float64 { return float64(s-from) / stepsPerMilli }

func stepOfInstant(m clock.Millis) Step { return Step(m) * stepsPerMilli }
func stepsOfSpan(s clock.Span) Step     { return Step(s) * stepsPerMilli }
func stepsOfMicros(m trace.Micros) Step { return Step((m + microsPerStep - 1) / microsPerStep) }

// calendar holds the actions that are due at later steps. Actions of one step
// keep the order in which they were added. The zero value is empty and ready to
// use.
type calendar struct {
	due map[Step][]action
}

// action is an event that is due at a step. The kind determines which of the
// other fields are used.
type action struct {
	kind    actionKind
	attempt attemptIndex
	request requestIndex
	process *processRow
	message func()
}

// actionKind is the kind of an action.
type actionKind int

const (
	attemptArrival    actionKind = iota // an attempt reaches its upstream
	attemptEnd                          // an upstream ends an attempt
	outcomeArrival                      // the outcome of an attempt reaches the entry process
	connectionTimeout                   // the entry process times out an attempt
	deadlineExpiry                      // the deadline of a request expires
	answerArrival                       // an answer reaches the caller
	messageArrival                      // a message reaches a process
)

func (c *calendar) add(at Step, a action) {
	if c.due == nil {
		c.due = make(map[Step][]action)
	}
	c.due[at] = append(c.due[at], a)
}

func (c *calendar) takeDue(at Step) []action {
	a := c.due[at]
	delete(c.due, at)
	return a
}
