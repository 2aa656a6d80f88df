package dispatch

import (
	"errors"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// ticket returns the ticket that an executor accepts now.
func (f *fixture) ticket(id unit.Executor) unit.Ticket {
	if !f.allowed[id] {
		return "none"
	}
	return unit.Ticket(string(id) + "/" + string(rune('a'+f.now/clock.Millis(f.ticketValidity))))
}

// answerAdvice passes the response to a call to the advisor to the shard.
func (f *fixture) answerAdvice(o *AdviceRequest) {
	f.adviceCalls++
	f.largestAdviceCall = max(f.largestAdviceCall, len(o.Executors))
	if f.adviceUnanswered {
		f.shard.HandleAdvice(f.now, o, nil, errors.New("no answer"))
		return
	}
	a := AdviceResponse{Tickets: make(map[unit.Executor]unit.Ticket), Valid: f.ticketValidity}
	for _, id := range o.Executors {
		if f.allowed[id] {
			a.Tickets[id] = f.ticket(id)
		}
	}
	f.shard.HandleAdvice(f.now, o, &a, nil)
}

func (f *fixture) submitAdvised(id unit.Job, steps ...Step) {
	_ = f.shard.Submit(f.now, unit.UnixMillis(f.now), &Spec{
		ID: id, Steps: steps,
		Queue: Queue{Name: "q", Service: "s", MaxAttempts: 2, SlackFactor: 1, Advice: &AdvicePolicy{Decision: 5, PerWorker: 1, Valid: f.ticketValidity}},
	}) // the shard of a fixture accepts all jobs
}

// TestAdvice guards against starts that executors refuse because the ticket is
// missing or invalid, and against more calls to the advisor than the free
// capacity requires.
func TestAdvice(t *testing.T) {
	for name, c := range map[string]struct {
		executors      int
		allowed        []unit.Executor
		ticketValidity clock.Span
		tasks          int
		running        int // after a second
		calls          int // upper bound
	}{
		"two of four allowed":                    {4, []unit.Executor{"x1", "x2"}, 60_000, 6, 6, 1},
		"none allowed":                           {4, nil, 60_000, 2, 0, 1},
		"too little capacity on the allowed one": {4, []unit.Executor{"x3"}, 60_000, 20, 8, 1},
		"two of many allowed":                    {70, []unit.Executor{"x64", "x69"}, 60_000, 4, 4, 3},
		"tickets expire":                         {4, []unit.Executor{"x0"}, 1500, 6, 6, 3},
		"all allowed":                            {4, []unit.Executor{"x0", "x1", "x2", "x3"}, 60_000, 30, 30, 1},
		"more tasks than capacity":               {2, []unit.Executor{"x0", "x1"}, 60_000, 30, 16, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(c.executors)
			f.allowed, f.ticketValidity = make(map[unit.Executor]bool), c.ticketValidity
			for _, id := range c.allowed {
				f.allowed[id] = true
			}
			f.submitAdvised("j", Step{Count: c.tasks, Size: unit.Resources{CPU: 1000, Memory: 100}})
			f.runFor(clock.Second)
			n := 0
			for id, k := range f.runsByExecutor("j") {
				is.True(f.allowed[id]) // runs only where the policy allows it
				n += k
			}
			is.Equal(n, c.running)
			is.True(f.adviceCalls <= c.calls) // the advisor accepts one call at a time
			is.True(f.largestAdviceCall <= adviceBatchSize)
		})
	}
}

// TestAdviceIsRequestedAgain guards against a step that never starts because a
// call to the advisor had no response, and against tickets that are used after
// their validity or for another incarnation of the executor.
func TestAdviceIsRequestedAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	f.allowed, f.ticketValidity, f.adviceUnanswered = map[unit.Executor]bool{"x1": true}, 2000, true
	f.submitAdvised("j", Step{Count: 2, Size: unit.Resources{CPU: 1000, Memory: 100}})
	f.runFor(clock.Second)
	is.Equal(len(f.runsByExecutor("j")), 0)
	is.True(f.adviceCalls >= 2 && f.adviceCalls <= 5) // limited by adviceRetryDelay
	f.adviceUnanswered = false
	f.runFor(clock.Second)
	is.Equal(f.runsByExecutor("j")["x1"], 2)
	// Tickets are valid for one incarnation of the executor.
	e := f.shard.executors.Get("x1")
	k := stepKey{"j", 0, 0}
	is.True(f.shard.ticketOf(f.now, k, e) != "")
	e.Incarnation++
	is.Equal(f.shard.ticketOf(f.now, k, e), unit.Ticket(""))
	e.Incarnation--
	f.runFor(3 * clock.Second)
	is.Equal(f.shard.ticketOf(f.now, k, e), unit.Ticket("")) // expired
}

// Guards against a task that never runs again while executors are idle: those that
// run the other tasks of its step have tickets and room, but anti-affinity or their
// allocation keeps the task off them.
func TestAdviceIsAboutExecutorsThatCanTakeTheTask(t *testing.T) {
	one := Step{Count: 30, Size: resources(1000), MaxPerExecutor: 1, Perpetual: true}
	two := one
	two.Count, two.MaxPerExecutor = 60, 2
	full := Step{Count: 30, Size: resources(5000), Perpetual: true}
	for name, c := range map[string]struct {
		step           Step
		ticketValidity clock.Span
	}{
		"one an executor, long tickets":  {one, clock.Minute},
		"one an executor, short tickets": {one, 3 * clock.Second},
		"two an executor":                {two, clock.Minute},
		"no room for two":                {full, clock.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(48)
			f.allowed, f.ticketValidity = make(map[unit.Executor]bool), c.ticketValidity
			for i := range 30 {
				f.allowed[unit.Executor("x"+strconv.Itoa(i))] = true
			}
			f.submitAdvised("j", c.step)
			f.runFor(2 * clock.Second)
			is.Equal(f.countRuns("j"), c.step.Count)
			for i := 42; i < 48; i++ {
				f.allowed[unit.Executor("x"+strconv.Itoa(i))] = true
			}
			for k := range f.shard.advice.eligible {
				for i := 30; i < 48; i++ { // what the advisor says of the others is not known yet
					delete(f.shard.advice.eligible[k].allowed, unit.Executor("x"+strconv.Itoa(i)))
				}
			}
			f.replacedExecutor = "x7"
			clear(f.runs["x7"])
			f.runFor(10 * clock.Second)
			is.Equal(f.countRuns("j"), c.step.Count)
			is.Equal(f.runsByExecutor("j")["x7"], 0)
		})
	}
}

// Guards against a ticket for an incarnation that has ended while the call to the
// advisor was in flight: a start with it is refused.
func TestTicketsNameTheIncarnationThatWasAsked(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	f.allowed, f.ticketValidity, f.adviceUnanswered = map[unit.Executor]bool{"x0": true}, 2000, true
	f.submitAdvised("j", Step{Count: 1, Size: resources(1000)})
	var request *AdviceRequest
	for range 10 {
		_, orders := f.shard.Tick(f.now, unit.UnixMillis(f.now), true)
		f.shard.HandleStored(f.now)
		for _, o := range orders {
			if o.Advise != nil {
				request = o.Advise
			}
		}
		f.now += 20
	}
	is.True(request != nil)
	e := f.shard.executors.Get("x0")
	entry := e.Registration
	entry.Incarnation = 2
	f.shard.ApplyRegistrations(f.now, Registrations{Entries: []Registration{entry}}, anyExecutor)
	f.shard.HandleAdvice(f.now, request, &AdviceResponse{Tickets: map[unit.Executor]unit.Ticket{"x0": "t"}, Valid: 2000}, nil)
	is.Equal(f.shard.ticketOf(f.now, stepKey{"j", 0, 0}, e), unit.Ticket(""))
}
