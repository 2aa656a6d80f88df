package control

import (
	"context"
	"errors"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/maintenance"
	"mimosadock/schedule/unit"
)

// Machines lists machines and orders their maintenance.
type Machines interface {
	// List returns all machines.
	List(ctx context.Context) ([]maintenance.Machine, error)
	// Begin orders a machine to shut down for maintenance. token is the fencing
	// token. The error is the reason for an unknown outcome.
	Begin(ctx context.Context, o maintenance.Order, token unit.Generation) (maintenance.Outcome, error)
}

// WaveStateStore stores the status of maintenance waves for the operator.
type WaveStateStore interface {
	// WaveStates returns the stored status of each wave.
	WaveStates(ctx context.Context) ([]maintenance.WaveStatus, error)
	// ReportWave stores the status of a wave.
	ReportWave(ctx context.Context, w maintenance.WaveStatus) error
}

// ShardRouter sends requests to the owners of shards.
type ShardRouter interface {
	// Call returns the reply of the owner of the request's shard.
	Call(ctx context.Context, request *Request) Reply
}

const (
	// maintenanceShard is the shard whose owner plans the maintenance of all
	// machines. The epoch of the shard is the fencing token.
	maintenanceShard        unit.Shard = 0
	maintenanceTickInterval            = 100 * time.Millisecond
	evacuateTimeout                    = 3 * time.Second // for one evacuation request
)

// maintenanceState holds the plan of the waves while the process owns
// [maintenanceShard].
type maintenanceState struct {
	plan    maintenance.Plan
	epoch   unit.Generation
	ctx     context.Context
	loading bool // a read of the stored wave states is in flight
	loaded  bool // the stored wave states are in the plan
	retryAt clock.Millis
}

// addWaves stores the operator's waves for later plans and adds them to the
// current plan, if this process has one.
func (c *Control) addWaves(waves []maintenance.Wave) {
	for _, w := range waves {
		c.EventLog.LogChange("wave of upkeep", "wave", w.Number, "machines", len(w.Machines), "most", w.MaxDown, "withinMs", int64(w.TimeLimit))
	}
	c.waves = append(c.waves, waves...)
	if c.maintenance != nil {
		for _, w := range waves {
			c.maintenance.plan.Add(c.Clock.Now(), w)
		}
	}
}

// tickMaintenance runs the plan of the waves if this process serves
// [maintenanceShard]. It reports whether the plan needs a further tick: the wave
// states are not loaded, or a wave is open and the plan is not fenced.
func (c *Control) tickMaintenance(now clock.Millis) bool {
	owned := c.owned[maintenanceShard]
	if owned == nil || !owned.restored || len(c.waves) == 0 {
		c.maintenance = nil
		return false
	}
	if c.maintenance == nil || c.maintenance.epoch != owned.epoch {
		c.maintenance = &maintenanceState{epoch: owned.epoch, ctx: owned.ctx}
		for _, w := range c.waves {
			c.maintenance.plan.Add(now, w)
		}
	}
	state := c.maintenance
	if !state.loaded {
		c.readWaveStates(state, now)
		return true
	}
	for _, a := range state.plan.NextActions(now) {
		c.executeAction(state, a)
	}
	return state.plan.HasOpenWave() && !state.plan.Fenced()
}

// readWaveStates reads the wave states that former owners have stored. It does
// nothing while a read is in flight or before the retry time.
func (c *Control) readWaveStates(state *maintenanceState, now clock.Millis) {
	if state.loading || now < state.retryAt {
		return
	}
	state.loading = true
	c.maintenanceCall(state, func(ctx context.Context) func(*maintenanceState, clock.Millis) {
		states, err := c.Waves.WaveStates(ctx)
		return func(state *maintenanceState, now clock.Millis) {
			state.loading = false
			if err != nil {
				state.retryAt = now.Add(clock.SpanOf(retryInterval))
				c.EventLog.LogChange("status of the waves can't be read", "err", err)
				return
			}
			for _, s := range states {
				state.plan.RestoreStatus(s)
			}
			state.loaded = true
		}
	})
}

// maintenanceCall runs call in its own goroutine. The control goroutine then runs
// the function that call returns, which applies the result to the plan.
func (c *Control) maintenanceCall(state *maintenanceState, call func(ctx context.Context) func(*maintenanceState, clock.Millis)) {
	epoch, ctx := state.epoch, state.ctx
	c.group.Go("upkeep", func(context.Context) error {
		c.post(ctx, maintenanceMessage{epoch, call(ctx)})
		return nil
	})
}

// executeAction starts an action of the plan.
func (c *Control) executeAction(state *maintenanceState, a maintenance.Action) {
	switch {
	case a.List:
		c.maintenanceCall(state, func(ctx context.Context) func(*maintenanceState, clock.Millis) {
			machines, err := c.Machines.List(ctx)
			if err != nil && ctx.Err() == nil {
				c.EventLog.LogChange("machines can't be listed", "err", err)
			}
			return func(state *maintenanceState, now clock.Millis) { state.plan.HandleList(now, machines, err) }
		})
	case a.Evacuate != nil:
		c.maintenanceCall(state, func(ctx context.Context) func(*maintenanceState, clock.Millis) {
			evacuation, err := c.evacuate(ctx, a.Evacuate.Executor)
			return func(state *maintenanceState, _ clock.Millis) {
				state.plan.HandleEvacuation(*a.Evacuate, evacuation, err)
			}
		})
	case a.Begin != nil:
		c.maintenanceCall(state, func(ctx context.Context) func(*maintenanceState, clock.Millis) {
			outcome := c.beginMaintenance(ctx, state.epoch, *a.Begin)
			return func(state *maintenanceState, now clock.Millis) { state.plan.HandleOutcome(now, *a.Begin, outcome) }
		})
	case a.Report != nil:
		c.EventLog.LogChange("wave", "wave", a.Report.Wave, "completed", a.Report.Completed)
		c.maintenanceCall(state, func(ctx context.Context) func(*maintenanceState, clock.Millis) {
			for {
				err := c.Waves.ReportWave(ctx, *a.Report)
				if err == nil || !sleep(ctx, retryInterval) {
					return func(*maintenanceState, clock.Millis) {}
				}
			}
		})
	}
}

// evacuate requests the evacuation of an executor from the owner of its shard, or
// of the shard to which it is lent. It returns an error with the reason if the
// request is refused or its outcome is unknown.
func (c *Control) evacuate(ctx context.Context, id unit.Executor) (maintenance.EvacuationStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, evacuateTimeout)
	defer cancel()
	r := c.Router.Call(ctx, &Request{Kind: KindEvacuate, Shard: c.Layout().ShardOf(string(id)), Executor: id})
	if r.Status == StatusLent {
		r = c.Router.Call(ctx, &Request{Kind: KindEvacuate, Shard: r.Borrower, Executor: id})
		if r.Status == StatusNotFound {
			return maintenance.EvacuationStatus{}, errors.New("executor is being lent or returned")
		}
	}
	switch r.Status {
	case StatusAccepted:
		return maintenance.EvacuationStatus{Remaining: r.Count, Blocking: r.Held}, nil
	case StatusNotFound:
		return maintenance.EvacuationStatus{}, nil // the owner has no row for the executor, so no run is assigned to it
	default:
		return maintenance.EvacuationStatus{}, errors.New(r.Reason)
	}
}

// beginMaintenance orders a machine to shut down. It returns Busy without an
// order while the membership is not confirmed, since another owner may have
// replaced this process.
func (c *Control) beginMaintenance(ctx context.Context, epoch unit.Generation, b maintenance.Order) maintenance.Outcome {
	if !c.membership.isConfirmed(c.BootClock(), c.Settings.TTL) {
		return maintenance.Busy
	}
	outcome, err := c.Machines.Begin(ctx, b, epoch)
	c.EventLog.LogChange("upkeep ordered", "wave", b.Wave, "machine", b.Machine, "executor", b.Executor, "outcome", outcome.String(), "err", err)
	return outcome
}

var _ ShardRouter = (*Directory)(nil)
