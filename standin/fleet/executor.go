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
	Task     string
	Number   int
	Executor string
	Began    time.Time
}

// Observer is told what happens on executors, in order for each of them. Its
// methods must not call the executor.
type Observer interface {
	// Began tells that a run has begun.
	Began(r Run)
	// Ended tells how a run has ended.
	Ended(r Run, how string)
	// Noted tells that the end of a run was forgotten, as its owner has seen it.
	Noted(r Run, how string)
	// Lapsed tells that the lease of an executor has ended.
	Lapsed(executor string)
	// Crashed tells that an executor has ended with all that it ran.
	Crashed(executor string)
}

// Options of an executor. The zero value is that of [NewExecutor].
type Options struct {
	// Announce returns the address that is entered in the store; nil for the
	// executor's own.
	Announce func(address string) string
	// Observer may be nil.
	Observer Observer
	// Late returns how much later an order is carried out, without an answer;
	// 0 for at once and answered. It may be nil.
	Late func() time.Duration
}

// Executor is a stand-in of one executor. Use [NewExecutor] or [OpenExecutor].
type Executor struct {
	// Work is how long a task takes.
	Work time.Duration
	// Began is told of each run; may be nil.
	Began func(Run)
	// Tickets makes the executor refuse starts without a ticket.
	Tickets bool

	id      string
	store   *Store
	options Options
	server  *httptest.Server
	stop    chan struct{}
	mu      sync.Mutex
	closed  bool
	changed chan struct{}
	born    time.Time
	token   uint64
	lease   int64 // instant on the executor's clock
	expiry  *time.Timer
	running map[string]*run
	highest map[string]int
	ends    []end
	number  int
}

type run struct {
	number int
	timer  *time.Timer
}

type end struct {
	n    int
	task string
	run  int
	how  string
}

// NewExecutor starts an executor of a service with room for eight cores and
// enters it in the store.
func NewExecutor(store *Store, id, service string) *Executor {
	return OpenExecutor(store, id, service, Options{})
}

// OpenExecutor is [NewExecutor] with options.
func OpenExecutor(store *Store, id, service string, o Options) *Executor {
	x := &Executor{
		Work: 50 * time.Millisecond, id: id, store: store, options: o, stop: make(chan struct{}), changed: make(chan struct{}),
		born: time.Now(), running: make(map[string]*run), highest: make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", x.serve(x.start))
	mux.HandleFunc("POST /-/run-stop", x.serve(x.stopRun))
	mux.HandleFunc("POST /-/pace", x.serve(func(*order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /-/hold", x.serveHold)
	x.server = httptest.NewServer(mux)
	x.enter(service)
	return x
}

// enter writes the executor's entry and keeps it there until Close.
func (x *Executor) enter(service string) {
	address := x.server.Listener.Addr().String()
	if x.options.Announce != nil {
		address = x.options.Announce(address)
	}
	write := func() {
		b, _ := json.Marshal(map[string]any{ // plain values can be encoded
			"service": service, "address": address, "zone": "a", "state": "ready",
			"capacity": map[string]int{"cpu": 8000, "mem_mb": 16000}, "labels": []string{"a", "r1"},
			"born": x.born.UnixMilli(), "clock_ms": x.clock(),
		})
		x.store.Put("keyed.servers", x.id, b)
	}
	write()
	var next func()
	next = func() {
		select {
		case <-x.stop:
		default:
			write()
			time.AfterFunc(Heartbeat, next)
		}
	}
	time.AfterFunc(Heartbeat, next)
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
	if x.expiry != nil {
		x.expiry.Stop()
	}
	if o := x.options.Observer; o != nil {
		o.Crashed(x.id)
	}
	x.mu.Unlock()
	x.server.CloseClientConnections()
	x.server.Close()
}

func (x *Executor) clock() int64 { return time.Since(x.born).Milliseconds() + 1 }

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
		if x.options.Late != nil {
			if d := x.options.Late(); d > 0 {
				time.AfterFunc(d, func() { x.carryOut(f, &o) })
				panic(http.ErrAbortHandler)
			}
		}
		status, reason := x.carryOut(f, &o)
		answer(w, status, map[string]any{"clock_ms": x.clock(), "born": x.born.UnixMilli(), "reason": reason})
	}
}

// carryOut carries an order out unless its token is too low or the executor has
// ended.
func (x *Executor) carryOut(f func(*order) (int, string), o *order) (int, string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.closed:
		return http.StatusServiceUnavailable, ""
	case o.Token < x.token:
		return http.StatusConflict, "fence"
	}
	x.token = o.Token
	return f(o)
}

// extend extends the lease of all that runs. It is never shortened.
func (x *Executor) extend(deadline int64) {
	if deadline <= x.lease {
		return
	}
	x.lease = deadline
	if x.expiry != nil {
		x.expiry.Stop()
	}
	x.expiry = time.AfterFunc(time.Duration(deadline-x.clock())*time.Millisecond, x.expire)
}

func (x *Executor) expire() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed || x.clock() < x.lease {
		return
	}
	for task, r := range x.running {
		x.end(task, r.number, "lapsed")
	}
	if o := x.options.Observer; o != nil {
		o.Lapsed(x.id)
	}
}

func (x *Executor) start(o *order) (int, string) {
	if r := x.running[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, ""
	}
	switch {
	case o.Run <= x.highest[o.Task]:
		return http.StatusConflict, "old"
	case o.Deadline < x.clock():
		return http.StatusConflict, "late"
	case x.Tickets && o.Ticket != Ticket:
		return http.StatusConflict, "ticket"
	}
	x.extend(o.Deadline)
	x.highest[o.Task] = o.Run
	x.running[o.Task] = &run{o.Run, time.AfterFunc(x.Work, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.end(o.Task, o.Run, "done")
	})}
	began := Run{o.Task, o.Run, x.id, time.Now()}
	if x.Began != nil {
		x.Began(began)
	}
	if w := x.options.Observer; w != nil {
		w.Began(began)
	}
	return http.StatusOK, ""
}

func (x *Executor) stopRun(o *order) (int, string) {
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	x.end(o.Task, o.Run, "stopped")
	return http.StatusOK, ""
}

func (x *Executor) end(task string, number int, how string) {
	r := x.running[task]
	if r == nil || r.number != number {
		return
	}
	r.timer.Stop()
	delete(x.running, task)
	x.number++
	x.ends = append(x.ends, end{x.number, task, number, how})
	close(x.changed)
	x.changed = make(chan struct{})
	if w := x.options.Observer; w != nil {
		w.Ended(Run{task, number, x.id, time.Now()}, how)
	}
}

func (x *Executor) serveHold(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	if o.Token < x.token {
		x.mu.Unlock()
		answer(w, http.StatusConflict, map[string]any{"clock_ms": x.clock(), "reason": "fence"})
		return
	}
	x.token = o.Token
	x.extend(o.Deadline)
	for len(x.ends) > 0 && x.ends[0].n <= o.LastSeen {
		if w := x.options.Observer; w != nil {
			w.Noted(Run{x.ends[0].task, x.ends[0].run, x.id, time.Now()}, x.ends[0].how)
		}
		x.ends = x.ends[1:]
	}
	changed, waits := x.changed, len(x.ends) == 0
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
	for _, e := range x.ends {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	answer(w, http.StatusOK, map[string]any{
		"clock_ms": x.clock(), "born": x.born.UnixMilli(), "running": running, "finished": finished,
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
func Wave(number int, machines []string, within time.Duration, most int) []byte {
	b, _ := json.Marshal(map[string]any{ // plain values can be encoded
		"wave": number, "machines": machines, "duration_s": within.Seconds(), "maximum": most,
	})
	return b
}
