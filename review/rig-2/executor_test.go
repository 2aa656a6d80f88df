package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeat = 1100 * time.Millisecond
	maxHold   = 10000 // ms, max_hold_ms of the settings
	warmUp    = 300 * time.Millisecond
)

// executor is a stand-in of an executor that runs tasks that last, under a lease.
type executor struct {
	id, service, address string
	labels               []string
	log                  *recorder
	store                *store
	tickets              func(ticket, task, executor string) bool // nil if the queue has no advice

	server  *http.Server
	stopped chan struct{}
	born    time.Time
	mu      sync.Mutex
	closed  bool
	token   uint64
	lease   int64 // on the clock of the executor
	running map[string]*run
	highest map[string]int
	ends    []end
	last    int
	changed chan struct{}
}

type run struct {
	number  int
	started time.Time
}

type end struct {
	number int
	task   string
	run    int
	how    string
}

func startExecutor(s *store, log *recorder, id, service string, labels []string, tickets func(ticket, task, executor string) bool) (*executor, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &executor{
		id: id, service: service, labels: labels, log: log, store: s, tickets: tickets, address: listener.Addr().String(), stopped: make(chan struct{}),
		born: time.Now(), running: make(map[string]*run), highest: make(map[string]int), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", x.order((*executor).start))
	mux.HandleFunc("POST /-/run-stop", x.order((*executor).stop))
	mux.HandleFunc("POST /-/pace", x.order(func(*executor, *order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /-/hold", x.hold)
	x.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Mimosadock-Target-Instance") != x.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go x.server.Serve(listener) //nolint:errcheck // ends with Close
	go x.beat()
	return x, nil
}

// beat writes the registration until the executor crashes, and lets the lease
// expire.
func (x *executor) beat() {
	for n := 0; ; n++ {
		if n%22 == 0 {
			b, _ := json.Marshal(map[string]any{
				"service": x.service, "address": x.address, "zone": "a", "version": "1", "slots": 8, "state": "ready", "sequence": n,
				"capacity": map[string]int{"cpu": 16000, "mem_mb": 62500, "gpu": 0}, "labels": x.labels,
				"born": x.born.UnixMilli(), "clock_ms": x.clock(),
			})
			x.store.put("keyed.servers", x.id, b)
		}
		select {
		case <-x.stopped:
			return
		case <-time.After(heartbeat / 22):
		}
		x.mu.Lock()
		if x.clock() >= x.lease {
			for task, r := range x.running {
				x.finish(task, r.number, "lapsed")
			}
		}
		x.mu.Unlock()
	}
}

// crash ends the executor with everything that runs on it. It sends nothing any
// more; its registration is removed after three intervals.
func (x *executor) crash() {
	x.mu.Lock()
	x.closed = true
	for task, r := range x.running {
		x.log.add("%s run %d on %s ended with its executor", task, r.number, x.id)
	}
	clear(x.running)
	x.mu.Unlock()
	close(x.stopped)
	_ = x.server.Close()
	time.AfterFunc(3*heartbeat, func() { x.store.put("keyed.servers", x.id, nil) })
}

func (x *executor) clock() int64 { return time.Since(x.born).Milliseconds() + 1 }

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	Ticket   string `json:"ticket"`
	LastSeen int    `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

func (x *executor) order(f func(*executor, *order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		x.mu.Lock()
		defer x.mu.Unlock()
		status, reason := http.StatusConflict, "fence"
		if o.Token >= x.token {
			x.token = o.Token
			status, reason = f(x, &o)
		}
		body := map[string]any{"clock_ms": x.clock(), "born": x.born.UnixMilli()}
		if reason != "" {
			body["reason"] = reason
		}
		answer(w, status, body)
	}
}

func (x *executor) extend(deadline int64) { x.lease = max(x.lease, min(deadline, x.clock()+maxHold)) }

func (x *executor) start(o *order) (int, string) {
	if r := x.running[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, ""
	}
	switch {
	case o.Run <= x.highest[o.Task]:
		return http.StatusConflict, "old"
	case o.Deadline < x.clock():
		return http.StatusConflict, "late"
	case x.tickets != nil && !x.tickets(o.Ticket, o.Task, x.id):
		return http.StatusConflict, "ticket"
	}
	x.extend(o.Deadline)
	x.highest[o.Task] = o.Run
	x.running[o.Task] = &run{o.Run, time.Now()}
	x.log.add("%s run %d starts on %s", o.Task, o.Run, x.id)
	return http.StatusOK, ""
}

func (x *executor) stop(o *order) (int, string) {
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	x.finish(o.Task, o.Run, "stopped")
	return http.StatusOK, ""
}

func (x *executor) finish(task string, number int, how string) {
	r := x.running[task]
	if r == nil || r.number != number {
		return
	}
	delete(x.running, task)
	x.last++
	x.ends = append(x.ends, end{x.last, task, number, how})
	x.log.add("%s run %d on %s ends: %s", task, number, x.id, how)
	close(x.changed)
	x.changed = make(chan struct{})
}

func (x *executor) hold(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	if o.Token < x.token {
		x.mu.Unlock()
		answer(w, http.StatusConflict, map[string]any{"clock_ms": x.clock(), "born": x.born.UnixMilli(), "reason": "fence"})
		return
	}
	x.token = o.Token
	x.extend(o.Deadline)
	for len(x.ends) > 0 && x.ends[0].number <= o.LastSeen {
		x.ends = x.ends[1:]
	}
	changed, waits := x.changed, len(x.ends) == 0 && o.Wait > 0
	x.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed {
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	for task, r := range x.running {
		percent := 0
		if time.Since(r.started) > warmUp {
			percent = 100
		}
		running = append(running, []any{task, r.number, "", percent, 0})
	}
	for _, e := range x.ends {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer(w, http.StatusOK, map[string]any{"clock_ms": x.clock(), "born": x.born.UnixMilli(), "running": running, "finished": finished})
}

// has returns the run of a task that is at work on the executor.
func (x *executor) has(task string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.running[task] != nil
}
