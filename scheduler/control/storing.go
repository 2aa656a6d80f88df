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
// another goroutine. It releases the shard if a change can't be encoded.
func (c *Control) startAppend(owned *ownedShard, now clock.Millis, changes []dispatch.Change) {
	var records []dispatch.Record
	for i := range changes {
		var err error
		if records, err = record.Encode(records, &changes[i]); err != nil {
			c.EventLog.LogChange("record can't be encoded", "err", err)
			c.release(owned, "record can't be encoded")
			return
		}
	}
	if models := owned.shard.InterferenceModels(); len(models) > 0 && now >= owned.modelsStoredAt.Add(modelStoreInterval) {
		owned.modelsStoredAt = now
		var err error
		if records, err = record.EncodeInterferenceModels(records, models); err != nil {
			c.EventLog.LogChange("record can't be encoded", "err", err)
		}
	}
	owned.sequence++
	owned.appending, owned.lastAppendAt = true, now
	// The changes that later waiters depend on are left for another append.
	n, _ := slices.BinarySearchFunc(owned.queuedWaiters, owned.shard.CollectedChanges()+1, func(w waiter, changes int64) int {
		return cmp.Compare(w.changes, changes)
	})
	owned.inFlightWaiters, owned.queuedWaiters = owned.queuedWaiters[:n:n], owned.queuedWaiters[n:]
	c.Counters.Appends.Add(1)
	c.Counters.Records.Add(int64(len(records)))
	id, epoch, sequence := owned.shard.ID, owned.epoch, owned.sequence
	c.group.Go("append", func(context.Context) error {
		err := c.appendWithRetry(owned.ctx, id, epoch, sequence, records)
		c.post(owned.ctx, storedMessage{id, epoch, err})
		return nil
	})
}

// appendWithRetry retries an append under the same sequence number until it
// succeeds, is fenced or ctx ends.
func (c *Control) appendWithRetry(ctx context.Context, id unit.Shard, epoch unit.Generation, sequence int64, records []dispatch.Record) error {
	for {
		err := c.Store.Append(ctx, id, epoch, sequence, records)
		if err == nil || errors.Is(err, dispatch.ErrFenced) || ctx.Err() != nil {
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
	owned.appending = false
	now := c.Clock.Now()
	c.Counters.AppendMillis.Add(int64(now.Sub(owned.lastAppendAt)))
	owned.shard.HandleStored(now)
	sendReplies(owned.inFlightWaiters)
	owned.inFlightWaiters = nil
}
