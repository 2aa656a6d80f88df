package fleet

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Advisor simulates the service that decides which executors may run a step. It
// issues the same ticket to all of them. Use [NewAdvisor].
type Advisor struct {
	// TicketValidity is the reported validity of a ticket.
	TicketValidity time.Duration

	server  *httptest.Server
	allowed map[string]bool
	mu      sync.Mutex
	calls   int
}

// Ticket is the only ticket that an [Advisor] issues and executors accept.
const Ticket = "t"

// NewAdvisor starts a service that issues tickets for the executors with the
// given ids only.
func NewAdvisor(allowed ...string) *Advisor {
	a := &Advisor{TicketValidity: time.Minute, allowed: make(map[string]bool)}
	for _, id := range allowed {
		a.allowed[id] = true
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/advise", a.serve)
	a.server = httptest.NewServer(mux)
	return a
}

// Address returns the address of the service as "ip:port".
func (a *Advisor) Address() string { return a.server.Listener.Addr().String() }

// Close stops the service.
func (a *Advisor) Close() { a.server.Close() }

func (a *Advisor) serve(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil || b.Step == "" || len(b.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	eligible := [][]string{}
	for _, id := range b.Workers {
		if a.allowed[id] {
			eligible = append(eligible, []string{id, Ticket})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"eligible": eligible, "valid_ms": a.TicketValidity.Milliseconds()})
}
