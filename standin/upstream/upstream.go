package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

//go:generate go tool stringer -type=Mode -linecomment

// Mode is the way in which an upstream fails.
type Mode int32

// The modes of an upstream. Healthy answers without a failure. ResetBefore
// resets the connection before the request is read. ResetAfter runs the request
// and resets the connection; Truncate runs it and sends half of the answer.
// Silent runs the request and never answers. Slow adds a delay to its run time.
// WrongLoad reports a load of zero in the header Mimosa-Load instead of the
// number of requests in flight. Busy answers 503 without running the request.
// For refused connections use [Server.Refuse].
const (
	Healthy     Mode = iota // healthy
	ResetBefore             // resetBefore
	ResetAfter              // resetAfter
	Truncate                // truncate
	Silent                  // silent
	Slow                    // slow
	WrongLoad               // wrongLoad
	Busy                    // busy
)

// slowModeDelay is the delay that [Slow] adds to each request.
const slowModeDelay = 100 * time.Millisecond

// Upstream simulates one upstream. The zero value is ready to use as a handler.
//
// The query parameter ms of a request sets its run time in milliseconds. The
// body of the request is returned as the answer.
type Upstream struct {
	mode           atomic.Int32
	inFlight       atomic.Int64
	peak           atomic.Int64
	mu             sync.Mutex
	runCounts      map[string]int
	answersBlocked chan struct{} // closed to release the blocked answers; nil if answers are not blocked
}

// SetMode sets the mode of all later requests.
func (u *Upstream) SetMode(m Mode) { u.mode.Store(int32(m)) }

// BlockAnswers keeps the answers to requests back until the returned function is
// called. The requests stay in flight. The function must be called once.
func (u *Upstream) BlockAnswers() (release func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	blocked := make(chan struct{})
	u.answersBlocked = blocked
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.answersBlocked = nil
		close(blocked)
	}
}

// waitForRelease waits until answers are not blocked. It returns false if the
// client disconnects before.
func (u *Upstream) waitForRelease(r *http.Request) bool {
	u.mu.Lock()
	blocked := u.answersBlocked
	u.mu.Unlock()
	if blocked == nil {
		return true
	}
	select {
	case <-blocked:
		return true
	case <-r.Context().Done():
		return false
	}
}

// ServeHTTP runs one request in the current mode.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := u.inFlight.Add(1)
	defer u.inFlight.Add(-1)
	u.updatePeak(n)
	mode := Mode(u.mode.Load())
	switch mode {
	case ResetBefore:
		reset(w)
		return
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.countRun(r.Header.Get("Mimosa-Request-Id"))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("ms"))
	runTime := time.Duration(ms) * time.Millisecond
	if mode == Slow {
		runTime += slowModeDelay
	}
	select {
	case <-time.After(runTime):
	case <-r.Context().Done():
		return
	}
	if u.waitForRelease(r) {
		u.answer(w, r, mode, n, body)
	}
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, mode Mode, load int64, body []byte) {
	switch mode {
	case ResetAfter:
		reset(w)
		return
	case Silent:
		<-r.Context().Done()
		return
	case WrongLoad:
		load = 0
	}
	w.Header().Set("Mimosa-Load", strconv.FormatInt(load, 10))
	if mode == Truncate {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
		fmt.Fprintf(w, "%s", body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "%s", body)
}

// reset closes the connection with a TCP reset.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (u *Upstream) updatePeak(n int64) {
	for {
		p := u.peak.Load()
		if n <= p || u.peak.CompareAndSwap(p, n) {
			return
		}
	}
}

func (u *Upstream) countRun(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.runCounts == nil {
		u.runCounts = make(map[string]int)
	}
	u.runCounts[id]++
}

// InFlight returns the number of requests in flight.
func (u *Upstream) InFlight() int64 { return u.inFlight.Load() }

// MaxInFlight returns the highest number of requests that were in flight at
// once.
func (u *Upstream) MaxInFlight() int64 { return u.peak.Load() }

// RunCount returns the number of times that a request with the given id was
// started.
func (u *Upstream) RunCount(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runCounts[id]
}
