package soak

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/group"
	"mimosadock/schedule/unit"
	"mimosadock/standin/fleet"
)

const (
	processCount      = 4
	executorCount     = 8
	completionTimeout = 60 * time.Second // from the last fault to the completion of all batch jobs
	calmSpan          = 10 * time.Second // after the last fault, more than maxRestart
	taskDuration      = 120 * time.Millisecond
	checkInterval     = 100 * time.Millisecond
	processExit       = 10 * time.Second // bounds the wait for a process after SIGTERM
	startupSpan       = 3 * time.Second  // without faults, until the processes have divided the shards

	// All tasks have one size, so that maxRuns is the capacity of an executor.
	taskSize = `"cpu":2000,"mem_mb":100,"estimated_ms":100`
	maxRuns  = 4

	shardCount          = 2
	maxOrderDelay       = 2 * time.Second
	maxLease            = 6 * time.Second // max_hold_ms in the settings of the processes
	concurrentScenarios = 5
)

// dataCentres are those of the executors.
var dataCentres = [...]string{"a", "b"}

// running bounds the scenarios of all tests that play at a time.
var running = make(chan struct{}, concurrentScenarios)

// scenario is a run of the scheduler processes under the faults of a seed.
type scenario struct {
	t          *testing.T
	checker    Checker
	store      *fleet.Store
	processes  []*process
	executors  []*executor
	group      *group.Group
	faultGroup group.Group // ends the faults that have started

	startedAt time.Time

	mu       sync.Mutex
	accepted []string   // ids of the accepted jobs
	removed  []*process // processes that others have replaced
	faultLog []string
}

// executor is a simulated executor behind a proxy. It can crash and restart
// under the same id and address, or leave and be replaced by one with another id.
type executor struct {
	scenario      *scenario
	dataCentre    string
	mu            sync.Mutex
	id            string
	proxy         *Proxy
	instance      *fleet.Executor // nil after a crash
	maxOrderDelay time.Duration   // 0 delays no orders
	rng           *rand.Rand
}

// open starts an instance of the executor unless there is one.
func (e *executor) open() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.instance != nil {
		return
	}
	e.scenario.checker.RecordExecutor(e.id, e.dataCentre, maxRuns, time.Now())
	id := e.id
	e.instance = fleet.NewExecutorWithOptions(e.scenario.store, e.id, "s", fleet.Options{
		Observer:   &e.scenario.checker,
		DataCentre: e.dataCentre,
		OrderDelay: e.orderDelay,
		Perpetual:  e.scenario.checker.IsPerpetual,
		MaxRuns:    maxRuns,
		MaxLease:   maxLease,
		Successor:  func() *fleet.Executor { return e.successor(id) },
		AdvertisedAddress: func(address string) string {
			if e.proxy != nil {
				e.proxy.SetTarget(address)
				return e.proxy.Address()
			}
			p, err := OpenProxy(address)
			if err != nil {
				e.scenario.t.Error(err)
				return address
			}
			e.proxy = p
			return p.Address()
		},
	})
	e.instance.TaskDuration = taskDuration
}

// successor returns the instance if it has the given id, otherwise nil. Orders name
// the id that they are meant for, so that a delayed one may reach it.
func (e *executor) successor(id string) *fleet.Executor {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.id != id {
		return nil
	}
	return e.instance
}

func (e *executor) setMaxOrderDelay(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.maxOrderDelay = d
}

// orderDelay returns the delay of the next order.
func (e *executor) orderDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.maxOrderDelay == 0 || e.rng.Intn(3) > 0 {
		return 0
	}
	return time.Duration(e.rng.Int63n(int64(e.maxOrderDelay)))
}

// crash ends the instance, if there is one, and its connections.
func (e *executor) crash() {
	if instance, proxy := e.take(""); instance != nil {
		proxy.SetTarget("") // another scenario may get the port of the instance
		instance.Close()
		proxy.Reset()
	}
}

// close ends the instance, if there is one, and its proxy.
func (e *executor) close() {
	e.crash()
	e.changeProxy((*Proxy).Close)
}

// leave makes the instance leave the service and reports whether there was one.
// The next instance has the given id.
func (e *executor) leave(next string) bool {
	instance, proxy := e.take(next)
	if instance == nil {
		return false
	}
	instance.Leave()
	proxy.Close()
	return true
}

// take returns the instance and its proxy, if there is one, and removes them. It
// changes the id unless next is empty.
func (e *executor) take(next string) (*fleet.Executor, *Proxy) {
	e.mu.Lock()
	defer e.mu.Unlock()
	instance, proxy := e.instance, e.proxy
	if instance != nil && next != "" {
		e.id, e.proxy = next, nil
	}
	e.instance = nil
	return instance, proxy
}

// name returns the id of the current or next instance.
func (e *executor) name() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

// changeProxy calls f with the proxy, if there is one. It stays over a crash.
func (e *executor) changeProxy(f func(*Proxy)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.proxy != nil {
		f(e.proxy)
	}
}

// newScenario starts a store, the executors and the processes.
func newScenario(t *testing.T, seed int64) *scenario {
	host, err := fleet.ReserveLoopback()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Close)
	s := &scenario{t: t, store: fleet.NewStoreAt(host.IP()), group: group.New(context.Background()), startedAt: time.Now()}
	s.store.Put("keyed.op", "config", fleet.Config(1, "s", "q.example", "/q/"))
	for i := range executorCount {
		e := &executor{scenario: s, dataCentre: dataCentres[i%len(dataCentres)], id: "i-" + strconv.Itoa(i), rng: rand.New(rand.NewSource(seed + int64(i)))}
		e.open()
		s.executors = append(s.executors, e)
	}
	for i := range processCount {
		p, err := newProcess(t, i, s.store.Address())
		if err != nil {
			t.Fatal(err)
		}
		p.start()
		s.processes = append(s.processes, p)
	}
	s.checker.RecordFault()
	s.checker.RecordFaultEnd(time.Now()) // the start of the processes
	return s
}

func (s *scenario) close() {
	s.group.Stop()
	_ = s.group.Wait() // its functions return no error
	for _, p := range s.allProcesses() {
		p.kill()
	}
	for _, e := range s.executors {
		e.close()
	}
	s.store.Close()
}

// randomProcess returns a random process.
func (s *scenario) randomProcess(r *rand.Rand) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[r.Intn(len(s.processes))]
}

// currentProcesses returns the processes that no other one has replaced.
func (s *scenario) currentProcesses() []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.processes)
}

// allProcesses returns all processes, with those that others have replaced.
func (s *scenario) allProcesses() []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Concat(s.processes, s.removed)
}

// injectFault starts a random fault. It returns the name of the fault, the time
// that it must last, and a function that ends it.
func (s *scenario) injectFault(r *rand.Rand) (name string, span time.Duration, end func()) {
	p, e := s.processes[r.Intn(len(s.processes))], s.executors[r.Intn(len(s.executors))]
	span = time.Duration(200+r.Intn(2000)) * time.Millisecond
	switch r.Intn(13) {
	case 0:
		p.signal(syscall.SIGKILL)
		return "kill " + p.name, span / 2, p.start
	case 1:
		p.signal(syscall.SIGTERM)
		return "term " + p.name, 2500 * time.Millisecond, func() { p.awaitExit(processExit); p.start() }
	case 2:
		p.signal(syscall.SIGSTOP)
		return "pause " + p.name, span, func() { p.signal(syscall.SIGCONT) }
	case 3:
		p.storeProxy.SetDropAll(true)
		return "dropped data to and from the store for " + p.name, span, func() { p.storeProxy.ClearFaults(); p.storeProxy.Reset() }
	case 4:
		p.storeProxy.SetDropAnswers(true)
		return "dropped answers of the store for " + p.name, span, func() { p.storeProxy.ClearFaults(); p.storeProxy.Reset() }
	case 5:
		p.storeProxy.Reset()
		return "reset connections to the store for " + p.name, 0, func() {}
	case 6:
		s.store.Down.Store(true)
		return "store down", span, func() { s.store.Down.Store(false) }
	case 7:
		s.store.LoseAnswers.Store(true)
		return "store loses answers", span / 2, func() { s.store.LoseAnswers.Store(false) }
	case 8:
		s.store.Delay.Store(int64(80 * time.Millisecond))
		return "store slow", span, func() { s.store.Delay.Store(0) }
	case 9:
		e.crash()
		return "crash of " + e.name(), span / 2, e.open
	case 10:
		e.changeProxy(func(proxy *Proxy) { proxy.SetDropAll(true) })
		return "dropped data to and from " + e.name(), span, func() { e.changeProxy(func(proxy *Proxy) { proxy.ClearFaults(); proxy.Reset() }) }
	case 11:
		e.changeProxy(func(proxy *Proxy) { proxy.SetDropAnswers(true) })
		return "dropped answers of " + e.name(), span, func() { e.changeProxy(func(proxy *Proxy) { proxy.ClearFaults(); proxy.Reset() }) }
	default:
		e.setMaxOrderDelay(maxOrderDelay)
		return "late orders of " + e.name(), span, func() {
			e.setMaxOrderDelay(0)
			time.Sleep(maxOrderDelay) // until the last order is executed
		}
	}
}

// replaceExecutors makes executors leave one after the other. Each is replaced by
// a new one, mostly of the same shard, so that the other shard loses capacity.
func (s *scenario) replaceExecutors(r *rand.Rand, end time.Time) {
	growing := unit.Shard(r.Intn(shardCount))
	for n := 0; time.Now().Before(end); n++ {
		e, shard := s.executors[r.Intn(len(s.executors))], growing
		if r.Intn(6) == 0 {
			shard = unit.Shard(r.Intn(shardCount))
		}
		name, next := e.name(), newExecutorID(n, shard)
		duration, pause := time.Duration(100+r.Intn(400))*time.Millisecond, time.Duration(r.Intn(400))*time.Millisecond
		if e.leave(next) {
			s.runFault(fmt.Sprintf("replacement of %s by %s of shard %d", name, next, shard), duration, e.open)
		}
		time.Sleep(pause)
	}
}

// restartExecutors makes executors restart one after the other, under their ids and
// addresses, while they carry out orders and their answers are lost.
func (s *scenario) restartExecutors(r *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		e := s.executors[r.Intn(len(s.executors))]
		before, down, after := time.Duration(r.Intn(1000))*time.Millisecond, time.Duration(r.Intn(400))*time.Millisecond, time.Duration(r.Intn(2500))*time.Millisecond
		e.changeProxy(func(p *Proxy) { p.SetDropAnswers(true) })
		s.runFault("restart without answers of "+e.name(), before+down+after, func() {
			e.changeProxy(func(p *Proxy) { p.ClearFaults(); p.Reset() })
		}, func() {
			time.Sleep(before)
			e.crash()
			time.Sleep(down)
			e.open()
		})
		time.Sleep(time.Duration(r.Intn(800)) * time.Millisecond)
	}
}

// newExecutorID returns the id of the nth new executor, which is in the given
// shard.
func newExecutorID(n int, shard unit.Shard) string {
	for i := 0; ; i++ {
		if id := fmt.Sprintf("n-%d-%d", n, i); (dispatch.Layout{Shards: shardCount}).ShardOf(id) == shard {
			return id
		}
	}
}

// runFault records a fault that has started, runs its steps, waits until it has
// lasted for its duration and ends it.
func (s *scenario) runFault(name string, duration time.Duration, end func(), steps ...func()) {
	startedAt := time.Now()
	s.checker.RecordFault()
	s.mu.Lock()
	s.faultLog = append(s.faultLog, fmt.Sprintf("%.1f s: %s for %v", time.Since(s.startedAt).Seconds(), name, duration))
	s.mu.Unlock()
	for _, step := range steps {
		step()
	}
	time.Sleep(time.Until(startedAt.Add(duration)))
	end()
	s.checker.RecordFaultEnd(time.Now())
}

// run submits and queries jobs under faults for the given span. It then ends all
// faults and waits for calmSpan and until all accepted batch jobs are completed.
// It calls check at regular intervals.
func (s *scenario) run(seed int64, span time.Duration, check func(c *Checker, now time.Time)) {
	end := s.startedAt.Add(span)
	callerRNG := rand.New(rand.NewSource(seed))
	s.group.Go("submit", func(ctx context.Context) error {
		for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
			id, r := fmt.Sprintf("%08x%08x", uint32(seed), n), rand.New(rand.NewSource(callerRNG.Int63()))
			s.group.Go("caller", func(ctx context.Context) error {
				s.submitBatchJob(ctx, r, id)
				return nil
			})
			time.Sleep(submitInterval)
		}
		return nil
	})
	var perpetualJobs atomic.Uint32
	for i := range perpetualCallers {
		r := rand.New(rand.NewSource(seed + int64(i)<<32))
		s.group.Go("perpetual caller", func(ctx context.Context) error {
			s.submitPerpetualJobs(ctx, r, end, func() string { return fmt.Sprintf("%08x%08x", uint32(seed), 1<<31+perpetualJobs.Add(1)) })
			return nil
		})
	}
	s.startChecks(seed, check)
	time.Sleep(startupSpan)
	s.faultGroup.Go("replace", func(context.Context) error {
		s.replaceExecutors(rand.New(rand.NewSource(seed+3)), end)
		return nil
	})
	s.faultGroup.Go("restart", func(context.Context) error {
		s.restartExecutors(rand.New(rand.NewSource(seed+4)), end)
		return nil
	})
	s.injectFaults(rand.New(rand.NewSource(seed+2)), end)
	s.endFaults()
	s.waitForCompletion(calmSpan)
}

// injectFaults starts faults that overlap, until the end.
func (s *scenario) injectFaults(r *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		name, duration, endFault := s.injectFault(r)
		s.faultGroup.Go("fault", func(context.Context) error {
			s.runFault(name, duration, endFault)
			return nil
		})
		time.Sleep(time.Duration(100+r.Intn(700)) * time.Millisecond)
	}
}

// startChecks calls check at regular intervals and queries the states of random
// jobs.
func (s *scenario) startChecks(seed int64, check func(c *Checker, now time.Time)) {
	s.group.Go("check", func(ctx context.Context) error {
		for ctx.Err() == nil {
			check(&s.checker, time.Now())
			time.Sleep(checkInterval)
		}
		return nil
	})
	queryRNG := rand.New(rand.NewSource(seed + 1))
	s.group.Go("query", func(ctx context.Context) error {
		for ctx.Err() == nil {
			if id, ok := s.randomAcceptedJob(queryRNG); ok {
				s.queryState(ctx, s.randomProcess(queryRNG), id)
			}
			time.Sleep(queryInterval)
		}
		return nil
	})
}

// endFaults waits for the ends of the faults and starts the processes that have
// ended.
func (s *scenario) endFaults() {
	_ = s.faultGroup.Wait() // its functions return no error
	for _, p := range s.currentProcesses() {
		p.signal(syscall.SIGCONT)
		p.start()
	}
	s.checker.RecordFault()
	s.checker.RecordFaultEnd(time.Now()) // the start of processes that had ended
}

// waitForCompletion waits for the given span of calm and until every accepted
// batch job is reported as completed or a violation is found. It fails the test
// after completionTimeout.
func (s *scenario) waitForCompletion(calm time.Duration) {
	calmEnd, deadline := time.Now().Add(calm), time.Now().Add(completionTimeout)
	for time.Now().Before(calmEnd) || len(s.checker.UnfinishedJobs()) > 0 && len(s.checker.Violations()) == 0 {
		if len(s.checker.UnfinishedJobs()) > 0 && time.Now().After(deadline) {
			s.t.Errorf("LOST: %d accepted jobs are not completed %v after the last fault: %.5v", len(s.checker.UnfinishedJobs()), completionTimeout, s.checker.UnfinishedJobs())
			return
		}
		for _, id := range s.checker.UnfinishedJobs() {
			s.queryState(s.group.Context(), s.currentProcesses()[0], id)
		}
		time.Sleep(200 * time.Millisecond)
		for _, p := range s.currentProcesses() {
			if !p.isRunning() {
				s.runFault("late end of "+p.name, 0, p.start) // by an earlier SIGTERM
			}
		}
	}
}

// envInt returns the value of an environment variable, or the default if it is
// not a number.
func envInt(name string, fallback int64) int64 {
	n, err := strconv.ParseInt(os.Getenv(name), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

// seeds are the seeds of scenarios that have failed before, by the cause of the
// failure.
type seeds map[string][]int64

// with returns the seeds together with the given number of seeds from first on.
func (s seeds) with(first, count int64) map[int64]bool {
	all := make(map[int64]bool)
	for _, list := range s {
		for _, seed := range list {
			all[seed] = true
		}
	}
	for i := range count {
		all[first+i] = true
	}
	return all
}

// Guards against jobs that are lost, run twice or are reported in a wrong
// state, and against tasks that run on after a cancellation. Processes,
// executors, the store and their connections fail in overlapping series, and the
// [Checker] reports violations.
func TestDays(t *testing.T) {
	playDays(t, seeds{"replaced owner answered that an accepted job is unknown": {120}}, (*Checker).CheckStops)
}

// Guards against tasks of perpetual jobs that do not run again after faults
// although executors have room for them.
func TestRestartsAfterDays(t *testing.T) {
	playDays(t, seeds{
		"tasks waited beside free executors of another shard":               {4, 5, 6, 120},
		"new owner waited for leases of executors that have left before it": {4, 6, 7, 8, 9, 12, 13, 14, 15, 16, 120},
	}, (*Checker).CheckRestarts)
}

// playDays runs the scenarios of the seeds that have failed before and of those
// of the environment. It calls check at regular intervals.
func playDays(t *testing.T, failed seeds, check func(c *Checker, now time.Time)) {
	span := time.Duration(envInt("MIMOSA_SOAK_MS", 9000)) * time.Millisecond
	t.Parallel()
	for seed := range failed.with(envInt("MIMOSA_FIRST_SEED", 1), envInt("MIMOSA_SOAK_SEEDS", 2)) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			s := newScenario(t, seed)
			defer s.close()
			s.run(seed, span, check)
			s.report(seed)
		})
	}
}

// report fails the test if there are violations and logs them.
func (s *scenario) report(seed int64) {
	for _, v := range s.checker.Violations() {
		s.t.Error(v)
	}
	s.t.Logf("%d accepted jobs", len(s.accepted))
	if s.t.Failed() {
		s.saveOutput(seed)
	}
}

// saveOutput ends the processes of a failed scenario and logs its faults. It
// writes the output of the processes to a folder that is not removed.
func (s *scenario) saveOutput(seed int64) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-seed-%d-", seed))
	if err != nil {
		s.t.Log(err)
		return
	}
	for _, p := range s.allProcesses() {
		p.kill()
		if err := os.WriteFile(dir+"/"+p.name+".log", p.output.Bytes(), 0o600); err != nil {
			s.t.Log(err)
		}
	}
	s.t.Logf("faults of seed %d:", seed)
	for _, entry := range s.faultLog {
		s.t.Log(entry)
	}
	s.t.Logf("output of the processes is in %s", dir)
}
