package dispatch

import (
	"fmt"
	"strconv"
	"strings"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

//go:generate go tool stringer -type=TaskState,JobState,EndKind,Outcome,Exclusion,TimePart,placeOption -linecomment -output=enums_string.go

// TaskID identifies a task within a shard.
type TaskID struct {
	Job        unit.Job
	Occurrence int // number of the occurrence of the job, from 0
	Step       int
	Index      int
}

// String returns the name of the task on executors: the parts of the id,
// separated by dots.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// UnmarshalText sets t from a name in the format of [TaskID.String]. It
// returns an error if the name has another format.
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
	// TaskBlocked: a step that the task's step depends on is not done.
	TaskBlocked TaskState = iota // blocked
	// TaskReady: the task waits to be placed on an executor.
	TaskReady // ready
	// TaskPlaced: a run is assigned to an executor. Its start is ordered once the
	// assignment is stored.
	TaskPlaced // placed
	// TaskStarting: the start is ordered, or the run was restored from the store.
	// The executor has not confirmed the run yet.
	TaskStarting // starting
	// TaskRunning: the executor has confirmed the run, and its end is not recorded.
	TaskRunning // running
	// TaskStopping: the run is to be stopped and may still exist.
	TaskStopping // stopping
	// TaskDone: a run of the task succeeded, or a run of its gang.
	TaskDone // done
	// TaskEnded: the job ended before the task was done, and no run of it is left.
	TaskEnded // ended
)

// assigned reports whether the task has an executor on which a run of it may
// exist.
func (s TaskState) assigned() bool { return s >= TaskPlaced && s <= TaskStopping }

// Task is a row of the tasks of a step.
type Task struct {
	State       TaskState
	Run         unit.Run // last run assigned, 0 if none
	Executor    unit.Executor
	Incarnation unit.UnixMillis // start time of the incarnation of Executor that the run is assigned to
	Checkpoint  unit.Checkpoint
	Failures    int

	lastActionAt      clock.Millis        // time of assignment, then of the last start or stop order
	deadline          unit.ExecutorMillis // deadline of the start order
	confirmedAt       clock.Millis        // when the executor confirmed the last start or stop, 0 if not yet
	inFlight          bool                // an order has no answer yet
	startUncertain    bool                // a start order had no answer, so the run may exist
	recovered         bool                // the run is known from the store only, not yet from the executor
	progress          unit.Percent        // of a batch run: work done; of a perpetual run: 100 once it has warmed up
	listedAt          clock.Millis        // when the run was last listed
	savedProgress     unit.Percent        // progress when the last checkpoint was first listed, of any run
	progressChangedAt clock.Millis        // when progress last changed
	waitedForRack     bool                // has waited for room on a rack, and its start is not counted
	firstProgress     unit.Percent        // progress in the first run list with the run
	firstProgressAt   clock.Millis        // when that list came, 0 if none did
	runningSince      clock.Millis        // when the run was first known to run
	orderedPace       unit.Percent        // pace last ordered
	targetPace        unit.Percent        // pace that the run should have
	paceUncertain     bool                // the last order of a pace had no answer
	avoidedExecutor   unit.Executor       // executor of the last run that failed or was moved
	moves             int                 // runs that this owner stopped to start the task elsewhere, except from executors that drain
	times             taskTimes
}

// EndKind is the reason why a run ended.
type EndKind int

// The ends of a run. [EndDone] completes the task, but a perpetual task starts
// again. [EndFailed] counts a failed attempt, after which the task starts again
// or the job fails. After any other end the task starts again without a failed
// attempt, unless its job has ended. [EndBroken] and [EndAlone] are two such ends
// that the platform's run lists report; the shard only logs which one it was.
const (
	EndUnknown      EndKind = iota // unknown
	EndDone                        // done
	EndFailed                      // failed
	EndStopped                     // stopped
	EndLeaseExpired                // lapsed
	EndBroken                      // broken
	EndAlone                       // alone
)

// UnmarshalText sets k from its text. An unknown text gives [EndUnknown],
// which counts as an end without a result. The error is always nil.
func (k *EndKind) UnmarshalText(text []byte) error {
	*k = EndUnknown
	for kind := EndDone; kind <= EndAlone; kind++ {
		if kind.String() == string(text) {
			*k = kind
		}
	}
	return nil
}
