package work

import (
	"context"

	"mimosadock/schedule/worker"
)

// Do makes one call of a batch to a worker. The report is set only for a
// renewal that succeeded. Do panics on an unknown call.
func Do(ctx context.Context, a worker.Agent, b Batch, c Command) (*worker.Report, error) {
	m := c.Command(b.Epoch)
	switch c.Call {
	case CallStop:
		return nil, a.Stop(ctx, b.Worker, m)
	case CallRelease:
		return nil, a.Release(ctx, b.Worker, m)
	case CallThrottle:
		return nil, a.Throttle(ctx, b.Worker, m, c.Share)
	case CallCheckpoint:
		return nil, a.Checkpoint(ctx, b.Worker, m)
	case CallStart:
		return nil, a.Start(ctx, b.Worker, c.Start)
	case CallRenew:
		rep, err := a.Renew(ctx, b.Worker, c.Renewal)
		if err != nil {
			return nil, err
		}
		return &rep, nil
	}
	panic("work: unknown call")
}
