package rig

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// advisor is a stand-in of the service for advice: it decides by a fixed set which
// executors may run the steps of the queue.
type advisor struct {
	eligible  map[string]bool
	decision  time.Duration
	perWorker time.Duration
	valid     time.Duration
	log       *recorder

	turn   sync.Mutex // one call at a time
	mu     sync.Mutex
	expiry map[string]time.Time // by ticket
}

func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil || b.Step == "" || len(b.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.turn.Lock()
	defer a.turn.Unlock()
	time.Sleep(a.decision + time.Duration(len(b.Workers))*a.perWorker)
	rows := [][]string{}
	a.mu.Lock()
	for _, id := range b.Workers {
		if a.eligible[id] {
			ticket := b.Step + "/" + id + "/" + fmt.Sprint(len(a.expiry))
			a.expiry[ticket] = time.Now().Add(a.valid)
			rows = append(rows, []string{id, ticket})
		}
	}
	a.mu.Unlock()
	a.log.add("advice for %s: %d workers are named, %d may run it", b.Step, len(b.Workers), len(rows))
	answer(w, http.StatusOK, map[string]any{"eligible": rows, "valid_ms": a.valid.Milliseconds()})
}

// accepts reports whether an executor accepts a ticket for a task.
func (a *advisor) accepts(ticket, task, executor string) bool {
	step := task[:max(0, strings.LastIndexByte(task, '.'))]
	a.mu.Lock()
	defer a.mu.Unlock()
	return strings.HasPrefix(ticket, step+"/"+executor+"/") && time.Now().Before(a.expiry[ticket])
}
