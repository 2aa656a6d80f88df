package record

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

// runningJob returns a job in whose record each task takes as much as it can.
func runningJob(tasks, executors int, checkpoint unit.Checkpoint) *dispatch.Job {
	j := &dispatch.Job{Queue: "q", State: dispatch.JobRunning, AcceptedAt: 5, Occurrences: []dispatch.Occurrence{{Steps: []dispatch.StepState{{}}}}}
	for n := range tasks {
		j.Occurrences[0].Steps[0].Tasks = append(j.Occurrences[0].Steps[0].Tasks, dispatch.Task{
			State: dispatch.TaskRunning, Run: 70_000, Executor: unit.Executor(fmt.Sprintf("i-%012x", n%executors)), Incarnation: 1 << 40, Checkpoint: checkpoint, Failures: 300,
		})
	}
	return j
}

// Guards against a record that the store refuses for its size, and against parts of
// an earlier value that are read as those of a later one.
func TestLargeValuesAreStoredInParts(t *testing.T) {
	limits := Limits{Record: 300, Request: 1 << 20}
	spec := &dispatch.Spec{ID: "j", Payload: strings.Repeat("p", 1000), Steps: []dispatch.Step{{Count: 100}}}
	for name, tasks := range map[string][]int{
		"one part": {1}, "several parts": {100}, "grows": {1, 50, 300}, "shrinks": {300, 50, 30}, "fits again": {300, 1}, "and again not": {300, 1, 100},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var changes []dispatch.Change
			for i, n := range tasks {
				changes = append(changes, dispatch.Change{ID: "j", Job: runningJob(n, 3, "c")})
				if i == 0 {
					changes[0].Spec = spec
				}
			}
			set := storeAndLoad(is, limits, changes)
			jobs := set.Jobs()
			is.Equal(len(jobs), 1)
			is.Equal(jobs[0].Job, *changes[len(changes)-1].Job)
			is.Equal(jobs[0].Spec, spec)
			// A successor removes the parts that the former owner has stored.
			w := NewWriter(limits, set)
			g, err := w.Encode(&dispatch.Change{ID: "j", Drop: true})
			is.NoErr(err)
			removed := 0
			for _, r := range g.Records {
				is.Equal(len(r.Value), 0)
				if strings.HasPrefix(r.Key, partPrefix+statePrefix) {
					removed++
				}
			}
			is.Equal(removed == 0, tasks[len(tasks)-1] == 1)
		})
	}
}

// Guards against a value that is taken for whole although one of its parts is
// missing.
func TestMissingPartsAreReported(t *testing.T) {
	is := is.New(t)
	w := NewWriter(Limits{Record: 300}, new(Set))
	g, err := w.Encode(&dispatch.Change{ID: "j", Job: runningJob(100, 3, "")})
	is.NoErr(err)
	var set Set
	for _, r := range g.Records[1:] {
		is.NoErr(set.Add(r))
	}
	is.True(set.Join() != nil)
	is.Equal(len(set.Jobs()), 0)
}

// Guards against a job that is accepted although its records don't fit into an
// append in each state that it can reach.
func TestAcceptedJobsCanBeStored(t *testing.T) {
	for name, c := range map[string]struct {
		tasks    int
		accepted bool
	}{"small": {10, true}, "46,800": {46_800, true}, "100,000": {100_000, true}, "200,000": {200_000, false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const body = 100 << 10
			spec := &dispatch.Spec{ID: "j", Payload: strings.Repeat("p", body), Steps: []dispatch.Step{{Count: c.tasks / 10}}, Repeat: 10}
			err := Limits{}.CheckSize(spec, body)
			is.Equal(err == nil, c.accepted)
			if !c.accepted {
				is.True(strings.Contains(err.Error(), fmt.Sprintf("at most %d", defaultRequestLimit))) // names the bound
				return
			}
			w := NewWriter(Limits{}, new(Set))
			g, err := w.Encode(&dispatch.Change{ID: "j", Job: runningJob(c.tasks, 5000, "0123456789abcdef0123456789abcdef"), Spec: spec})
			is.NoErr(err)
			is.True(w.Limits.Fits(&g))
		})
	}
}

// Guards against appends above the limit of the store, and against records of one
// job in two appends.
func TestBatches(t *testing.T) {
	group := func(size int) Group {
		return Group{Records: []dispatch.Record{{Key: "k", Value: make([]byte, size-recordOverhead-1)}}}
	}
	for name, c := range map[string]struct{ sizes, want []int }{
		"none": {nil, nil}, "one": {[]int{100}, []int{1}}, "exact": {[]int{600, 400}, []int{2}}, "over": {[]int{600, 401}, []int{1, 1}},
		"too large": {[]int{10, 2000, 10}, []int{1, 1, 1}}, "many": {[]int{300, 300, 300, 300, 300}, []int{3, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var groups []Group
			for _, n := range c.sizes {
				groups = append(groups, group(n))
			}
			var got []int
			for _, b := range (Limits{Request: 1000}).Batches(groups) {
				got = append(got, len(b))
			}
			is.Equal(got, c.want)
		})
	}
}
