package process

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
	"mimosadock/standin/fleet"
)

// The jobs of the capacity tests are in homeShard. The executors of otherShard
// have the capacity or the label that homeShard lacks.
const (
	homeShard      unit.Shard = 0
	otherShard     unit.Shard = 1
	homePartition             = 23 // of homeShard in the store
	otherPartition            = 19
)

// idsInShard returns the first n ids of a sequence that belong to a shard.
func idsInShard(shard unit.Shard, n int, id func(int) string) []string {
	var ids []string
	for i := 0; len(ids) < n; i++ {
		if s := id(i); (dispatch.Layout{Shards: 2}).ShardOf(s) == shard {
			ids = append(ids, s)
		}
	}
	return ids
}

func executorID(n int) string { return "i-" + strconv.Itoa(n) }

// runRecorder records the runs on all executors. The zero value is ready to use.
type runRecorder struct {
	mu         sync.Mutex
	numbers    map[string][]int  // of all runs, by task
	running    map[string]string // executor of the current run, by task
	violations []string          // concurrent runs of a task and run numbers used twice
}

var _ fleet.Observer = (*runRecorder)(nil)

// RunStarted implements [fleet.Observer].
func (c *runRecorder) RunStarted(r fleet.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.numbers == nil {
		c.numbers, c.running = make(map[string][]int), make(map[string]string)
	}
	if x, ok := c.running[r.Task]; ok {
		c.violations = append(c.violations, fmt.Sprintf("run %d of %s started on %s while %s ran the task", r.Number, r.Task, r.Executor, x))
	}
	if slices.Contains(c.numbers[r.Task], r.Number) {
		c.violations = append(c.violations, fmt.Sprintf("run %d of %s started again on %s", r.Number, r.Task, r.Executor))
	}
	c.numbers[r.Task] = append(c.numbers[r.Task], r.Number)
	c.running[r.Task] = r.Executor
}

// RunEnded implements [fleet.Observer].
func (c *runRecorder) RunEnded(r fleet.Run, _ string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[r.Task] == r.Executor {
		delete(c.running, r.Task)
	}
}

// ExecutorEnded implements [fleet.Observer].
func (c *runRecorder) ExecutorEnded(executor string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.running, func(_, x string) bool { return x == executor })
}

// EndAcknowledged implements [fleet.Observer].
func (*runRecorder) EndAcknowledged(fleet.Run, string) {}

// LeaseExpired implements [fleet.Observer].
func (*runRecorder) LeaseExpired(string) {}

// awaitRunning waits until n tasks run at the same time and fails the test after
// 30 s.
func (c *runRecorder) awaitRunning(t *testing.T, n int) {
	deadline := time.Now().Add(30 * time.Second)
	for {
		c.mu.Lock()
		running, started := maps.Clone(c.running), maps.Clone(c.numbers)
		c.mu.Unlock()
		if len(running) == n {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d tasks run, want %d; executors by task: %v; run numbers by task: %v", len(running), n, running, started)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestTasksUseRoomOfOtherShards guards against tasks that wait, or wait again
// after a run, while only executors of another shard than that of their job have
// the capacity or the label.
func TestTasksUseRoomOfOtherShards(t *testing.T) {
	// Two tasks fill an executor. The reserve for batch tasks gives way only to a
	// waiting job of which no task runs, so each executor is filled by its own job.
	const size = `"cpu":4000,"mem_mb":100,"estimated_ms":50`
	const twoPerpetual = `{"count":2,"perpetual":true,` + size + `}`
	// The simulated store assigns both shards to one of two processes, and to
	// different ones of three.
	owners := map[string]int{"one owner": 2, "two owners": 3}
	for name, c := range map[string]capacityCase{
		"executor leaves":                 {home: 2, steps: []string{twoPerpetual, twoPerpetual}, tasks: 4, perpetual: true, leaves: true},
		"more tasks than the shard holds": {home: 1, steps: []string{`{"count":4,"perpetual":true,` + size + `}`}, tasks: 4, perpetual: true},
		"no executor in the shard":        {steps: []string{`{"count":3,` + size + `}`}, tasks: 3},
		"label of the other shard":        {home: 2, steps: []string{`{"count":3,"node_selector":"b",` + size + `}`}, tasks: 3},
	} {
		for ownerCount, processes := range owners {
			t.Run(name+", "+ownerCount, func(t *testing.T) { c.run(t, processes) })
		}
	}
}

// capacityCase describes a cluster with two shards and jobs in homeShard.
type capacityCase struct {
	home      int      // executors of homeShard
	steps     []string // of one job each
	tasks     int      // of all jobs
	perpetual bool
	// leaves makes an executor of homeShard leave once all tasks run, before which
	// otherShard has no executors.
	leaves bool
}

// run checks that all tasks run on a cluster with two or three processes.
func (c capacityCase) run(t *testing.T, processes int) {
	is := is.New(t)
	s := newCluster(t, 0)
	var recorder runRecorder
	var executors []*fleet.Executor
	t.Cleanup(func() {
		for _, x := range executors {
			x.Close()
		}
	})
	open := func(shard unit.Shard, n int, label string) {
		for _, id := range idsInShard(shard, n, executorID) {
			executors = append(executors, fleet.NewExecutorWithOptions(s.store, id, "s", fleet.Options{
				Observer: &recorder, Labels: []string{label, "r1"}, MaxRuns: 2,
				Perpetual: func(string) bool { return c.perpetual },
			}))
		}
	}
	open(homeShard, c.home, "a")
	if !c.leaves {
		open(otherShard, 3, "b")
	}
	for range processes {
		s.start()
	}
	s.eventually("shards assigned", func() bool {
		owners := s.store.Owners()
		home, other := owners[homePartition], owners[otherPartition]
		return len(s.store.Members()) == processes && home != "" && other != "" && (home == other) == (processes == 2)
	})
	jobs := idsInShard(homeShard, len(c.steps), jobID)
	for i, step := range c.steps {
		status, _ := s.call(s.processes[0], http.MethodPost, jobs[i], `{"spec":"x","steps":[`+step+`]}`)
		is.Equal(status, http.StatusOK)
	}
	if c.leaves {
		recorder.awaitRunning(t, c.tasks)
		open(otherShard, 3, "b")
		executors[0].Leave()
		executors = executors[1:]
	}
	if c.perpetual {
		recorder.awaitRunning(t, c.tasks)
	} else {
		for _, id := range jobs {
			s.await(s.processes[0], id, "completed")
		}
	}
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	is.Equal(len(recorder.numbers), c.tasks)
	is.Equal(recorder.violations, nil)
}
