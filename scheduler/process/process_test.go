package process

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosadock/schedule/group"
	"mimosadock/standin/fleet"
)

// cluster is a simulated platform with scheduler processes that run inside the
// test.
type cluster struct {
	t         *testing.T
	store     *fleet.Store
	machines  string // address of the machines API
	advisor   string // address of the advisor
	mu        sync.Mutex
	runs      map[string][]fleet.Run
	processes []*testProcess
}

// testProcess is a scheduler process of a cluster.
type testProcess struct {
	callerAddress string
	peerAddress   string
	stop          func()
	done          chan struct{}
}

func newCluster(t *testing.T, executors int) *cluster {
	s := &cluster{t: t, store: fleet.NewStore(), runs: make(map[string][]fleet.Run)}
	t.Cleanup(s.store.Close)
	for i := range executors {
		t.Cleanup(s.executor("i-" + strconv.Itoa(i)).Close)
	}
	s.store.Put("keyed.op", "config", fleet.Config(1, "s", "q.example", "/q/"))
	return s
}

// executor starts an executor whose runs are recorded in s.runs.
func (s *cluster) executor(id string) *fleet.Executor {
	x := fleet.NewExecutor(s.store, id, "s")
	x.OnStart = func(r fleet.Run) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.runs[r.Task] = append(s.runs[r.Task], r)
	}
	return x
}

// start starts a scheduler process and stops it at the end of the test.
func (s *cluster) start() *testProcess {
	host, err := fleet.ReserveLoopback()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(host.Close)
	path := filepath.Join(s.t.TempDir(), "node.yaml")
	text := fmt.Sprintf("node_name: n\nip: %s\nbind_addresses: {frontend: %q, ready: %q}\nport_range: [%d, %d]\nbounds: {max_hold_ms: 6000, grace_s: 2}\nplatform: {address: %q, min_ttl_ms: 1000}\ncloud_api: {address: %q}\nadvice: %q\n",
		host.IP(), host.Address(0), host.Address(1), host.Port(2), host.Port(3), s.store.Address(), s.machines, s.advisor)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	p, err := Open(Settings{PlatformFile: path, Shards: 2, TTL: 1200, Lease: 3500, LogLevel: "error"})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &testProcess{callerAddress: host.Address(0), peerAddress: host.Address(2), stop: cancel, done: make(chan struct{})}
	g := new(group.Group)
	g.Go("process", func(context.Context) error {
		defer close(r.done)
		return p.run(ctx)
	})
	s.t.Cleanup(func() {
		cancel()
		<-r.done
		if err := g.Wait(); err != nil {
			s.t.Error(err)
		}
	})
	s.processes = append(s.processes, r)
	return r
}

// call sends a request for a job or the pending count; see [cluster.callPath].
func (s *cluster) call(p *testProcess, method, id, body string) (int, string) {
	return s.callPath(p, method, "/q/"+id, body)
}

// callPath repeats a request until the response status is neither 503 nor 504, and
// returns the status and the body.
func (s *cluster) callPath(p *testProcess, method, path, body string) (int, string) {
	deadline := time.Now().Add(20 * time.Second)
	for {
		req, err := http.NewRequest(method, "http://"+p.callerAddress+path, strings.NewReader(body))
		if err != nil {
			s.t.Fatal(err)
		}
		req.Host = "q.example"
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			b, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusGatewayTimeout {
				return resp.StatusCode, string(b)
			}
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("%s %s: no final response within 20 s, last error %v", method, path, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// await polls a job until it is in the given state.
func (s *cluster) await(p *testProcess, id, state string) {
	deadline := time.Now().Add(30 * time.Second)
	for {
		_, body := s.call(p, http.MethodGet, id, "")
		if strings.Contains(body, state) {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("job %s is %s, want %s", id, body, state)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

const twoSteps = `{"spec":"x","steps":[{"count":3,"cpu":1000,"mem_mb":100,"estimated_ms":50},{"count":2,"cpu":1000,"mem_mb":100,"estimated_ms":50,"after":[0]}]}`

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// checkRunOnce checks that the given number of tasks ran, each exactly once.
func (s *cluster) checkRunOnce(tasks int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.runs) != tasks {
		s.t.Errorf("%d tasks ran, want %d", len(s.runs), tasks)
	}
	for task, runs := range s.runs {
		if len(runs) != 1 {
			s.t.Errorf("%s ran %d times: %v", task, len(runs), runs)
		}
	}
}

// TestJobRunsOnce guards against failures on the path of a job from end to end:
// one process accepts the job, its steps run once and in order, and another
// process reports its state.
func TestJobRunsOnce(t *testing.T) {
	is := is.New(t)
	s := newCluster(t, 3)
	a, b := s.start(), s.start()
	for i := range 6 {
		status, _ := s.call(a, http.MethodPost, jobID(i), twoSteps)
		is.Equal(status, http.StatusOK)
	}
	for i := range 6 {
		s.await(b, jobID(i), "completed")
	}
	s.checkRunOnce(6 * 5)
}

// TestLostResponsesOfTheStore guards against an append that is retried under
// another sequence number after its response was lost.
func TestLostResponsesOfTheStore(t *testing.T) {
	is := is.New(t)
	s := newCluster(t, 2)
	a := s.start()
	status, _ := s.call(a, http.MethodPost, jobID(1), twoSteps)
	is.Equal(status, http.StatusOK)
	s.store.LoseAnswers.Store(true)
	timer := time.AfterFunc(700*time.Millisecond, func() { s.store.LoseAnswers.Store(false) })
	defer timer.Stop()
	status, _ = s.call(a, http.MethodPost, jobID(2), twoSteps)
	is.Equal(status, http.StatusOK)
	s.await(a, jobID(1), "completed")
	s.await(a, jobID(2), "completed")
	s.checkRunOnce(10)
}

// TestOwnersMoveWhenAProcessStops guards against shards without an owner after a
// process has stopped. A join that followed its leave made it a member again.
func TestOwnersMoveWhenAProcessStops(t *testing.T) {
	is := is.New(t)
	s := newCluster(t, 2)
	a := s.start()
	status, _ := s.call(a, http.MethodPost, jobID(1), twoSteps)
	is.Equal(status, http.StatusOK)
	b := s.start()
	a.stop()
	<-a.done
	for _, m := range s.store.Members() {
		is.True(!strings.HasPrefix(m, a.peerAddress+"/")) // no join after the leave
	}
	for i := 2; i < 6; i++ {
		status, _ := s.call(b, http.MethodPost, jobID(i), twoSteps)
		is.Equal(status, http.StatusOK)
	}
	for i := 1; i < 6; i++ {
		s.await(b, jobID(i), "completed")
	}
	s.checkRunOnce(5 * 5)
}

// TestResponseStatuses guards against a caller that takes a final outcome for a
// retryable one, or the reverse, because a reply is mapped to the wrong HTTP
// status.
func TestResponseStatuses(t *testing.T) {
	s := newCluster(t, 1)
	a := s.start()
	if status, _ := s.call(a, http.MethodPost, jobID(1), twoSteps); status != http.StatusOK {
		t.Fatalf("submission: response status %d, want 200", status)
	}
	for name, c := range map[string]struct {
		method, id, body string
		status           int
	}{
		"repeated submission": {http.MethodPost, jobID(1), twoSteps, http.StatusOK},
		"unknown job":         {http.MethodGet, jobID(99), "", http.StatusGone},
		"invalid id":          {http.MethodGet, "zz", "", http.StatusBadRequest},
		"no steps":            {http.MethodPost, jobID(2), `{"spec":"x","steps":[]}`, http.StatusBadRequest},
		"step after itself":   {http.MethodPost, jobID(3), `{"steps":[{"count":1,"after":[0]}]}`, http.StatusBadRequest},
		"not JSON":            {http.MethodPost, jobID(4), "{", http.StatusBadRequest},
		"pending count":       {http.MethodGet, "", "", http.StatusOK},
		"cancel":              {http.MethodDelete, jobID(1), "", http.StatusOK},
		"cancel unknown job":  {http.MethodDelete, jobID(98), "", http.StatusGone},
		"unsupported method":  {http.MethodPut, jobID(1), "", http.StatusMethodNotAllowed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status, _ := s.call(a, c.method, c.id, c.body)
			is.Equal(status, c.status)
		})
	}
}
