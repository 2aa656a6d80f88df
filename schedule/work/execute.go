package work

import (
	"context"

	"mimosadock/schedule/worker"
)

// Execute sends one command of a command batch to a worker. The report is set only for
// a renewal that succeeded. Execute panics on an unknown kind of command.
func Execute(ctx context.Context, a worker.Agent, b CommandBatch, c Command) (*worker.Report, error) {
	m := c.WorkerCommand(b.Epoch)
	switch c.Kind {
	case CommandStop:
		return nil, a.Stop(ctx, b.Worker, m)
	case CommandRelease:
		return nil, a.Release(ctx, b.Worker, m)
	case CommandThrottle:
		return nil, a.Throttle(ctx, b.Worker, m, c.Share)
	case CommandCheckpoint:
		return nil, a.Checkpoint(ctx, b.Worker, m)
	case CommandStart:
		return nil, a.Start(ctx, b.Worker, c.Start)
	case CommandRenew:
		rep, err := a.Renew(ctx, b.Worker, c.Renewal)
		if err != nil {
			return nil, err
		}
		return &rep, nil
	}
	panic("work: unknown kind of command")
}
