package control

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"mimosadock/entry/stream"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/config"
	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/work"
)

// TickInterval is the time between two regular ticks.
const TickInterval = 50 * clock.Millisecond

// inboxSize is the capacity of the channel of messages to the control
// goroutine.
const inboxSize = 1024

// Message is a message from another goroutine to the control goroutine.
type Message interface {
	// Apply applies the message to the tables. It runs in the control
	// goroutine.
	Apply(s *State, now clock.Millis)
}

// System is a function that runs over the tables once in each tick.
type System func(s *State, now clock.Millis)

// View is the published state. It is immutable.
type View struct {
	Ready    bool                  // new requests may be sent to this process
	Draining bool                  // the process accepts requests, but will stop soon
	Revision unit.Revision         // revision of Text
	Text     *service.Text         // parsed services text in force; nil before the first
	Config   config.Version        // the same version with the source and the hash of the text
	History  []config.HistoryEntry // accepted changes, oldest first
	Routes   *route.View
	Work     map[unit.DataCentre]*work.View // summaries of the boards
}

var (
	ticks    = expvar.NewInt("control.ticks")
	messages = expvar.NewInt("control.messages")
	dropped  = expvar.NewInt("control.messagesDropped")
)

// Loop holds the state and the inbox of the control goroutine. Use [New].
type Loop struct {
	clock   clock.Clock
	systems []System
	inbox   chan Message
	view    atomic.Pointer[View]
	state   State
}

// New returns a loop that runs the given systems in order in each tick.
func New(c clock.Clock, self Self, systems ...System) *Loop {
	l := &Loop{clock: c, systems: systems, inbox: make(chan Message, inboxSize)}
	l.state.Self, l.state.clock = self, c
	l.state.origin.Writer = self.Instance
	l.state.receipts = make(chan stream.Receipt, maxReceipts)
	l.AddSection(Section{Name: configSection, Common: true, Save: saveConfig})
	l.view.Store(&View{})
	return l
}

// View returns the most recently published view. It is never nil.
func (l *Loop) View() *View { return l.view.Load() }

// Offer sends m without blocking. If the inbox is full, it counts the loss and
// returns false.
func (l *Loop) Offer(m Message) bool {
	select {
	case l.inbox <- m:
		return true
	default:
		dropped.Add(1)
		return false
	}
}

// Send sends m and blocks until the inbox has room or ctx ends.
func (l *Loop) Send(ctx context.Context, m Message) error {
	select {
	case l.inbox <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run applies messages and runs ticks until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	ticker := time.NewTicker(TickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.inbox:
			messages.Add(1)
			m.Apply(&l.state, l.clock.Now())
			if l.state.tickRequested {
				l.RunTick()
			}
		case <-ticker.C:
			l.RunTick()
		}
	}
}

// RunTick runs the systems once and publishes a new view. Tests call it instead
// of Run.
func (l *Loop) RunTick() {
	ticks.Add(1)
	now := l.clock.Now()
	l.state.tickRequested = false
	for _, system := range l.systems {
		system(&l.state, now)
	}
	l.view.Store(l.state.view())
}
