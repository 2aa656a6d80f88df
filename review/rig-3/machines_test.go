package rig3

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maintenanceTime is maintenance_s of the settings.
const maintenanceTime = 2 * time.Second

// upkeepOrder is an order to take a machine down that the API has received.
type upkeepOrder struct {
	machine, holder string
	token           uint64
	at              time.Time
	status          int
}

// machines is the platform's API of machines. Each machine runs one executor at a
// time, under a new id after each upkeep.
type machines struct {
	record      *record
	newExecutor func(id string) (*executor, error)
	listener    net.Listener
	server      *http.Server
	// onOrder is called for each order after it was carried out or refused; may be nil.
	onOrder func(upkeepOrder)
	onStop  func(task string, run int, startedAt time.Time)

	mu     sync.Mutex
	rows   []*machine
	orders []upkeepOrder
	closed bool
}

type machine struct {
	id       string
	restarts int
	state    string // up, upkeep or down
	executor *executor
	token    uint64
	waves    map[int64]bool // begun
}

func newMachines(n int, r *record, newExecutor func(id string) (*executor, error)) (*machines, error) {
	m := &machines{record: r, newExecutor: newExecutor}
	for i := range n {
		row := &machine{id: fmt.Sprintf("m-%05x", i+1), state: "up", waves: make(map[int64]bool)}
		x, err := newExecutor(row.executorID())
		if err != nil {
			return m, err
		}
		row.executor = x
		m.rows = append(m.rows, row)
	}
	var err error
	if m.listener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return m, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", m.list)
	mux.HandleFunc("POST /-/machine-upkeep", m.upkeep)
	m.server = &http.Server{Handler: mux}
	go func() { _ = m.server.Serve(m.listener) }() // ends with the deployment
	return m, nil
}

func (r *machine) executorID() string { return fmt.Sprintf("i-%s-%d", r.id[2:], r.restarts) }

func (m *machines) address() string { return m.listener.Addr().String() }

// each calls f for each machine that is up.
func (m *machines) each(f func(*machine)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.rows {
		if r.state == "up" {
			f(r)
		}
	}
}

func (m *machines) list(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := []map[string]any{}
	for _, r := range m.rows {
		row := map[string]any{
			"machine_id": r.id, "pool": service, "state": r.state, "zone": zone, "labels": []string{"a", "r1-1"},
			"capacity": map[string]int{"cpu": r.executor.cpu, "mem_mb": r.executor.mem, "gpu": 0}, "id": nil,
		}
		if r.state == "up" {
			row["id"] = r.executorID()
		}
		rows = append(rows, row)
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "next_page_token": nil})
}

func (m *machines) upkeep(w http.ResponseWriter, req *http.Request) {
	var b struct {
		Machine string `json:"machine_id"`
		Wave    int64  `json:"wave"`
	}
	token, err := strconv.ParseUint(req.Header.Get("X-Mimosadock-Fencing-Token"), 10, 64)
	if json.NewDecoder(req.Body).Decode(&b) != nil || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o := upkeepOrder{machine: b.Machine, holder: req.Header.Get("X-Mimosadock-Lease-Holder"), token: token, at: time.Now()}
	m.mu.Lock()
	status, reason := m.carryOut(b.Machine, b.Wave, token)
	o.status = status
	m.orders = append(m.orders, o)
	m.mu.Unlock()
	m.record.add("upkeep of %s in wave %d ordered by %s with token %d: %d %s", b.Machine, b.Wave, o.holder, token, status, reason)
	if m.onOrder != nil {
		m.onOrder(o)
	}
	if status == http.StatusOK {
		writeJSON(w, status, map[string]any{})
		return
	}
	writeJSON(w, status, map[string]string{"reason": reason})
}

func (m *machines) carryOut(id string, wave int64, token uint64) (status int, reason string) {
	for _, r := range m.rows {
		if r.id != id {
			continue
		}
		switch {
		case token < r.token:
			return http.StatusConflict, "fence"
		case r.waves[wave]:
			r.token = token
			return http.StatusOK, "done already"
		case r.state != "up" || m.closed:
			r.token = token
			return http.StatusConflict, "busy"
		}
		r.token, r.state, r.waves[wave] = token, "upkeep", true
		r.executor.end(true)
		time.AfterFunc(maintenanceTime, func() { m.finish(r) })
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}

// finish ends the upkeep of a machine: a new executor joins.
func (m *machines) finish(r *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	r.restarts++
	x, err := m.newExecutor(r.executorID())
	if err != nil {
		m.record.add("executor %s can't be started: %v", r.executorID(), err)
		return
	}
	x.onStop = m.onStop
	r.executor, r.state = x, "up"
	m.record.add("upkeep of %s ends, executor %s joins", r.id, x.id)
}

// lose ends the executor of a machine for good, without notice.
func (m *machines) lose(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.rows {
		if r.id == id {
			r.state = "down"
			r.executor.end(false)
		}
	}
}

// setOnStop sets the function that is called for each run that an order stops.
func (m *machines) setOnStop(f func(task string, run int, startedAt time.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onStop = f
	for _, r := range m.rows {
		r.executor.onStop = f
	}
}

func (m *machines) close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	_ = m.server.Close() // it ends in any case
	for _, r := range m.rows {
		r.executor.end(true)
	}
}
