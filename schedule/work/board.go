package work

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/estimate"
	"mimosadock/schedule/job"
	"mimosadock/schedule/placement"
	"mimosadock/schedule/quota"
	"mimosadock/schedule/service"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
	"mimosadock/schedule/worker"
)

// Retention of ended work. Jobs are retained so that a repeated submission
// finds them, and tasks so that their results can be read.
const (
	jobRetention  = 24 * clock.Hour
	taskRetention = 1 * clock.Hour
)

// maxAttemptScan is the number of attempt numbers, from the highest down,
// that are searched for allocations when a task ends. A task has at most two
// attempts, but refused starts leave gaps in the numbers.
const maxAttemptScan = 8

// submittedRetryAfter is the retry delay for a request about a job whose
// submission is not in the journal yet.
const submittedRetryAfter = 200 * clock.Millisecond

// Board is the scheduling state of one data centre: its jobs and workers. Home is
// that data centre. Policies must be set; all other fields may be zero. One
// goroutine owns a board.
type Board struct {
	Home     unit.DataCentre
	Policies placement.Policies
	Text     *service.Text
	// IsDown reports whether the named dependency is down. A nil function
	// means that no dependency is down.
	IsDown func(name string) bool

	Jobs                job.Tables
	Workers             worker.Tables
	KindEstimates       table.Table[unit.Kind, estimate.KindEstimate]
	Interference        estimate.Interference
	LatencyCriticalPeak estimate.RecentPeak
	Teams               quota.Shares
	Count               Counters

	authority           Authority
	formerAttemptsEndAt clock.Millis  // no attempt of a former owner runs from this instant on
	handoverWorkers     []unit.Worker // see [Authority.HandoverWorkers]
	fenced              bool          // a worker has reported a higher epoch, so this process may not run work
	pendingRecords      []job.Record
	pendingEnds         table.Table[unit.Job, int]         // end records that are not written yet, by job
	pendingResults      table.Table[worker.AttemptID, int] // attempts whose result is not in the journal yet
	queues              queues
	deferred            []unit.Task // tasks that wait for something other than free capacity
	reservations        table.Table[unit.Task, reservation]
	attemptsByKind      table.Table[unit.Kind, int]
	allocatedByClass    [service.Batch + 1]unit.Resources
	totalFree           unit.Resources // free capacity of all workers that have reported to this owner
	ticks               int64
	takeoverCompleted   bool         // [Board.completeTakeover] has evicted the attempts that were not found
	wasOwner            bool         // this process was the owner before
	ownedUntil          clock.Millis // end of that ownership
	lastCommandBatch    uint64       // id of the last command batch
	pendingSpeculative  []unit.Task  // stragglers that wait for a worker for their speculative attempt
	retryBatchWork      bool         // placing batch work may succeed again
	scratch             scratch
}

// scratch holds buffers that the systems reuse.
type scratch struct {
	jobs       []unit.Job
	tasks      []unit.Task
	attemptIDs []worker.AttemptID
	seen       map[worker.AttemptID]bool
	sizes      []unit.Resources
	teams      []unit.Team
	largest    unit.Resources // capacity of the largest worker
}

// Counters counts events. The counters never decrease. Evictions, Migrations and
// Lost count attempts that ended without a result.
type Counters struct {
	Starts              int64      `json:"starts"`
	Finished            int64      `json:"finished"`
	Failed              int64      `json:"failed"`
	Evictions           int64      `json:"evictions"` // for other work, or because the memory usage of a worker exceeded its capacity
	Migrations          int64      `json:"moves"`     // to continue on another worker
	Lost                int64      `json:"lost"`      // without a result for another reason, such as a lost worker, an expired lease or a change of owner
	Throttles           int64      `json:"throttles"`
	SpeculativeAttempts int64      `json:"spares"`
	Quarantines         int64      `json:"quarantines"`
	Interruptions       int64      `json:"gaps"` // interruptions of standing work
	InterruptedTime     clock.Span `json:"gapMs"`
	Fenced              int64      `json:"fenced"`
}

// recordHeader returns the header of a record that the current owner writes.
func (b *Board) recordHeader(j unit.Job, t unit.Task, a unit.Attempt) job.Header {
	return job.Header{Home: b.Home, Epoch: b.authority.Epoch, Job: j, Task: t, Attempt: a}
}

// HasAttempts reports whether an attempt of the kind may be running.
func (b *Board) HasAttempts(kind unit.Kind) bool {
	n := b.attemptsByKind.Get(kind)
	return n != nil && *n > 0
}

// applyAndQueue applies a record and queues it for the journal. It reports false and
// queues nothing if the record changes nothing.
func (b *Board) applyAndQueue(r job.Record) bool {
	if !b.Jobs.Apply(r) {
		return false
	}
	b.queueRecord(r)
	return true
}

// queueRecord queues a record for the journal and counts it if it ends a
// task or a job.
func (b *Board) queueRecord(r job.Record) {
	header := r.RecordHeader()
	ends := false
	switch m := r.(type) {
	case job.Finished:
		ends = true
	case job.Failed:
		ends = m.Final
	case job.Cancelled, job.Impossible:
		ends = true
	}
	if ends {
		*b.pendingEnds.Ensure(header.Job)++
	}
	b.pendingRecords = append(b.pendingRecords, r)
}

// TakeRecords appends the records that wait for the journal to dst, oldest
// first, and removes them from the board. The caller reports the outcome of
// each to [Board.HandleWriteResult].
func (b *Board) TakeRecords(dst []job.Record) []job.Record {
	dst = append(dst, b.pendingRecords...)
	clear(b.pendingRecords)
	b.pendingRecords = b.pendingRecords[:0]
	return dst
}

// HandleWriteResult handles the outcome of writing a record. A record that was
// not written, or may not have been, is queued again if its epoch is the current
// one. The exception is a submission that was certainly not written: its job is
// dropped.
func (b *Board) HandleWriteResult(now clock.Millis, r job.Record, v verdict.Verdict) {
	header := r.RecordHeader()
	if v != verdict.Ran {
		if m, ok := r.(job.Submitted); ok && b.dropRefused(m, v) {
			return
		}
		if header.Epoch == b.authority.Epoch {
			b.pendingRecords = append(b.pendingRecords, r)
		}
		return
	}
	switch m := r.(type) {
	case job.Submitted:
		b.accept(now, m)
	case job.Finished:
		b.handleEndWritten(header)
		b.allowRelease(worker.AttemptID{Task: header.Task, Attempt: header.Attempt})
	case job.Failed:
		b.allowRelease(worker.AttemptID{Task: header.Task, Attempt: header.Attempt})
		if m.Final {
			b.handleEndWritten(header)
		}
	case job.Cancelled, job.Impossible:
		b.handleEndWritten(header)
	}
}

// handleEndWritten counts down the end records of a job that are not written
// yet.
func (b *Board) handleEndWritten(header job.Header) {
	if n := b.pendingEnds.Get(header.Job); n != nil {
		if *n--; *n <= 0 {
			b.pendingEnds.Delete(header.Job)
		}
	}
}

// Submit adds a job and returns its state. The job is accepted once its
// state is no longer [job.StateSubmitted]. A repeated submission with the
// same body returns the state of the existing job. Errors have the verdict
// DidNotRun.
func (b *Board) Submit(now clock.Millis, s job.Spec) (job.State, error) {
	if j := b.Jobs.Jobs.Get(s.ID); j != nil {
		if !j.Spec.Equal(s) {
			return 0, verdict.Refuse("job %q exists with another body", s.ID)
		}
		return j.State, nil
	}
	if !b.mayAccept(now) {
		err := verdict.Refuse("data centre %q has no owner here that may accept jobs", b.Home)
		err.RetryAfter = clock.Second
		return 0, err
	}
	terms, err := job.Check(s, b.Text, b.Workers.Capacities(nil))
	if err != nil {
		return 0, err
	}
	m := job.Submitted{Header: b.recordHeader(s.ID, "", 0), Spec: s, Terms: terms}
	if !b.applyAndQueue(m) {
		return 0, verdict.Refuse("the owner of data centre %q has changed", b.Home)
	}
	j := b.Jobs.Jobs.Get(s.ID)
	j.State, j.NoFormerAttempts = job.StateSubmitted, true
	for i := range s.Tasks {
		b.Jobs.Tasks.Get(job.TaskID(s.ID, i)).State = job.StateSubmitted
	}
	return job.StateSubmitted, nil
}

// dropRefused drops a job whose record is certainly not in the journal, and
// reports whether nothing is left to write. After one write with an unknown
// outcome, a later write that certainly had no effect does not prove that
// the record is missing, so the job stays.
func (b *Board) dropRefused(m job.Submitted, v verdict.Verdict) bool {
	j := b.Jobs.Jobs.Get(m.Job)
	if j == nil || j.State != job.StateSubmitted {
		return true
	}
	if v != verdict.DidNotRun || j.WriteUnknown {
		j.WriteUnknown = true
		return false
	}
	j.State = job.StateCancelled
	b.Jobs.Delete(m.Job)
	return true
}

// accept admits a job once its submission is in the journal.
func (b *Board) accept(now clock.Millis, m job.Submitted) {
	j := b.Jobs.Jobs.Get(m.Job)
	if j == nil || j.State != job.StateSubmitted {
		return
	}
	j.State = job.StateWaiting
	b.admit(now, j)
}

// admit sets the deadline of an accepted job and queues its tasks.
func (b *Board) admit(now clock.Millis, j *job.Job) {
	j.AcceptedAt, j.Deadline = now, clock.Never
	if j.Spec.Deadline > 0 {
		j.Deadline = now.Add(j.Spec.Deadline)
	}
	for i := range j.Spec.Tasks {
		id := job.TaskID(j.Spec.ID, i)
		k := b.Jobs.Tasks.Get(id)
		k.Advance(job.StateWaiting)
		k.QueuedSince = now
		b.enqueue(id, k, j)
	}
}

// Move queues the record that gives a job another home. It returns an error
// with the verdict DidNotRun if the job has attempts that may run, is not
// waiting, or this process may not move it.
func (b *Board) Move(now clock.Millis, id unit.Job, to unit.DataCentre) error {
	j := b.Jobs.Jobs.Get(id)
	switch {
	case j == nil || j.State != job.StateWaiting:
		return verdict.Refuse("no job %q that could move", id)
	case !b.mayRun(now) || !b.formerAttemptsEnded(now):
		return verdict.Refuse("data centre %q has no owner here that may move jobs", b.Home)
	case j.AttemptsAtWorkers > 0:
		return verdict.Refuse("job %q has attempts that may run", id)
	}
	b.queueRecord(job.Moved{Header: b.recordHeader(id, "", 0), To: to})
	j.Moving = true
	return nil
}

// HandleArrival queues the tasks of a job that has moved to this data centre.
func (b *Board) HandleArrival(now clock.Millis, id unit.Job) {
	if j := b.Jobs.Jobs.Get(id); j != nil && !j.State.Ended() && b.authority.IsOwner {
		b.admit(now, j)
	}
}

// Outcome returns the state of a job. It also reports whether the job is
// known, and whether the state is durable, which means that the journal
// holds it and a caller may receive it.
func (b *Board) Outcome(id unit.Job) (state job.State, known, durable bool) {
	j := b.Jobs.Jobs.Get(id)
	if j == nil {
		return 0, false, false
	}
	return j.State, true, j.State != job.StateSubmitted && b.pendingEnds.Get(id) == nil
}

// Cancel cancels a job and returns its new state. A job that has already
// ended keeps its state, which is returned instead. The time is proportional
// to the number of tasks of the job. A caller receives the state once
// [Board.Outcome] reports it as durable. Errors have the verdict DidNotRun.
func (b *Board) Cancel(now clock.Millis, id unit.Job) (job.State, error) {
	j := b.Jobs.Jobs.Get(id)
	switch {
	case j == nil:
		return 0, verdict.Refuse("unknown job %q", id)
	case j.State.Ended():
		return j.State, nil
	case j.State == job.StateSubmitted:
		err := verdict.Refuse("job %q is still being accepted", id)
		err.RetryAfter = submittedRetryAfter
		return 0, err
	case !b.mayRun(now):
		return 0, verdict.Refuse("data centre %q has no owner here", b.Home)
	}
	b.applyAndQueue(job.Cancelled{Header: b.recordHeader(id, "", 0)})
	b.stopEndedJob(now, j)
	return j.State, nil
}

// stopEndedJob records the end of a job and stops its remaining attempts.
func (b *Board) stopEndedJob(now clock.Millis, j *job.Job) {
	j.EndedAt = now
	if j.AttemptsAtWorkers == 0 {
		return
	}
	for i := range j.Spec.Tasks {
		id := job.TaskID(j.Spec.ID, i)
		if k := b.Jobs.Tasks.Get(id); k != nil && k.AttemptsAtWorkers > 0 {
			b.stopAttempts(id, k)
		}
	}
}

// stopAttempts stops the attempts of a task that have one of the last
// maxAttemptScan numbers. Older attempts are stopped when a report lists
// them.
func (b *Board) stopAttempts(id unit.Task, k *job.Task) {
	for a := k.LastAttempt; a > 0 && a > k.LastAttempt-maxAttemptScan && k.AttemptsAtWorkers > 0; a-- {
		if alloc := b.Workers.Allocations.Get(worker.AttemptID{Task: id, Attempt: a}); alloc != nil {
			b.requestStop(alloc, worker.StopEnded)
		}
	}
}

// requestStop marks an attempt to be stopped with the next command batch. An earlier
// reason stays, unless it is a migration.
func (b *Board) requestStop(a *worker.Allocation, reason worker.StopReason) {
	if a.StopReason == worker.StopNone || a.StopReason == worker.StopForMigration {
		a.StopReason = reason
	}
	a.StopBy = 0
	b.markChanged(a.Worker)
}

// markChanged records that there are commands to send to a worker.
func (b *Board) markChanged(w unit.Worker) {
	if r := b.Workers.Workers.Get(w); r != nil {
		r.CommandsPending = true
	}
}

// purgeEnded deletes tasks and jobs whose retention has passed.
func (b *Board) purgeEnded(now clock.Millis) {
	for id, j := range b.Jobs.Jobs.All() {
		if j.State.Ended() && j.AttemptsAtWorkers == 0 && now.Sub(j.EndedAt) > taskRetention && b.pendingEnds.Get(id) == nil {
			b.scratch.jobs = append(b.scratch.jobs, id)
		}
	}
	for _, id := range b.scratch.jobs {
		b.Jobs.DeleteTasks(id)
		if now.Sub(b.Jobs.Jobs.Get(id).EndedAt) > jobRetention {
			b.Jobs.Delete(id)
		}
	}
	b.scratch.jobs = b.scratch.jobs[:0]
}
