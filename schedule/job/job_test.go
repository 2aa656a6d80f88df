package job

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

const testServiceText = `
version: 1
capacity: {cpu: 100000, memory: 100000}
teams:
- {name: marts, quota: {cpu: 50000, memory: 50000}}
- {name: farms, quota: {cpu: 50000, memory: 50000}}
kinds:
- {name: report, team: marts, class: batch, resources: {cpu: 1000, memory: 1000}}
`

// Guards against accepting a submission that can never run or that names an
// unknown team or kind, and against refusing one without the verdict
// DidNotRun.
func TestCheck(t *testing.T) {
	text, err := service.Parse([]byte(testServiceText))
	if err != nil {
		t.Fatal(err)
	}
	workers := []unit.Resources{{CPU: 4000, Memory: 2000}, {CPU: 2000, Memory: 8000, Accelerators: 2}}
	good := Spec{ID: "a", Team: "marts", Kind: "report", Tasks: 1}
	tests := map[string]struct {
		change  func(*Spec)
		workers []unit.Resources
		ok      bool
		retry   bool
	}{
		"valid":                  {change: func(*Spec) {}, ok: true},
		"size in the submission": {change: func(s *Spec) { s.Size = unit.Resources{CPU: 2000, Memory: 8000, Accelerators: 2} }, ok: true},
		"no id":                  {change: func(s *Spec) { s.ID = "" }},
		"no tasks":               {change: func(s *Spec) { s.Tasks = 0 }},
		"too many tasks":         {change: func(s *Spec) { s.Tasks = MaxTasks + 1 }},
		"negative tasks":         {change: func(s *Spec) { s.Tasks = -1 }},
		"negative size":          {change: func(s *Spec) { s.Size = unit.Resources{CPU: -1, Memory: 5} }},
		"zero processor":         {change: func(s *Spec) { s.Size = unit.Resources{Memory: 5} }},
		"negative time":          {change: func(s *Spec) { s.ExpectedRunTime = -1 }},
		"fits no single worker":  {change: func(s *Spec) { s.Size = unit.Resources{CPU: 4000, Memory: 8000} }},
		"too many accelerators":  {change: func(s *Spec) { s.Size = unit.Resources{CPU: 1, Memory: 1, Accelerators: 3} }},
		"unknown team":           {change: func(s *Spec) { s.Team = "x" }},
		"kind of another team":   {change: func(s *Spec) { s.Team = "farms" }},
		"unknown kind":           {change: func(s *Spec) { s.Kind = "x" }},
		"no worker known":        {change: func(*Spec) {}, workers: []unit.Resources{}, retry: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, ws := good, workers
			tc.change(&s)
			if tc.workers != nil {
				ws = tc.workers
			}
			_, err := Check(s, text, ws)
			is.Equal(err == nil, tc.ok)
			if tc.ok {
				return
			}
			is.Equal(verdict.Of(err), verdict.DidNotRun)
			is.Equal(err.(*verdict.Error).RetryAfter > 0, tc.retry)
		})
	}
}

// Guards against two outcomes of one job or task. In any order of cancel,
// start, finish, fail and evict, the first end stays, every change is an
// allowed transition, and applying a record again changes nothing.
func TestApplyIsIdempotentAndFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tab Tables
		tab.Apply(Submitted{Header: Header{Epoch: 1, Job: "a"}, Spec: Spec{ID: "a", Tasks: 2}})
		var seen []Record
		for range rapid.IntRange(1, 25).Draw(t, "records") {
			h := Header{
				Epoch: unit.Epoch(rapid.IntRange(1, 2).Draw(t, "epoch")), Job: "a",
				Task: TaskID("a", rapid.IntRange(0, 1).Draw(t, "task")), Attempt: unit.Attempt(rapid.IntRange(1, 4).Draw(t, "attempt")),
			}
			r := []Record{
				Started{Header: h, Worker: "w"},
				Started{Header: h, Worker: "v", Speculative: true},
				Evicted{Header: h, Counted: true},
				Finished{Header: h},
				Failed{Header: h, Worker: "w"},
				Failed{Header: h, Worker: "v", Final: true},
				Cancelled{Header: h},
				Impossible{Header: h},
				Checkpointed{Header: h, Checkpoint: "c", Progress: 0.5},
			}[rapid.IntRange(0, 8).Draw(t, "kind")]
			if rapid.IntRange(0, 9).Draw(t, "fence") == 0 {
				tab.Fence(2)
			}
			job, before := *tab.Jobs.Get("a"), *tab.Tasks.Get(h.Task)
			changed := tab.Apply(r)
			after := *tab.Tasks.Get(h.Task)
			if changed && (h.Epoch < tab.Epoch || job.State.Ended()) {
				t.Fatalf("%T of epoch %d changed a job in state %s", r, h.Epoch, job.State)
			}
			if before.State != after.State && !CanTransition(before.State, after.State) {
				t.Fatalf("%T changed state %s to %s", r, before.State, after.State)
			}
			if again := tab.Apply(r); again {
				t.Fatalf("%T changed the tables when applied again", r)
			}
			seen = append(seen, r)
		}
		if end := tab.Jobs.Get("a").State; end.Ended() {
			for _, r := range seen {
				tab.Apply(r)
			}
			if got := tab.Jobs.Get("a").State; got != end {
				t.Fatalf("job changed from %s to %s", end, got)
			}
		}
	})
}

// Guards against a second run of a finished task. The journal lacks the
// start of an adopted attempt that finished, and a start with a higher
// number follows its end.
func TestFinishedWithoutItsStart(t *testing.T) {
	is := is.New(t)
	var tab Tables
	tab.Apply(Submitted{Header: Header{Epoch: 1, Job: "a"}, Spec: Spec{ID: "a", Tasks: 1}})
	h := Header{Epoch: 4, Job: "a", Task: TaskID("a", 0), Attempt: 65544}
	is.True(tab.Apply(Finished{Header: h}))
	is.Equal(tab.Jobs.Get("a").State, StateFinished)
	h.Attempt = 196609
	is.Equal(tab.Apply(Started{Header: h, Worker: "w"}), false)
	is.Equal(tab.Tasks.Get(h.Task).State, StateFinished)
}

// Guards against a move that takes effect twice, or whose writer was no
// longer the owner.
func TestMove(t *testing.T) {
	tests := map[string]struct {
		fence, epoch unit.Epoch
		want         bool
	}{
		"owner":        {fence: 2, epoch: 2, want: true},
		"former owner": {fence: 3, epoch: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var from, to Tables
			from.Apply(Submitted{Header: Header{Epoch: 2, Job: "a"}, Spec: Spec{ID: "a", Tasks: 2}})
			from.Tasks.Get("a/0").InQueue = true
			from.Fence(tc.fence)
			m := Moved{Header: Header{Epoch: tc.epoch, Job: "a"}, To: "selkirk"}
			is.Equal(Move(&from, &to, m), tc.want)
			is.Equal(Move(&from, &to, m), false)
			is.Equal(to.Tasks.Len() == 2, tc.want)
			is.True(!tc.want || !to.Tasks.Get("a/0").InQueue) // otherwise the new home never queues it
			is.Equal(from.Jobs.Len() == 0, tc.want)
		})
	}
}
