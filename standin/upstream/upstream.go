package upstream

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Upstream is one executor. The zero value is ready to use as a handler.
//
// The query parameter ms of a request says how long it takes; the body comes
// back as the answer.
type Upstream struct {
	inFlight atomic.Int64
	peak     atomic.Int64
	mu       sync.Mutex
	ran      map[string]int
}

// ServeHTTP runs one request.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := u.inFlight.Add(1)
	defer u.inFlight.Add(-1)
	u.raisePeak(n)
	u.count(r.Header.Get("Mimosa-Request-Id"))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("ms"))
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Mimosa-Load", strconv.FormatInt(n, 10))
	fmt.Fprintf(w, "%s", body)
}

func (u *Upstream) raisePeak(n int64) {
	for {
		p := u.peak.Load()
		if n <= p || u.peak.CompareAndSwap(p, n) {
			return
		}
	}
}

func (u *Upstream) count(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ran == nil {
		u.ran = make(map[string]int)
	}
	u.ran[id]++
}

// Peak returns the most requests that ran at once.
func (u *Upstream) Peak() int64 { return u.peak.Load() }

// Ran returns how often the request with the given id started to run.
func (u *Upstream) Ran(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[id]
}
