package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Heartbeat is the span between two entries of an executor in the store.
const Heartbeat = 300 * time.Millisecond

// Run is a run that an executor has begun.
type Run struct {
	Task      string
	Number    int
	Executor  string
	StartedAt time.Time
}

// Observer is told what happens on executors, in order for each of them. Its
// methods must not call the executor.
type Observer interface {
	// RunStarted tells that a run has begun.
	RunStarted(r Run)
	// RunEnded tells how a run has ended.
	RunEnded(r Run, how string)
	// EndAcknowledged tells that the end of a run was forgotten, as its owner has seen it.
	EndAcknowledged(r Run, how string)
	// LeaseExpired tells that the lease of an executor has ended.
	LeaseExpired(executor string)
	// ExecutorCrashed tells that an executor has ended with all that it ran.
	ExecutorCrashed(executor string)
}

// Options of an executor. The zero value is that of [NewExecutor].
type Options struct {
	// AdvertisedAddress returns the address that is entered in the store; nil for the
	// executor's own.
	AdvertisedAddress func(address string) string
	// Observer may be nil.
	Observer Observer
	// OrderDelay returns how much later an order is carried out, without an answer;
	// 0 for at once and answered. It may be nil.
	OrderDelay func() time.Duration
}

// Executor is a stand-in of one executor. Use [NewExecutor] or [OpenExecutor].
type Executor struct {
	// TaskDuration is how long a task takes.
	TaskDuration time.Duration
	// Began is told of each run; may be nil.
	Began func(Run)
	// Tickets makes the executor refuse starts without a ticket.
	Tickets bool

	id             string
	store          *Store
	options        Options
	server         *httptest.Server
	stop           chan struct{}
	mu             sync.Mutex
	closed         bool
	changed        chan struct{}
	startedAt      time.Time
	highestToken   uint64
	leaseEnd       int64 // instant on the executor's clock
	leaseTimer     *time.Timer
	running        map[string]*run
	highestRun     map[string]int
	unacknowledged []runEnd
	lastEndNumber  int
}

type run struct {
	number int
	timer  *time.Timer
}

type runEnd struct {
	sequence int
	task     string
	run      int
	outcome  string
}

// NewExecutor starts an executor of a service with room for eight cores and
// enters it in the store.
func NewExecutor(store *Store, id, service string) *Executor {
	return OpenExecutor(store, id, service, Options{})
}

// OpenExecutor is [NewExecutor] with options.
func OpenExecutor(store *Store, id, service string, o Options) *Executor {
	x := &Executor{
		TaskDuration: 50 * time.Millisecond, id: id, store: store, options: o, stop: make(chan struct{}), changed: make(chan struct{}),
		startedAt: time.Now(), running: make(map[string]*run), highestRun: make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", x.serve(x.start))
	mux.HandleFunc("POST /-/run-stop", x.serve(x.stopRun))
	mux.HandleFunc("POST /-/pace", x.serve(func(*order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /-/hold", x.serveHold)
	x.server = httptest.NewServer(mux)
	x.register(service)
	return x
}

// register writes the executor's entry and keeps it there until Close.
func (x *Executor) register(service string) {
	address := x.server.Listener.Addr().String()
	if x.options.AdvertisedAddress != nil {
		address = x.options.AdvertisedAddress(address)
	}
	write := func() {
		b, _ := json.Marshal(map[string]any{ // plain values can be encoded
			"service": service, "address": address, "zone": "a", "state": "ready",
			"capacity": map[string]int{"cpu": 8000, "mem_mb": 16000}, "labels": []string{"a", "r1"},
			"born": x.startedAt.UnixMilli(), "clock_ms": x.clockMillis(),
		})
		x.store.Put("keyed.servers", x.id, b)
	}
	write()
	var rewrite func()
	rewrite = func() {
		select {
		case <-x.stop:
		default:
			write()
			time.AfterFunc(Heartbeat, rewrite)
		}
	}
	time.AfterFunc(Heartbeat, rewrite)
}

// Leave takes the executor's entry away and ends it.
func (x *Executor) Leave() {
	x.Close()
	x.store.Put("keyed.servers", x.id, nil)
}

// Close ends the executor and all its runs.
func (x *Executor) Close() {
	close(x.stop)
	x.mu.Lock()
	x.closed = true
	for _, r := range x.running {
		r.timer.Stop()
	}
	if x.leaseTimer != nil {
		x.leaseTimer.Stop()
	}
	if o := x.options.Observer; o != nil {
		o.ExecutorCrashed(x.id)
	}
	x.mu.Unlock()
	x.server.CloseClientConnections()
	x.server.Close()
}

func (x *Executor) clockMillis() int64 { return time.Since(x.startedAt).Milliseconds() + 1 }

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	Ticket   string `json:"ticket"`
	LastSeen int    `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

func (x *Executor) serve(f func(*order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if x.options.OrderDelay != nil {
			if d := x.options.OrderDelay(); d > 0 {
				time.AfterFunc(d, func() { x.execute(f, &o) })
				panic(http.ErrAbortHandler)
			}
		}
		status, reason := x.execute(f, &o)
		writeJSON(w, status, map[string]any{"clock_ms": x.clockMillis(), "born": x.startedAt.UnixMilli(), "reason": reason})
	}
}

// execute carries an order out unless its token is too low or the executor has
// ended.
func (x *Executor) execute(f func(*order) (int, string), o *order) (int, string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.closed:
		return http.StatusServiceUnavailable, ""
	case o.Token < x.highestToken:
		return http.StatusConflict, "fence"
	}
	x.highestToken = o.Token
	return f(o)
}

// extend extends the lease of all that runs. It is never shortened.
func (x *Executor) extend(deadline int64) {
	if deadline <= x.leaseEnd {
		return
	}
	x.leaseEnd = deadline
	if x.leaseTimer != nil {
		x.leaseTimer.Stop()
	}
	x.leaseTimer = time.AfterFunc(time.Duration(deadline-x.clockMillis())*time.Millisecond, x.expireLease)
}

func (x *Executor) expireLease() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed || x.clockMillis() < x.leaseEnd {
		return
	}
	for task, r := range x.running {
		x.endRun(task, r.number, "lapsed")
	}
	if o := x.options.Observer; o != nil {
		o.LeaseExpired(x.id)
	}
}

func (x *Executor) start(o *order) (int, string) {
	if r := x.running[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, ""
	}
	switch {
	case o.Run <= x.highestRun[o.Task]:
		return http.StatusConflict, "old"
	case o.Deadline < x.clockMillis():
		return http.StatusConflict, "late"
	case x.Tickets && o.Ticket != Ticket:
		return http.StatusConflict, "ticket"
	}
	x.extend(o.Deadline)
	x.highestRun[o.Task] = o.Run
	x.running[o.Task] = &run{o.Run, time.AfterFunc(x.TaskDuration, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.endRun(o.Task, o.Run, "done")
	})}
	started := Run{o.Task, o.Run, x.id, time.Now()}
	if x.Began != nil {
		x.Began(started)
	}
	if observer := x.options.Observer; observer != nil {
		observer.RunStarted(started)
	}
	return http.StatusOK, ""
}

func (x *Executor) stopRun(o *order) (int, string) {
	x.highestRun[o.Task] = max(x.highestRun[o.Task], o.Run)
	x.endRun(o.Task, o.Run, "stopped")
	return http.StatusOK, ""
}

func (x *Executor) endRun(task string, number int, outcome string) {
	r := x.running[task]
	if r == nil || r.number != number {
		return
	}
	r.timer.Stop()
	delete(x.running, task)
	x.lastEndNumber++
	x.unacknowledged = append(x.unacknowledged, runEnd{x.lastEndNumber, task, number, outcome})
	close(x.changed)
	x.changed = make(chan struct{})
	if observer := x.options.Observer; observer != nil {
		observer.RunEnded(Run{task, number, x.id, time.Now()}, outcome)
	}
}

func (x *Executor) serveHold(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	if o.Token < x.highestToken {
		x.mu.Unlock()
		writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": x.clockMillis(), "reason": "fence"})
		return
	}
	x.highestToken = o.Token
	x.extend(o.Deadline)
	for len(x.unacknowledged) > 0 && x.unacknowledged[0].sequence <= o.LastSeen {
		if w := x.options.Observer; w != nil {
			w.EndAcknowledged(Run{x.unacknowledged[0].task, x.unacknowledged[0].run, x.id, time.Now()}, x.unacknowledged[0].outcome)
		}
		x.unacknowledged = x.unacknowledged[1:]
	}
	changed, waits := x.changed, len(x.unacknowledged) == 0
	x.mu.Unlock()
	if waits && o.Wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for task, rr := range x.running {
		running = append(running, []any{task, rr.number, "", 50, 0})
	}
	for _, e := range x.unacknowledged {
		finished = append(finished, []any{e.sequence, e.task, e.run, e.outcome, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"clock_ms": x.clockMillis(), "born": x.startedAt.UnixMilli(), "running": running, "finished": finished,
	})
}

// Config returns a configuration with a queue on a service, and one under the
// prefix "/advised/" whose tasks need tickets.
func Config(version int, service, host, prefix string) []byte {
	const queue = `{"name":%q,"host":%q,"path_prefix":%q,"timeout_ms":3000,"target_latency_ms":250,"priority":0,"service":%q,"max_attempts":3,"slack_factor":1.5%s}`
	return fmt.Appendf(nil, `{"version":%d,"routes":[`+queue+`,`+queue+`],"limits":{"max_body_bytes":262144}}`, version,
		"q", host, prefix, service, "", "advised", host, "/advised/", service, `,"advice":{"decision_ms":5,"per_worker_ms":1,"valid_ms":60000}`)
}

// Wave returns the operator's request for a wave of upkeep.
func Wave(number int, machines []string, duration time.Duration, maxDown int) []byte {
	b, _ := json.Marshal(map[string]any{ // plain values can be encoded
		"wave": number, "machines": machines, "duration_s": duration.Seconds(), "maximum": maxDown,
	})
	return b
}
