package process

import (
	"context"
	"time"

	"mimosadock/entry/control"
)

// drain shuts the process down without interrupting requests:
//
//  1. It reports that the process is not ready, and accepts requests for
//     BalancerWait, until the load balancer has noticed.
//  2. It refuses new requests with the verdict DidNotRun and waits for those in
//     flight, up to DrainFor.
//  3. It hands over the tenures, within leaveTimeout and the rest of DrainFor,
//     and closes the connections. If no time is left, the tenures may not be
//     handed over.
//
// Connections of requests that are still in flight after DrainFor are closed.
// Cancelling kill skips the remaining waits.
func (p *Process) drain(kill context.Context) {
	p.log.Info("shutting down: reporting not ready to the load balancer", "balancerWait", p.settings.BalancerWait)
	_ = p.Loop.Send(kill, control.SetDraining{})
	sleep(kill, p.settings.BalancerWait)

	p.front.Refuse()
	p.log.Info("draining", "for", p.settings.DrainFor, "inFlight", p.front.InFlight())
	ctx, cancel := context.WithTimeout(kill, p.settings.DrainFor)
	defer cancel()
	p.awaitRequests(ctx)
	p.leave(ctx)
	if err := p.callerServer.Shutdown(ctx); err != nil {
		p.log.Warn("closing connections with requests in flight", "inFlight", p.front.InFlight())
		p.callerServer.Close()
	}
	if p.operatorServer.Shutdown(ctx) != nil {
		p.operatorServer.Close()
	}
	p.group.Stop()
}

// inFlightPollInterval is the interval at which drain polls the number of
// requests in flight.
const inFlightPollInterval = 20 * time.Millisecond

// awaitRequests waits until no request is in flight or ctx ends. The listener
// stays open, so that new requests get a refusal instead of a closed connection.
func (p *Process) awaitRequests(ctx context.Context) {
	for p.front.InFlight() > 0 && ctx.Err() == nil {
		sleep(ctx, inFlightPollInterval)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
