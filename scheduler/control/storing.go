package control

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
	"mimosadock/scheduler/record"
)

// sendReplies sends the prepared replies to the waiters.
func sendReplies(waiters []waiter) {
	for _, w := range waiters {
		w.replyTo <- w.reply
	}
}

// startAppend encodes the changes of a shard and appends them to the store in
// another goroutine, with a record that proves the ownership if that is needed. It
// releases the shard if a change can't be encoded.
func (c *Control) startAppend(owned *ownedShard, now clock.Millis, changes []dispatch.Change) {
	groups := make([]record.Group, 0, len(changes)+1)
	for i := range changes {
		g, err := owned.writer.Encode(&changes[i])
		if err != nil {
			c.EventLog.LogChange("record can't be encoded", "err", err)
			c.release(owned, "record can't be encoded")
			return
		}
		groups = append(groups, g)
	}
	if owned.needsProof() {
		// The store may refuse all other groups.
		groups = append(groups, record.OwnershipProof())
	}
	if models := owned.shard.InterferenceModels(); len(models) > 0 && now >= owned.modelsStoredAt.Add(modelStoreInterval) {
		owned.modelsStoredAt = now
		if g, err := owned.writer.EncodeInterferenceModels(models); err != nil {
			c.EventLog.LogChange("record can't be encoded", "err", err)
		} else {
			groups = append(groups, g)
		}
	}
	owned.appending, owned.proving, owned.unproven, owned.lastAppendAt = true, owned.unproven, false, now
	owned.nextAppendAt = now.Add(appendInterval(changes))
	// The changes that later waiters depend on are left for another append.
	n, _ := slices.BinarySearchFunc(owned.queuedWaiters, owned.shard.CollectedChanges()+1, func(w waiter, changes int64) int {
		return cmp.Compare(w.changes, changes)
	})
	owned.inFlightWaiters, owned.queuedWaiters = owned.queuedWaiters[:n:n], owned.queuedWaiters[n:]
	a := appender{control: c, shard: owned.shard.ID, epoch: owned.epoch, sequence: owned.sequence, limits: owned.writer.Limits}
	c.group.Go("append", func(context.Context) error {
		err := a.appendGroups(owned.ctx, groups)
		c.post(owned.ctx, storedMessage{a.shard, a.epoch, a.sequence, a.refused, err})
		return nil
	})
}

// tasksPerAppendMilli is the number of tasks in the records of an append for which the
// next append waits a millisecond.
const tasksPerAppendMilli = 200

// appendInterval returns the time from the start of an append with changes to that of
// the next one. The record of a job has all tasks of its open occurrences, so that few
// large jobs could otherwise use all processor time of a small host for their records.
func appendInterval(changes []dispatch.Change) clock.Span {
	tasks := 0
	for i := range changes {
		if j := changes[i].Job; j != nil {
			tasks += j.OpenTasks()
		}
	}
	return max(minAppendInterval, clock.Span(tasks/tasksPerAppendMilli))
}

// appender appends groups of records to the store.
type appender struct {
	control  *Control
	shard    unit.Shard
	epoch    unit.Generation
	limits   record.Limits
	sequence int64      // sequence number of the last append that the store accepted
	refused  []unit.Job // jobs whose records the store refuses for good
}

// appendGroups appends groups in as few appends as the limits of the store allow. A
// crash between two of them leaves the later groups unstored, which are those of
// other jobs.
func (a *appender) appendGroups(ctx context.Context, groups []record.Group) error {
	for _, batch := range a.limits.Batches(groups) {
		if err := a.appendBatch(ctx, batch); err != nil {
			return err
		}
	}
	return nil
}

// appendBatch stores a batch in one append. If the store refuses it for good, it
// stores each group on its own and leaves out the jobs and the optional groups that
// are refused, so that they hold up no others. It returns an error if another group
// is refused.
func (a *appender) appendBatch(ctx context.Context, batch []record.Group) error {
	c := a.control
	var records []dispatch.Record
	for i := range batch {
		records = append(records, batch[i].Records...)
	}
	err := error(record.ErrTooLarge)
	if len(batch) > 1 || a.limits.Fits(&batch[0]) {
		c.Counters.Appends.Add(1)
		c.Counters.Records.Add(int64(len(records)))
		err = c.appendWithRetry(ctx, a.shard, a.epoch, a.sequence+1, records)
	}
	switch {
	case err == nil:
		a.sequence++
		return nil
	case !errors.Is(err, dispatch.ErrRefused) && !errors.Is(err, record.ErrTooLarge):
		return err
	case len(batch) == 1:
		c.Counters.RefusedChanges.Add(1)
		c.EventLog.LogChange("change can't be stored", "shard", a.shard, "job", batch[0].Job, "records", len(records), "err", err)
		switch {
		case batch[0].Optional:
		case batch[0].Job == "":
			return err // who uses an executor, and until when, must not differ from the store
		default:
			a.refused = append(a.refused, batch[0].Job)
			sleep(ctx, retryInterval) // the shard changes the job again
		}
		return nil
	}
	for i := range batch {
		if err := a.appendBatch(ctx, batch[i:i+1]); err != nil {
			return err
		}
	}
	return nil
}

// appendWithRetry retries an append under the same sequence number until it
// succeeds, is refused for good, is fenced or ctx ends.
func (c *Control) appendWithRetry(ctx context.Context, id unit.Shard, epoch unit.Generation, sequence int64, records []dispatch.Record) error {
	attempt := hedgedCall[struct{}]{c.group, hedgeDelay, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, c.Store.Append(ctx, id, epoch, sequence, records)
	}}
	for {
		_, err := attempt.do(ctx)
		if err == nil || errors.Is(err, dispatch.ErrFenced) || errors.Is(err, dispatch.ErrRefused) || ctx.Err() != nil {
			return err
		}
		c.Counters.AppendRetries.Add(1)
		if !sleep(ctx, retryInterval) {
			return ctx.Err()
		}
	}
}

// sleep waits for d and returns true. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// handleStored completes an append: it replies to the waiters, or releases the
// shard if the append failed for good.
func (c *Control) handleStored(m storedMessage) {
	owned := c.findOwned(m.shard, m.epoch)
	if owned == nil {
		return
	}
	if m.err != nil {
		c.release(owned, m.err.Error())
		return
	}
	owned.appending, owned.proving, owned.sequence = false, false, m.sequence
	now := c.Clock.Now()
	for _, id := range m.refused {
		owned.shard.HandleRefused(id)
	}
	c.Counters.AppendMillis.Add(int64(now.Sub(owned.lastAppendAt)))
	owned.shard.HandleStored(now)
	for i := range owned.inFlightWaiters {
		switch w := &owned.inFlightWaiters[i]; {
		case slices.Contains(m.refused, w.job):
			w.reply = refusedReply(owned.shard, w.job)
		case w.state != "":
			w.reply, _ = stateReply(owned.shard, w.state)
		}
	}
	sendReplies(owned.inFlightWaiters)
	owned.inFlightWaiters = nil
}

// refusedReply returns the reply to a request whose changes the store refuses for
// good. A submission that was not stored before never runs.
func refusedReply(s *dispatch.Shard, id unit.Job) Reply {
	if !s.HasJob(id) {
		return Reply{Status: StatusRefused, Reason: record.ErrTooLarge.Error(), RetryAfter: clock.Second}
	}
	return Reply{Status: StatusUndetermined, Reason: "change can't be stored"}
}
