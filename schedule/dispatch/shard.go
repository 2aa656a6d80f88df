package dispatch

import (
	"cmp"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// Limits are the spans that a shard keeps to.
type Limits struct {
	Lease        clock.Span // of an executor, renewed by each hold
	HoldWait     clock.Span // longest wait of a hold for an end
	OwnerGuard   clock.Span // longest time that a former owner may have gone on
	StatusFor    clock.Span // how long the state of an ended job is kept
	Restore      clock.Span // start from a checkpoint
	Interference clock.Span // longest time that a serving task may be over its bound
	MaxJobs      int        // jobs that have not ended
}

// DefaultLimits hold until settings say otherwise. A lease outlasts the loss of
// an owner while the store is down, about 5 s; a restarted executor is noticed
// without it.
var DefaultLimits = Limits{
	Lease: 6000, HoldWait: 700, OwnerGuard: 6000, StatusFor: 2 * clock.Minute,
	Restore: 600, Interference: 4000, MaxJobs: 4000,
}

// Shard holds the tables of one part of the jobs and executors. Set the
// exported fields before use. It is not safe for concurrent use.
type Shard struct {
	ID     unit.Shard
	Epoch  unit.Generation
	Limits Limits
	Report func(Event) // called for each decision; may be nil

	config    *Config
	queues    map[unit.Queue]*Queue
	gained    clock.Millis
	jobs      table.Table[unit.Job, Job]
	executors table.Table[unit.Executor, Executor]
	ready     map[stepKey]clock.Millis // steps with tasks to place, and since when
	changed   []unit.Job
	storing   []unit.Job
	held      []TaskID // starts that wait for the store
	releasing []TaskID // starts in the append in flight
	orders    []Order
	pressures map[unit.Image]*Pressure // by image of serving tasks
	reserves  map[unit.Service]*reserve
	open      int // jobs that have not ended
	fenced    bool
	advice    advice
	timed     []unit.Job // jobs with occurrences still to come
	ended     []unit.Job // ended jobs, oldest first, from which states are dropped
	stopping  []unit.Job // ended jobs of which runs may be left
	nextEnded clock.Millis
}

type stepKey struct {
	job        unit.Job
	occurrence int
	step       int
}

// Event tells of a decision. Fields that do not apply are zero.
type Event struct {
	What     string
	Task     TaskID
	Run      unit.Run
	Executor unit.Executor
	Reason   string
	Age      clock.Span // of the input that decided
}

func (s *Shard) report(e Event) {
	if s.Report != nil {
		s.Report(e)
	}
}

// Gain begins the tenure of an owner. Rows restored before it are reconciled
// with the executors.
func (s *Shard) Gain(now clock.Millis) {
	s.gained = now
	slices.SortFunc(s.ended, func(a, b unit.Job) int {
		return cmp.Compare(s.jobs.Get(a).EndedAt, s.jobs.Get(b).EndedAt)
	})
}

// Fenced reports whether an executor has seen a higher token.
func (s *Shard) Fenced() bool { return s.fenced }

// Configure sets the configuration. An older one than the last is ignored.
func (s *Shard) Configure(c *Config) {
	if c == nil || s.config != nil && c.Version < s.config.Version {
		return
	}
	s.config = c
	s.queues = make(map[unit.Queue]*Queue, len(c.Queues))
	for i := range c.Queues {
		s.queues[c.Queues[i].Name] = &c.Queues[i]
		s.noteAdvice(&c.Queues[i])
	}
}

// queue returns the queue of a job as configured now, or as it was when the
// job was accepted if it is configured no more.
func (s *Shard) queue(j *Job) *Queue {
	if q := s.queues[j.Queue]; q != nil {
		return q
	}
	return &j.Spec.Queue
}

// Token returns the fencing token for an executor. It rises with the owner and
// with each life of the executor, so that orders to an earlier life are refused.
func (s *Shard) token(e *Executor) unit.Token {
	const livesPerEpoch = 1 << 10
	return unit.Token(s.Epoch)*livesPerEpoch + min(e.lives, livesPerEpoch-1)
}

func (e *Executor) target() Target { return Target{e.Executor, e.Address} }

func (s *Shard) mark(id unit.Job, j *Job) {
	if !j.changed {
		j.changed = true
		s.changed = append(s.changed, id)
	}
}

// find returns the rows of a task, or nil.
func (s *Shard) find(id TaskID) (*Job, *Step, *Task) {
	j := s.jobs.Get(id.Job)
	if j == nil || j.Spec == nil || id.Step >= len(j.Spec.Steps) {
		return nil, nil, nil
	}
	t := j.task(id)
	if t == nil {
		return nil, nil, nil
	}
	return j, &j.Spec.Steps[id.Step], t
}

// Change is a job whose record is to be stored. It is valid until the next
// call to the shard.
type Change struct {
	ID      unit.Job
	Job     *Job
	Spec    *Spec // to be stored, nil if it is
	Drop    bool  // the job is no longer kept
	Shrinks bool  // the stored spec is no longer needed
}

// Pending returns how many jobs of a queue have not begun.
func (s *Shard) Pending(q unit.Queue) int {
	n := 0
	for _, j := range s.jobs.All() {
		if j.Queue == q && j.stored && j.shown == JobQueued {
			n++
		}
	}
	return n
}

// State returns the state of a job that is stored; false if there is none.
func (s *Shard) State(id unit.Job) (JobState, bool) {
	j := s.jobs.Get(id)
	if j == nil || !j.stored {
		return JobUnknown, false
	}
	return j.shown, true
}

// Turn runs the systems. With canStore, it also places tasks and returns the
// changes to store in one append; the caller reports the append by
// [Shard.Stored] before it passes canStore again. Orders may be sent at once.
func (s *Shard) Turn(now clock.Millis, wall unit.UnixMillis, canStore bool) (changes []Change, orders []Order) {
	s.lapse(now)
	s.stop(now)
	s.resend(now)
	s.stall(now)
	s.pace()
	if canStore {
		s.occur(now, wall)
		s.place(now)
		s.advise(now)
		s.expire(now, wall)
		changes = s.cut()
		if len(changes) == 0 {
			s.Stored(now)
		}
	}
	s.hold(now)
	orders, s.orders = s.orders, nil
	return changes, orders
}

// mostChanges bounds the jobs of one append. A job's records take up to about
// 8 KB, and the platform takes 2 MB in a call.
const mostChanges = 200

// cut takes the changes that the next append stores. Starts and ends of runs
// wait until the records of their jobs are among them.
func (s *Shard) cut() []Change {
	var out []Change
	batch := s.changed[:min(len(s.changed), mostChanges)]
	rest := slices.Clone(s.changed[len(batch):])
	for _, id := range batch {
		j := s.jobs.Get(id)
		if j == nil {
			out = append(out, Change{ID: id, Drop: true})
			continue
		}
		j.changed, j.cut = false, j.State
		c := Change{ID: id, Job: j}
		if !j.stored {
			c.Spec = j.Spec
		} else if j.State.Ended() && j.Spec == nil {
			c.Shrinks = true
		}
		out = append(out, c)
	}
	s.storing, s.changed = append(s.storing[:0], batch...), append(s.changed[:0], rest...)
	held := s.held
	s.held, s.releasing = nil, s.releasing[:0]
	for _, id := range held {
		if j := s.jobs.Get(id.Job); j != nil && j.changed {
			s.held = append(s.held, id)
		} else {
			s.releasing = append(s.releasing, id)
		}
	}
	for _, e := range s.executors.All() {
		e.noting = e.lastSeen
		if len(rest) == 0 {
			e.noting = e.noted
		}
	}
	return out
}

// Stored reports that the last changes are in the store.
func (s *Shard) Stored(now clock.Millis) {
	for _, id := range s.storing {
		if j := s.jobs.Get(id); j != nil {
			j.stored, j.shown = true, j.cut
		}
	}
	s.storing = s.storing[:0]
	for _, e := range s.executors.All() {
		e.lastSeen = e.noting
	}
	for _, id := range s.releasing {
		s.start(now, id)
	}
	s.releasing = s.releasing[:0]
}

// Idle reports whether the shard has nothing that needs a regular turn.
func (s *Shard) Idle() bool { return s.open == 0 && len(s.changed) == 0 && len(s.stopping) == 0 }

// sortedReady returns the ready steps, most urgent first.
func (s *Shard) sortedReady() []stepKey {
	keys := make([]stepKey, 0, len(s.ready))
	for k := range s.ready {
		keys = append(keys, k)
	}
	type rank struct {
		priority int
		due      clock.Millis
	}
	ranks := make(map[unit.Job]rank, len(keys))
	for _, k := range keys {
		if j := s.jobs.Get(k.job); j != nil && j.Spec != nil {
			ranks[k.job] = rank{s.queue(j).Priority, j.due}
		}
	}
	slices.SortFunc(keys, func(a, b stepKey) int {
		x, y := ranks[a.job], ranks[b.job]
		switch {
		case x.priority != y.priority:
			return x.priority - y.priority
		case x.due != y.due:
			return int(x.due.Sub(y.due))
		case a.job != b.job:
			if a.job < b.job {
				return -1
			}
			return 1
		case a.occurrence != b.occurrence:
			return a.occurrence - b.occurrence
		}
		return a.step - b.step
	})
	return keys
}
