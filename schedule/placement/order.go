package placement

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

var (
	_ Policy[Queued] = Urgency{}
	_ Policy[Queued] = Arrival{}
)

// patience is the time after which work without a deadline is due.
const patience = 30 * clock.Minute

// Urgency takes first what must start first to meet its deadline. Work without
// a deadline counts as due half an hour after it began to wait.
type Urgency struct{}

// Score ranks q.
func (Urgency) Score(q Queued) float64 {
	due := q.Since.Add(patience)
	if q.Deadline != clock.Never {
		due = min(due, q.Deadline.Add(-q.Expected))
	}
	return -float64(due)
}

// Arrival is first come, first served.
type Arrival struct{}

// Score ranks q.
func (Arrival) Score(q Queued) float64 { return -float64(q.Since) }

// Line is a queue of tasks in the order of their scores. The zero value is
// empty.
type Line struct {
	entries []entry
	next    uint64
}

type entry struct {
	task  unit.Task
	score float64
	seq   uint64
}

// Add puts a task in its place. Among equal scores the earlier one is first.
func (l *Line) Add(t unit.Task, score float64) {
	e := entry{t, score, l.next}
	l.next++
	i, _ := slices.BinarySearchFunc(l.entries, e, func(a, b entry) int {
		if a.score > b.score || a.score == b.score && a.seq < b.seq {
			return -1
		}
		return 1
	})
	l.entries = slices.Insert(l.entries, i, e)
}

// Len returns the number of tasks in the line.
func (l *Line) Len() int { return len(l.entries) }

// Serve calls try for the tasks in order. A task for which it reports true
// leaves the line. Serve ends when more is false.
func (l *Line) Serve(try func(unit.Task) (leaves, more bool)) {
	kept, end := 0, 0
	for more := true; more && end < len(l.entries); end++ {
		var leaves bool
		if leaves, more = try(l.entries[end].task); !leaves {
			l.entries[kept] = l.entries[end]
			kept++
		}
	}
	gone := end - kept
	copy(l.entries[gone:end], l.entries[:kept])
	clear(l.entries[:gone])
	l.entries = l.entries[gone:]
}
