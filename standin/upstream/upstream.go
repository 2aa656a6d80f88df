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

// Mode is how an upstream fails.
type Mode int32

// The modes. ResetBefore resets the connection before the request was read;
// ResetAfter and Truncate fail after it ran; Silent runs it and never answers;
// WrongLoad reports a load of zero; Busy answers 503 and does not run it.
// Refused connections are made with [Server.Refuse].
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

const slowModeDelay = 100 * time.Millisecond

// Upstream is one executor. The zero value is ready to use as a handler.
//
// The query parameter ms of a request says how long it takes; the body comes
// back as the answer.
type Upstream struct {
	mode      atomic.Int32
	inFlight  atomic.Int64
	peak      atomic.Int64
	mu        sync.Mutex
	runCounts map[string]int
	hold      chan struct{} // closed when held requests may go on; nil if none are held
}

// SetMode makes the upstream fail from the next request on.
func (u *Upstream) SetMode(m Mode) { u.mode.Store(int32(m)) }

// Hold makes requests that start from now on run until the returned function is
// called.
func (u *Upstream) Hold() (release func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	held := make(chan struct{})
	u.hold = held
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.hold = nil
		close(held)
	}
}

// waitForRelease waits for the end of a hold and reports false if the caller goes away.
func (u *Upstream) waitForRelease(r *http.Request) bool {
	u.mu.Lock()
	held := u.hold
	u.mu.Unlock()
	if held == nil {
		return true
	}
	select {
	case <-held:
		return true
	case <-r.Context().Done():
		return false
	}
}

// ServeHTTP runs one request.
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

// reset closes the connection in a way that the peer sees as a reset.
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

// InFlight returns the requests that run now.
func (u *Upstream) InFlight() int64 { return u.inFlight.Load() }

// Peak returns the most requests that ran at once.
func (u *Upstream) Peak() int64 { return u.peak.Load() }

// Ran returns how often the request with the given id started to run.
func (u *Upstream) Ran(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runCounts[id]
}
