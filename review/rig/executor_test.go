package rig

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of the settings of a small site.
const (
	heartbeat     = 1100 * time.Millisecond
	maxHoldMillis = 6000
	gangTimeout   = 3 * time.Second
	startup       = 300 * time.Millisecond // of a perpetual task
	capacityCPU   = 16000
	capacityMem   = 64000
)

// executor is a stand-in of an executor, by PROTOCOL.md. It can crash and start
// again under the same id and at the same address.
type executor struct {
	id      string
	rig     *rig
	listen  string // own address, the same in each lifetime
	proxy   *proxy // registered address
	failAll bool   // every run that it starts ends failed at once
	labels  []string

	mu         sync.Mutex
	up         bool
	registered bool
	cutOff     bool // from the store: registrations don't arrive
	server     *http.Server
	born       time.Time
	token      uint64
	leaseEnd   int64 // ms on the executor's clock
	running    map[string]*run
	highest    map[string]int
	ends       []runEnd
	lastEnd    int
	changed    chan struct{}
}

// run is one run in progress on an executor.
type run struct {
	task    string
	number  int
	step    *step
	began   time.Time
	waiting bool          // a member of a gang that is not complete yet
	left    time.Duration // of the work, at full pace
	since   time.Time     // when left was computed
	share   int           // pace in percent
	timer   *time.Timer
	entry   *entry
}

type runEnd struct {
	number int
	task   string
	run    int
	how    string
	entry  *entry
}

func newExecutor(r *rig, id string, labels ...string) *executor {
	x := &executor{id: id, rig: r, listen: localAddress(freePorts(1)), labels: labels}
	x.proxy = openProxy(x.listen)
	x.start()
	go x.heartbeats()
	return x
}

// start begins a lifetime, which knows nothing of the ones before.
func (x *executor) start() {
	l, err := net.Listen("tcp4", x.listen)
	if err != nil {
		cannotRun("executor %s: %v", x.id, err)
	}
	x.mu.Lock()
	x.up, x.registered, x.born, x.token, x.leaseEnd = true, true, time.Now(), 0, 0
	x.running, x.highest, x.ends, x.lastEnd, x.changed = make(map[string]*run), make(map[string]int), nil, 0, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", x.order((*executor).startRun))
	mux.HandleFunc("POST /-/run-stop", x.order((*executor).stopRun))
	mux.HandleFunc("POST /-/pace", x.order((*executor).pace))
	mux.HandleFunc("POST /-/hold", x.hold)
	x.server = &http.Server{Handler: mux}
	server, born := x.server, x.born
	cutOff := x.cutOff
	x.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go x.watchLease(born)
	if !cutOff {
		x.register()
	}
	x.rig.log.printf("executor %s starts, born %d", x.id, born.UnixMilli())
}

// end ends the lifetime: everything that runs there ends at once.
func (x *executor) end(why string) {
	x.mu.Lock()
	x.up = false
	for _, r := range x.running {
		r.timer.Stop()
		r.entry.end("lost")
	}
	x.running = nil
	server := x.server
	x.mu.Unlock()
	_ = server.Close()
	x.rig.log.printf("executor %s ends: %s", x.id, why)
}

// leave ends the lifetime and removes the registration.
func (x *executor) leave(why string) {
	x.mu.Lock()
	x.registered = false
	x.mu.Unlock()
	x.end(why)
	x.rig.store.Put("keyed.servers", x.id, nil)
}

// cutOneWay loses the answers of x to the schedulers and cuts it off from the store,
// which removes its entry after three heartbeats of silence.
func (x *executor) cutOneWay() {
	x.rig.log.printf("%s is cut off from the store, its answers are lost", x.id)
	x.mu.Lock()
	x.cutOff = true
	x.mu.Unlock()
	x.proxy.setMode(dropAnswers)
	time.AfterFunc(3*heartbeat, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.cutOff {
			x.rig.store.Put("keyed.servers", x.id, nil)
		}
	})
}

// heal ends the cut.
func (x *executor) heal() {
	x.rig.log.printf("the cut of %s ends", x.id)
	x.mu.Lock()
	x.cutOff = false
	x.mu.Unlock()
	x.proxy.setMode(forward)
	x.register()
}

func (x *executor) heartbeats() {
	for {
		time.Sleep(heartbeat)
		x.mu.Lock()
		up := x.up && x.registered && !x.cutOff
		x.mu.Unlock()
		if up {
			x.register()
		}
	}
}

func (x *executor) register() {
	x.mu.Lock()
	b, _ := json.Marshal(map[string]any{
		"service": service, "address": x.proxy.address(), "zone": "kelso", "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": capacityCPU, "mem_mb": capacityMem, "gpu": 0},
		"labels": x.labels, "clock_ms": x.clock(), "sequence": x.clock(), "born": x.born.UnixMilli(),
	})
	x.mu.Unlock()
	x.rig.store.Put("keyed.servers", x.id, b)
}

// clock returns the executor's clock in ms.
func (x *executor) clock() int64 { return time.Since(x.born).Milliseconds() + 1 }

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen int    `json:"last_seen"`
	Percent  int    `json:"percent"`
	Wait     int64  `json:"wait_ms"`
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// accepts answers calls that are meant for another executor with 421.
func (x *executor) accepts(w http.ResponseWriter, r *http.Request) bool {
	if t := r.Header.Get("X-Mimosadock-Target-Instance"); t != "" && t != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

func (x *executor) order(f func(*executor, *order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if !x.accepts(w, r) {
			return
		}
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		x.mu.Lock()
		defer x.mu.Unlock()
		if !x.up {
			panic(http.ErrAbortHandler)
		}
		status, reason := http.StatusConflict, "fence"
		if o.Token >= x.token {
			x.token = o.Token
			status, reason = f(x, &o)
		}
		body := map[string]any{"clock_ms": x.clock(), "born": x.born.UnixMilli()}
		if reason != "" {
			body["reason"] = reason
		}
		x.rig.log.printf("%s %s %s.%d token %d: %d %s", x.id, r.URL.Path[3:], o.Task, o.Run, o.Token, status, reason)
		reply(w, status, body)
	}
}

// extend extends the lease, at most to the longest one.
func (x *executor) extend(deadline int64) {
	x.leaseEnd = max(x.leaseEnd, min(deadline, x.clock()+maxHoldMillis))
}

// watchLease ends all runs when the lease expires.
func (x *executor) watchLease(born time.Time) {
	for {
		time.Sleep(20 * time.Millisecond)
		x.mu.Lock()
		if !x.up || x.born != born {
			x.mu.Unlock()
			return
		}
		if x.clock() >= x.leaseEnd {
			for task := range x.running {
				x.endRun(task, "lapsed")
			}
		}
		x.mu.Unlock()
	}
}

func (x *executor) startRun(o *order) (int, string) {
	if r := x.running[o.Task]; r != nil && r.number == o.Run {
		x.extend(o.Deadline)
		return http.StatusOK, ""
	}
	st := x.rig.stepOf(o.Task)
	if st == nil {
		x.rig.log.printf("%s: nobody sent %s", x.id, o.Task)
		return http.StatusBadRequest, "unknown"
	}
	if o.Run <= x.highest[o.Task] {
		x.extend(o.Deadline)
		return http.StatusConflict, "old"
	}
	if o.Deadline < x.clock() {
		return http.StatusConflict, "late"
	}
	cpu, mem := st.reservedCPU(), st.Mem
	for _, r := range x.running {
		cpu, mem = cpu+r.step.reservedCPU(), mem+r.step.Mem
	}
	if cpu > capacityCPU || mem > capacityMem {
		x.extend(o.Deadline)
		return http.StatusConflict, "room"
	}
	x.extend(o.Deadline)
	x.highest[o.Task] = o.Run
	r := &run{task: o.Task, number: o.Run, step: st, began: time.Now(), left: st.duration, since: time.Now(), share: 100, entry: x.rig.runs.begin(o.Task, o.Run, x.id)}
	x.running[o.Task] = r
	how, after := "done", st.duration
	switch {
	case x.failAll:
		how, after = "failed", 5*time.Millisecond
	case st.Perpetual:
		after = time.Hour
	case st.Gang:
		r.waiting, how, after = true, "alone", gangTimeout
	}
	r.timer = time.AfterFunc(after, func() { x.finish(r, how) })
	if st.Gang {
		go x.rig.gangs.joined(x, r)
	}
	return http.StatusOK, ""
}

// finish ends a run that is still the one in progress.
func (x *executor) finish(r *run, how string) {
	x.mu.Lock()
	if !x.up || x.running[r.task] != r {
		x.mu.Unlock()
		return
	}
	x.endRun(r.task, how)
	x.mu.Unlock()
}

func (x *executor) endRun(task, how string) {
	r := x.running[task]
	r.timer.Stop()
	delete(x.running, task)
	r.entry.end(how)
	x.lastEnd++
	x.ends = append(x.ends, runEnd{x.lastEnd, task, r.number, how, r.entry})
	close(x.changed)
	x.changed = make(chan struct{})
	if r.step.Gang {
		go x.rig.gangs.ended(r, how)
	}
}

func (x *executor) stopRun(o *order) (int, string) {
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	if r := x.running[o.Task]; r != nil && r.number <= o.Run {
		x.endRun(o.Task, "stopped")
	}
	return http.StatusOK, ""
}

// pace lets a task work at a share.
func (x *executor) pace(o *order) (int, string) {
	r := x.running[o.Task]
	if r == nil || r.number != o.Run || r.step.Perpetual || r.step.Gang {
		return http.StatusOK, ""
	}
	r.left -= time.Since(r.since) * time.Duration(r.share) / 100
	r.since, r.share = time.Now(), o.Percent
	r.timer.Stop()
	if r.share > 0 {
		r.timer = time.AfterFunc(max(0, r.left)*100/time.Duration(r.share), func() { x.finish(r, "done") })
	}
	return http.StatusOK, ""
}

// reservedCPU is the processor time that counts against the capacity.
func (s *step) reservedCPU() int {
	if s.Fills {
		return 0
	}
	return s.CPU
}

// figures returns the fifth entry of each row: the tail latency of a task that
// serves, which rises with what fills beside it, and the processor time of others.
func (x *executor) figure(r *run) int {
	if r.step.Target == 0 {
		return r.step.CPU * r.share / 100 * (90 + rand.IntN(20)) / 100
	}
	tail := 9 + rand.IntN(3)
	for _, o := range x.running {
		if o.step.Fills {
			tail += o.step.CPU * o.share / 100 / 4000
		}
	}
	return tail
}

func (x *executor) hold(w http.ResponseWriter, req *http.Request) {
	var o order
	if !x.accepts(w, req) {
		return
	}
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	if !x.up {
		x.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Token < x.token {
		body := map[string]any{"clock_ms": x.clock(), "born": x.born.UnixMilli(), "reason": "fence"}
		x.mu.Unlock()
		reply(w, http.StatusConflict, body)
		return
	}
	x.token = o.Token
	if len(x.ends) > 0 && x.ends[0].number <= o.LastSeen {
		x.rig.log.printf("%s hold last_seen %d token %d, deadline_ms %d", x.id, o.LastSeen, o.Token, o.Deadline)
	}
	for len(x.ends) > 0 && x.ends[0].number <= o.LastSeen {
		if lapsed := x.clock() >= x.leaseEnd; !lapsed {
			x.ends[0].entry.note()
		}
		x.ends = x.ends[1:]
	}
	x.extend(o.Deadline)
	changed, born := x.changed, x.born
	wait := len(x.ends) == 0 && o.Wait > 0
	x.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		case <-req.Context().Done():
			return
		}
	}
	x.mu.Lock()
	if !x.up || x.born != born {
		x.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range x.running {
		running = append(running, []any{r.task, r.number, "", r.percent(), x.figure(r)})
	}
	for _, e := range x.ends[:min(len(x.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"clock_ms": x.clock(), "born": born.UnixMilli(), "running": running, "finished": finished}
	x.mu.Unlock()
	reply(w, http.StatusOK, body)
}

// failsAll reports whether every run that x starts ends failed at once.
func (x *executor) failsAll() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.failAll
}

func (x *executor) setFailAll(on bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.failAll = on
}

// percent returns the reported progress.
func (r *run) percent() int {
	since := time.Since(r.began)
	switch {
	case r.waiting:
		return 0
	case r.step.Perpetual:
		return int(min(100, 100*since/startup))
	}
	worked := r.step.duration - r.left + time.Since(r.since)*time.Duration(r.share)/100
	return int(min(99, 100*worked/r.step.duration))
}
