package soak

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	stopsCalmSpan     = 6 * time.Second  // more than maxLateRunAfterCancel
	maxLongOrderDelay = 10 * time.Second // longer than any lease and the absence of an executor
	cutOffExecutors   = 3
	leavingExecutors  = 4
	minAbsence        = 6 * time.Second // of an executor that comes back: its owner drops the row before
)

// shardPartitions are the partitions of the shards, as in package platform.
var shardPartitions = [shardCount]int{23, 19}

// Guards against tasks that run on after the cancellation of their job, and
// against answers that accepted jobs are unknown. Most jobs are cancelled soon
// after their acceptance, beside one kind of faults.
func TestCancels(t *testing.T) {
	span := time.Duration(envInt("MIMOSA_SOAK_MS", 9000)) * time.Millisecond
	first := envInt("MIMOSA_FIRST_SEED", 1)
	t.Parallel()
	for name, kind := range map[string]struct {
		inject func(s *scenario, r *rand.Rand, end time.Time)
		failed seeds
	}{
		"shards reassigned at once": {inject: (*scenario).reassignShards},
		"shards reassigned without the knowledge of the owner": {(*scenario).reassignShardsOfCutOffOwner, seeds{
			"former owner answered that an accepted job is unknown": {1, 2, 3, 4, 5, 6},
		}},
		"crowds of clients":               {inject: (*scenario).openCrowds},
		"faults beside returning clients": {inject: (*scenario).injectFaultsBesideReturningClients},
		"faults beside large jobs":        {inject: (*scenario).injectFaultsBesideLargeJobs},
		"owner cut off from executors":    {inject: (*scenario).cutOffOwner},
		"owner removed for good":          {inject: (*scenario).removeOwners},
		"late orders reach restarted executors": {(*scenario).restartBesideLateOrders, seeds{
			"late start that nobody had fenced, which is not delivered any more": {1, 2},
		}},
		"late orders reach executors that come back": {(*scenario).removeBesideLateOrders, seeds{
			"token did not rise for an executor whose row was dropped": {1, 3},
		}},
	} {
		for seed := range kind.failed.with(first, envInt("MIMOSA_SOAK_SEEDS", 2)) {
			t.Run(fmt.Sprintf("%s/seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				running <- struct{}{}
				defer func() { <-running }()
				s := newScenario(t, seed)
				defer s.close()
				s.runCancels(seed, span, kind.inject)
				s.report(seed)
			})
		}
	}
}

// runCancels submits and cancels jobs for the given span, beside the faults that
// inject injects until then. It then waits for stopsCalmSpan and until the batch
// jobs that are not cancelled are completed.
func (s *scenario) runCancels(seed int64, span time.Duration, inject func(s *scenario, r *rand.Rand, end time.Time)) {
	end := s.startedAt.Add(span)
	s.group.Go("submit", func(ctx context.Context) error {
		s.submitAndCancelJobs(ctx, seed, end)
		return nil
	})
	s.startChecks(seed, (*Checker).CheckStops)
	time.Sleep(startupSpan)
	inject(s, rand.New(rand.NewSource(seed+2)), end)
	s.endFaults()
	s.waitForCompletion(stopsCalmSpan)
}

// reassignShards makes the store reassign all shards again and again.
func (s *scenario) reassignShards(r *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		s.runFault("reassignment of all shards", 0, s.store.Reassign)
		time.Sleep(time.Duration(200+r.Intn(1000)) * time.Millisecond)
	}
}

// reassignShardsOfCutOffOwner makes the store reassign all shards while an owner
// has no connection to it.
func (s *scenario) reassignShardsOfCutOffOwner(r *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		p, duration := s.randomOwner(r), time.Duration(300+r.Intn(1500))*time.Millisecond
		p.storeProxy.SetDropAll(true)
		s.runFault("reassignment of all shards without connection of "+p.name, duration, func() {
			p.storeProxy.ClearFaults()
			p.storeProxy.Reset()
		}, s.store.Reassign)
		time.Sleep(time.Duration(r.Intn(800)) * time.Millisecond)
	}
}

// cutOffOwner drops the data between an owner and several executors, which the
// other processes reach. In one of two cases the shards are reassigned meanwhile.
func (s *scenario) cutOffOwner(r *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		p, duration := s.randomOwner(r), time.Duration(500+r.Intn(2500))*time.Millisecond
		var names []string
		var cut []*executor
		for _, i := range r.Perm(len(s.executors))[:cutOffExecutors] {
			e := s.executors[i]
			cut, names = append(cut, e), append(names, e.name())
			e.changeProxy(func(proxy *Proxy) { proxy.SetDropFrom(p.pid()) })
		}
		reassigns, before := r.Intn(2) == 0, time.Duration(r.Int63n(int64(duration)))
		s.runFault(fmt.Sprintf("dropped data between %s and %v, reassigned %v", p.name, names, reassigns), duration, func() {
			for _, e := range cut {
				e.changeProxy(func(proxy *Proxy) { proxy.ClearFaults(); proxy.Reset() })
			}
		}, func() {
			time.Sleep(before)
			if reassigns {
				s.store.Reassign()
			}
		})
		time.Sleep(time.Duration(r.Intn(500)) * time.Millisecond)
	}
}

// removeOwners kills owners for good, each while it starts runs, and adds another
// process instead.
func (s *scenario) removeOwners(r *rand.Rand, end time.Time) {
	for n := processCount; time.Now().Before(end); n++ {
		p := s.randomOwner(r)
		s.runFault("removal of "+p.name, 0, func() {
			p.signal(syscall.SIGKILL)
			s.replaceProcess(p, n)
		})
		time.Sleep(time.Duration(1500+r.Intn(2000)) * time.Millisecond)
	}
}

// replaceProcess adds a process instead of one that has ended for good.
func (s *scenario) replaceProcess(p *process, n int) {
	next, err := newProcess(s.t, n, s.store.Address())
	if err != nil {
		s.t.Error(err)
		return
	}
	next.start()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.processes {
		if s.processes[i] == p {
			s.processes[i] = next
			s.removed = append(s.removed, p)
		}
	}
}

// restartBesideLateOrders restarts executors under their ids while orders are
// delayed, some until after the restart. It waits for the last order.
func (s *scenario) restartBesideLateOrders(r *rand.Rand, end time.Time) {
	s.delayOrders(func() {
		for time.Now().Before(end) {
			e := s.executors[r.Intn(len(s.executors))]
			s.runFault("restart of "+e.name(), time.Duration(r.Intn(400))*time.Millisecond, e.open, e.crash)
			time.Sleep(time.Duration(r.Intn(500)) * time.Millisecond)
		}
	})
}

// removeBesideLateOrders makes executors leave one after the other while orders are
// delayed. Each comes back under its id after its owner has dropped its row. It
// waits for the last order.
func (s *scenario) removeBesideLateOrders(r *rand.Rand, end time.Time) {
	s.delayOrders(func() {
		time.Sleep(time.Second) // until there are delayed orders
		for _, i := range r.Perm(len(s.executors))[:leavingExecutors] {
			e, duration := s.executors[i], minAbsence+time.Duration(r.Intn(1000))*time.Millisecond
			if e.leave(e.name()) {
				s.faultGroup.Go("leave", func(context.Context) error {
					s.runFault("removal of "+e.name(), duration, e.open)
					return nil
				})
			}
			time.Sleep(time.Duration(r.Intn(400)) * time.Millisecond)
		}
		time.Sleep(time.Until(end))
	})
}

// delayOrders delays orders of all executors while f runs. It waits for the last
// one.
func (s *scenario) delayOrders(f func()) {
	for _, e := range s.executors {
		e.setMaxOrderDelay(maxLongOrderDelay)
	}
	s.runFault("late orders of all executors", 0, func() {
		for _, e := range s.executors {
			e.setMaxOrderDelay(0)
		}
		time.Sleep(maxLongOrderDelay)
	}, f)
}

// randomOwner returns a random process that owns a shard, or any process if none
// does.
func (s *scenario) randomOwner(r *rand.Rand) *process {
	var owners []*process
	holders := s.store.Owners()
	for _, p := range s.currentProcesses() {
		for _, partition := range shardPartitions {
			if strings.HasPrefix(holders[partition], p.host.IP()+":") {
				owners = append(owners, p)
			}
		}
	}
	if len(owners) == 0 {
		return s.randomProcess(r)
	}
	return owners[r.Intn(len(owners))]
}
