package dispatch

import (
	"fmt"
	"strconv"
	"strings"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

//go:generate go tool stringer -type=TaskState,JobState,EndKind,Outcome -linecomment -output=enums_string.go

// TaskID names a task within a shard.
type TaskID struct {
	Job        unit.Job
	Occurrence int // of a repeated job, from 0
	Step       int
	Index      int
}

// String returns the name that executors know the task by.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// UnmarshalText sets t from a name that String returned.
func (t *TaskID) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), ".")
	if len(parts) != 4 {
		return fmt.Errorf("task name %q has %d parts, want 4", text, len(parts))
	}
	t.Job = unit.Job(parts[0])
	for i, field := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return fmt.Errorf("task name %q: part %d is not a number", text, i+1)
		}
		*field = n
	}
	return nil
}

// TaskState is the state of a task. Values are stored and must keep their
// numbers.
type TaskState int

// The states of a task.
const (
	TaskBlocked  TaskState = iota // blocked
	TaskReady                     // ready
	TaskPlaced                    // placed
	TaskStarting                  // starting
	TaskRunning                   // running
	TaskStopping                  // stopping
	TaskDone                      // done
	TaskEnded                     // ended
)

// assigned reports whether a run of the task may exist on its executor.
func (s TaskState) assigned() bool { return s >= TaskPlaced && s <= TaskStopping }

// Task is a row of the tasks of a step.
type Task struct {
	State      TaskState
	Run        unit.Run // last one that was ordered, 0 if none
	Executor   unit.Executor
	Born       unit.UnixMillis // life of the executor that the run was ordered to
	Checkpoint unit.Checkpoint
	Failures   int

	sentAt            clock.Millis        // last start or stop order
	deadline          unit.ExecutorMillis // that the start order carries
	confirmedAt       clock.Millis        // when the start was known to have been carried out
	inFlight          bool                // an order has no answer yet
	startUncertain    bool                // an order of this run was lost or timed out
	recovered         bool                // the run is known from the store only
	progress          unit.Percent
	progressChangedAt clock.Millis // when progress last changed
	runningSince      clock.Millis
	orderedPace       unit.Percent // share ordered
	targetPace        unit.Percent // share that it should work at
	avoidedExecutor   unit.Executor
}

// EndKind tells how a run ended.
type EndKind int

// The ends of a run.
const (
	EndUnknown      EndKind = iota // unknown
	EndDone                        // done
	EndFailed                      // failed
	EndStopped                     // stopped
	EndLeaseExpired                // lapsed
	EndBroken                      // broken
	EndAlone                       // alone
)

// UnmarshalText sets k from its name. An unknown name is [EndUnknown], which
// counts as a run that ended without a result.
func (k *EndKind) UnmarshalText(text []byte) error {
	*k = EndUnknown
	for kind := EndDone; kind <= EndAlone; kind++ {
		if kind.String() == string(text) {
			*k = kind
		}
	}
	return nil
}
