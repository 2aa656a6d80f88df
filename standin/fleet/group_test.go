package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a reassignment of all partitions that leaves one with its owner
// or distributes them unevenly.
func TestReassign(t *testing.T) {
	for name, members := range map[string][]string{
		"one member":   {"a"},
		"two members":  {"a", "b"},
		"four members": {"a", "b", "c", "d"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &Store{group: group{members: make(map[string]*member)}}
			for _, m := range members {
				s.group.members[m] = &member{lastJoin: time.Now(), ttl: time.Minute}
			}
			before := s.Owners()
			for generation := uint64(1); generation < 10; generation++ {
				s.Reassign()
				is.Equal(s.group.generation, generation)
				counts := make(map[string]int)
				for p, m := range s.Owners() {
					counts[m]++
					is.True(m != before[p] || len(members) == 1)
				}
				for _, m := range members {
					is.Equal(counts[m], PartitionCount/len(members))
				}
				before = s.Owners()
			}
		})
	}
}

// Guards against delayed orders that get lost with their executor, and against
// those that no scheduler can fence.
func TestDelayedOrdersReachTheSuccessor(t *testing.T) {
	for name, tc := range map[string]struct {
		token  uint64 // of the successor, before the order arrives
		heldAt time.Time
		want   int // running tasks of the successor
	}{
		"not held yet":             {0, time.Time{}, 0},
		"just held":                {7, time.Now(), 0},
		"held with the same token": {7, time.Now().Add(-fenceDelay), 1},
		"held with a higher token": {8, time.Now().Add(-fenceDelay), 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := NewStore()
			defer store.Close()
			next := NewExecutor(store, "x", "s")
			defer next.Close()
			next.TaskDuration, next.highestToken, next.heldAt = time.Minute, tc.token, tc.heldAt
			x := NewExecutorWithOptions(store, "x", "s", Options{Successor: func() *Executor { return next }})
			x.Close()
			x.executeLate((*Executor).startRun, &order{Task: "a.0.0.0", Run: 1, Deadline: time.Minute.Milliseconds(), Token: 7})
			is.Equal(len(next.running), tc.want)
		})
	}
}
