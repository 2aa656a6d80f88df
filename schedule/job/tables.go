package job

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// Job is one row of the table of jobs. Fields without an encoding are known to
// the current owner only.
type Job struct {
	Spec          Spec   `json:"spec" cbor:"1,keyasint"`
	Terms         Terms  `json:"terms" cbor:"2,keyasint"`
	State         State  `json:"state" cbor:"3,keyasint"` // Waiting until the job has ended
	FinishedTasks int    `json:"done" cbor:"4,keyasint"`  // tasks that have finished
	Evictions     int    `json:"evictions" cbor:"5,keyasint"`
	Reason        string `json:"reason,omitempty" cbor:"6,keyasint,omitempty"`

	AcceptedAt       clock.Millis `json:"-" cbor:"-"`
	Deadline         clock.Millis `json:"-" cbor:"-"` // Never if there is none
	EndedAt          clock.Millis `json:"-" cbor:"-"`
	Allocated        int          `json:"-" cbor:"-"` // attempts that may be at a worker
	WriteUnknown     bool         `json:"-" cbor:"-"` // its record may be in the journal
	Moving           bool         `json:"-" cbor:"-"` // a record of a move is being written
	NoFormerAttempts bool         `json:"-" cbor:"-"` // no other owner can have started its tasks
}

// Task is one row of the table of tasks.
type Task struct {
	Job         unit.Job      `json:"job" cbor:"1,keyasint"`
	State       State         `json:"state" cbor:"2,keyasint"`
	Attempt     unit.Attempt  `json:"attempt" cbor:"3,keyasint"` // current attempt, or the last one
	LastAttempt unit.Attempt  `json:"last" cbor:"12,keyasint"`   // highest number given; none is given twice
	Spare       unit.Attempt  `json:"spare,omitempty" cbor:"4,keyasint,omitempty"`
	Worker      unit.Worker   `json:"worker,omitempty" cbor:"5,keyasint,omitempty"` // of the last attempt
	Checkpoint  string        `json:"checkpoint,omitempty" cbor:"6,keyasint,omitempty"`
	Saved       float64       `json:"saved,omitempty" cbor:"7,keyasint,omitempty"` // progress at the checkpoint
	Evictions   int           `json:"evictions,omitempty" cbor:"8,keyasint,omitempty"`
	FailedOn    []unit.Worker `json:"failedOn,omitempty" cbor:"9,keyasint,omitempty"`
	Gaps        int           `json:"gaps,omitempty" cbor:"10,keyasint,omitempty"` // times that standing work was interrupted
	Result      []byte        `json:"result,omitempty" cbor:"11,keyasint,omitempty"`

	WaitsOn             string       `json:"waitsOn,omitempty" cbor:"-"`
	QueuedSince         clock.Millis `json:"-" cbor:"-"` // when the task began to wait
	GapTime             clock.Span   `json:"gapMs,omitempty" cbor:"-"`
	Allocated           int          `json:"-" cbor:"-"` // attempts that may be at a worker
	InQueue             bool         `json:"-" cbor:"-"`
	ConsecutiveFailures int          `json:"-" cbor:"-"` // in a row, for the back-off
	BackoffUntil        clock.Millis `json:"-" cbor:"-"` // the back-off ends then
	Moves               int          `json:"-" cbor:"-"` // times moved or doubled as a straggler
}

// Tables holds the jobs whose home is one data centre. The zero value is
// empty. It is owned by one goroutine.
type Tables struct {
	Jobs  table.Table[unit.Job, Job]
	Tasks table.Table[unit.Task, Task]
	// Epoch is the highest claim applied; records of lower epochs have no
	// effect, since their writer was no longer the owner.
	Epoch unit.Epoch
}

// Fence raises the lowest epoch whose records count.
func (t *Tables) Fence(e unit.Epoch) { t.Epoch = max(t.Epoch, e) }

// Apply applies a record and reports whether it changed anything. Records that
// were applied before, that a later one has overtaken, or whose writer was not
// the owner any more change nothing. Moved records need [Move].
func (t *Tables) Apply(r Record) bool {
	h := r.Subject()
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

// endJob ends a job. The task that the record names ends in the same state, and
// the others that have not ended are cancelled.
func (t *Tables) endJob(j *Job, to State, subject unit.Task, reason string) bool {
	j.State, j.Reason = to, reason
	for i := range j.Spec.Tasks {
		id := TaskID(j.Spec.ID, i)
		k := t.Tasks.Get(id)
		switch {
		case k == nil || k.State.Ended():
		case id == subject && CanFollow(k.State, to):
			k.State = to
		default:
			k.State = StateCancelled
		}
	}
	return true
}

func (k *Task) start(m Started) bool {
	if m.Attempt <= k.LastAttempt {
		return false
	}
	if m.Spare {
		if !k.State.Active() {
			return false
		}
		k.Spare, k.LastAttempt = m.Attempt, m.Attempt
		return true
	}
	to := StatePlaced
	if k.State == StateEvicted {
		to = StateResumed
	}
	if !CanFollow(k.State, to) {
		return false
	}
	k.State, k.Attempt, k.LastAttempt, k.Worker = to, m.Attempt, m.Attempt, m.Worker
	return true
}

func (k *Task) checkpoint(m Checkpointed) bool {
	if m.Attempt != k.Attempt && m.Attempt != k.Spare || !k.State.Active() || m.Checkpoint == k.Checkpoint || m.Progress < k.Saved {
		return false
	}
	k.Checkpoint, k.Saved = m.Checkpoint, m.Progress
	return true
}

// endAttempt takes an attempt that ended without a result off the task. It
// reports whether the attempt was a current one.
func (k *Task) endAttempt(a unit.Attempt) bool {
	switch {
	case a == 0 || !k.State.Active():
		return false
	case a == k.Spare:
		k.Spare = 0
	case a != k.Attempt:
		return false
	case k.Spare != 0:
		k.Attempt, k.Spare = k.Spare, 0
	default:
		k.State = StateEvicted
	}
	return true
}

func (k *Task) evict(j *Job, m Evicted) bool {
	if !k.endAttempt(m.Attempt) {
		return false
	}
	if m.Counted {
		k.Evictions++
		j.Evictions++
	}
	if j.Terms.Class == service.Standing && k.State == StateEvicted {
		k.Gaps++
	}
	return true
}

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

func (t *Tables) finish(j *Job, k *Task, m Finished) bool {
	if !CanFollow(k.State, StateFinished) {
		return false
	}
	k.State, k.Result, k.Worker = StateFinished, m.Result, m.Worker
	k.Attempt, k.Spare, k.LastAttempt = m.Attempt, 0, max(k.LastAttempt, m.Attempt)
	if j.FinishedTasks++; j.FinishedTasks == j.Spec.Tasks {
		j.State = StateFinished
	}
	return true
}

// Advance changes the state of a task where no record is needed. It reports
// false if the table of transitions does not allow the change.
func (k *Task) Advance(to State) bool {
	if !CanFollow(k.State, to) {
		return false
	}
	k.State = to
	return true
}

// Unfinished returns how many tasks of j have not finished.
func (j *Job) Unfinished() int { return j.Spec.Tasks - j.FinishedTasks }

// Move applies a record that gives a job another home. It reports false if the
// move was applied before or its writer was not the owner.
func Move(from, to *Tables, m Moved) bool {
	j := from.Jobs.Get(m.Job)
	if j == nil || m.Epoch < from.Epoch || to.Jobs.Get(m.Job) != nil {
		return false
	}
	moved := *j
	moved.Allocated, moved.NoFormerAttempts, moved.Moving = 0, true, false
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

// DeleteTasks drops the tasks of a job that has ended.
func (t *Tables) DeleteTasks(id unit.Job) {
	j := t.Jobs.Get(id)
	if j == nil || !j.State.Ended() {
		return
	}
	for i := range j.Spec.Tasks {
		t.Tasks.Delete(TaskID(id, i))
	}
}

// Delete drops a job that has ended, together with its tasks.
func (t *Tables) Delete(id unit.Job) {
	t.DeleteTasks(id)
	if j := t.Jobs.Get(id); j != nil && j.State.Ended() {
		t.Jobs.Delete(id)
	}
}
