package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Machines simulates the machines API. Each machine runs one executor at a time
// and starts a new one after each maintenance. Use [NewMachines].
type Machines struct {
	// MaintenanceDuration is how long a machine is down for maintenance.
	MaintenanceDuration time.Duration

	server   *httptest.Server
	start    func(id string) *Executor
	mu       sync.Mutex
	machines []*machine
	maxDown  int // highest number of machines that were down at once
	closed   bool
}

type machine struct {
	id           string
	restarts     int
	executor     *Executor
	startedWaves map[int64]bool // waves whose maintenance has started on this machine
	token        uint64
	down         bool
}

// NewMachines starts n machines. It calls start with the executor's id for each
// executor that a machine runs.
func NewMachines(n int, start func(id string) *Executor) *Machines {
	m := &Machines{MaintenanceDuration: 300 * time.Millisecond, start: start}
	for i := range n {
		r := &machine{id: "m-" + strconv.Itoa(i), startedWaves: make(map[int64]bool)}
		r.executor = start(r.executorID())
		m.machines = append(m.machines, r)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", m.serveList)
	mux.HandleFunc("POST /-/machine-upkeep", m.serveMaintenance)
	m.server = httptest.NewServer(mux)
	return m
}

func (r *machine) executorID() string { return fmt.Sprintf("i-%s-%d", r.id, r.restarts) }

// Address returns the address of the API as "ip:port".
func (m *Machines) Address() string { return m.server.Listener.Addr().String() }

// Close stops the API and the executors.
func (m *Machines) Close() {
	m.server.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for _, r := range m.machines {
		if !r.down {
			r.executor.Close()
		}
	}
}

// MaintenanceCounts returns the number of machines whose maintenance in the wave
// has started, and the highest number of machines that were down at once in any
// wave.
func (m *Machines) MaintenanceCounts(wave int64) (started, maxDown int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.machines {
		if r.startedWaves[wave] {
			started++
		}
	}
	return started, m.maxDown
}

func (m *Machines) serveList(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := []map[string]any{}
	for _, r := range m.machines {
		state, id := "up", r.executorID()
		if r.down {
			state, id = "upkeep", ""
		}
		rows = append(rows, map[string]any{"machine_id": r.id, "pool": "s", "state": state, "zone": "a", "id": id})
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "next_page_token": nil})
}

func (m *Machines) serveMaintenance(w http.ResponseWriter, req *http.Request) {
	var b struct {
		Machine string `json:"machine_id"`
		Wave    int64  `json:"wave"`
	}
	token, err := strconv.ParseUint(req.Header.Get("X-Mimosadock-Fencing-Token"), 10, 64)
	if json.NewDecoder(req.Body).Decode(&b) != nil || err != nil || req.Header.Get("X-Mimosadock-Lease-Holder") == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	i := slices.IndexFunc(m.machines, func(r *machine) bool { return r.id == b.Machine })
	if i < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r := m.machines[i]
	switch {
	case token < r.token:
		writeJSON(w, http.StatusConflict, map[string]string{"reason": "fence"})
		return
	case r.startedWaves[b.Wave]:
		writeJSON(w, http.StatusOK, map[string]any{})
		return
	case r.down:
		writeJSON(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	r.token, r.down, r.startedWaves[b.Wave] = token, true, true
	r.executor.Leave()
	down := 0
	for _, o := range m.machines {
		if o.down {
			down++
		}
	}
	m.maxDown = max(m.maxDown, down)
	time.AfterFunc(m.MaintenanceDuration, func() { m.endMaintenance(r) })
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (m *Machines) endMaintenance(r *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	r.restarts++
	r.executor, r.down = m.start(r.executorID()), false
}
