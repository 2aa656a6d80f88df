package job

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// Job is one row in the table of jobs. Only the current owner holds the
// fields that are not part of the CBOR encoding.
type Job struct {
	Spec          Spec   `json:"spec" cbor:"1,keyasint"`
	Terms         Terms  `json:"terms" cbor:"2,keyasint"`
	State         State  `json:"state" cbor:"3,keyasint"` // StateSubmitted until the journal holds the submission, then StateWaiting until the job has ended
	FinishedTasks int    `json:"done" cbor:"4,keyasint"`
	Evictions     int    `json:"evictions" cbor:"5,keyasint"` // counted evictions, which use up the eviction budget; see [Evicted]
	Reason        string `json:"reason,omitempty" cbor:"6,keyasint,omitempty"`

	AcceptedAt        clock.Millis `json:"-" cbor:"-"`
	Deadline          clock.Millis `json:"-" cbor:"-"` // clock.Never if there is none
	EndedAt           clock.Millis `json:"-" cbor:"-"`
	AttemptsAtWorkers int          `json:"-" cbor:"-"` // attempts that may be at a worker
	WriteUnknown      bool         `json:"-" cbor:"-"` // a write of its submission had an unknown outcome, so the journal may hold it
	Moving            bool         `json:"-" cbor:"-"` // the record of a move is being written
	NoFormerAttempts  bool         `json:"-" cbor:"-"` // no other owner can have started attempts of it
}

// Task is one row in the table of tasks. Only the current owner holds the
// fields that are not part of the CBOR encoding.
type Task struct {
	Job                unit.Job      `json:"job" cbor:"1,keyasint"`
	State              State         `json:"state" cbor:"2,keyasint"`
	Attempt            unit.Attempt  `json:"attempt" cbor:"3,keyasint"`                    // current attempt, or the last one
	LastAttempt        unit.Attempt  `json:"last" cbor:"12,keyasint"`                      // highest number used; numbers are never reused
	SpeculativeAttempt unit.Attempt  `json:"spare,omitempty" cbor:"4,keyasint,omitempty"`  // number of the speculative attempt; 0 if there is none
	Worker             unit.Worker   `json:"worker,omitempty" cbor:"5,keyasint,omitempty"` // of the last attempt
	Checkpoint         string        `json:"checkpoint,omitempty" cbor:"6,keyasint,omitempty"`
	Saved              float64       `json:"saved,omitempty" cbor:"7,keyasint,omitempty"`     // progress at the checkpoint
	Evictions          int           `json:"evictions,omitempty" cbor:"8,keyasint,omitempty"` // counted evictions; see [Evicted]
	FailedOn           []unit.Worker `json:"failedOn,omitempty" cbor:"9,keyasint,omitempty"`
	Interruptions      int           `json:"gaps,omitempty" cbor:"10,keyasint,omitempty"` // interruptions of standing work
	Result             []byte        `json:"result,omitempty" cbor:"11,keyasint,omitempty"`

	WaitsOn             string       `json:"waitsOn,omitempty" cbor:"-"` // dependency that is down
	QueuedSince         clock.Millis `json:"-" cbor:"-"`
	InterruptedTime     clock.Span   `json:"gapMs,omitempty" cbor:"-"` // total length of the interruptions
	AttemptsAtWorkers   int          `json:"-" cbor:"-"`               // attempts that may be at a worker
	InQueue             bool         `json:"-" cbor:"-"`
	ConsecutiveFailures int          `json:"-" cbor:"-"`
	BackoffUntil        clock.Millis `json:"-" cbor:"-"` // end of the backoff after a failure
	StragglerRetries    int          `json:"-" cbor:"-"` // migrations and speculative attempts because the task was a straggler
}

// Tables holds the jobs whose home is one data centre, and their tasks. The
// zero value is empty. One goroutine owns it.
type Tables struct {
	Jobs  table.Table[unit.Job, Job]
	Tasks table.Table[unit.Task, Task]
	// Epoch is the highest epoch of an applied claim. Records of lower
	// epochs have no effect, because their writer was no longer the owner.
	Epoch unit.Epoch
}

// Fence makes the records of epochs below e ineffective. It does nothing if e is
// not higher than t.Epoch.
func (t *Tables) Fence(e unit.Epoch) { t.Epoch = max(t.Epoch, e) }

// Apply applies a record and reports whether it changed anything. A record
// has no effect if it was applied before, a later record supersedes it, or
// its writer was no longer the owner. Apply ignores a [Moved] record, which
// [Move] applies.
func (t *Tables) Apply(r Record) bool {
	h := r.RecordHeader()
	if h.Epoch < t.Epoch {
		return false
	}
	if m, ok := r.(Submitted); ok {
		return t.submit(m)
	}
	j := t.Jobs.Get(h.Job)
	if j == nil || j.State.Ended() {
		return false
	}
	switch m := r.(type) {
	case Cancelled:
		return t.endJob(j, StateCancelled, "", "")
	case Impossible:
		return t.endJob(j, StateImpossible, m.Task, m.Reason)
	}
	k := t.Tasks.Get(h.Task)
	if k == nil {
		return false
	}
	switch m := r.(type) {
	case Started:
		return k.start(m)
	case Checkpointed:
		return k.checkpoint(m)
	case Evicted:
		return k.evict(j, m)
	case Failed:
		return t.fail(j, k, m)
	case Finished:
		return t.finish(j, k, m)
	}
	return false
}

// submit adds a job and its tasks.
func (t *Tables) submit(m Submitted) bool {
	if t.Jobs.Get(m.Job) != nil {
		return false
	}
	t.Jobs.Put(m.Job, Job{Spec: m.Spec, Terms: m.Terms, State: StateWaiting, Deadline: clock.Never})
	for i := range m.Spec.Tasks {
		t.Tasks.Put(TaskID(m.Job, i), Task{Job: m.Job, State: StateWaiting})
	}
	return true
}

// endJob ends a job in the given state. The subject task ends in the same
// state if it can, and the other tasks that have not ended are cancelled.
func (t *Tables) endJob(j *Job, to State, subject unit.Task, reason string) bool {
	j.State, j.Reason = to, reason
	for i := range j.Spec.Tasks {
		id := TaskID(j.Spec.ID, i)
		k := t.Tasks.Get(id)
		switch {
		case k == nil || k.State.Ended():
		case id == subject && CanTransition(k.State, to):
			k.State = to
		default:
			k.State = StateCancelled
		}
	}
	return true
}

// start adds an attempt to the task. It reports false if the number is not
// new or the state does not allow the start.
func (k *Task) start(m Started) bool {
	if m.Attempt <= k.LastAttempt {
		return false
	}
	if m.Speculative {
		if !k.State.Active() {
			return false
		}
		k.SpeculativeAttempt, k.LastAttempt = m.Attempt, m.Attempt
		return true
	}
	to := StatePlaced
	if k.State == StateEvicted {
		to = StateResumed
	}
	if !CanTransition(k.State, to) {
		return false
	}
	k.State, k.Attempt, k.LastAttempt, k.Worker = to, m.Attempt, m.Attempt, m.Worker
	return true
}

// checkpoint records a new checkpoint of a current attempt. It reports false
// for a checkpoint with less progress than the recorded one.
func (k *Task) checkpoint(m Checkpointed) bool {
	if m.Attempt != k.Attempt && m.Attempt != k.SpeculativeAttempt || !k.State.Active() || m.Checkpoint == k.Checkpoint || m.Progress < k.Saved {
		return false
	}
	k.Checkpoint, k.Saved = m.Checkpoint, m.Progress
	return true
}

// endAttempt removes an attempt that ended without a result from the task. If a
// speculative attempt remains, it becomes the current one; otherwise the task
// is evicted. It reports false if the task is not active or the attempt is
// neither the current nor the speculative one.
func (k *Task) endAttempt(a unit.Attempt) bool {
	switch {
	case a == 0 || !k.State.Active():
		return false
	case a == k.SpeculativeAttempt:
		k.SpeculativeAttempt = 0
	case a != k.Attempt:
		return false
	case k.SpeculativeAttempt != 0:
		k.Attempt, k.SpeculativeAttempt = k.SpeculativeAttempt, 0
	default:
		k.State = StateEvicted
	}
	return true
}

// evict ends an attempt of the task. A counted eviction uses up the eviction
// budget of the job.
func (k *Task) evict(j *Job, m Evicted) bool {
	if !k.endAttempt(m.Attempt) {
		return false
	}
	if m.Counted {
		k.Evictions++
		j.Evictions++
	}
	if j.Terms.Class == service.Standing && k.State == StateEvicted {
		k.Interruptions++
	}
	return true
}

// fail ends a failed attempt of the task. A final failure of the last
// attempt ends the job.
func (t *Tables) fail(j *Job, k *Task, m Failed) bool {
	if !k.endAttempt(m.Attempt) {
		return false
	}
	if !slices.Contains(k.FailedOn, m.Worker) {
		k.FailedOn = append(k.FailedOn, m.Worker)
	}
	if m.Final && k.State == StateEvicted {
		k.State = StateFailed
		return t.endJob(j, StateFailed, m.Task, m.Reason)
	}
	return true
}

// finish ends the task with its result, and the job if it was the last task.
func (t *Tables) finish(j *Job, k *Task, m Finished) bool {
	if !CanTransition(k.State, StateFinished) {
		return false
	}
	k.State, k.Result, k.Worker = StateFinished, m.Result, m.Worker
	k.Attempt, k.SpeculativeAttempt, k.LastAttempt = m.Attempt, 0, max(k.LastAttempt, m.Attempt)
	if j.FinishedTasks++; j.FinishedTasks == j.Spec.Tasks {
		j.State = StateFinished
	}
	return true
}

// Advance changes the state of a task where no record is required. It
// reports false if the transition is not allowed.
func (k *Task) Advance(to State) bool {
	if !CanTransition(k.State, to) {
		return false
	}
	k.State = to
	return true
}

// Unfinished returns the number of tasks of j that have not finished.
func (j *Job) Unfinished() int { return j.Spec.Tasks - j.FinishedTasks }

// Move applies a record that moves a job to the tables of another data
// centre. It reports false if the move was applied before or its writer was
// no longer the owner.
func Move(from, to *Tables, m Moved) bool {
	j := from.Jobs.Get(m.Job)
	if j == nil || m.Epoch < from.Epoch || to.Jobs.Get(m.Job) != nil {
		return false
	}
	moved := *j
	moved.AttemptsAtWorkers, moved.NoFormerAttempts, moved.Moving = 0, true, false
	to.Jobs.Put(m.Job, moved)
	for i := range j.Spec.Tasks {
		id := TaskID(m.Job, i)
		if k := from.Tasks.Get(id); k != nil {
			to.Tasks.Put(id, *k).InQueue = false
			from.Tasks.Delete(id)
		}
	}
	from.Jobs.Delete(m.Job)
	return true
}

// DeleteTasks deletes the tasks of a job that has ended.
func (t *Tables) DeleteTasks(id unit.Job) {
	j := t.Jobs.Get(id)
	if j == nil || !j.State.Ended() {
		return
	}
	for i := range j.Spec.Tasks {
		t.Tasks.Delete(TaskID(id, i))
	}
}

// Delete deletes a job that has ended, and its tasks.
func (t *Tables) Delete(id unit.Job) {
	t.DeleteTasks(id)
	if j := t.Jobs.Get(id); j != nil && j.State.Ended() {
		t.Jobs.Delete(id)
	}
}
