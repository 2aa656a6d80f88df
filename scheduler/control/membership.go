package control

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
	"mimosadock/scheduler/record"
)

// membership is what the control goroutine knows of the group of owners.
type membership struct {
	generation unit.Generation
	confirmed  clock.Millis // when the last confirmed join was sent
	fresher    atomic.Int64 // the same on the clock that counts standstills
}

// fresh reports whether the store can't have replaced the member for its
// silence. An executor that has just restarted knows no fencing token, so a
// start by a replaced owner would be carried out there.
func (m *membership) fresh(now clock.Millis, ttl clock.Span) bool {
	return now.Sub(clock.Millis(m.fresher.Load())) < ttl
}

// keepMembership joins the owners regularly while the process takes part.
func (c *Control) keepMembership(ctx context.Context) error {
	defer close(c.joinsStopped)
	if !c.agree(ctx) {
		return nil
	}
	part := participation{standby: standby{self: c.Settings.Member, layout: c.Layout()}}
	var last unit.Generation
	every := (c.Settings.TTL / joinsPerTTL).Duration()
	for ctx.Err() == nil {
		if !c.takesPart(ctx, &part) {
			last = 0
			sleep(ctx, part.untilLook(c.Clock.Now()))
			continue
		}
		sentAt, bootAt := c.Clock.Now(), c.Boot()
		generation, shards, err := c.Store.Join(ctx, c.Settings.Member, c.Settings.TTL, last)
		if err != nil {
			c.Counters.JoinFailures.Add(1)
		} else {
			last = generation
			c.members.fresher.Store(int64(bootAt))
			done := make(chan joinOutcome, 1)
			c.post(ctx, joinedMessage{generation, shards, sentAt, done})
			// A shard that is no longer listed must be given up before the
			// next join tells the store so, and that join makes it free.
			select {
			case o := <-done:
				if o.rejoin {
					c.leaveOwners(ctx, "shard was given up in this generation")
					last = 0
				}
				if o.released || o.rejoin {
					continue
				}
			case <-ctx.Done():
				return nil
			}
		}
		sleep(ctx, every)
	}
	return nil
}

// participation is whether a process takes part in the ownership of shards, and
// when that is decided next.
type participation struct {
	standby
	member bool // joins are sent
	lookAt clock.Millis
}

func (p *participation) untilLook(now clock.Millis) time.Duration {
	return max(0, p.lookAt.Sub(now)).Duration()
}

// takesPart decides whether the process takes part. One that no longer does
// leaves the owners.
func (c *Control) takesPart(ctx context.Context, p *participation) bool {
	if p.strong() {
		return true
	}
	now := c.Clock.Now()
	if now < p.lookAt {
		return p.member
	}
	p.lookAt = now.Add(standbyEvery + p.stagger())
	owners, err := c.Owners.Owners(ctx)
	if err != nil {
		c.Counters.FeedFailures.Add(1)
		return p.member
	}
	needed := p.needed(owners)
	if needed != p.member {
		c.Journal.Change("participation", "owns", needed, "abilityMilliCPU", abilityOf(p.self), "ownerLoadMilliCPU", p.layout.OwnerLoad())
	}
	if p.member && !needed {
		c.leaveOwners(ctx, "stronger owners carry all shards")
	}
	p.member = needed
	return needed
}

// leaveOwners gives up all shards and leaves the group of owners.
func (c *Control) leaveOwners(ctx context.Context, reason string) {
	done := make(chan struct{})
	c.post(ctx, releaseMessage{reason, done})
	select {
	case <-done:
	case <-ctx.Done():
		return
	}
	if err := c.Store.Leave(ctx, c.Settings.Member, 0); err != nil {
		c.Journal.Change("leave failed", "err", err)
	}
}

// joined takes the outcome of a join.
func (c *Control) joined(m joinedMessage) {
	var outcome joinOutcome
	defer func() { m.done <- outcome }()
	// After a silence longer than the TTL, other members may have owned the
	// shards meanwhile, although they are listed again.
	lost := c.members.confirmed > 0 && m.sentAt.Sub(c.members.confirmed) > c.Settings.TTL
	if lost && m.generation != c.members.generation {
		c.releaseAll("membership had lapsed")
	}
	c.members.generation, c.members.confirmed = m.generation, m.sentAt
	listed := make(map[unit.Shard]bool)
	for _, s := range m.shards {
		if int(s) < c.Layout().Shards {
			listed[s] = true
		}
	}
	for id, t := range c.tenures {
		if !listed[id] {
			c.release(t, "shard was dealt to another member")
			outcome.released = true
		}
	}
	for id := range listed {
		if c.tenures[id] != nil {
			continue
		}
		// Appends and orders of the former tenure may still be on their way, and
		// its epoch would not fence them.
		if c.epochs[id] == m.generation {
			outcome.rejoin = true
			continue
		}
		c.gain(id, m.generation)
	}
}

// guard gives up the shards when the membership has not been confirmed for so
// long that another owner may count the executors' leases as ended.
func (c *Control) guard(now clock.Millis) {
	if len(c.tenures) > 0 && now.Sub(c.members.confirmed) > c.Settings.Limits.OwnerGuard {
		c.releaseAll("membership is not confirmed")
	}
}

// gain begins the tenure of a shard: it fences former owners and reads the
// shard.
func (c *Control) gain(id unit.Shard, epoch unit.Generation) {
	ctx, cancel := context.WithCancel(c.group.Context())
	t := &tenure{
		shard: &dispatch.Shard{ID: id, Epoch: epoch, Limits: c.Settings.Limits}, epoch: epoch,
		ctx: ctx, cancel: cancel, cutAt: c.Clock.Now(),
	}
	t.shard.Report = c.report
	c.tenures[id], c.epochs[id] = t, epoch
	c.Counters.Gains.Add(1)
	c.Journal.Change("shard gained", "shard", id, "epoch", epoch)
	c.group.Go("load", func(context.Context) error {
		saved, err := c.load(ctx, id, epoch)
		c.post(ctx, loadedMessage{id, epoch, saved, err})
		return nil
	})
}

func (c *Control) load(ctx context.Context, id unit.Shard, epoch unit.Generation) (*record.Set, error) {
	if err := c.appendUntilSettled(ctx, id, epoch, 0, nil); err != nil {
		return nil, err
	}
	for {
		var set record.Set
		var bad error
		err := c.Store.Load(ctx, id, func(r dispatch.Record) { bad = errors.Join(bad, set.Add(r)) })
		if err == nil {
			if bad != nil {
				c.Journal.Change("records can't be decoded", "shard", id, "err", bad)
			}
			return &set, nil
		}
		if !sleep(ctx, retryEvery) {
			return nil, ctx.Err()
		}
	}
}

func (c *Control) loaded(m loadedMessage) {
	t := c.tenureOf(m.shard, m.epoch)
	if t == nil {
		return
	}
	if m.err != nil {
		c.release(t, m.err.Error())
		return
	}
	now, wall := c.Clock.Now(), wallNow()
	t.shard.Configure(c.config.Load())
	jobs := m.saved.Jobs()
	for _, s := range jobs {
		t.shard.Restore(now, wall, s.ID, s.Job, s.Spec)
	}
	t.shard.Learn(now, m.saved.Learned)
	t.shard.Gain(now)
	t.serving = true
	c.Journal.Change("shard served", "shard", m.shard, "epoch", m.epoch, "jobs", len(jobs), "tookMs", now.Sub(t.cutAt))
	c.restartFeed()
}

// release ends a tenure. Calls that wait for the store have an unknown outcome.
func (c *Control) release(t *tenure, reason string) {
	delete(c.tenures, t.shard.ID)
	t.cancel()
	for _, w := range append(t.waiting, t.next...) {
		w.reply <- Reply{Status: Unsettled, Reason: "shard was released"}
	}
	c.Counters.Releases.Add(1)
	c.Journal.Change("shard released", "shard", t.shard.ID, "epoch", t.epoch, "reason", reason)
	if len(c.tenures) == 0 && c.feeding != nil {
		c.feeding()
		c.feeding = nil
	}
}

func (c *Control) releaseAll(reason string) {
	for _, t := range c.tenures {
		c.release(t, reason)
	}
}

// Leave gives up all shards and leaves the group of owners. No join follows:
// it would make the process a member again, and its shards would have no owner
// until its membership lapses.
func (c *Control) Leave(ctx context.Context) {
	c.stopJoins()
	select {
	case <-c.joinsStopped:
	case <-ctx.Done():
		return
	}
	c.leaveOwners(ctx, "process stops")
}

// restartFeed starts the feed of registrations anew, so that a shard that has
// just been restored sees all entries.
func (c *Control) restartFeed() {
	if c.feeding != nil {
		c.feeding()
	}
	ctx, cancel := context.WithCancel(c.group.Context())
	c.feeding = cancel
	c.group.Go("registrations", func(context.Context) error {
		feed := c.Registrations()
		for {
			r, err := feed.Next(ctx)
			if err == nil {
				c.post(ctx, registrationsMessage{r})
			} else if ctx.Err() == nil {
				c.Counters.FeedFailures.Add(1)
			}
			if !sleep(ctx, registrationEvery) {
				return nil
			}
		}
	})
}

// followOperator follows what the operator asks for.
func (c *Control) followOperator(ctx context.Context) error {
	for ctx.Err() == nil {
		o, err := c.Operator.Next(ctx, operatorWait)
		if err != nil && ctx.Err() == nil {
			c.Counters.FeedFailures.Add(1)
			c.Journal.Change("operator's requests can't be read", "err", err)
			sleep(ctx, retryEvery)
			continue
		}
		if o.Foreign > 0 {
			c.Journal.Change("operator's requests can't be decoded", "count", o.Foreign)
		}
		if cfg := o.Config; cfg != nil {
			if old := c.config.Load(); old == nil || cfg.Version > old.Version {
				c.config.Store(cfg)
				c.Journal.Change("configuration in force", "version", cfg.Version, "queues", len(cfg.Queues))
				c.post(ctx, configMessage{cfg})
			}
		}
		if len(o.Waves) > 0 {
			c.post(ctx, wavesMessage{o.Waves})
		}
	}
	return nil
}

func (c *Control) configure(cfg *dispatch.Config) {
	for _, t := range c.tenures {
		t.shard.Configure(cfg)
	}
}

func (c *Control) report(e dispatch.Event) {
	fields := make([]any, 0, 10)
	if e.Task.Job != "" {
		fields = append(fields, "task", e.Task.String())
	}
	if e.Run > 0 {
		fields = append(fields, "run", e.Run)
	}
	if e.Executor != "" {
		fields = append(fields, "executor", e.Executor)
	}
	if e.Reason != "" {
		fields = append(fields, "reason", e.Reason)
	}
	if e.Age != 0 {
		fields = append(fields, "ageMs", int64(e.Age))
	}
	c.Counters.Event(e.What)
	if e.Task.Job == "" {
		c.Journal.Change(e.What, fields...)
		return
	}
	c.Journal.Decision(e.What, fields...)
}
