// Package control runs the control state of a scheduler process.
//
// One goroutine, the control goroutine, holds the state of all shards that the
// process owns. It receives messages from the message queue, a bounded channel,
// and runs the systems of each shard at every tick. Other goroutines call the
// store and the executors and post the results as messages.
package control

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/group"
	"mimosadock/schedule/maintenance"
	"mimosadock/schedule/unit"
	"mimosadock/scheduler/record"
)

// Store persists the records of shards and assigns shards to the members of the
// group of owners.
type Store interface {
	// Append adds records to a shard atomically. It is idempotent for a given
	// sequence number, so a call with an unknown outcome may be retried. An
	// error that wraps [dispatch.ErrFenced] or [dispatch.ErrRefused] is final.
	Append(ctx context.Context, shard unit.Shard, epoch unit.Generation, sequence int64, records []dispatch.Record) error
	// Load calls f for the newest record of each key of a shard.
	Load(ctx context.Context, shard unit.Shard, f func(dispatch.Record)) error
	// Join adds member to the group of owners or renews its membership for ttl.
	// last is the generation that the previous join returned, or 0. Join returns
	// the generation of the group and the shards assigned to member.
	Join(ctx context.Context, member unit.Member, ttl clock.Span, last unit.Generation) (unit.Generation, []unit.Shard, error)
	// Leave removes member from the group of owners immediately.
	Leave(ctx context.Context, member unit.Member, last unit.Generation) error
}

// Executors sends orders to executors. An error means that the outcome of the
// order is unknown.
type Executors interface {
	Start(ctx context.Context, to dispatch.Target, o dispatch.StartOrder) (dispatch.Answer, error)
	Stop(ctx context.Context, to dispatch.Target, o dispatch.StopOrder) (dispatch.Answer, error)
	Pace(ctx context.Context, to dispatch.Target, o dispatch.PaceOrder) (dispatch.Answer, error)
	Hold(ctx context.Context, to dispatch.Target, o dispatch.HoldOrder) (dispatch.Answer, error)
}

// Advisor is the external service that decides which executors may run a step.
type Advisor interface {
	Advise(ctx context.Context, request dispatch.AdviceRequest) (dispatch.AdviceResponse, error)
}

// OperatorFeed reads the operator's requests: configurations, maintenance
// waves and evacuations of data centres.
type OperatorFeed interface {
	// Next returns the requests since the previous call. It blocks until there is
	// one, for at most wait.
	Next(ctx context.Context, wait clock.Span) (dispatch.Operations, error)
}

// RegistrationFeed reads the platform's list of executors.
type RegistrationFeed interface {
	// Next returns the changes since the previous call. The first call returns
	// all entries.
	Next(ctx context.Context) (dispatch.Registrations, error)
}

// EventLog writes state changes and scheduling decisions to the log of the
// process. Its methods must not block.
type EventLog interface {
	// LogChange logs a change of the process's state or a failure. message is the
	// text of the line; fields are alternating keys and values.
	LogChange(message string, fields ...any)
	// LogDecision logs a decision about one request or run. message and fields are
	// as for LogChange.
	LogDecision(message string, fields ...any)
}

// Settings configure the control state.
type Settings struct {
	Member unit.Member
	Shards int        // number of shards to propose if the deployment has no layout; 0 derives it from the number of executors
	TTL    clock.Span // time without a join after which the store may assign the shards of a member to others; until its next join the member starts no runs
	Limits dispatch.Limits
	Store  record.Limits // of the store
	// MaxJobBytes bounds the memory of the open jobs of all shards that the process
	// owns; 0 is unlimited.
	MaxJobBytes unit.Bytes
}

// Intervals, timeouts and sizes of the control goroutine.
const (
	joinsPerTTL              = 8                       // joins in one TTL; a shard moves to a new owner within two joins
	registrationInterval     = 400 * time.Millisecond  // between reads of the registrations; a draining executor must be detected within 2 s
	retryInterval            = 150 * time.Millisecond  // after a failed call to the store
	operatorPollTimeout      = 600 * clock.Millisecond // of one long poll; a dead connection must be detected within 2 s
	minAppendInterval        = 20 * clock.Millisecond  // batches changes; at most 50 appends a second per shard
	modelStoreInterval       = 2 * clock.Second        // between writes of the interference models, which are added to an append
	busyTickInterval         = 25 * time.Millisecond   // while a shard has work
	idleTickInterval         = 500 * time.Millisecond  // while all shards are idle
	messageQueueSize         = 4096                    // messages; requests are refused while the queue is full
	predecessorCheckInterval = 300 * time.Millisecond  // between two checks whether a former owner is still a member
	predecessorChecks        = 5
	storeStallTimeout        = 400 * clock.Millisecond // after the start of an append; new jobs and unknown ones are refused until it completes
)

// Control owns the shards that are assigned to this process and runs the control
// goroutine. Set the exported fields before [Control.Run].
type Control struct {
	Settings            Settings
	Store               Store
	Layouts             Layouts
	Owners              Owners
	Executors           Executors
	Advisor             Advisor
	Machines            Machines
	Waves               WaveStateStore
	Router              ShardRouter
	Operator            OperatorFeed
	NewRegistrationFeed func() RegistrationFeed
	Clock               clock.Clock
	BootClock           func() clock.Millis // monotonic clock that includes the time for which the host was suspended
	EventLog            EventLog
	Counters            *Counters

	group         *group.Group
	messages      chan any
	storeContact  storeContact
	owned         map[unit.Shard]*ownedShard
	busy          busyMeter
	config        atomic.Pointer[dispatch.Config]
	layout        atomic.Pointer[dispatch.Layout]
	membership    membership
	undecodable   undecodableEntries
	waves         []maintenance.Wave
	maintenance   *maintenanceState                       // nil while another process plans maintenance
	epochs        map[unit.Shard]unit.Generation          // last epoch used for each shard
	registrations map[unit.Executor]dispatch.Registration // the platform's list of executors
	evacuations   evacuations
	noStarts      atomic.Pointer[map[unit.Executor]struct{}] // executors that take no starts; read by the goroutines of orders

	joinContext          context.Context
	stopJoins            context.CancelFunc
	joinsStopped         chan struct{}      // closed after the last join
	stopRegistrationFeed context.CancelFunc // stops the registration feed; nil if it is not running
}

// ownedShard is the state of a shard for as long as the process owns it.
type ownedShard struct {
	shard           *dispatch.Shard
	epoch           unit.Generation
	restored        bool  // the stored jobs are restored
	sequence        int64 // sequence number of the last append
	writer          *record.Writer
	appending       bool         // an append is in flight
	unproven        bool         // another member may have owned the shard since the last append
	proving         bool         // the append in flight began when the shard was unproven
	unprovenAt      clock.Millis // when it is unproven again, 0 if it is not; see [Control.handleJoined]
	gainedAt        clock.Millis // when the store had assigned the shard
	lastAppendAt    clock.Millis // start of the last append, or gainedAt before the first append
	nextAppendAt    clock.Millis // earliest start of the next append
	modelsStoredAt  clock.Millis // when the interference models were last stored
	queuedWaiters   []waiter     // replied to after the next append
	inFlightWaiters []waiter     // replied to after the append in flight
	orders          map[unit.Executor]*orderQueue
	cancel          context.CancelFunc
	ctx             context.Context // ends with the ownership
}

// waiter is a request whose reply is sent after an append.
type waiter struct {
	job     unit.Job // whose changes it waits for, empty for another request
	changes int64    // number of changes of the shard that must be stored before
	replyTo chan<- Reply
	reply   Reply

	state           unit.Job     // the reply is the state of this job after the append, if not empty
	submission      bool         // of job
	expiresAt       clock.Millis // after that, a reply comes too late; 0 if there is no such time
	provesOwnership bool         // waits for an append also if the shard has no changes
}

// Config returns the current configuration, or nil if none has been received.
func (c *Control) Config() *dispatch.Config { return c.config.Load() }

// Init prepares c for [Control.Run]; g runs its goroutines. It must be called
// before any other method.
func (c *Control) Init(g *group.Group) {
	c.group = g
	c.messages = make(chan any, messageQueueSize)
	c.owned = make(map[unit.Shard]*ownedShard)
	c.epochs = make(map[unit.Shard]unit.Generation)
	c.joinContext, c.stopJoins = context.WithCancel(g.Context())
	c.joinsStopped = make(chan struct{})
}

// Run runs the control goroutine until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	c.group.Go("operator", c.followOperator)
	c.group.Go("membership", func(context.Context) error { return c.runMembership(c.joinContext) })
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	for {
		var start time.Time
		select {
		case <-ctx.Done():
			return nil
		case m := <-c.messages:
			start = time.Now()
			c.handleMessage(m)
			c.drainMessages()
		case <-timer.C:
			start = time.Now()
		}
		next := c.tick()
		c.finishRound(start)
		timer.Reset(next)
	}
}

// drainMessages handles the queued messages without blocking.
func (c *Control) drainMessages() {
	for range messageQueueSize {
		select {
		case m := <-c.messages:
			c.handleMessage(m)
		default:
			return
		}
	}
}

// post sends a message to the control goroutine. It blocks while the message queue
// is full and drops the message only if ctx ends.
func (c *Control) post(ctx context.Context, m any) {
	select {
	case c.messages <- m:
	case <-ctx.Done():
	}
}

// handleMessage applies a message to the control state. It ignores a result for
// a shard that has been released since the call.
func (c *Control) handleMessage(m any) {
	switch m := m.(type) {
	case requestMessage:
		if m.settled == nil || m.settled.CompareAndSwap(false, true) {
			c.handleRequest(m)
		}
	case orderResultMessage:
		if owned := c.findOwned(m.shard, m.epoch); owned != nil {
			c.handleOrderResult(owned, &m)
		}
	case adviceResultMessage:
		if owned := c.findOwned(m.shard, m.epoch); owned != nil {
			owned.shard.HandleAdvice(c.Clock.Now(), &m.request, &m.response, m.err)
		}
	case storedMessage:
		c.handleStored(m)
	case maintenanceMessage:
		if state := c.maintenance; state != nil && state.epoch == m.epoch {
			m.apply(state, c.Clock.Now())
		}
	case wavesMessage:
		c.addWaves(m.waves)
	case loanResultMessage:
		if owned := c.findOwned(m.shard, m.epoch); owned != nil {
			owned.shard.HandleLoanReply(c.Clock.Now(), m.request, m.reply)
		}
	case evacuatedMessage:
		c.setEvacuated(m.evacuated)
	case registrationsMessage:
		c.recordRegistrations(m.registrations)
		c.updateNoStarts()
		c.reportUndecodable(&m.registrations)
		for _, owned := range c.owned {
			if owned.restored {
				owned.shard.ApplyRegistrations(c.Clock.Now(), m.registrations, c.executorFilter(owned.shard.ID))
			}
		}
		c.closeUnusedConnections()
	case configMessage:
		c.configure(m.config)
	case joinedMessage:
		c.handleJoined(m)
	case loadedMessage:
		c.handleLoaded(m)
	case predecessorMessage:
		if owned := c.findOwned(m.shard, m.epoch); owned != nil {
			owned.shard.HandlePredecessorGone(m.at)
			c.EventLog.LogChange("former owner is no member", "shard", m.shard, "epoch", m.epoch)
		}
	case releaseMessage:
		c.releaseAll(m.reason)
		close(m.done)
	case dumpMessage:
		m.replyTo <- c.dump()
	}
}

// recordRegistrations keeps the platform's list of executors, so that the entry of
// an executor is at hand when another shard lends or returns it. An undecodable
// entry leaves the last good one in place.
func (c *Control) recordRegistrations(r dispatch.Registrations) {
	if r.Complete {
		maps.DeleteFunc(c.registrations, func(id unit.Executor, _ dispatch.Registration) bool {
			return !slices.ContainsFunc(r.Undecodable, func(e dispatch.UndecodableEntry) bool { return e.Executor == id })
		})
	}
	if c.registrations == nil {
		c.registrations = make(map[unit.Executor]dispatch.Registration)
	}
	for _, entry := range r.Entries {
		c.registrations[entry.Executor] = entry
	}
	for _, id := range r.Removed {
		delete(c.registrations, id)
	}
}

// registerGained passes the entries of executors that a shard may use since the
// last tick to the shard.
func (c *Control) registerGained(owned *ownedShard) {
	var r dispatch.Registrations
	for _, id := range owned.shard.Gained() {
		if entry, ok := c.registrations[id]; ok {
			r.Entries = append(r.Entries, entry)
		}
	}
	if len(r.Entries) > 0 {
		owned.shard.ApplyRegistrations(c.Clock.Now(), r, c.executorFilter(owned.shard.ID))
	}
}

// executorFilter returns a function that reports whether the layout assigns an
// executor to shard s.
func (c *Control) executorFilter(s unit.Shard) func(unit.Executor) bool {
	layout := c.Layout()
	return func(e unit.Executor) bool { return layout.ShardOf(string(e)) == s }
}

// findOwned returns the shard s if the process owns it under epoch, or nil.
func (c *Control) findOwned(s unit.Shard, epoch unit.Generation) *ownedShard {
	if owned := c.owned[s]; owned != nil && owned.epoch == epoch {
		return owned
	}
	return nil
}

func wallNow() unit.UnixMillis { return unit.UnixMillis(time.Now().UnixMilli()) }

// tick runs the systems of all shards and returns the time until the next tick.
func (c *Control) tick() time.Duration {
	next := idleTickInterval
	c.releaseUnconfirmed(c.Clock.Now())
	for _, owned := range c.owned {
		if !owned.restored {
			continue
		}
		c.tickShard(owned)
		if !owned.shard.Idle() || owned.needsProof() || len(owned.queuedWaiters) > 0 {
			next = busyTickInterval
		}
		if owned.shard.Fenced() {
			c.release(owned, "an executor has received a higher fencing token")
		}
	}
	if c.tickMaintenance(c.Clock.Now()) {
		next = min(next, maintenanceTickInterval)
	}
	return next
}

// tickShard runs the systems of a shard, starts an append of the changes and
// sends the orders.
func (c *Control) tickShard(owned *ownedShard) {
	c.registerGained(owned)
	now := c.Clock.Now()
	if owned.unprovenAt > 0 && now >= owned.unprovenAt {
		owned.unproven, owned.unprovenAt = true, 0
	}
	canStore := !owned.appending && now >= owned.nextAppendAt
	changes, orders := owned.shard.Tick(now, wallNow(), canStore)
	owned.refuseExpired(now)
	switch {
	case len(changes) > 0 || canStore && owned.needsProof():
		c.startAppend(owned, now, changes)
	case canStore:
		// The changes that the waiters depend on are already stored.
		sendReplies(owned.queuedWaiters)
		owned.queuedWaiters = nil
	}
	for i := range orders {
		c.sendOrder(owned, orders[i])
	}
}

// needsProof reports whether an append has to show that no other member has owned
// the shard, also if there is nothing to store.
func (owned *ownedShard) needsProof() bool {
	return owned.unproven || slices.ContainsFunc(owned.queuedWaiters, func(w waiter) bool { return w.provesOwnership })
}

// Dump returns a summary of the state of the control goroutine, or the error of
// ctx if it ends first.
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
	d.Evacuated = c.dumpEvacuations()
	for id, owned := range c.owned {
		d.Shards = append(d.Shards, ShardDump{Shard: id, Epoch: owned.epoch, Restored: owned.restored, Summary: owned.shard.Summarize()})
	}
	return d
}
