package work

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"mimosadock/replay/invariant"
	"mimosadock/replay/trace"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/placement"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/worker"
)

// small returns a trace of batch jobs at three workers, with the given other
// events.
func small(others ...trace.Event) *trace.Trace {
	t := &trace.Trace{Header: trace.Header{Length: 5 * clock.Minute}}
	d := &t.Header.Deployment
	d.DataCentres = []unit.DataCentre{"kelso"}
	for _, a := range []unit.Worker{"10.0.0.1:90", "10.0.0.2:90", "10.0.0.3:90"} {
		d.Workers = append(d.Workers, trace.Worker{Address: a, DataCentre: "kelso", Rack: "kelso-0", Capacity: unit.Resources{CPU: 8000, Memory: 16384}})
	}
	for i, id := range []unit.Job{"a", "b", "c"} {
		size := unit.Resources{CPU: 1000, Memory: 1024}
		t.Events = append(t.Events, trace.Event{At: clock.Millis(i), What: trace.Submit, Job: &trace.Job{
			ID: id, Kind: "report", Team: "marts", Class: service.Batch, DataCentre: "kelso", Tasks: 4,
			Declared: size, True: size, DeclaredRun: clock.Minute, Run: clock.Minute, Checkpoint: 10 * clock.Second,
		}})
	}
	t.Events = append(t.Events, others...)
	return t
}

// broken is a scheme that does something wrong on a tick.
type broken struct {
	Scheme
	world *World
	tick  func(w *World)
	find  Finding
}

func (s *broken) Tick(now clock.Millis) {
	s.Scheme.Tick(now)
	if s.tick != nil {
		s.tick(s.world)
	}
}

func (s *broken) Find(id unit.Task) Finding {
	if s.tick == nil {
		return s.find
	}
	return s.Scheme.Find(id)
}

// again starts the task a/0 once more beside the attempt that runs.
func again(limit unit.MilliCPU) func(w *World) {
	return func(w *World) {
		if w.now != 30_000 {
			return
		}
		for address, r := range w.workers.All() {
			if r.attempts.Get(worker.Ref{Task: "a/0", Attempt: 1}) == nil {
				_ = w.Start(context.Background(), address, worker.Start{
					Command: worker.Command{Epoch: 1, Task: "a/0", Attempt: 2}, Limit: unit.Resources{CPU: limit}, Lease: clock.Minute,
				})
				return
			}
		}
	}
}

// Guards against invariant checks that can't fail: a plain scheme passes the
// traces, and one that breaks a rule is found.
func TestReplayFindsBrokenRules(t *testing.T) {
	down := trace.Event{At: 40_000, What: trace.WorkerDown, Worker: "10.0.0.1:90"}
	tests := map[string]struct {
		trace  *trace.Trace
		broken broken
		want   invariant.Invariant
	}{
		"overfills a worker":     {small(), broken{tick: again(9000)}, invariant.Capacity},
		"runs a task twice":      {small(), broken{tick: again(100)}, invariant.OnePlace},
		"resumes before the end": {small(), broken{tick: again(100)}, invariant.ResumeOnce},
		"forgets evicted work":   {small(down), broken{find: Lost}, invariant.ResumeOnce},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plain := Plain[FirstFit]{Sizes: Declared}
			w := Replay(tc.trace, plain.Open)
			for i := invariant.Capacity; i <= invariant.Adopted; i++ {
				is.Equal(w.Ledger.Count(i), 0)
			}
			is.True(w.Ledger.Checks(tc.want) > 0)
			if tc.broken.tick == nil {
				tc.trace.Header.Length = 45 * clock.Second // before the evicted work starts again
			}
			w = Replay(tc.trace, func(w *World) Scheme {
				s := tc.broken
				s.world, s.Scheme = w, plain.Open(w)
				return &s
			})
			is.True(w.Ledger.Count(tc.want) > 0)
		})
	}
}

// Guards against a driver that loses jobs on the way to the board: all work ends
// while a worker dies.
func TestBoardFinishesWork(t *testing.T) {
	is := is.New(t)
	w := Replay(small(trace.Event{At: 20_000, What: trace.WorkerDown, Worker: "10.0.0.1:90"}), Decided{Policies: placement.Default()}.Open)
	is.Equal(w.Figures().BatchFinished, 12)
	for i := invariant.Capacity; i <= invariant.Adopted; i++ {
		is.Equal(w.Ledger.Count(i), 0)
	}
}
