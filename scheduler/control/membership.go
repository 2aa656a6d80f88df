package control

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
	"mimosadock/scheduler/record"
)

// membership is the state of this process's membership in the group of owners.
type membership struct {
	generation      unit.Generation
	confirmedAt     clock.Millis // when the last successful join was sent
	confirmedBootAt atomic.Int64 // the same instant in milliseconds of the boot clock, which includes suspended time
}

// isConfirmed reports whether the last successful join was less than ttl ago, so
// that the store has not removed this member. It can still have assigned a shard to
// another one, see [ownedShard.replyIfOwner]. now is on the boot clock.
// Without a confirmation, the process starts no runs, begins no maintenance and answers
// only what answerActions allows. It keeps its shards until
// [Control.releaseUnconfirmed] or a join under a new generation releases them.
// Fencing tokens alone do not suffice: an executor that has just restarted has
// no token and would accept a start from a replaced owner.
func (m *membership) isConfirmed(now clock.Millis, ttl clock.Span) bool {
	return now.Sub(clock.Millis(m.confirmedBootAt.Load())) < ttl
}

// runMembership sends joins at regular intervals while the process is to be a
// member of the group of owners. It returns when ctx ends.
func (c *Control) runMembership(ctx context.Context) error {
	defer close(c.joinsStopped)
	if !c.agreeOnLayout(ctx) {
		return nil
	}
	d := joinDecision{standby: standby{self: c.Settings.Member, layout: c.Layout()}}
	var last unit.Generation
	interval := (c.Settings.TTL / joinsPerTTL).Duration()
	for ctx.Err() == nil {
		if !c.decideToJoin(ctx, &d) {
			last = 0
			sleep(ctx, d.untilNextCheck(c.Clock.Now()))
			continue
		}
		joined, err := c.join(ctx, last)
		if err != nil {
			c.Counters.JoinFailures.Add(1)
		} else {
			c.storeContact.recordAnswer(c.Clock.Now())
			last = joined.generation
			done := make(chan joinOutcome, 1)
			joined.outcome = done
			c.post(ctx, joined)
			// A shard that is no longer listed must be released before the next
			// join, which lets the store assign the shard to another member.
			select {
			case o := <-done:
				if o.rejoin {
					c.leaveOwners(ctx, "shard can be owned again only under a new generation")
					last = 0
				}
				if o.released || o.rejoin {
					continue
				}
			case <-ctx.Done():
				return nil
			}
		}
		sleep(ctx, interval)
	}
	return nil
}

// join sends a join and returns its result, with the times at which the join that
// was answered was sent. The outcome is not set.
func (c *Control) join(ctx context.Context, last unit.Generation) (joinedMessage, error) {
	call := hedgedCall[joinedMessage]{c.group, hedgeDelay, func(ctx context.Context) (joinedMessage, error) {
		m := joinedMessage{sentAt: c.Clock.Now(), sentBootAt: c.BootClock()}
		var err error
		m.generation, m.shards, err = c.Store.Join(ctx, c.Settings.Member, c.Settings.TTL, last)
		return m, err
	}}
	return call.do(ctx)
}

// joinDecision holds whether the process joins the group of owners and when it
// decides again.
type joinDecision struct {
	standby
	joining     bool // the decision in force; not used if the process has enough CPU for a shard
	nextCheckAt clock.Millis
}

// untilNextCheck returns the time until the next decision, or 0 if it is due.
func (d *joinDecision) untilNextCheck(now clock.Millis) time.Duration {
	return max(0, d.nextCheckAt.Sub(now)).Duration()
}

// decideToJoin decides whether the process joins the group of owners and reports
// the decision. A member that is no longer needed leaves the group. If the owners
// can't be read, the previous decision stays in force.
func (c *Control) decideToJoin(ctx context.Context, d *joinDecision) bool {
	if d.canOwnShard() {
		return true
	}
	now := c.Clock.Now()
	if now < d.nextCheckAt {
		return d.joining
	}
	d.nextCheckAt = now.Add(standbyCheckInterval + d.stagger())
	owners, err := c.Owners.Owners(ctx)
	if err != nil {
		c.Counters.FeedFailures.Add(1)
		return d.joining
	}
	needed := d.decide(owners)
	if needed != d.joining {
		c.EventLog.LogChange("participation", "owns", needed, "abilityMilliCPU", cpuShareOf(d.self), "ownerLoadMilliCPU", d.layout.OwnerLoad())
	}
	if d.joining && !needed {
		c.leaveOwners(ctx, "other owners have enough CPU for all shards")
	}
	d.joining = needed
	return needed
}

// leaveOwners releases all shards and leaves the group of owners. It returns
// early if ctx ends.
func (c *Control) leaveOwners(ctx context.Context, reason string) {
	done := make(chan struct{})
	c.post(ctx, releaseMessage{reason, done})
	select {
	case <-done:
	case <-ctx.Done():
		return
	}
	if err := c.Store.Leave(ctx, c.Settings.Member, 0); err != nil {
		c.EventLog.LogChange("leave failed", "err", err)
	}
}

// handleJoined applies the result of a join: it releases the shards that are no
// longer assigned to this process and starts the ownership of the new ones.
func (c *Control) handleJoined(m joinedMessage) {
	var outcome joinOutcome
	defer func() { m.outcome <- outcome }()
	// If the time between two joins exceeded the TTL, other members may have owned
	// the shards in between, although they are now assigned to this process.
	expired := c.membership.confirmedAt > 0 && m.sentAt.Sub(c.membership.confirmedAt) > c.Settings.TTL
	if expired && m.generation != c.membership.generation {
		c.releaseAll("membership had lapsed")
	}
	reassigned := m.generation != c.membership.generation
	c.membership.generation, c.membership.confirmedAt = m.generation, m.sentAt
	listed := make(map[unit.Shard]bool)
	for _, s := range m.shards {
		if int(s) < c.Layout().Shards {
			listed[s] = true
		}
	}
	for id, owned := range c.owned {
		if !listed[id] {
			c.release(owned, "shard was assigned to another member")
			outcome.released = true
		}
	}
	// Not before the shards are released that are no longer assigned: a lease of
	// theirs would be renewed for longer than their next owner expects.
	c.membership.confirmedBootAt.Store(int64(m.sentBootAt))
	for id := range listed {
		if owned := c.owned[id]; owned != nil {
			if reassigned {
				// A member that was assigned the shard in between may serve it later than
				// the first proof, as long as its last join confirms its membership.
				owned.unproven, owned.unprovenAt = true, c.Clock.Now().Add(c.Settings.TTL)
			}
			continue
		}
		// Appends and orders of the previous ownership may still be in flight.
		// The epoch is the same, so it would not fence them.
		if c.epochs[id] == m.generation {
			outcome.rejoin = true
			continue
		}
		c.startOwnership(id, m.generation)
	}
}

// releaseUnconfirmed releases all shards if no join has succeeded for longer than
// the ownership timeout. After that, another owner may treat the executors'
// leases as expired.
func (c *Control) releaseUnconfirmed(now clock.Millis) {
	if len(c.owned) > 0 && now.Sub(c.membership.confirmedAt) > c.Settings.Limits.OwnershipTimeout {
		c.releaseAll("membership is not confirmed")
	}
}

// startOwnership starts the ownership of a shard under epoch. In another goroutine
// it fences former owners and loads the records of the shard.
func (c *Control) startOwnership(id unit.Shard, epoch unit.Generation) {
	ctx, cancel := context.WithCancel(c.group.Context())
	now := c.Clock.Now()
	owned := &ownedShard{
		shard: &dispatch.Shard{ID: id, Epoch: epoch, Member: c.Settings.Member, Shards: c.Layout().Shards, Limits: c.Settings.Limits}, epoch: epoch,
		ctx: ctx, cancel: cancel, gainedAt: now, lastAppendAt: now, nextAppendAt: now.Add(minAppendInterval),
	}
	owned.shard.Report, owned.shard.AwaitsOperator = c.logEvent, true
	c.owned[id], c.epochs[id] = owned, epoch
	c.Counters.Gains.Add(1)
	c.EventLog.LogChange("shard gained", "shard", id, "epoch", epoch)
	c.group.Go("load", func(context.Context) error {
		records, err := c.load(ctx, id, epoch)
		c.post(ctx, loadedMessage{id, epoch, records, err})
		return nil
	})
}

// load fences former owners with an empty append and reads the records of the
// shard. It logs records that can't be decoded and leaves them out.
func (c *Control) load(ctx context.Context, id unit.Shard, epoch unit.Generation) (*record.Set, error) {
	if err := c.appendWithRetry(ctx, id, epoch, 0, nil); err != nil {
		return nil, err
	}
	for {
		var set record.Set
		var decodeErrs error
		err := c.Store.Load(ctx, id, func(r dispatch.Record) { decodeErrs = errors.Join(decodeErrs, set.Add(r)) })
		if err == nil {
			decodeErrs = errors.Join(decodeErrs, set.Join())
			if decodeErrs != nil {
				c.EventLog.LogChange("records can't be decoded", "shard", id, "err", decodeErrs)
			}
			return &set, nil
		}
		if !sleep(ctx, retryInterval) {
			return nil, ctx.Err()
		}
	}
}

// handleLoaded restores a shard from its records and starts to serve it.
func (c *Control) handleLoaded(m loadedMessage) {
	owned := c.findOwned(m.shard, m.epoch)
	if owned == nil {
		return
	}
	if m.err != nil {
		c.release(owned, m.err.Error())
		return
	}
	now, wall := c.Clock.Now(), wallNow()
	owned.writer = record.NewWriter(c.Settings.Store, m.records)
	owned.shard.Configure(c.config.Load())
	jobs := m.records.Jobs()
	for _, j := range jobs {
		owned.shard.Restore(now, wall, j.ID, j.Job, j.Spec)
	}
	for _, l := range m.records.Loans {
		owned.shard.RestoreLoan(l)
	}
	owned.shard.RestoreInterferenceModels(now, m.records.InterferenceModels)
	owned.shard.RestoreLeaseRecord(now, m.records.Leases)
	owned.shard.StartOwnership(owned.gainedAt)
	c.passEvacuated(owned)
	owned.restored = true
	c.followPredecessor(owned)
	c.EventLog.LogChange("shard served", "shard", m.shard, "epoch", m.epoch, "jobs", len(jobs), "tookMs", now.Sub(owned.lastAppendAt))
	c.restartRegistrationFeed()
}

// followPredecessor finds out when the former owner of a shard is no member any
// more, unless that is unknown or takes longer than the former owner may renew
// leases.
func (c *Control) followPredecessor(owned *ownedShard) {
	id, epoch, ctx, former := owned.shard.ID, owned.epoch, owned.ctx, owned.shard.Predecessor()
	switch former {
	case "":
		return
	case c.Settings.Member:
		owned.shard.HandlePredecessorGone(owned.gainedAt) // released before the shard was gained again
		return
	}
	c.group.Go("predecessor", func(context.Context) error {
		for range predecessorChecks {
			members, err := c.Owners.Members(ctx)
			at := c.Clock.Now()
			if err == nil && !mayBeMember(former, members) {
				c.post(ctx, predecessorMessage{id, epoch, at})
				return nil
			}
			if !sleep(ctx, predecessorCheckInterval) {
				return nil
			}
		}
		return nil
	})
}

// mayBeMember reports whether m may be a member, by the number of partitions of
// each member that has one. Partitions are distributed evenly, so that each member
// has one if another has several.
func mayBeMember(m unit.Member, partitions map[unit.Member]int) bool {
	if partitions[m] > 0 {
		return true
	}
	for _, n := range partitions {
		if n > 1 {
			return false
		}
	}
	return true
}

// release ends the ownership of a shard. Requests whose append has not completed
// get the status [StatusUndetermined], but submissions that no append has get
// [StatusNotOwner]. The registration feed stops with the last
// shard.
func (c *Control) release(owned *ownedShard, reason string) {
	delete(c.owned, owned.shard.ID)
	owned.cancel()
	for _, w := range owned.inFlightWaiters {
		w.replyTo <- Reply{Status: StatusUndetermined, Reason: "shard was released"}
	}
	for _, w := range owned.queuedWaiters {
		r := Reply{Status: StatusUndetermined, Reason: "shard was released"}
		if w.submission && owned.shard.Withdraw(w.job) {
			r.Status, r.Dropped = StatusNotOwner, true // the next owner may accept it
		}
		w.replyTo <- r
	}
	c.closeUnusedConnections()
	c.Counters.Releases.Add(1)
	c.EventLog.LogChange("shard released", "shard", owned.shard.ID, "epoch", owned.epoch, "reason", reason)
	if len(c.owned) == 0 && c.stopRegistrationFeed != nil {
		c.stopRegistrationFeed()
		c.stopRegistrationFeed = nil
		clear(c.registrations)
	}
}

func (c *Control) releaseAll(reason string) {
	for _, owned := range c.owned {
		c.release(owned, reason)
	}
}

// Leave releases all shards and leaves the group of owners. It stops the joins
// first: a later join would make the process a member again, and its shards would
// have no owner until the membership expires. It returns early if ctx ends.
func (c *Control) Leave(ctx context.Context) {
	c.stopJoins()
	select {
	case <-c.joinsStopped:
	case <-ctx.Done():
		return
	}
	c.leaveOwners(ctx, "process stops")
}

// restartRegistrationFeed starts a new registration feed, so that a shard that
// has just been restored receives all entries.
func (c *Control) restartRegistrationFeed() {
	if c.stopRegistrationFeed != nil {
		c.stopRegistrationFeed()
	}
	ctx, cancel := context.WithCancel(c.group.Context())
	c.stopRegistrationFeed = cancel
	c.group.Go("registrations", func(context.Context) error {
		feed := c.NewRegistrationFeed()
		for {
			r, err := feed.Next(ctx)
			if err == nil {
				c.post(ctx, registrationsMessage{r})
			} else if ctx.Err() == nil {
				c.Counters.FeedFailures.Add(1)
			}
			if !sleep(ctx, registrationInterval) {
				return nil
			}
		}
	})
}

// followOperator polls the operator's requests and applies them until ctx ends.
func (c *Control) followOperator(ctx context.Context) error {
	var evacuated []unit.DataCentre
	read := false
	for ctx.Err() == nil {
		o, err := c.Operator.Next(ctx, operatorPollTimeout)
		if err != nil && ctx.Err() == nil {
			c.Counters.FeedFailures.Add(1)
			c.EventLog.LogChange("operator's requests can't be read", "err", err)
			sleep(ctx, retryInterval)
			continue
		}
		if err == nil {
			c.storeContact.recordAnswer(c.Clock.Now())
		}
		if o.Undecodable > 0 {
			c.EventLog.LogChange("operator's requests can't be decoded", "count", o.Undecodable, "reason", truncate(o.Reason, maxLoggedReasonBytes))
		}
		// Before the configuration, so that no owner acts on that alone.
		if !read || !slices.Equal(o.Evacuated, evacuated) {
			read, evacuated = true, o.Evacuated
			c.post(ctx, evacuatedMessage{evacuated})
		}
		if cfg := o.Config; cfg != nil {
			if old := c.config.Load(); old == nil || cfg.Version > old.Version {
				c.config.Store(cfg)
				c.EventLog.LogChange("configuration in force", "version", cfg.Version, "queues", len(cfg.Queues))
				c.post(ctx, configMessage{cfg})
			}
		}
		if len(o.Waves) > 0 {
			c.post(ctx, wavesMessage{o.Waves})
		}
	}
	return nil
}

// configure passes a configuration to all shards.
func (c *Control) configure(cfg *dispatch.Config) {
	for _, owned := range c.owned {
		owned.shard.Configure(cfg)
	}
}

// logEvent counts and logs an event of a shard. An event without a task and an
// anomaly are logged as changes, any other as a decision.
func (c *Control) logEvent(e dispatch.Event) {
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
	if e.Breakdown != nil {
		for i, p := range e.Breakdown.Parts {
			if p > 0 {
				fields = append(fields, dispatch.TimePart(i).String()+"Ms", int64(p))
			}
		}
		fields = append(fields, "estimateMs", int64(e.Breakdown.Estimate), "objectiveMs", int64(e.Breakdown.Objective))
		c.logBreakdown(e.Breakdown)
	}
	c.Counters.Event(e.Kind)
	if e.Task.Job == "" || e.Anomaly {
		c.EventLog.LogChange(e.Kind, fields...)
		return
	}
	c.EventLog.LogDecision(e.Kind, fields...)
}
