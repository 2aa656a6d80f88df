package work

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/worker"
)

//go:generate go tool stringer -type=CommandKind -linecomment

// CommandKind is the kind of a command to a worker.
type CommandKind int

// The commands to a worker, in the order in which a command batch sends them. Commands
// that free capacity come before commands that use it. The renewal is last, so
// that its report shows the effect of all others.
const (
	CommandStop       CommandKind = iota // stop
	CommandRelease                       // release
	CommandThrottle                      // throttle
	CommandCheckpoint                    // checkpoint
	CommandStart                         // start
	CommandRenew                         // renew
)

// Command is one command of a command batch. Share is set for CommandThrottle only,
// Start for CommandStart only, and Renewal for CommandRenew only.
type Command struct {
	Kind      CommandKind
	AttemptID worker.AttemptID
	Share     float64
	Start     worker.Start
	Renewal   worker.Renewal
}

// WorkerCommand returns the part that all commands to a worker have in common.
func (c Command) WorkerCommand(e unit.Epoch) worker.Command {
	return worker.Command{Epoch: e, Task: c.AttemptID.Task, Attempt: c.AttemptID.Attempt}
}

// CommandBatch is an ordered list of commands to one worker. A worker has at most
// one command batch in flight, so that results arrive in order.
type CommandBatch struct {
	ID         uint64
	Worker     unit.Worker
	Epoch      unit.Epoch
	ValidUntil clock.Millis // no command may be sent from this instant on
	Commands   []Command
}

// CommandBatchResult is the outcome of a command batch. Errs has one error for each
// command, nil for success. Report is set if the renewal succeeded.
type CommandBatchResult struct {
	Batch  CommandBatch
	Errs   []error
	Report *worker.Report
}

// DueCommandBatches appends the command batches that are due to dst, at most one for
// each worker without a command batch in flight. It appends none if this process may
// not run work now.
func (b *Board) DueCommandBatches(now clock.Millis, dst []CommandBatch) []CommandBatch {
	if !b.mayRun(now) {
		return dst
	}
	for _, r := range b.Workers.Workers.All() {
		if r.CommandsInFlight {
			continue
		}
		renew := r.RenewedAt == 0 || now.Sub(r.RenewedAt) >= worker.RenewInterval ||
			r.PollSoon && now.Sub(r.RenewedAt) >= worker.PollInterval
		if !renew && !r.CommandsPending {
			continue
		}
		if cs := b.commands(now, r, renew); len(cs) > 0 {
			b.lastCommandBatch++
			r.CommandsInFlight, r.CommandBatchID = true, b.lastCommandBatch
			dst = append(dst, CommandBatch{b.lastCommandBatch, r.ID, b.authority.Epoch, b.authority.RunUntil, cs})
		}
	}
	return dst
}

// commands returns the commands that are due at a worker. While the report of a
// stop or a checkpoint is awaited, every command batch ends with a renewal.
func (b *Board) commands(now clock.Millis, r *worker.Row, renew bool) []Command {
	r.CommandsPending = false
	var cs []Command
	if r.Epoch == b.authority.Epoch {
		b.dropUnsent(now, r)
		cs = b.appendChanges(now, r, cs)
	}
	if r.PollSoon && !renew {
		renew = len(cs) > 0
	}
	if renew {
		cs = append(cs, Command{Kind: CommandRenew, Renewal: b.renewal(now, r)})
	}
	return cs
}

// dropUnsent undoes placements whose start was not sent and must not be sent
// any more.
func (b *Board) dropUnsent(now clock.Millis, r *worker.Row) {
	for _, ref := range r.AttemptIDs {
		a := b.Workers.Allocations.Get(ref)
		if a.Start == worker.StartPending && (a.StopReason != worker.StopNone || !r.Ready(b.authority.Epoch, now)) {
			b.scratch.attemptIDs = append(b.scratch.attemptIDs, ref)
		}
	}
	for _, ref := range b.scratch.attemptIDs {
		b.undoPlacement(now, ref)
	}
	b.scratch.attemptIDs = b.scratch.attemptIDs[:0]
}

// appendChanges appends the commands that change the state of the worker.
func (b *Board) appendChanges(now clock.Millis, r *worker.Row, cs []Command) []Command {
	for _, ref := range r.AttemptIDs {
		a := b.Workers.Allocations.Get(ref)
		if a.StopReason == worker.StopNone || a.StopReason == worker.StopForMigration && now < a.StopBy {
			continue
		}
		cs = append(cs, Command{Kind: CommandStop, AttemptID: ref})
		r.PollSoon = true
	}
	for _, ref := range r.PendingReleases {
		cs = append(cs, Command{Kind: CommandRelease, AttemptID: ref})
	}
	for _, ref := range r.AttemptIDs {
		a := b.Workers.Allocations.Get(ref)
		if a.PendingShare != 0 && a.StopReason == worker.StopNone {
			cs = append(cs, Command{Kind: CommandThrottle, AttemptID: ref, Share: a.PendingShare})
		}
		if a.CheckpointPending && a.StopReason != worker.StopPreempted {
			cs = append(cs, Command{Kind: CommandCheckpoint, AttemptID: ref})
		}
	}
	for _, ref := range r.AttemptIDs {
		a := b.Workers.Allocations.Get(ref)
		if a.Start == worker.StartPending {
			cs = append(cs, Command{Kind: CommandStart, AttemptID: ref, Start: b.startCommand(r, a)})
		}
	}
	return cs
}

// startCommand returns the start command of an attempt. It extends the lease
// end of the attempt before the command is sent.
func (b *Board) startCommand(r *worker.Row, a *worker.Allocation) worker.Start {
	j, k := b.Jobs.Jobs.Get(a.Job), b.Jobs.Tasks.Get(a.Task)
	s := worker.Start{
		Command:  worker.Command{Epoch: b.authority.Epoch, Task: a.Task, Attempt: a.Attempt},
		Instance: r.Instance, Stamp: r.ReportWrittenAt, Kind: a.Kind, Limit: a.Size, Lease: worker.LeaseDuration, Payload: j.Spec.Payload,
	}
	s.Checkpoint = k.Checkpoint
	a.LeaseEnd = max(a.LeaseEnd, worker.LeaseEndAfter(r.ReportReceivedAt))
	return s
}

// renewal returns the renewal of all attempts that may continue. It extends
// their lease ends before the renewal is sent.
func (b *Board) renewal(now clock.Millis, r *worker.Row) worker.Renewal {
	r.RenewedAt = now
	m := worker.Renewal{Epoch: b.authority.Epoch, Lease: worker.LeaseDuration, Instance: r.Instance, Stamp: r.ReportWrittenAt}
	if r.Epoch != b.authority.Epoch {
		return m
	}
	for _, ref := range r.AttemptIDs {
		a := b.Workers.Allocations.Get(ref)
		if a.StopReason != worker.StopNone && a.StopReason != worker.StopForMigration {
			continue
		}
		a.LeaseEnd = max(a.LeaseEnd, worker.LeaseEndAfter(r.ReportReceivedAt))
		m.Attempts = append(m.Attempts, worker.Command{Epoch: b.authority.Epoch, Task: ref.Task, Attempt: ref.Attempt})
	}
	return m
}

// allowRelease lets the worker drop a result that the journal holds. The
// release is requested when the next report lists the result.
func (b *Board) allowRelease(ref worker.AttemptID) { b.pendingResults.Delete(ref) }

// requestRelease queues the release of a result that a worker keeps.
func (b *Board) requestRelease(r *worker.Row, ref worker.AttemptID) {
	if !slices.Contains(r.PendingReleases, ref) {
		r.PendingReleases = append(r.PendingReleases, ref)
		r.CommandsPending = true
	}
}
