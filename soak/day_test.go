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
	processes = 4
	executors = 8
	settle    = 60 * time.Second // for all jobs to complete after the last fault
	workTime  = 120 * time.Millisecond
)

// day is a run of the programs under the faults of a seed.
type day struct {
	t         *testing.T
	ledger    Ledger
	store     *fleet.Store
	processes []*process
	workers   []*worker
	group     *group.Group
	faults    group.Group

	mu       sync.Mutex
	accepted []string
	log      []string
}

// worker is an executor behind a proxy, which crashes and is born again under
// its id.
type worker struct {
	day   *day
	id    string
	mu    sync.Mutex
	proxy *Proxy
	life  *fleet.Executor
	late  time.Duration // of orders, while it lasts
	seed  *rand.Rand
}

func (w *worker) birth() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != nil {
		return
	}
	w.life = fleet.OpenExecutor(w.day.store, w.id, "s", fleet.Options{
		Observer: &w.day.ledger,
		Late:     w.lateness,
		Announce: func(address string) string {
			p, err := OpenProxy(address)
			if err != nil {
				w.day.t.Error(err)
				return address
			}
			w.proxy = p
			return p.Address()
		},
	})
	w.life.Work = workTime
}

// lateness returns how late the next order is carried out.
func (w *worker) lateness() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.late == 0 || w.seed.Intn(3) > 0 {
		return 0
	}
	return time.Duration(w.seed.Int63n(int64(w.late)))
}

func (w *worker) crash() {
	w.mu.Lock()
	life, proxy := w.life, w.proxy
	w.life = nil
	w.mu.Unlock()
	if life != nil {
		life.Close()
		proxy.Close()
	}
}

// harm applies a change to the proxy, if the worker lives.
func (w *worker) harm(f func(*Proxy)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != nil {
		f(w.proxy)
	}
}

func newDay(t *testing.T, seed int64) *day {
	d := &day{t: t, store: fleet.NewStore(), group: group.New(context.Background())}
	d.store.Put("keyed.op", "config", fleet.Config(1, "s", "q.example", "/q/"))
	for i := range executors {
		w := &worker{day: d, id: "i-" + strconv.Itoa(i), seed: rand.New(rand.NewSource(seed + int64(i)))}
		w.birth()
		d.workers = append(d.workers, w)
	}
	for i := range processes {
		p := newProcess(t, i, d.store.Address())
		p.start()
		d.processes = append(d.processes, p)
	}
	return d
}

func (d *day) close() {
	d.group.Stop()
	_ = d.group.Wait() // callers return no error
	for _, p := range d.processes {
		p.end()
	}
	for _, w := range d.workers {
		w.crash()
	}
	d.store.Close()
}

// fault begins one harm and returns how to end it, its name and how long it
// lasts.
func (d *day) fault(r *rand.Rand) (name string, span time.Duration, end func()) {
	p, w := d.processes[r.Intn(len(d.processes))], d.workers[r.Intn(len(d.workers))]
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
		p.store.Silence(true)
		return "store silent for " + p.name, span, func() { p.store.Heal(); p.store.Reset() }
	case 4:
		p.store.CutOneWay(true)
		return "store's answers cut for " + p.name, span, func() { p.store.Heal(); p.store.Reset() }
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
		d.store.Slow.Store(int64(80 * time.Millisecond))
		return "store slow", span, func() { d.store.Slow.Store(0) }
	case 9:
		w.crash()
		return "crash of " + w.id, span / 2, w.birth
	case 10:
		w.harm(func(x *Proxy) { x.Silence(true) })
		return "silent " + w.id, span, func() { w.harm(func(x *Proxy) { x.Heal(); x.Reset() }) }
	case 11:
		w.harm(func(x *Proxy) { x.CutOneWay(true) })
		return "answers cut of " + w.id, span, func() { w.harm(func(x *Proxy) { x.Heal(); x.Reset() }) }
	default:
		w.mu.Lock()
		w.late = 2 * time.Second
		w.mu.Unlock()
		return "late orders of " + w.id, span, func() {
			w.mu.Lock()
			w.late = 0
			w.mu.Unlock()
		}
	}
}

// play lets callers work under faults for a span, ends all faults, and waits
// until all accepted jobs are completed.
func (d *day) play(seed int64, span time.Duration) {
	began := time.Now()
	until := began.Add(span)
	callers := rand.New(rand.NewSource(seed))
	d.group.Go("submit", func(ctx context.Context) error {
		for n := 0; time.Now().Before(until) && ctx.Err() == nil; n++ {
			id, r := fmt.Sprintf("%08x%08x", uint32(seed), n), rand.New(rand.NewSource(callers.Int63()))
			d.group.Go("caller", func(ctx context.Context) error {
				d.submit(ctx, r, id)
				return nil
			})
			time.Sleep(submitEvery)
		}
		return nil
	})
	asker := rand.New(rand.NewSource(seed + 1))
	d.group.Go("ask", func(ctx context.Context) error {
		for ctx.Err() == nil {
			if id, ok := d.any(asker); ok {
				d.ask(ctx, d.processes[asker.Intn(len(d.processes))], id)
			}
			time.Sleep(askEvery)
		}
		return nil
	})
	time.Sleep(3 * time.Second) // a calm start; the first layout takes as long
	faults := rand.New(rand.NewSource(seed + 2))
	for time.Now().Before(until) {
		name, lasts, end := d.fault(faults)
		d.log = append(d.log, fmt.Sprintf("%.1f s: %s for %v", time.Since(began).Seconds(), name, lasts))
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
	d.settle()
}

// settle waits until every accepted job is shown as completed.
func (d *day) settle() {
	deadline := time.Now().Add(settle)
	for len(d.ledger.Open()) > 0 && len(d.ledger.Violations()) == 0 {
		if time.Now().After(deadline) {
			d.t.Errorf("LOST: %d accepted jobs are not completed %v after the last fault: %.5v", len(d.ledger.Open()), settle, d.ledger.Open())
			return
		}
		for _, id := range d.ledger.Open() {
			d.ask(d.group.Context(), d.processes[0], id)
		}
		time.Sleep(200 * time.Millisecond)
		for _, p := range d.processes {
			if !p.runs() {
				p.start() // it was told to stop late
			}
		}
	}
}

// failedSeeds are those that ever failed, with the cause.
var failedSeeds = map[string]int64{
	"replaced owner answered that an accepted job is unknown": 120,
}

// number returns the value of an environment variable, or a default.
func number(name string, otherwise int64) int64 {
	n, err := strconv.ParseInt(os.Getenv(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

// Guards every promise under faults that come in series and overlap. Seeds that
// ever failed are played first.
func TestDays(t *testing.T) {
	span := time.Duration(number("MIMOSA_SOAK_MS", 9000)) * time.Millisecond
	seeds := make(map[string]int64)
	for name, seed := range failedSeeds {
		seeds[name] = seed
	}
	first := number("MIMOSA_FIRST_SEED", 1)
	for i := range number("MIMOSA_SOAK_SEEDS", 2) {
		seeds[fmt.Sprintf("seed %d", first+i)] = first + i
	}
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			d := newDay(t, seed)
			defer d.close()
			d.play(seed, span)
			for _, v := range d.ledger.Violations() {
				t.Error(v)
			}
			t.Logf("%d accepted jobs", len(d.accepted))
			if t.Failed() {
				d.keep(seed)
			}
		})
	}
}

// keep writes what is needed to trace a failed day to a folder that stays.
func (d *day) keep(seed int64) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-seed-%d-", seed))
	if err != nil {
		d.t.Log(err)
		return
	}
	for _, p := range d.processes {
		p.end()
		if err := os.WriteFile(dir+"/"+p.name+".log", p.output.Bytes(), 0o600); err != nil {
			d.t.Log(err)
		}
	}
	d.t.Logf("faults of seed %d:", seed)
	for _, l := range d.log {
		d.t.Log(l)
	}
	d.t.Logf("output of the processes is in %s", dir)
}
