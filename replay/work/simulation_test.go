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

// smallTrace returns a trace with three workers, three batch jobs of four tasks
// each, and the given other events.
func smallTrace(others ...trace.Event) *trace.Trace {
	t := &trace.Trace{Header: trace.Header{Length: 5 * clock.Minute}}
	d := &t.Header.Deployment
	d.DataCentres = []unit.DataCentre{"kelso"}
	for _, a := range []unit.Worker{"10.0.0.1:90", "10.0.0.2:90", "10.0.0.3:90"} {
		d.Workers = append(d.Workers, trace.Worker{Address: a, DataCentre: "kelso", Rack: "kelso-0", Capacity: unit.Resources{CPU: 8000, Memory: 16384}})
	}
	for i, id := range []unit.Job{"a", "b", "c"} {
		size := unit.Resources{CPU: 1000, Memory: 1024}
		t.Events = append(t.Events, trace.Event{At: clock.Millis(i), Type: trace.Submit, Job: &trace.Job{
			ID: id, Kind: "report", Team: "marts", Class: service.Batch, DataCentre: "kelso", Tasks: 4,
			Declared: size, Actual: size, DeclaredRunTime: clock.Minute, RunTime: clock.Minute, CheckpointInterval: 10 * clock.Second,
		}})
	}
	t.Events = append(t.Events, others...)
	return t
}

// faultyScheme wraps a scheme and violates an invariant. It runs tick after each
// tick of the scheme. Without tick, it reports status for every task.
type faultyScheme struct {
	Scheme
	sim    *Simulation
	tick   func(sim *Simulation)
	status TaskStatus
}

func (s *faultyScheme) Tick(now clock.Millis) {
	s.Scheme.Tick(now)
	if s.tick != nil {
		s.tick(s.sim)
	}
}

func (s *faultyScheme) StatusOf(id unit.Task) TaskStatus {
	if s.tick == nil {
		return s.status
	}
	return s.Scheme.StatusOf(id)
}

// startSecondAttempt returns a function that starts a second attempt of the task
// a/0 on another worker while the first attempt runs.
func startSecondAttempt(limit unit.MilliCPU) func(sim *Simulation) {
	return func(sim *Simulation) {
		if sim.now != 30_000 {
			return
		}
		for address, r := range sim.workers.All() {
			if r.attempts.Get(worker.AttemptID{Task: "a/0", Attempt: 1}) == nil {
				_ = sim.Start(context.Background(), address, worker.Start{
					Command: worker.Command{Epoch: 1, Task: "a/0", Attempt: 2}, Limit: unit.Resources{CPU: limit}, Lease: clock.Minute,
				})
				return
			}
		}
	}
}

// Guards against invariant checks that never fail. A baseline passes the traces,
// and the ledger reports a scheme that violates an invariant.
func TestReplayDetectsViolations(t *testing.T) {
	down := trace.Event{At: 40_000, Type: trace.WorkerDown, Worker: "10.0.0.1:90"}
	tests := map[string]struct {
		trace  *trace.Trace
		broken faultyScheme
		want   invariant.Invariant
	}{
		"overfills a worker":     {smallTrace(), faultyScheme{tick: startSecondAttempt(9000)}, invariant.Capacity},
		"runs a task twice":      {smallTrace(), faultyScheme{tick: startSecondAttempt(100)}, invariant.SinglePlacement},
		"resumes before the end": {smallTrace(), faultyScheme{tick: startSecondAttempt(100)}, invariant.ResumeOnce},
		"loses evicted work":     {smallTrace(down), faultyScheme{status: StatusUnknown}, invariant.ResumeOnce},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plain := Baseline[FirstFit]{SizeOf: DeclaredSize}
			sim := Replay(tc.trace, plain.Open)
			for i := invariant.Capacity; i <= invariant.RevisionAdoption; i++ {
				is.Equal(sim.Ledger.ViolationCount(i), 0)
			}
			is.True(sim.Ledger.CheckCount(tc.want) > 0)
			if tc.broken.tick == nil {
				tc.trace.Header.Length = 45 * clock.Second // before the evicted tasks restart
			}
			sim = Replay(tc.trace, func(sim *Simulation) Scheme {
				s := tc.broken
				s.sim, s.Scheme = sim, plain.Open(sim)
				return &s
			})
			is.True(sim.Ledger.ViolationCount(tc.want) > 0)
		})
	}
}

// Guards against a scheme that loses jobs on the way to the board. All tasks
// must finish although a worker fails.
func TestBoardFinishesWork(t *testing.T) {
	is := is.New(t)
	sim := Replay(smallTrace(trace.Event{At: 20_000, Type: trace.WorkerDown, Worker: "10.0.0.1:90"}), BoardScheme{Policies: placement.Default()}.Open)
	is.Equal(sim.Figures().BatchTasksFinished, 12)
	for i := invariant.Capacity; i <= invariant.RevisionAdoption; i++ {
		is.Equal(sim.Ledger.ViolationCount(i), 0)
	}
}
