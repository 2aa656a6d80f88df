package rig

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"mimosadock/standin/fleet"
)

// maintenanceTime is how long a machine is down for its upkeep (maintenance_s).
const maintenanceTime = 2 * time.Second

// machines is a stand-in of the machines API, by PROTOCOL.md. Each machine runs one
// executor, and a new one after each upkeep.
type machines struct {
	rig    *rig
	server *httptest.Server

	mu    sync.Mutex
	list  []*machine
	busy  bool             // every call gets 503
	begun func(m *machine) // called before the upkeep of m ends what runs there; may be nil
}

type machine struct {
	id       string
	executor *executor
	lives    int
	down     bool
	token    uint64
	waves    map[int]bool // waves of which its upkeep has begun
}

// newMachines gives each executor of the rig a machine.
func newMachines(r *rig) *machines {
	ms := &machines{rig: r}
	for i, x := range r.executors {
		ms.list = append(ms.list, &machine{id: fmt.Sprintf("m-%04x", 256+i), executor: x, waves: make(map[int]bool)})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", ms.serveList)
	mux.HandleFunc("POST /-/machine-upkeep", ms.serveUpkeep)
	ms.server = httptest.NewServer(mux)
	return ms
}

func (ms *machines) address() string { return ms.server.Listener.Addr().String() }

func (ms *machines) serveList(w http.ResponseWriter, _ *http.Request) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rows := []map[string]any{}
	for _, m := range ms.list {
		row := map[string]any{
			"machine_id": m.id, "pool": service, "state": "up", "zone": "kelso", "labels": m.executor.labels,
			"capacity": map[string]int{"cpu": capacityCPU, "mem_mb": capacityMem, "gpu": 0}, "id": m.executor.id,
		}
		if m.down {
			row["state"], row["id"] = "upkeep", ""
		}
		rows = append(rows, row)
	}
	reply(w, http.StatusOK, map[string]any{"machines": rows, "next_page_token": nil})
}

func (ms *machines) serveUpkeep(w http.ResponseWriter, req *http.Request) {
	var b struct {
		Machine string `json:"machine_id"`
		Wave    int    `json:"wave"`
	}
	token, err := strconv.ParseUint(req.Header.Get("X-Mimosadock-Fencing-Token"), 10, 64)
	if json.NewDecoder(req.Body).Decode(&b) != nil || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason := ms.upkeep(b.Machine, b.Wave, token)
	ms.rig.log.printf("upkeep of %s in wave %d, holder %s, token %d: %d %s", b.Machine, b.Wave, req.Header.Get("X-Mimosadock-Lease-Holder"), token, status, reason)
	if status == http.StatusConflict {
		reply(w, status, map[string]string{"reason": reason})
		return
	}
	w.WriteHeader(status)
}

func (ms *machines) upkeep(id string, wave int, token uint64) (int, string) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.busy {
		return http.StatusServiceUnavailable, ""
	}
	var m *machine
	for _, x := range ms.list {
		if x.id == id {
			m = x
		}
	}
	switch {
	case m == nil:
		return http.StatusBadRequest, ""
	case token < m.token:
		return http.StatusConflict, "fence"
	case m.waves[wave]:
		m.token = token
		return http.StatusOK, ""
	case m.down:
		m.token = token
		return http.StatusConflict, "busy"
	}
	m.token, m.down, m.waves[wave] = token, true, true
	if ms.begun != nil {
		ms.begun(m)
	}
	m.executor.leave(fmt.Sprintf("upkeep of %s in wave %d", m.id, wave))
	time.AfterFunc(maintenanceTime, func() {
		ms.mu.Lock()
		defer ms.mu.Unlock()
		m.lives++
		m.executor = newExecutor(ms.rig, fmt.Sprintf("%s-%d", m.executor.id[:6], m.lives), m.executor.labels...)
		m.down = false
	})
	return http.StatusOK, ""
}

// hasBegun reports whether the upkeep of a machine in a wave has begun.
func (ms *machines) hasBegun(id string, wave int) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.list {
		if m.id == id {
			return m.waves[wave]
		}
	}
	return false
}

// waveState returns the status that the operator reads for a wave.
func (r *rig) waveState(wave int) string {
	var b struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(r.store.Get("keyed.status", "wave/"+strconv.Itoa(wave)), &b)
	return b.State
}

// waveNotCarriedOut requests two waves of the same eight machines at the same time, or
// one after the other without trouble, and looks for a wave that is said to be
// completed while a machine of it has not begun its upkeep.
func waveNotCarriedOut(recordPath string) {
	r := newRig(recordPath, 12, 2)
	ms := newMachines(r)
	r.startSchedulers(ms.address())
	stop := make(chan struct{})
	loaded := make(chan []*job)
	go func() {
		loaded <- r.load(stop, 250*time.Millisecond, step{Count: 4, CPU: 1000, Mem: 500, Estimate: 500, duration: 500 * time.Millisecond})
	}()
	shared := []string{"m-0100", "m-0101", "m-0102", "m-0103", "m-0104", "m-0105", "m-0106", "m-0107"}
	waves := map[int][]string{1: shared, 2: shared}
	request := func(n int) {
		r.log.printf("op/wave/%d: %s", n, strings.Join(waves[n], " "))
		r.store.Put("keyed.op", "wave/"+strconv.Itoa(n), fleet.Wave(n, waves[n], 60*time.Second, 2))
	}
	request(1)
	if !r.trouble {
		r.await("end of wave 1", 40*time.Second, func() bool { return r.waveState(1) == "completed" })
	}
	request(2)
	var broken []string
	seen := make(map[int]bool)
	r.await("end of the waves", 60*time.Second, func() bool {
		for n, list := range waves {
			if seen[n] || r.waveState(n) != "completed" {
				continue
			}
			seen[n] = true
			r.log.printf("status/wave/%d is completed", n)
			for _, id := range list {
				if !ms.hasBegun(id, n) {
					broken = append(broken, fmt.Sprintf("MIXED: wave %d is said to be completed, and %s, which stays, has not begun its upkeep of wave %d", n, id, n))
				}
			}
		}
		return len(seen) == len(waves)
	})
	time.Sleep(6 * time.Second)
	for n, list := range waves {
		for _, id := range list {
			r.log.printf("upkeep of %s in wave %d begun by the end: %t", id, n, ms.hasBegun(id, n))
		}
	}
	close(stop)
	<-loaded
	r.finish(broken)
}

// upkeepOnStaleStatus makes the machines API unavailable for 4.9 s while a machine is
// evacuated. Meanwhile a job of lasting tasks comes that fits only on that machine. It
// looks for an upkeep that ends more tasks of a step at work than its miss budget.
func upkeepOnStaleStatus(recordPath string) {
	const (
		outage   = 4900 * time.Millisecond
		taskTime = 3 * time.Second // of the task that is evacuated last
		missable = 1
	)
	r := newRig(recordPath, 4, 2)
	ms := newMachines(r)
	var broken []string
	ms.begun = func(m *machine) {
		atWork := make(map[string]int)
		m.executor.mu.Lock()
		defer m.executor.mu.Unlock()
		for _, x := range m.executor.running {
			if x.step.Miss > 0 && x.percent() == 100 {
				atWork[x.task[:strings.LastIndexByte(x.task, '.')]]++
			}
		}
		for name, n := range atWork {
			if n > missable {
				broken = append(broken, fmt.Sprintf("AVAIL: the upkeep of %s ends %d tasks at work of step %s with miss_budget %d", m.id, n, name, missable))
			}
		}
	}
	setBusy := func(on bool) {
		ms.mu.Lock()
		defer ms.mu.Unlock()
		ms.busy = on
		r.log.printf("the machines API is unavailable: %t", on)
	}
	r.startSchedulers(ms.address())
	// Lasting tasks leave 3 cores free on three of the four machines.
	if _, ok := r.submit(step{Count: 3, CPU: 13000, Mem: 6400, Estimate: 270, Perpetual: true, Apart: 1, Image: "im-1"}); !ok {
		cannotRun("a submission was not accepted")
	}
	time.Sleep(2 * time.Second)
	if _, ok := r.submit(step{Count: 1, CPU: 3500, Mem: 1000, Estimate: 3000, duration: taskTime}); !ok {
		cannotRun("a submission was not accepted")
	}
	var chosen *machine
	r.await("start of the batch task", 5*time.Second, func() bool {
		for _, m := range ms.list {
			m.executor.mu.Lock()
			for _, x := range m.executor.running {
				if !x.step.Perpetual {
					chosen = m
				}
			}
			m.executor.mu.Unlock()
		}
		return chosen != nil
	})
	time.Sleep(taskTime - time.Second)
	r.log.printf("op/wave/1: %s", chosen.id)
	r.store.Put("keyed.op", "wave/1", fleet.Wave(1, []string{chosen.id}, 40*time.Second, 1))
	time.Sleep(400 * time.Millisecond)
	if r.trouble {
		setBusy(true)
	}
	up := time.Now().Add(outage)
	r.submit(step{Count: 4, CPU: 3200, Mem: 6400, Estimate: 270, Perpetual: true, Miss: missable, Image: "im-2"})
	time.Sleep(time.Until(up))
	if r.trouble {
		setBusy(false)
	}
	r.await("end of the wave", 40*time.Second, func() bool { return r.waveState(1) == "completed" })
	ms.mu.Lock()
	found := broken
	ms.mu.Unlock()
	r.finish(found)
}
