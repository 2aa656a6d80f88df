package process

import (
	"context"
	"time"

	"mimosadock/entry/control"
)

// drain stops the process without cutting a request:
//
//  1. It reports that it is not ready and takes requests for the wait of the
//     load balancer.
//  2. It refuses new requests as not run and lets those in flight end, for the
//     drain time at most.
//  3. It hands its tenures over and closes the connections.
//
// The end of kill skips what is left.
func (p *Process) drain(kill context.Context) {
	p.log.Info("not ready", "balancerWait", p.settings.BalancerWait)
	_ = p.Loop.Send(kill, control.SetDraining{})
	sleep(kill, p.settings.BalancerWait)

	p.front.Refuse()
	p.log.Info("draining", "for", p.settings.DrainFor, "inFlight", p.front.InFlight())
	ctx, cancel := context.WithTimeout(kill, p.settings.DrainFor)
	defer cancel()
	p.settle(ctx)
	p.leave(ctx)
	if err := p.server.Shutdown(ctx); err != nil {
		p.log.Warn("requests were cut", "inFlight", p.front.InFlight())
		p.server.Close()
	}
	if p.admin.Shutdown(ctx) != nil {
		p.admin.Close()
	}
	p.group.Stop()
}

// settleEvery is the time between two looks at the requests in flight.
const settleEvery = 20 * time.Millisecond

// settle waits for the requests in flight. The listener stays open meanwhile,
// so that new requests get a refusal and not a closed connection.
func (p *Process) settle(ctx context.Context) {
	for p.front.InFlight() > 0 && ctx.Err() == nil {
		sleep(ctx, settleEvery)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
