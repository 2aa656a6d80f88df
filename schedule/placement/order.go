package placement

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

var (
	_ Policy[Queued] = EarliestDue{}
	_ Policy[Queued] = FIFO{}
)

// defaultDueAfter is the time in the queue after which a task without a
// deadline is due.
const defaultDueAfter = 30 * clock.Minute

// EarliestDue orders tasks by their latest start, which is the deadline less
// the expected run time. A task without a deadline, or with a later latest
// start, counts as due defaultDueAfter after it was queued.
type EarliestDue struct{}

// Score ranks q.
func (EarliestDue) Score(q Queued) float64 {
	due := q.QueuedSince.Add(defaultDueAfter)
	if q.Deadline != clock.Never {
		due = min(due, q.Deadline.Add(-q.ExpectedRunTime))
	}
	return -float64(due)
}

// FIFO serves tasks in the order in which they were queued.
type FIFO struct{}

// Score ranks q.
func (FIFO) Score(q Queued) float64 { return -float64(q.QueuedSince) }

// Queue is a queue of tasks, ordered by descending score. The zero value is
// empty.
type Queue struct {
	entries []entry
	nextSeq uint64
}

type entry struct {
	task  unit.Task
	score float64
	seq   uint64 // order of addition
}

// Add inserts a task. Among equal scores the task that was added first is
// first.
func (q *Queue) Add(t unit.Task, score float64) {
	e := entry{t, score, q.nextSeq}
	q.nextSeq++
	i, _ := slices.BinarySearchFunc(q.entries, e, func(a, b entry) int {
		if a.score > b.score || a.score == b.score && a.seq < b.seq {
			return -1
		}
		return 1
	})
	q.entries = slices.Insert(q.entries, i, e)
}

// Len returns the number of tasks in the queue.
func (q *Queue) Len() int { return len(q.entries) }

// Visit calls visit for the tasks in order. It removes a task if remove is
// true, and returns after the first call whose more is false.
func (q *Queue) Visit(visit func(unit.Task) (remove, more bool)) {
	kept, end := 0, 0
	for more := true; more && end < len(q.entries); end++ {
		var remove bool
		if remove, more = visit(q.entries[end].task); !remove {
			q.entries[kept] = q.entries[end]
			kept++
		}
	}
	removed := end - kept
	copy(q.entries[removed:end], q.entries[:kept])
	clear(q.entries[:removed])
	q.entries = q.entries[removed:]
}
