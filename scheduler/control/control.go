// Package control runs the control state of a scheduler process.
//
// One goroutine owns the shards that the process holds. It takes messages from
// a bounded channel, runs the systems of each shard, and hands calls to the
// store and to the executors to other goroutines, whose results come back as
// messages.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/group"
	"mimosadock/schedule/maintenance"
	"mimosadock/schedule/unit"
)

// Store is what must last and who owns what.
type Store interface {
	// Append adds records to a shard, all or none. It may be called again with
	// the same sequence until it answers. An error that wraps
	// [dispatch.ErrFenced] is final.
	Append(ctx context.Context, shard unit.Shard, epoch unit.Generation, sequence int64, records []dispatch.Record) error
	// Load calls f with the newest record of each key of a shard.
	Load(ctx context.Context, shard unit.Shard, f func(dispatch.Record)) error
	// Join joins the owners or stays one of them, and returns the shards of
	// the member.
	Join(ctx context.Context, member unit.Member, ttl clock.Span, last unit.Generation) (unit.Generation, []unit.Shard, error)
	// Leave leaves the owners at once.
	Leave(ctx context.Context, member unit.Member, last unit.Generation) error
}

// Executors carries orders to executors. An error means that the outcome is
// unknown.
type Executors interface {
	Start(ctx context.Context, to dispatch.Target, o dispatch.StartOrder) (dispatch.Answer, error)
	Stop(ctx context.Context, to dispatch.Target, o dispatch.StopOrder) (dispatch.Answer, error)
	Pace(ctx context.Context, to dispatch.Target, o dispatch.PaceOrder) (dispatch.Answer, error)
	Hold(ctx context.Context, to dispatch.Target, o dispatch.HoldOrder) (dispatch.Answer, error)
}

// Advisor tells which executors may run a step.
type Advisor interface {
	Advise(ctx context.Context, o dispatch.AdviseOrder) (dispatch.Advised, error)
}

// OperatorFeed follows what the operator asks for.
type OperatorFeed interface {
	// Next returns what is new, or nothing after wait.
	Next(ctx context.Context, wait clock.Span) (dispatch.Operations, error)
}

// RegistrationFeed follows the platform's list of executors.
type RegistrationFeed interface {
	// Next returns what is new.
	Next(ctx context.Context) (dispatch.Registrations, error)
}

// Journal takes the lines that explain decisions. It must not block.
type Journal interface {
	// Change notes a change of what the process believes.
	Change(what string, fields ...any)
	// Decision notes a decision about one request or run.
	Decision(what string, fields ...any)
}

// Settings of the control state.
type Settings struct {
	Member unit.Member
	Shards int        // to propose where no layout is agreed on yet; 0 for as many as the executors ask for
	TTL    clock.Span // after which a silent member loses its shards
	Limits dispatch.Limits
}

// Spans between regular calls.
const (
	joinsPerTTL       = 8                       // a shard changes hands within two joins
	registrationEvery = 400 * time.Millisecond  // a draining executor must be seen within 2 s
	retryEvery        = 150 * time.Millisecond  // after a failed call to the store
	operatorWait      = 600 * clock.Millisecond // of one long poll; a silent connection must be found within 2 s
	appendEvery       = 20 * clock.Millisecond  // groups changes; 50 appends a second at most
	learnedEvery      = 2 * clock.Second        // learned weights are stored with an append
	busyTick          = 25 * time.Millisecond
	idleTick          = 500 * time.Millisecond
	mailbox           = 4096 // messages
	storeStalled      = 400 * clock.Millisecond
)

// Control is the control state of a process. Set the fields before
// [Control.Run].
type Control struct {
	Settings      Settings
	Store         Store
	Layouts       Layouts
	Owners        Owners
	Executors     Executors
	Advisor       Advisor
	Machines      Machines
	Waves         Waves
	Shards        ShardCalls
	Operator      OperatorFeed
	Registrations func() RegistrationFeed
	Clock         clock.Clock
	Boot          func() clock.Millis // a clock that also counts the time for which the host stood still
	Journal       Journal
	Counters      *Counters

	group    *group.Group
	messages chan any
	tenures  map[unit.Shard]*tenure
	config   atomic.Pointer[dispatch.Config]
	layout   atomic.Pointer[dispatch.Layout]
	members  membership
	waves    []maintenance.Wave
	upkeep   *upkeep                        // nil while another process plans it
	epochs   map[unit.Shard]unit.Generation // last used for each shard

	joins        context.Context
	stopJoins    context.CancelFunc
	joinsStopped chan struct{}      // closed when no further join is sent
	feeding      context.CancelFunc // stops the feed of registrations
}

// tenure is a shard while the process owns it.
type tenure struct {
	shard     *dispatch.Shard
	epoch     unit.Generation
	serving   bool // restored
	sequence  int64
	storing   bool
	cutAt     clock.Millis
	learnedAt clock.Millis // when the learned weights were last stored
	next      []waiter     // told after the next append
	waiting   []waiter     // told after the append in flight
	cancel    context.CancelFunc
	ctx       context.Context
}

type waiter struct {
	reply chan<- Reply
	with  Reply
}

// Config returns the configuration in force, or nil before the first.
func (c *Control) Config() *dispatch.Config { return c.config.Load() }

// Init makes the channel of messages. It must be called before any other
// method.
func (c *Control) Init(g *group.Group) {
	c.group = g
	c.messages = make(chan any, mailbox)
	c.tenures = make(map[unit.Shard]*tenure)
	c.epochs = make(map[unit.Shard]unit.Generation)
	c.joins, c.stopJoins = context.WithCancel(g.Context())
	c.joinsStopped = make(chan struct{})
}

// Run runs the control goroutine until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	c.group.Go("operator", c.followOperator)
	c.group.Go("membership", func(context.Context) error { return c.keepMembership(c.joins) })
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-c.messages:
			c.take(m)
			c.drain()
		case <-timer.C:
		}
		timer.Reset(c.turn())
	}
}

// drain takes the messages that are there.
func (c *Control) drain() {
	for range mailbox {
		select {
		case m := <-c.messages:
			c.take(m)
		default:
			return
		}
	}
}

// post sends a message that must not be lost.
func (c *Control) post(ctx context.Context, m any) {
	select {
	case c.messages <- m:
	case <-ctx.Done():
	}
}

func (c *Control) take(m any) {
	switch m := m.(type) {
	case askMessage:
		c.answer(m)
	case answeredMessage:
		if t := c.tenureOf(m.shard, m.epoch); t != nil {
			t.shard.Answered(c.Clock.Now(), wallNow(), &m.order, &m.answer, m.err)
		}
	case advisedMessage:
		if t := c.tenureOf(m.shard, m.epoch); t != nil {
			t.shard.Advised(c.Clock.Now(), &m.order, &m.advised, m.err)
		}
	case storedMessage:
		c.stored(m)
	case upkeepMessage:
		if u := c.upkeep; u != nil && u.epoch == m.epoch {
			m.apply(u, c.Clock.Now())
		}
	case wavesMessage:
		c.addWaves(m.waves)
	case registrationsMessage:
		for _, t := range c.tenures {
			if t.serving {
				t.shard.Update(c.Clock.Now(), m.registrations, c.mine(t.shard.ID))
			}
		}
	case configMessage:
		c.configure(m.config)
	case joinedMessage:
		c.joined(m)
	case loadedMessage:
		c.loaded(m)
	case releaseMessage:
		c.releaseAll(m.reason)
		close(m.done)
	case dumpMessage:
		m.reply <- c.dump()
	}
}

func (c *Control) mine(s unit.Shard) func(unit.Executor) bool {
	layout := c.Layout()
	return func(e unit.Executor) bool { return layout.ShardOf(string(e)) == s }
}

func (c *Control) tenureOf(s unit.Shard, epoch unit.Generation) *tenure {
	if t := c.tenures[s]; t != nil && t.epoch == epoch {
		return t
	}
	return nil
}

func wallNow() unit.UnixMillis { return unit.UnixMillis(time.Now().UnixMilli()) }

// turn runs the systems of all shards and returns when to run them again.
func (c *Control) turn() time.Duration {
	next := idleTick
	c.guard(c.Clock.Now())
	for _, t := range c.tenures {
		if !t.serving {
			continue
		}
		c.turnShard(t)
		if !t.shard.Idle() {
			next = busyTick
		}
		if t.shard.Fenced() {
			c.release(t, "an executor has seen a higher token")
		}
	}
	if c.maintain(c.Clock.Now()) {
		next = min(next, upkeepTick)
	}
	return next
}

func (c *Control) turnShard(t *tenure) {
	now := c.Clock.Now()
	canStore := !t.storing && now >= t.cutAt.Add(appendEvery)
	changes, orders := t.shard.Turn(now, wallNow(), canStore)
	if len(changes) > 0 {
		c.store(t, now, changes)
	}
	if len(changes) == 0 && canStore && len(t.next) > 0 {
		// What the waiters ask for is in the store already.
		settle(t.next)
		t.next = nil
	}
	for i := range orders {
		c.send(t, orders[i])
	}
}

// Dump returns the state of the control goroutine.
func (c *Control) Dump(ctx context.Context) (Dump, error) {
	reply := make(chan Dump, 1)
	c.post(ctx, dumpMessage{reply})
	select {
	case d := <-reply:
		return d, nil
	case <-ctx.Done():
		return Dump{}, ctx.Err()
	}
}

func (c *Control) dump() Dump {
	d := Dump{}
	if cfg := c.config.Load(); cfg != nil {
		d.Config = cfg.Version
	}
	for id, t := range c.tenures {
		d.Shards = append(d.Shards, ShardDump{Shard: id, Epoch: t.epoch, Serving: t.serving, Summary: t.shard.Summarize()})
	}
	return d
}
