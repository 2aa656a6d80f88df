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

// EarliestDue orders tasks by the latest time at which they can start and
// still meet their deadline. A task is due no later than defaultDueAfter
// after it was queued, and so is one without a deadline.
type EarliestDue struct{}

// Score ranks q.
func (EarliestDue) Score(q Queued) float64 {
	due := q.Since.Add(defaultDueAfter)
	if q.Deadline != clock.Never {
		due = min(due, q.Deadline.Add(-q.Expected))
	}
	return -float64(due)
}

// FIFO serves tasks in the order in which they were queued.
type FIFO struct{}

// Score ranks q.
func (FIFO) Score(q Queued) float64 { return -float64(q.Since) }

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
func (l *Queue) Add(t unit.Task, score float64) {
	e := entry{t, score, l.nextSeq}
	l.nextSeq++
	i, _ := slices.BinarySearchFunc(l.entries, e, func(a, b entry) int {
		if a.score > b.score || a.score == b.score && a.seq < b.seq {
			return -1
		}
		return 1
	})
	l.entries = slices.Insert(l.entries, i, e)
}

// Len returns the number of tasks in the queue.
func (l *Queue) Len() int { return len(l.entries) }

// Visit calls visit for the tasks in order. It removes a task if remove is
// true, and returns after the first call whose more is false.
func (l *Queue) Visit(visit func(unit.Task) (remove, more bool)) {
	kept, end := 0, 0
	for more := true; more && end < len(l.entries); end++ {
		var remove bool
		if remove, more = visit(l.entries[end].task); !remove {
			l.entries[kept] = l.entries[end]
			kept++
		}
	}
	removed := end - kept
	copy(l.entries[removed:end], l.entries[:kept])
	clear(l.entries[:removed])
	l.entries = l.entries[removed:]
}
