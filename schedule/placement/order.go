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

// defaultDueAfter is the time after which work without a deadline is due.
const defaultDueAfter = 30 * clock.Minute

// EarliestDue takes first what must start first to meet its deadline. Work without
// a deadline counts as due half an hour after it began to wait.
type EarliestDue struct{}

// Score ranks q.
func (EarliestDue) Score(q Queued) float64 {
	due := q.Since.Add(defaultDueAfter)
	if q.Deadline != clock.Never {
		due = min(due, q.Deadline.Add(-q.Expected))
	}
	return -float64(due)
}

// FIFO is first come, first served.
type FIFO struct{}

// Score ranks q.
func (FIFO) Score(q Queued) float64 { return -float64(q.Since) }

// Queue is a queue of tasks in the order of their scores. The zero value is
// empty.
type Queue struct {
	entries []entry
	nextSeq uint64
}

type entry struct {
	task  unit.Task
	score float64
	seq   uint64
}

// Add puts a task in its place. Among equal scores the earlier one is first.
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

// Len returns the number of tasks in the line.
func (l *Queue) Len() int { return len(l.entries) }

// Visit calls try for the tasks in order. A task for which it reports true
// leaves the line. Serve ends when more is false.
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
