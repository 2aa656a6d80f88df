package worker_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/job"
	"mimosadock/schedule/member"
	"mimosadock/schedule/placement"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/work"
	standin "mimosadock/standin/worker"
)

// cluster is a board with workers of 4 cores. The journal and the workers answer
// at once.
type cluster struct {
	*is.I
	clock    clock.Manual
	sim      standin.Simulation
	agents   standin.Agents
	board    *work.Board
	profiles map[unit.Task]standin.TaskProfile
	list     []member.Listing
}

func newCluster(t *testing.T, workers int) *cluster {
	s := &cluster{I: is.New(t), profiles: map[unit.Task]standin.TaskProfile{}}
	s.clock.Set(1000)
	s.sim = standin.Simulation{Clock: &s.clock, CheckpointTime: clock.Second, Profile: func(t unit.Task, _ unit.Kind) standin.TaskProfile {
		if profile, ok := s.profiles[t]; ok {
			return profile
		}
		return standin.TaskProfile{Usage: unit.Resources{CPU: 1000, Memory: 1000}, RunTime: 20 * clock.Second}
	}}
	for i := range workers {
		w := standin.New(&s.sim, unit.Worker(fmt.Sprintf("10.0.2.%d:7000", i+1)), unit.Resources{CPU: 4000, Memory: 8000})
		s.agents.Add(w)
		s.list = append(s.list, member.Listing{
			Address: string(w.ID), DataCentre: home, Role: member.RoleWorker, Rack: unit.Rack(fmt.Sprint(i % 2)), Capacity: w.Capacity,
		})
	}
	s.startOwner(1, nil, -clock.Millis(clock.Hour))
	return s
}

// startOwner replaces the board by that of a new owner with epoch e. If
// previous is not nil, the new board has the submissions of previous. The rights
// of former owners end at formerOwnersEndAt.
func (s *cluster) startOwner(e unit.Epoch, previous *work.Board, formerOwnersEndAt clock.Millis) {
	s.board = &work.Board{Home: home, Policies: placement.Default()}
	barn := newKind("barn", service.Batch, 1000, 3*clock.Second, false)
	barn.Team = "farms"
	s.board.SetText(parseKinds([]service.Kind{
		barn,
		newKind("lookup", service.LatencyCritical, 2000, 0, false),
		newKind("feed", service.Standing, 1000, 0, false),
		newKind("plan", service.Batch, 1000, 3*clock.Second, false),
		newKind("scan", service.Batch, 1000, 0, true),
	}))
	if previous != nil {
		for id, j := range previous.Jobs.Jobs.All() {
			s.board.Jobs.Apply(job.Submitted{Header: job.Header{Epoch: 1, Job: id}, Spec: j.Spec, Terms: j.Terms})
		}
	}
	s.board.SetWorkers(s.list)
	s.board.SetAuthority(s.clock.Now(), work.Authority{IsOwner: true, Epoch: e, AcceptUntil: clock.Never, RunUntil: clock.Never, FormerOwnersEndAt: formerOwnersEndAt})
}

func (s *cluster) submit(id unit.Job, k unit.Kind, tasks int) {
	_, err := s.board.Submit(s.clock.Now(), job.Spec{ID: id, Team: "marts", Kind: k, Tasks: tasks})
	s.NoErr(err)
}

func (s *cluster) run(span clock.Span) {
	for end := s.clock.Now().Add(span); s.clock.Now() < end; s.clock.Advance(tickInterval) {
		runTick(s.board, &s.agents, s.clock.Now())
	}
}

func (s *cluster) task(j unit.Job, i int) *job.Task { return s.board.Jobs.Tasks.Get(job.TaskID(j, i)) }
func (s *cluster) state(j unit.Job) job.State       { return s.board.Jobs.Jobs.Get(j).State }

// Guards against decisions of the board that break the rule in the name of a
// case. Each case leads a small cluster into contention for resources, a failure
// of a worker or a change of owner.
func TestScenarios(t *testing.T) {
	tests := map[string]struct {
		workers int
		run     func(s *cluster)
	}{
		"throttling comes before eviction": {1, func(s *cluster) {
			s.submit("p", "plan", 4)
			s.run(5 * clock.Second)
			s.submit("l", "lookup", 1)
			s.run(3 * clock.Second)
			s.Equal(s.task("l", 0).State, job.StateRunning)
			s.Equal(s.board.Count.Evictions, int64(0))
			s.True(s.board.Count.Throttles > 0)
		}},
		"eviction resumes from the checkpoint": {1, func(s *cluster) {
			s.board.Policies.Throttle = false
			s.submit("p", "plan", 4)
			s.run(8 * clock.Second)
			s.submit("l", "lookup", 1)
			s.run(3 * clock.Second)
			s.Equal(s.board.Count.Evictions, int64(2))
			s.run(60 * clock.Second)
			s.Equal(s.state("p"), job.StateFinished)
			for i := range 4 {
				k := s.task("p", i)
				s.True(k.Attempt == 1 || k.Saved > 0)
			}
		}},
		"evictions stay within the budget": {1, func(s *cluster) {
			s.board.Policies.Throttle = false
			s.submit("p", "plan", 4)
			s.profiles["p/0"] = standin.TaskProfile{RunTime: clock.Hour}
			for i := range 6 {
				s.run(20 * clock.Second)
				s.submit(unit.Job(fmt.Sprint("l", i)), "lookup", 2)
			}
			s.True(s.board.Jobs.Jobs.Get("p").Evictions <= placement.DefaultEvictionBudget+1) // a single placement may evict two tasks
		}},
		"standing work restarts and counts its gap": {2, func(s *cluster) {
			s.profiles["f/0"] = standin.TaskProfile{}
			s.submit("f", "feed", 1)
			s.run(5 * clock.Second)
			s.agents.Workers[s.task("f", 0).Worker].Kill()
			s.run(45 * clock.Second)
			s.Equal(s.task("f", 0).State, job.StateRunning)
			v := s.board.View(s.clock.Now())
			s.Equal(v.Standing[0].Interruptions, 1)
			s.True(v.Standing[0].InterruptedTime >= 0)
		}},
		"a broken worker is quarantined and no job fails": {3, func(s *cluster) {
			for w := range s.agents.Workers {
				s.agents.Workers[w].Faults.FailAll = w == "10.0.2.1:7000"
			}
			s.submit("p", "plan", 12)
			s.submit("s", "scan", 12)
			s.run(4 * clock.Minute)
			s.Equal(s.state("p"), job.StateFinished)
			s.Equal(s.state("s"), job.StateFinished)
			s.True(s.board.Count.Quarantines > 0)
		}},
		"a job fails after failures on two workers": {3, func(s *cluster) {
			s.submit("s", "scan", 4)
			s.profiles["p/0"] = standin.TaskProfile{Usage: unit.Resources{CPU: 1000}, RunTime: 4 * clock.Second, Fails: true}
			s.run(30 * clock.Second)
			s.submit("p", "plan", 1)
			s.run(clock.Minute)
			s.Equal(s.state("p"), job.StateFailed)
			s.True(len(s.task("p", 0).FailedOn) >= 2)
		}},
		"a straggler is moved through a checkpoint": {2, func(s *cluster) {
			s.profiles["p/5"] = standin.TaskProfile{Usage: unit.Resources{CPU: 1000}, RunTime: 5 * clock.Minute}
			s.submit("p", "plan", 6)
			s.run(2 * clock.Minute)
			s.Equal(s.board.Count.Migrations, int64(1))
			s.True(s.task("p", 5).Saved > 0)
			s.Equal(s.board.Count.SpeculativeAttempts, int64(0))
		}},
		"a straggler that is safe to run twice gets a spare": {2, func(s *cluster) {
			s.profiles["s/5"] = standin.TaskProfile{Usage: unit.Resources{CPU: 1000}, RunTime: 5 * clock.Minute}
			s.submit("s", "scan", 6)
			s.run(7 * clock.Minute)
			s.Equal(s.board.Count.SpeculativeAttempts, int64(1))
			s.Equal(s.state("s"), job.StateFinished)
			s.Equal(s.board.Workers.Allocations.Len(), 0) // the other attempt was stopped
		}},
		"latency-critical work is spread over racks": {4, func(s *cluster) {
			s.submit("l", "lookup", 4)
			s.run(2 * clock.Second)
			racks := map[unit.Rack]int{}
			for _, h := range s.board.Workers.Allocations.All() {
				racks[s.board.Workers.Workers.Get(h.Worker).Rack]++
			}
			s.Equal(racks, map[unit.Rack]int{"0": 2, "1": 2})
		}},
		"a new owner adopts running attempts and waits before it starts other tasks": {2, func(s *cluster) {
			s.submit("f", "feed", 1)
			s.profiles["f/0"] = standin.TaskProfile{}
			s.run(3 * clock.Second)
			old := s.board
			s.submit("p", "plan", 1) // accepted but not started
			_ = old.TakeRecords(nil)
			s.startOwner(2, old, s.clock.Now())
			s.run(5 * clock.Second)
			s.Equal(s.task("f", 0).State, job.StateRunning)
			s.Equal(s.task("f", 0).Attempt, unit.Attempt(1))
			s.Equal(s.task("p", 0).State, job.StateWaiting)
			s.submit("n", "plan", 1) // a new job does not wait
			s.run(2 * clock.Second)
			s.Equal(s.task("n", 0).State.Active(), true)
			s.run(30 * clock.Second)
			s.True(s.task("p", 0).Attempt > 1<<16) // the owner with epoch 2 numbers its attempts from 1<<16 + 1
		}},
		"borrowed quota is returned on demand": {1, func(s *cluster) {
			s.board.Teams.Teams.Ensure("marts").Quota = unit.Resources{CPU: 2000, Memory: 2000}
			s.board.Teams.Teams.Ensure("farms").Quota = unit.Resources{CPU: 2000, Memory: 2000}
			for i := range 4 {
				s.profiles[job.TaskID("p", i)] = standin.TaskProfile{Usage: unit.Resources{CPU: 1000}, RunTime: clock.Hour}
			}
			s.submit("p", "plan", 4) // borrows two cores
			s.run(10 * clock.Second)
			s.Equal(s.board.Workers.Allocations.Len(), 4)
			_, err := s.board.Submit(s.clock.Now(), job.Spec{ID: "b", Team: "farms", Kind: "barn", Tasks: 2})
			s.NoErr(err)
			s.run(20 * clock.Second)
			s.Equal(s.board.Teams.Teams.Get("farms").Allocated.CPU, unit.MilliCPU(2000))
			s.Equal(s.board.Teams.Teams.Get("marts").Allocated.CPU, unit.MilliCPU(2000)) // its own quota
			s.Equal(s.board.Count.Evictions, int64(0))                                   // tasks leave through checkpoints
		}},
		"work without a large enough worker is impossible": {1, func(s *cluster) {
			s.submit("f", "feed", 5)
			s.profiles["f/0"] = standin.TaskProfile{}
			s.run(2 * clock.Second)
			s.submit("l", "lookup", 1)
			s.board.Workers.Workers.Get("10.0.2.1:7000").Capacity.CPU = 1000
			s.agents.Workers["10.0.2.1:7000"].Capacity.CPU = 1000
			s.run(90 * clock.Second)
			s.Equal(s.state("l"), job.StateImpossible)
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { tc.run(newCluster(t, tc.workers)) })
	}
}
