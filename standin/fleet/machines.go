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

// Machines is a stand-in of the machines API. Each machine runs one executor
// after the other. Use [NewMachines].
type Machines struct {
	// DownFor is how long an upkeep takes.
	DownFor time.Duration

	server *httptest.Server
	start  func(id string) *Executor
	mu     sync.Mutex
	rows   []*machine
	most   int // machines that were down at once
	closed bool
}

type machine struct {
	id       string
	lives    int
	executor *Executor
	upkeeps  map[int64]bool // by wave
	token    uint64
	down     bool
}

// NewMachines starts machines, and an executor on each by start, which gets the
// executor's id.
func NewMachines(n int, start func(id string) *Executor) *Machines {
	m := &Machines{DownFor: 300 * time.Millisecond, start: start}
	for i := range n {
		r := &machine{id: "m-" + strconv.Itoa(i), upkeeps: make(map[int64]bool)}
		r.executor = start(r.life())
		m.rows = append(m.rows, r)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", m.serveList)
	mux.HandleFunc("POST /-/machine-upkeep", m.serveUpkeep)
	m.server = httptest.NewServer(mux)
	return m
}

func (r *machine) life() string { return fmt.Sprintf("i-%s-%d", r.id, r.lives) }

// Address returns the address of the API.
func (m *Machines) Address() string { return m.server.Listener.Addr().String() }

// Close stops the API and the executors.
func (m *Machines) Close() {
	m.server.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for _, r := range m.rows {
		if !r.down {
			r.executor.Close()
		}
	}
}

// Upkeeps returns how many machines had their upkeep in a wave, and how many
// machines were down at once at most.
func (m *Machines) Upkeeps(wave int64) (had, most int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.rows {
		if r.upkeeps[wave] {
			had++
		}
	}
	return had, m.most
}

func (m *Machines) serveList(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := []map[string]any{}
	for _, r := range m.rows {
		state, id := "up", r.life()
		if r.down {
			state, id = "upkeep", ""
		}
		rows = append(rows, map[string]any{"machine_id": r.id, "pool": "s", "state": state, "zone": "a", "id": id})
	}
	answer(w, http.StatusOK, map[string]any{"machines": rows, "next_page_token": nil})
}

func (m *Machines) serveUpkeep(w http.ResponseWriter, req *http.Request) {
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
	i := slices.IndexFunc(m.rows, func(r *machine) bool { return r.id == b.Machine })
	if i < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r := m.rows[i]
	switch {
	case token < r.token:
		answer(w, http.StatusConflict, map[string]string{"reason": "fence"})
		return
	case r.upkeeps[b.Wave]:
		answer(w, http.StatusOK, map[string]any{})
		return
	case r.down:
		answer(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	r.token, r.down, r.upkeeps[b.Wave] = token, true, true
	r.executor.Leave()
	down := 0
	for _, o := range m.rows {
		if o.down {
			down++
		}
	}
	m.most = max(m.most, down)
	time.AfterFunc(m.DownFor, func() { m.up(r) })
	answer(w, http.StatusOK, map[string]any{})
}

func (m *Machines) up(r *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	r.lives++
	r.executor, r.down = m.start(r.life()), false
}
