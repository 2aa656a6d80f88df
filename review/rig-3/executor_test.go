package rig3

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"mimosadock/standin/fleet"
)

const (
	service        = "weighbook"
	zone           = "kelso"
	beatInterval   = 1100 * time.Millisecond
	silentBeats    = 3 // missed beats after which the platform removes the entry
	perpetualStart = 270 * time.Millisecond
)

// executor is a worker that keeps to the users' pages. It guards its capacity.
type executor struct {
	id       string
	cpu, mem int
	maxHold  time.Duration
	store    *fleet.Store
	jobs     *jobTable
	record   *record
	// tail returns the tail latency in ms that a serving task reports.
	tail func(task string) int64

	listener net.Listener
	server   *http.Server
	stop     chan struct{}

	mu       sync.Mutex
	born     time.Time
	token    uint64
	leaseEnd int64 // on its clock, in ms
	running  map[string]*run
	highest  map[string]int // highest run started or stopped, by task
	ends     []end
	lastEnd  int
	changed  chan struct{}
	isDown   bool
	onStop   func(task string, run int, startedAt time.Time) // called for a run that an order stops
}

type run struct {
	number    int
	step      *step
	startedAt time.Time
	timer     *time.Timer
}

type end struct {
	number int
	task   string
	run    int
	how    string
}

// open starts the executor and registers it.
func (x *executor) open() error {
	l, err := fleet.ListenBeside(x.store.Address())
	if err != nil {
		return err
	}
	x.listener, x.stop = l, make(chan struct{})
	x.born, x.changed = time.Now(), make(chan struct{})
	x.running, x.highest = make(map[string]*run), make(map[string]int)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", x.order(x.start))
	mux.HandleFunc("POST /-/run-stop", x.order(x.stopRun))
	mux.HandleFunc("POST /-/pace", x.order(func(*order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /-/hold", x.hold)
	x.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if target := r.Header.Get("X-Mimosadock-Target-Instance"); target != "" && target != x.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = x.server.Serve(l) }() // ends with the executor
	x.register("ready")
	go x.beat()
	return nil
}

func (x *executor) clock() int64 { return time.Since(x.born).Milliseconds() + 1 }

func (x *executor) register(state string) {
	b, _ := json.Marshal(map[string]any{ // cannot fail for these types
		"service": service, "address": x.listener.Addr().String(), "zone": zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": x.cpu, "mem_mb": x.mem, "gpu": 0}, "labels": []string{"a", "r1-1"},
		"clock_ms": x.clock(), "born": x.born.UnixMilli(), "sequence": x.clock() / beatInterval.Milliseconds(),
	})
	x.store.Put("keyed.servers", x.id, b)
}

func (x *executor) beat() {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-x.stop:
			return
		case <-ticker.C:
			x.register("ready")
		}
	}
}

// end ends the executor and all its runs. Its connections are reset. graceful means
// that it removes its entry, otherwise the platform does so after silentBeats.
func (x *executor) end(graceful bool) {
	x.mu.Lock()
	if x.isDown {
		x.mu.Unlock()
		return
	}
	x.isDown = true
	for _, r := range x.running {
		if r.timer != nil {
			r.timer.Stop()
		}
	}
	x.running = make(map[string]*run)
	close(x.stop)
	x.mu.Unlock()
	_ = x.server.Close() // it ends in any case
	if graceful {
		x.store.Put("keyed.servers", x.id, nil)
		return
	}
	time.AfterFunc(silentBeats*beatInterval, func() { x.store.Put("keyed.servers", x.id, nil) })
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen int    `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client may have gone
}

func (x *executor) order(f func(*order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		x.mu.Lock()
		status, reason := http.StatusServiceUnavailable, ""
		switch {
		case x.isDown:
		case o.Token < x.token:
			status, reason = http.StatusConflict, "fence"
		default:
			x.token = o.Token
			status, reason = f(&o)
		}
		x.mu.Unlock()
		answer := map[string]any{"clock_ms": x.clock(), "born": x.born.UnixMilli()}
		if reason != "" {
			answer["reason"] = reason
		}
		writeJSON(w, status, answer)
	}
}

// extend extends the lease. A deadline never shortens it.
func (x *executor) extend(deadline int64) {
	deadline = min(deadline, x.clock()+x.maxHold.Milliseconds())
	if deadline <= x.leaseEnd {
		return
	}
	x.leaseEnd = deadline
	time.AfterFunc(time.Duration(deadline-x.clock()+1)*time.Millisecond, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.isDown || x.clock() < x.leaseEnd {
			return
		}
		for task := range x.running {
			x.endRun(task, "lapsed")
		}
	})
}

func (x *executor) used() (cpu, mem int) {
	for _, r := range x.running {
		cpu, mem = cpu+r.step.CPU, mem+r.step.Memory
	}
	return cpu, mem
}

func (x *executor) start(o *order) (int, string) {
	if r := x.running[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, ""
	}
	st := x.jobs.stepOf(o.Task)
	cpu, mem := x.used()
	switch {
	case st == nil:
		x.record.violate("UNASKED: %s starts %s, which nobody sent", x.id, o.Task)
		return http.StatusBadRequest, ""
	case o.Run <= x.highest[o.Task]:
		x.extend(o.Deadline)
		return http.StatusConflict, "old"
	case o.Deadline < x.clock():
		return http.StatusConflict, "late"
	case cpu+st.CPU > x.cpu || mem+st.Memory > x.mem:
		x.extend(o.Deadline)
		return http.StatusConflict, "room"
	}
	x.extend(o.Deadline)
	x.highest[o.Task] = o.Run
	r := &run{number: o.Run, step: st, startedAt: time.Now()}
	if !st.Perpetual {
		r.timer = time.AfterFunc(st.work, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if !x.isDown && x.running[o.Task] == r {
				x.endRun(o.Task, "done")
			}
		})
	}
	x.running[o.Task] = r
	x.record.add("run    %s starts %s run %d", x.id, o.Task, o.Run)
	return http.StatusOK, ""
}

func (x *executor) stopRun(o *order) (int, string) {
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	if r := x.running[o.Task]; r != nil && r.number <= o.Run {
		if x.onStop != nil {
			x.onStop(o.Task, r.number, r.startedAt)
		}
		x.endRun(o.Task, "stopped")
	}
	return http.StatusOK, ""
}

func (x *executor) endRun(task, how string) {
	r := x.running[task]
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(x.running, task)
	if how == "done" {
		x.jobs.recordDone(task)
	}
	x.lastEnd++
	x.ends = append(x.ends, end{x.lastEnd, task, r.number, how})
	close(x.changed)
	x.changed = make(chan struct{})
	x.record.add("run    %s ends %s run %d %s", x.id, task, r.number, how)
}

func (x *executor) percent(r *run) int {
	full := r.step.work
	if r.step.Perpetual {
		full = perpetualStart
	}
	return int(min(100, 100*time.Since(r.startedAt)/max(full, 1)))
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
		writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": x.clock(), "born": x.born.UnixMilli(), "reason": "fence"})
		return
	}
	x.token = o.Token
	x.extend(o.Deadline)
	for len(x.ends) > 0 && x.ends[0].number <= o.LastSeen {
		x.ends = x.ends[1:]
	}
	changed, waits := x.changed, len(x.ends) == 0
	x.mu.Unlock()
	if waits && o.Wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for task, r := range x.running {
		measured := int64(r.step.CPU)
		if r.step.TargetMs > 0 {
			measured = x.tail(task)
		}
		running = append(running, []any{task, r.number, "", x.percent(r), measured})
	}
	for i := range x.ends[:min(len(x.ends), 500)] {
		e := &x.ends[i]
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": x.clock(), "born": x.born.UnixMilli(), "running": running, "finished": finished})
}

// atWork returns the perpetual tasks of a step that are at work, with the time since
// which each is.
func (x *executor) atWork(of string) map[string]time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make(map[string]time.Time)
	for task, r := range x.running {
		if stepName(task) == of && x.percent(r) == 100 {
			out[task] = r.startedAt.Add(perpetualStart)
		}
	}
	return out
}

func (x *executor) runs() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.running)
}
