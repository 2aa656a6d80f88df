package control

import (
	"context"
	"errors"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/maintenance"
	"mimosadock/schedule/unit"
)

// Machines lists machines and orders their upkeep.
type Machines interface {
	List(ctx context.Context) ([]maintenance.Machine, error)
	// Begin orders a machine to go down. The error tells why the outcome is
	// unknown.
	Begin(ctx context.Context, o maintenance.Begin, token unit.Generation) (maintenance.Outcome, error)
}

// Waves keeps what the operator is told of the waves of upkeep.
type Waves interface {
	WaveStates(ctx context.Context) ([]maintenance.StatusOfAWave, error)
	ReportWave(ctx context.Context, w maintenance.StatusOfAWave) error
}

// ShardCalls has calls answered by the owners of shards.
type ShardCalls interface {
	Call(ctx context.Context, a *Ask) Reply
}

const (
	// upkeepShard is the shard whose owner plans the upkeep of all machines, with
	// the shard's epoch as fencing token.
	upkeepShard unit.Shard = 0
	upkeepTick             = 100 * time.Millisecond
	upkeepCalls            = 3 * time.Second // a call for an evacuation at most
)

// upkeep is the plan of the waves while the process owns [upkeepShard].
type upkeep struct {
	plan    maintenance.Plan
	epoch   unit.Generation
	ctx     context.Context
	asked   bool // what the operator was told is being read
	known   bool // and is known
	retryAt clock.Millis
}

func (c *Control) addWaves(waves []maintenance.Wave) {
	for _, w := range waves {
		c.Journal.Change("wave of upkeep", "wave", w.Number, "machines", len(w.Machines), "most", w.Most, "withinMs", int64(w.Within))
	}
	c.waves = append(c.waves, waves...)
	if c.upkeep != nil {
		for _, w := range waves {
			c.upkeep.plan.Add(c.Clock.Now(), w)
		}
	}
}

// maintain runs the plan of the waves if this process has to. It reports whether
// a wave is open.
func (c *Control) maintain(now clock.Millis) bool {
	t := c.tenures[upkeepShard]
	if t == nil || !t.serving || len(c.waves) == 0 {
		c.upkeep = nil
		return false
	}
	if c.upkeep == nil || c.upkeep.epoch != t.epoch {
		c.upkeep = &upkeep{epoch: t.epoch, ctx: t.ctx}
		for _, w := range c.waves {
			c.upkeep.plan.Add(now, w)
		}
	}
	u := c.upkeep
	if !u.known {
		c.readWaveStates(u, now)
		return true
	}
	for _, a := range u.plan.Turn(now) {
		c.carryOut(u, a)
	}
	return u.plan.Open() && !u.plan.Fenced()
}

// readWaveStates asks what the operator was told before this tenure.
func (c *Control) readWaveStates(u *upkeep, now clock.Millis) {
	if u.asked || now < u.retryAt {
		return
	}
	u.asked = true
	c.upkeepCall(u, func(ctx context.Context) func(*upkeep, clock.Millis) {
		states, err := c.Waves.WaveStates(ctx)
		return func(u *upkeep, now clock.Millis) {
			u.asked = false
			if err != nil {
				u.retryAt = now.Add(clock.SpanOf(retryEvery))
				c.Journal.Change("status of the waves can't be read", "err", err)
				return
			}
			for _, s := range states {
				u.plan.Known(s)
			}
			u.known = true
		}
	})
}

// upkeepCall makes a call in a goroutine of its own and has its outcome applied
// to the plan.
func (c *Control) upkeepCall(u *upkeep, call func(ctx context.Context) func(*upkeep, clock.Millis)) {
	epoch, ctx := u.epoch, u.ctx
	c.group.Go("upkeep", func(context.Context) error {
		c.post(ctx, upkeepMessage{epoch, call(ctx)})
		return nil
	})
}

func (c *Control) carryOut(u *upkeep, a maintenance.Action) {
	switch {
	case a.List:
		c.upkeepCall(u, func(ctx context.Context) func(*upkeep, clock.Millis) {
			machines, err := c.Machines.List(ctx)
			if err != nil && ctx.Err() == nil {
				c.Journal.Change("machines can't be listed", "err", err)
			}
			return func(u *upkeep, now clock.Millis) { u.plan.Listed(now, machines, err) }
		})
	case a.Evacuate != nil:
		c.upkeepCall(u, func(ctx context.Context) func(*upkeep, clock.Millis) {
			got, err := c.evacuate(ctx, a.Evacuate.Executor)
			return func(u *upkeep, _ clock.Millis) { u.plan.Evacuated(*a.Evacuate, got, err) }
		})
	case a.Begin != nil:
		c.upkeepCall(u, func(ctx context.Context) func(*upkeep, clock.Millis) {
			o := c.begin(ctx, u.epoch, *a.Begin)
			return func(u *upkeep, now clock.Millis) { u.plan.Answered(now, *a.Begin, o) }
		})
	case a.Report != nil:
		c.Journal.Change("wave", "wave", a.Report.Wave, "completed", a.Report.Completed)
		c.upkeepCall(u, func(ctx context.Context) func(*upkeep, clock.Millis) {
			for {
				err := c.Waves.ReportWave(ctx, *a.Report)
				if err == nil || !sleep(ctx, retryEvery) {
					return func(*upkeep, clock.Millis) {}
				}
			}
		})
	}
}

// evacuate asks the owner of an executor to empty it.
func (c *Control) evacuate(ctx context.Context, id unit.Executor) (maintenance.Evacuation, error) {
	ctx, cancel := context.WithTimeout(ctx, upkeepCalls)
	defer cancel()
	r := c.Shards.Call(ctx, &Ask{Kind: Evacuate, Shard: c.Layout().ShardOf(string(id)), Executor: id})
	switch r.Status {
	case Accepted:
		return maintenance.Evacuation{Left: r.Count, Held: r.Held}, nil
	case Unknown:
		return maintenance.Evacuation{}, nil // nothing was ever placed there
	default:
		return maintenance.Evacuation{}, errors.New(r.Reason)
	}
}

// begin orders a machine to go down. A process that may have been replaced
// orders none.
func (c *Control) begin(ctx context.Context, epoch unit.Generation, b maintenance.Begin) maintenance.Outcome {
	if !c.members.fresh(c.Boot(), c.Settings.TTL) {
		return maintenance.Busy
	}
	o, err := c.Machines.Begin(ctx, b, epoch)
	c.Journal.Change("upkeep ordered", "wave", b.Wave, "machine", b.Machine, "executor", b.Executor, "outcome", o.String(), "err", err)
	return o
}

var _ ShardCalls = (*Directory)(nil)
