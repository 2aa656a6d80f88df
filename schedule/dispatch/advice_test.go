package dispatch

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// ticket returns what an executor accepts now.
func (b *bench) ticket(id unit.Executor) unit.Ticket {
	if !b.allowed[id] {
		return "none"
	}
	return unit.Ticket(string(id) + "/" + string(rune('a'+b.now/clock.Millis(b.valid))))
}

func (b *bench) advise(o *AdviseOrder) {
	b.advised++
	b.named = max(b.named, len(o.Executors))
	if b.silent {
		b.shard.Advised(b.now, o, nil, errors.New("no answer"))
		return
	}
	a := Advised{Tickets: make(map[unit.Executor]unit.Ticket), Valid: b.valid}
	for _, id := range o.Executors {
		if b.allowed[id] {
			a.Tickets[id] = b.ticket(id)
		}
	}
	b.shard.Advised(b.now, o, &a, nil)
}

func (b *bench) submitAdvised(id unit.Job, steps ...Step) {
	_ = b.shard.Submit(b.now, unit.UnixMillis(b.now), &Spec{
		ID: id, Steps: steps,
		Queue: Queue{Name: "q", Service: "s", MaxAttempts: 2, SlackFactor: 1, Advice: &Advice{Decision: 5, PerWorker: 1, Valid: b.valid}},
	}) // a bench has room for all jobs
}

// Guards against starts that executors refuse for want of a ticket, and
// against more calls for advice than the room asks for.
func TestAdvice(t *testing.T) {
	for name, c := range map[string]struct {
		executors int
		allowed   []unit.Executor
		valid     clock.Span
		tasks     int
		running   int // after a second
		calls     int // at most
	}{
		"only those allowed":  {4, []unit.Executor{"x1", "x2"}, 60_000, 6, 6, 1},
		"none":                {4, nil, 60_000, 2, 0, 1},
		"no room on the few":  {4, []unit.Executor{"x3"}, 60_000, 20, 8, 1},
		"among many":          {70, []unit.Executor{"x64", "x69"}, 60_000, 4, 4, 3},
		"tickets run out":     {4, []unit.Executor{"x0"}, 1500, 6, 6, 3},
		"allowed everywhere":  {4, []unit.Executor{"x0", "x1", "x2", "x3"}, 60_000, 30, 30, 1},
		"more than all rooms": {2, []unit.Executor{"x0", "x1"}, 60_000, 30, 16, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(c.executors)
			b.allowed, b.valid = make(map[unit.Executor]bool), c.valid
			for _, id := range c.allowed {
				b.allowed[id] = true
			}
			b.submitAdvised("j", Step{Count: c.tasks, Size: unit.Resources{CPU: 1000, Memory: 100}})
			b.pass(clock.Second)
			n := 0
			for id, k := range b.placed("j") {
				is.True(b.allowed[id]) // runs where the policy allows it
				n += k
			}
			is.Equal(n, c.running)
			is.True(b.advised <= c.calls) // calls are taken one at a time
			is.True(b.named <= adviceBatch)
		})
	}
}

// Guards against a step that is never started again after a call for advice
// got no answer, or after its tickets ran out.
func TestAdviceIsAskedForAgain(t *testing.T) {
	is := is.New(t)
	b := newBench(2)
	b.allowed, b.valid, b.silent = map[unit.Executor]bool{"x1": true}, 2000, true
	b.submitAdvised("j", Step{Count: 2, Size: unit.Resources{CPU: 1000, Memory: 100}})
	b.pass(clock.Second)
	is.Equal(len(b.placed("j")), 0)
	is.True(b.advised >= 2 && b.advised <= 5) // paced by adviceRetry
	b.silent = false
	b.pass(clock.Second)
	is.Equal(b.placed("j")["x1"], 2)
	// A life of the executor ends with its tickets.
	e := b.shard.executors.Get("x1")
	k := stepKey{"j", 0, 0}
	is.True(b.shard.ticketOf(b.now, k, e) != "")
	e.Born++
	is.Equal(b.shard.ticketOf(b.now, k, e), unit.Ticket(""))
	e.Born--
	b.pass(3 * clock.Second)
	is.Equal(b.shard.ticketOf(b.now, k, e), unit.Ticket("")) // run out
}
