package control

import (
	"context"
	"time"

	"mimosadock/schedule/dispatch"
	"mimosadock/scheduler/record"
)

// Layouts stores the layout that all processes share.
type Layouts interface {
	// Layout returns the stored record, or nil if there is none.
	Layout(ctx context.Context) ([]byte, error)
	// ProposeLayout stores a record if there is none. It does not report which
	// record is stored; call Layout to read it.
	ProposeLayout(ctx context.Context, value []byte) error
}

// stableCountInterval is the time for which the number of executors must stay
// the same before a process proposes a layout for it. Executors register within
// one heartbeat, which is a few seconds at most.
const stableCountInterval = 1500 * time.Millisecond

// Layout returns the layout that all processes share. It has no shards until the
// process has read it.
func (c *Control) Layout() dispatch.Layout {
	if l := c.layout.Load(); l != nil {
		return *l
	}
	return dispatch.Layout{}
}

// agreeOnLayout reads the layout, and proposes one if the deployment has none.
// It returns false if ctx ends before a layout is in use.
func (c *Control) agreeOnLayout(ctx context.Context) bool {
	executors := 0
	for ctx.Err() == nil {
		b, err := c.Layouts.Layout(ctx)
		switch {
		case err != nil:
			c.Counters.FeedFailures.Add(1)
			sleep(ctx, retryInterval)
			continue
		case b != nil && c.adoptLayout(b):
			return true
		case b == nil:
			previous := executors
			executors = c.countExecutors(ctx)
			if c.Settings.Shards > 0 || executors > 0 && executors == previous {
				c.proposeLayout(ctx, executors)
				continue
			}
		}
		sleep(ctx, stableCountInterval)
	}
	return false
}

// countExecutors returns the number of registered executors, or 0 if the
// registrations can't be read.
func (c *Control) countExecutors(ctx context.Context) int {
	r, err := c.NewRegistrationFeed().Next(ctx)
	if err != nil {
		c.Counters.FeedFailures.Add(1)
		c.EventLog.LogChange("executors can't be counted", "err", err)
		return 0
	}
	return len(r.Entries)
}

// proposeLayout proposes a layout. If several processes propose one, the next
// read returns the one that was stored first.
func (c *Control) proposeLayout(ctx context.Context, executors int) {
	l := dispatch.LayoutFor(executors)
	if c.Settings.Shards > 0 {
		l.Shards = c.Settings.Shards
	}
	b, err := record.EncodeLayout(l)
	if err == nil {
		err = c.Layouts.ProposeLayout(ctx, b)
	}
	if err != nil {
		c.EventLog.LogChange("layout can't be proposed", "shards", l.Shards, "err", err)
		sleep(ctx, retryInterval)
	}
}

// adoptLayout decodes a stored layout and puts it into use. It logs a record that
// can't be decoded and returns false, and agreeOnLayout reads the record again:
// another version of the software may have written it.
func (c *Control) adoptLayout(b []byte) bool {
	l, err := record.DecodeLayout(b)
	if err != nil {
		c.EventLog.LogChange("layout can't be used", "err", err)
		return false
	}
	c.layout.Store(&l)
	c.EventLog.LogChange("layout in force", "shards", l.Shards, "executors", l.Executors, "strong", (&standby{self: c.Settings.Member, layout: l}).canOwnShard())
	return true
}
