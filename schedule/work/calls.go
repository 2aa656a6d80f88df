package work

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/worker"
)

//go:generate go tool stringer -type=Call -linecomment

// Call is a kind of call to a worker.
type Call int

// The calls to a worker, in the order in which a batch makes them: what frees
// room goes before what takes it, and the renewal, which shows the effect of
// all of them, is last.
const (
	CallStop       Call = iota // stop
	CallRelease                // release
	CallThrottle               // throttle
	CallCheckpoint             // checkpoint
	CallStart                  // start
	CallRenew                  // renew
)

// Command is one call of a batch. Start and Renewal are set for their calls
// only.
type Command struct {
	Call    Call
	Ref     worker.Ref
	Share   float64
	Start   worker.Start
	Renewal worker.Renewal
}

// Command returns the common part of the call.
func (c Command) Command(e unit.Epoch) worker.Command {
	return worker.Command{Epoch: e, Task: c.Ref.Task, Attempt: c.Ref.Attempt}
}

// Batch is what to ask of one worker, in order. There is at most one batch per
// worker under way, so that its answers arrive in order.
type Batch struct {
	ID       uint64
	Worker   unit.Worker
	Epoch    unit.Epoch
	Right    clock.Millis // make no call from this instant on
	Commands []Command
}

// Answer is the outcome of a batch: an error per command, nil for success, and
// the report if the renewal succeeded.
type Answer struct {
	Batch  Batch
	Errs   []error
	Report *worker.Report
}

// Batches appends what to ask of the workers to dst.
func (b *Board) Batches(now clock.Millis, dst []Batch) []Batch {
	if !b.mayRun(now) {
		return dst
	}
	for _, r := range b.Workers.Workers.All() {
		if r.BatchInFlight {
			continue
		}
		renew := r.RenewedAt == 0 || now.Sub(r.RenewedAt) >= worker.RenewInterval ||
			r.PollSoon && now.Sub(r.RenewedAt) >= worker.PollInterval
		if !renew && !r.CallsPending {
			continue
		}
		if cs := b.commands(now, r, renew); len(cs) > 0 {
			b.lastBatch++
			r.BatchInFlight, r.BatchID = true, b.lastBatch
			dst = append(dst, Batch{b.lastBatch, r.ID, b.right.Epoch, b.right.Slow, cs})
		}
	}
	return dst
}

func (b *Board) commands(now clock.Millis, r *worker.Row, renew bool) []Command {
	r.CallsPending = false
	var cs []Command
	if r.Epoch == b.right.Epoch {
		b.dropUnsent(now, r)
		cs = b.appendChanges(now, r, cs)
	}
	if r.PollSoon && !renew {
		renew = len(cs) > 0
	}
	if renew {
		cs = append(cs, Command{Call: CallRenew, Renewal: b.renewal(now, r)})
	}
	return cs
}

// dropUnsent takes back placements whose start was not sent and shall not be.
func (b *Board) dropUnsent(now clock.Millis, r *worker.Row) {
	for _, ref := range r.Refs {
		h := b.Workers.Held.Get(ref)
		if h.Start == worker.StartPending && (h.Stop != worker.StopNone || !r.Ready(b.right.Epoch, now)) {
			b.scratch.refs = append(b.scratch.refs, ref)
		}
	}
	for _, ref := range b.scratch.refs {
		b.undoPlacement(now, ref)
	}
	b.scratch.refs = b.scratch.refs[:0]
}

// appendChanges appends the calls that change something at the worker.
func (b *Board) appendChanges(now clock.Millis, r *worker.Row, cs []Command) []Command {
	for _, ref := range r.Refs {
		h := b.Workers.Held.Get(ref)
		if h.Stop == worker.StopNone || h.Stop == worker.StopForMove && now < h.StopBy {
			continue
		}
		cs = append(cs, Command{Call: CallStop, Ref: ref})
		r.PollSoon = true
	}
	for _, ref := range r.PendingReleases {
		cs = append(cs, Command{Call: CallRelease, Ref: ref})
	}
	for _, ref := range r.Refs {
		h := b.Workers.Held.Get(ref)
		if h.PendingShare != 0 && h.Stop == worker.StopNone {
			cs = append(cs, Command{Call: CallThrottle, Ref: ref, Share: h.PendingShare})
		}
		if h.CheckpointPending && h.Stop != worker.StopForRoom {
			cs = append(cs, Command{Call: CallCheckpoint, Ref: ref})
		}
	}
	for _, ref := range r.Refs {
		h := b.Workers.Held.Get(ref)
		if h.Start == worker.StartPending {
			cs = append(cs, Command{Call: CallStart, Ref: ref, Start: b.startCommand(r, h)})
		}
	}
	return cs
}

func (b *Board) startCommand(r *worker.Row, h *worker.Allocation) worker.Start {
	j, k := b.Jobs.Jobs.Get(h.Job), b.Jobs.Tasks.Get(h.Task)
	s := worker.Start{
		Command:  worker.Command{Epoch: b.right.Epoch, Task: h.Task, Attempt: h.Attempt},
		Instance: r.Instance, Stamp: r.Stamp, Kind: h.Kind, Limit: h.Size, Lease: worker.Lease, Payload: j.Spec.Payload,
	}
	s.Checkpoint = k.Checkpoint
	h.LeaseEnd = max(h.LeaseEnd, worker.LeaseEnd(r.ReportedAt))
	return s
}

// renewal renews what shall go on. It extends the instant until which each
// attempt may run, before the request is sent.
func (b *Board) renewal(now clock.Millis, r *worker.Row) worker.Renewal {
	r.RenewedAt = now
	m := worker.Renewal{Epoch: b.right.Epoch, Lease: worker.Lease, Instance: r.Instance, Stamp: r.Stamp}
	if r.Epoch != b.right.Epoch {
		return m
	}
	for _, ref := range r.Refs {
		h := b.Workers.Held.Get(ref)
		if h.Stop != worker.StopNone && h.Stop != worker.StopForMove {
			continue
		}
		h.LeaseEnd = max(h.LeaseEnd, worker.LeaseEnd(r.ReportedAt))
		m.Attempts = append(m.Attempts, worker.Command{Epoch: b.right.Epoch, Task: ref.Task, Attempt: ref.Attempt})
	}
	return m
}

// allowRelease lets the next report drop a result that the journal holds.
func (b *Board) allowRelease(ref worker.Ref) { b.pendingResults.Delete(ref) }

func (b *Board) requestRelease(r *worker.Row, ref worker.Ref) {
	if !slices.Contains(r.PendingReleases, ref) {
		r.PendingReleases = append(r.PendingReleases, ref)
		r.CallsPending = true
	}
}
