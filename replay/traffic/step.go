package traffic

import (
	"mimosadock/replay/trace"
	"mimosadock/schedule/clock"
)

// Step is an instant in steps of half a millisecond, the largest common divisor
// of the delays of the traces.
type Step int64

// Steps in other units.
const (
	stepsPerMilli              = 2
	microsPerStep trace.Micros = 500
)

// Millis returns the instant on the clock of the decision code, rounded down.
func (s Step) Millis() clock.Millis { return clock.Millis(s / stepsPerMilli) }

// MillisSince returns the time since an earlier step in milliseconds.
func (s Step) MillisSince(from Step) float64 { return float64(s-from) / stepsPerMilli }

func stepOfInstant(m clock.Millis) Step { return Step(m) * stepsPerMilli }
func stepsOfSpan(s clock.Span) Step     { return Step(s) * stepsPerMilli }
func stepsOfMicros(m trace.Micros) Step { return Step((m + microsPerStep - 1) / microsPerStep) }

// calendar holds what is due at later steps. Entries of one step keep the order
// in which they were added. The zero value is empty and ready to use.
type calendar struct {
	due map[Step][]action
}

// action is something that becomes due.
type action struct {
	kind    actionKind
	attempt attemptIndex
	request requestIndex
	process *processRow
	message func()
}

// actionKind says what becomes due.
type actionKind int

const (
	attemptArrival  actionKind = iota // an attempt reaches its upstream
	attemptEnd                        // an upstream ends an attempt
	outcomeArrival                    // an answer reaches the entry process
	silenceTimedOut                   // the entry process gives up a silent connection
	deadlineReached                   // the deadline of a request is over
	answerArrival                     // an answer reaches the caller
	messageArrival                    // a message between processes arrives
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
