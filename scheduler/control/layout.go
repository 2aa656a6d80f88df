package control

import (
	"context"
	"time"

	"mimosadock/schedule/dispatch"
	"mimosadock/scheduler/record"
)

// Layouts keeps the layout that all processes agree on.
type Layouts interface {
	// Layout returns the record that was agreed on, or nil if there is none.
	Layout(ctx context.Context) ([]byte, error)
	// ProposeLayout stores a record unless another one is there. Whose it was is
	// found out by Layout.
	ProposeLayout(ctx context.Context, value []byte) error
}

// settleFor is how long the number of executors must stay the same before a
// layout is made for it. They enter their entries within a heartbeat of a few
// seconds at most.
const settleFor = 1500 * time.Millisecond

// Layout returns the layout that all processes agree on; it has no shards
// before that is known.
func (c *Control) Layout() dispatch.Layout {
	if l := c.layout.Load(); l != nil {
		return *l
	}
	return dispatch.Layout{}
}

// agree reads the layout, or proposes one if the deployment has none yet. It
// returns false if ctx ends before.
func (c *Control) agree(ctx context.Context) bool {
	executors := 0
	for ctx.Err() == nil {
		b, err := c.Layouts.Layout(ctx)
		switch {
		case err != nil:
			c.Counters.FeedFailures.Add(1)
			sleep(ctx, retryEvery)
			continue
		case b != nil && c.adopt(b):
			return true
		case b == nil:
			before := executors
			executors = c.countExecutors(ctx)
			if c.Settings.Shards > 0 || executors > 0 && executors == before {
				c.propose(ctx, executors)
				continue
			}
		}
		sleep(ctx, settleFor)
	}
	return false
}

// countExecutors returns how many executors have an entry, or 0 if that can't
// be read.
func (c *Control) countExecutors(ctx context.Context) int {
	r, err := c.Registrations().Next(ctx)
	if err != nil {
		c.Counters.FeedFailures.Add(1)
		c.Journal.Change("executors can't be counted", "err", err)
		return 0
	}
	return len(r.Entries)
}

// propose proposes a layout. Which one was first is found out by the next read.
func (c *Control) propose(ctx context.Context, executors int) {
	l := dispatch.LayoutFor(executors)
	if c.Settings.Shards > 0 {
		l.Shards = c.Settings.Shards
	}
	b, err := record.EncodeLayout(l)
	if err == nil {
		err = c.Layouts.ProposeLayout(ctx, b)
	}
	if err != nil {
		c.Journal.Change("layout can't be proposed", "shards", l.Shards, "err", err)
		sleep(ctx, retryEvery)
	}
}

// adopt takes an agreed layout into use. A record that can't be read is
// reported and asked for again, as another version may have written it.
func (c *Control) adopt(b []byte) bool {
	l, err := record.DecodeLayout(b)
	if err != nil {
		c.Journal.Change("layout can't be used", "err", err)
		return false
	}
	c.layout.Store(&l)
	c.Journal.Change("layout in force", "shards", l.Shards, "executors", l.Executors, "strong", (&standby{self: c.Settings.Member, layout: l}).strong())
	return true
}
