package rig3

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a submission, with the true behaviour of its tasks.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu,omitempty"`
	Memory      int    `json:"mem_mb,omitempty"`
	EstimatedMs int64  `json:"estimated_ms,omitempty"`
	After       []int  `json:"after,omitempty"`
	Spread      int    `json:"anti_affinity,omitempty"`
	Perpetual   bool   `json:"perpetual,omitempty"`
	Image       string `json:"image,omitempty"`
	TargetMs    int64  `json:"target_ms,omitempty"`
	MissBudget  int    `json:"miss_budget,omitempty"`

	work time.Duration // of a task that ends
}

// submission is the body of a submission.
type submission struct {
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	Repeat   int    `json:"repeat_count,omitempty"`
	StartAt  int64  `json:"start_at_ms,omitempty"`
	Interval int64  `json:"interval_ms,omitempty"`
}

func (s *submission) body() []byte {
	b, _ := json.Marshal(s) // cannot fail for these types
	return b
}

// jobTable has the submissions by id, for the executors: an order names the task only.
type jobTable struct {
	mu   sync.Mutex
	jobs map[string]*submission
	done map[string]map[string]bool // tasks that have ended done, by submission
}

func (t *jobTable) put(id string, s *submission) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.jobs == nil {
		t.jobs = make(map[string]*submission)
	}
	t.jobs[id] = s
}

// stepOf returns the step of a task with a name of the form ID.K.STEP.INDEX, or nil.
func (t *jobTable) stepOf(task string) *step {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil
	}
	n, err := strconv.Atoi(parts[2])
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.jobs[parts[0]]
	if err != nil || j == nil || n < 0 || n >= len(j.Steps) {
		return nil
	}
	return &j.Steps[n]
}

// stepName returns the name of the step of a task.
func stepName(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// recordDone notes that a run of a task has ended done.
func (t *jobTable) recordDone(task string) {
	id, _, _ := strings.Cut(task, ".")
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done == nil {
		t.done = make(map[string]map[string]bool)
	}
	if t.done[id] == nil {
		t.done[id] = make(map[string]bool)
	}
	t.done[id][task] = true
}

// unfinished reports whether a task of a submission without occurrences has not
// ended done.
func (t *jobTable) unfinished(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	tasks := 0
	for i := range t.jobs[id].Steps {
		tasks += t.jobs[id].Steps[i].Count
	}
	return len(t.done[id]) < tasks
}
