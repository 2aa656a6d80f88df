package soak

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"mimosadock/schedule/group"
	"mimosadock/standin/fleet"
)

const (
	processCount      = 4
	executorCount     = 8
	completionTimeout = 60 * time.Second // for all jobs to complete after the last fault
	taskDuration      = 120 * time.Millisecond
)

// scenario is a run of the programs under the faults of a seed.
type scenario struct {
	t         *testing.T
	checker   Checker
	store     *fleet.Store
	processes []*process
	executors []*executor
	group     *group.Group
	faults    group.Group

	mu       sync.Mutex
	accepted []string
	faultLog []string
}

// executor is an executor behind a proxy, which crashes and is born again under
// its id.
type executor struct {
	scenario      *scenario
	id            string
	mu            sync.Mutex
	proxy         *Proxy
	instance      *fleet.Executor
	maxOrderDelay time.Duration // of orders, while it lasts
	rng           *rand.Rand
}

func (w *executor) open() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.instance != nil {
		return
	}
	w.instance = fleet.OpenExecutor(w.scenario.store, w.id, "s", fleet.Options{
		Observer:   &w.scenario.checker,
		OrderDelay: w.orderDelay,
		AdvertisedAddress: func(address string) string {
			p, err := OpenProxy(address)
			if err != nil {
				w.scenario.t.Error(err)
				return address
			}
			w.proxy = p
			return p.Address()
		},
	})
	w.instance.TaskDuration = taskDuration
}

// orderDelay returns how late the next order is carried out.
func (w *executor) orderDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.maxOrderDelay == 0 || w.rng.Intn(3) > 0 {
		return 0
	}
	return time.Duration(w.rng.Int63n(int64(w.maxOrderDelay)))
}

func (w *executor) crash() {
	w.mu.Lock()
	instance, proxy := w.instance, w.proxy
	w.instance = nil
	w.mu.Unlock()
	if instance != nil {
		instance.Close()
		proxy.Close()
	}
}

// changeProxy applies a change to the proxy, if the worker lives.
func (w *executor) changeProxy(f func(*Proxy)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.instance != nil {
		f(w.proxy)
	}
}

func newScenario(t *testing.T, seed int64) *scenario {
	d := &scenario{t: t, store: fleet.NewStore(), group: group.New(context.Background())}
	d.store.Put("keyed.op", "config", fleet.Config(1, "s", "q.example", "/q/"))
	for i := range executorCount {
		w := &executor{scenario: d, id: "i-" + strconv.Itoa(i), rng: rand.New(rand.NewSource(seed + int64(i)))}
		w.open()
		d.executors = append(d.executors, w)
	}
	for i := range processCount {
		p := newProcess(t, i, d.store.Address())
		p.start()
		d.processes = append(d.processes, p)
	}
	return d
}

func (d *scenario) close() {
	d.group.Stop()
	_ = d.group.Wait() // callers return no error
	for _, p := range d.processes {
		p.kill()
	}
	for _, w := range d.executors {
		w.crash()
	}
	d.store.Close()
}

// injectFault begins one harm and returns how to end it, its name and how long it
// lasts.
func (d *scenario) injectFault(r *rand.Rand) (name string, span time.Duration, end func()) {
	p, w := d.processes[r.Intn(len(d.processes))], d.executors[r.Intn(len(d.executors))]
	span = time.Duration(200+r.Intn(2000)) * time.Millisecond
	switch r.Intn(13) {
	case 0:
		p.signal(syscall.SIGKILL)
		return "kill " + p.name, span / 2, p.start
	case 1:
		p.signal(syscall.SIGTERM)
		return "term " + p.name, 2500 * time.Millisecond, p.start
	case 2:
		p.signal(syscall.SIGSTOP)
		return "pause " + p.name, span, func() { p.signal(syscall.SIGCONT) }
	case 3:
		p.store.SetDropAll(true)
		return "store silent for " + p.name, span, func() { p.store.ClearFaults(); p.store.Reset() }
	case 4:
		p.store.SetDropAnswers(true)
		return "store's answers cut for " + p.name, span, func() { p.store.ClearFaults(); p.store.Reset() }
	case 5:
		p.store.Reset()
		return "store reset for " + p.name, 0, func() {}
	case 6:
		d.store.Down.Store(true)
		return "store down", span, func() { d.store.Down.Store(false) }
	case 7:
		d.store.Lose.Store(true)
		return "store loses answers", span / 2, func() { d.store.Lose.Store(false) }
	case 8:
		d.store.Delay.Store(int64(80 * time.Millisecond))
		return "store slow", span, func() { d.store.Delay.Store(0) }
	case 9:
		w.crash()
		return "crash of " + w.id, span / 2, w.open
	case 10:
		w.changeProxy(func(x *Proxy) { x.SetDropAll(true) })
		return "silent " + w.id, span, func() { w.changeProxy(func(x *Proxy) { x.ClearFaults(); x.Reset() }) }
	case 11:
		w.changeProxy(func(x *Proxy) { x.SetDropAnswers(true) })
		return "answers cut of " + w.id, span, func() { w.changeProxy(func(x *Proxy) { x.ClearFaults(); x.Reset() }) }
	default:
		w.mu.Lock()
		w.maxOrderDelay = 2 * time.Second
		w.mu.Unlock()
		return "late orders of " + w.id, span, func() {
			w.mu.Lock()
			w.maxOrderDelay = 0
			w.mu.Unlock()
		}
	}
}

// run lets callers work under faults for a span, ends all faults, and waits
// until all accepted jobs are completed.
func (d *scenario) run(seed int64, span time.Duration) {
	began := time.Now()
	until := began.Add(span)
	callers := rand.New(rand.NewSource(seed))
	d.group.Go("submit", func(ctx context.Context) error {
		for n := 0; time.Now().Before(until) && ctx.Err() == nil; n++ {
			id, r := fmt.Sprintf("%08x%08x", uint32(seed), n), rand.New(rand.NewSource(callers.Int63()))
			d.group.Go("caller", func(ctx context.Context) error {
				d.submitJob(ctx, r, id)
				return nil
			})
			time.Sleep(submitInterval)
		}
		return nil
	})
	asker := rand.New(rand.NewSource(seed + 1))
	d.group.Go("ask", func(ctx context.Context) error {
		for ctx.Err() == nil {
			if id, ok := d.randomAcceptedJob(asker); ok {
				d.queryState(ctx, d.processes[asker.Intn(len(d.processes))], id)
			}
			time.Sleep(queryInterval)
		}
		return nil
	})
	time.Sleep(3 * time.Second) // a calm start; the first layout takes as long
	faults := rand.New(rand.NewSource(seed + 2))
	for time.Now().Before(until) {
		name, lasts, end := d.injectFault(faults)
		d.faultLog = append(d.faultLog, fmt.Sprintf("%.1f s: %s for %v", time.Since(began).Seconds(), name, lasts))
		d.faults.Go("fault", func(context.Context) error {
			time.Sleep(lasts)
			end()
			return nil
		})
		time.Sleep(time.Duration(100+faults.Intn(700)) * time.Millisecond)
	}
	_ = d.faults.Wait() // the ends of faults return no error
	for _, p := range d.processes {
		p.signal(syscall.SIGCONT)
		p.start()
	}
	d.waitForCompletion()
}

// waitForCompletion waits until every accepted job is shown as completed.
func (d *scenario) waitForCompletion() {
	deadline := time.Now().Add(completionTimeout)
	for len(d.checker.UnfinishedJobs()) > 0 && len(d.checker.Violations()) == 0 {
		if time.Now().After(deadline) {
			d.t.Errorf("LOST: %d accepted jobs are not completed %v after the last fault: %.5v", len(d.checker.UnfinishedJobs()), completionTimeout, d.checker.UnfinishedJobs())
			return
		}
		for _, id := range d.checker.UnfinishedJobs() {
			d.queryState(d.group.Context(), d.processes[0], id)
		}
		time.Sleep(200 * time.Millisecond)
		for _, p := range d.processes {
			if !p.isRunning() {
				p.start() // it was told to stop late
			}
		}
	}
}

// failedSeeds are those that ever failed, with the cause.
var failedSeeds = map[string]int64{
	"replaced owner answered that an accepted job is unknown": 120,
}

// envInt returns the value of an environment variable, or a default.
func envInt(name string, otherwise int64) int64 {
	n, err := strconv.ParseInt(os.Getenv(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

// Guards every promise under faults that come in series and overlap. Seeds that
// ever failed are played first.
func TestDays(t *testing.T) {
	span := time.Duration(envInt("MIMOSA_SOAK_MS", 9000)) * time.Millisecond
	seeds := make(map[string]int64)
	for name, seed := range failedSeeds {
		seeds[name] = seed
	}
	first := envInt("MIMOSA_FIRST_SEED", 1)
	for i := range envInt("MIMOSA_SOAK_SEEDS", 2) {
		seeds[fmt.Sprintf("seed %d", first+i)] = first + i
	}
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			d := newScenario(t, seed)
			defer d.close()
			d.run(seed, span)
			for _, v := range d.checker.Violations() {
				t.Error(v)
			}
			t.Logf("%d accepted jobs", len(d.accepted))
			if t.Failed() {
				d.saveOutput(seed)
			}
		})
	}
}

// saveOutput writes what is needed to trace a failed day to a folder that stays.
func (d *scenario) saveOutput(seed int64) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-seed-%d-", seed))
	if err != nil {
		d.t.Log(err)
		return
	}
	for _, p := range d.processes {
		p.kill()
		if err := os.WriteFile(dir+"/"+p.name+".log", p.output.Bytes(), 0o600); err != nil {
			d.t.Log(err)
		}
	}
	d.t.Logf("faults of seed %d:", seed)
	for _, l := range d.faultLog {
		d.t.Log(l)
	}
	d.t.Logf("output of the processes is in %s", dir)
}
