package fleet

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	goroutines "mimosadock/schedule/group"
)

// TestOrdersForAnotherExecutorAreRefused guards against an executor that carries
// out the orders for one that had its address before.
func TestOrdersForAnotherExecutorAreRefused(t *testing.T) {
	store := NewStore()
	defer store.Close()
	x := NewExecutor(store, "i-1", "s")
	defer x.Close()
	for name, c := range map[string]struct {
		target string
		status int
	}{
		"this executor":    {"i-1", http.StatusOK},
		"another executor": {"i-2", http.StatusMisdirectedRequest},
		"none":             {"", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest(http.MethodPost, x.server.URL+"/-/hold", strings.NewReader(`{"fencing_token":1}`))
			is.NoErr(err)
			if c.target != "" {
				req.Header.Set(targetHeader, c.target)
			}
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, c.status)
		})
	}
}

// endObserver counts the ends of runs that are reported after the end of the
// executor.
type endObserver struct {
	Observer
	ended    atomic.Bool
	lateEnds atomic.Int64
}

func (o *endObserver) RunStarted(Run)       {}
func (o *endObserver) ExecutorEnded(string) { o.ended.Store(true) }
func (o *endObserver) RunEnded(Run, string) {
	if o.ended.Load() {
		o.lateEnds.Add(1)
	}
}

// TestNoRunEndsAfterClose guards against an executor that reports the end of a run
// after its own end: the timer of the run had fired and waited for the lock that
// Close held. A run that nobody can acknowledge then counts as done.
func TestNoRunEndsAfterClose(t *testing.T) {
	is := is.New(t)
	store := NewStore()
	defer store.Close()
	var o endObserver
	x := NewExecutorWithOptions(store, "i-1", "s", Options{Observer: &o})
	x.TaskDuration = 100 * time.Millisecond
	status, _ := x.execute((*Executor).startRun, &order{Task: "a.0.0.0", Run: 1, Deadline: x.clockMillis() + 10_000})
	is.Equal(status, http.StatusOK)
	var g goroutines.Group
	x.mu.Lock()
	g.Go("close", func(context.Context) error { x.Close(); return nil })
	time.Sleep(3 * x.TaskDuration) // Close waits for the lock first, then the timer of the run
	x.mu.Unlock()
	is.NoErr(g.Wait())
	time.Sleep(x.TaskDuration)
	is.Equal(o.lateEnds.Load(), int64(0)) // ends reported after the end of the executor
}
