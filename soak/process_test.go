package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"mimosadock/standin/fleet"
)

// program is the path of the scheduler's executable, which TestMain builds.
var program string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the scheduler, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir) //nolint:errcheck // a temporary folder
	program = filepath.Join(dir, "scheduler")
	out, err := exec.Command("go", "build", "-o", program, "mimosadock/scheduler").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a scheduler that runs as a separate program. It can be started
// again after it has ended.
type process struct {
	t             *testing.T
	name          string
	settings      string // path of the settings file
	host          *fleet.Loopback
	callerAddress string // address that serves callers
	storeProxy    *Proxy // from the process to the store
	client        *http.Client

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	output  bytes.Buffer
}

// newProcess returns a process with its settings file and its proxy to the
// store. The process is not started. It has a loopback address of its own, so that
// nothing else gets its ports while it is down.
func newProcess(t *testing.T, n int, store string) (*process, error) {
	proxy, err := OpenProxy(store)
	if err != nil {
		return nil, err
	}
	host, err := fleet.ReserveLoopback()
	if err != nil {
		return nil, err
	}
	t.Cleanup(host.Close)
	p := &process{
		t: t, name: "p" + strconv.Itoa(n), host: host, callerAddress: host.Address(0), storeProxy: proxy, settings: filepath.Join(t.TempDir(), "node.yaml"),
		client: &http.Client{Timeout: 4 * time.Second},
	}
	text := fmt.Sprintf("node_name: %q\nip: %s\nbind_addresses: {frontend: %q, ready: %q}\nport_range: [%d, %d]\nlimits: {memory_mb: 64, max_fds: 600}\nbounds: {max_hold_ms: 6000, grace_s: 2}\nplatform: {address: %q, min_ttl_ms: 1000}\n",
		p.name, host.IP(), host.Address(0), host.Address(1), host.Port(2), host.Port(3), proxy.Address())
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return p, nil
}

// start starts the program unless it is running.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return
	}
	c := exec.Command(program, "--shards", strconv.Itoa(shardCount), "--lease", "3s")
	c.Env = append(os.Environ(), "MIMOSADOCK_CONFIG="+p.settings)
	c.Stdout, c.Stderr = &p.output, &p.output
	if err := c.Start(); err != nil {
		p.t.Error(err)
		return
	}
	exited := make(chan struct{})
	p.command, p.exited = c, exited
	// Wait for the end of the program in another goroutine.
	time.AfterFunc(0, func() {
		_ = c.Wait() // an error is expected: a signal of the scenario ends it
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.command == c {
			p.command = nil
		}
		close(exited)
	})
}

// signal sends a signal to the program, if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s) // fails if the program has just ended
	}
}

// awaitExit waits until the program has ended, at most for the given time.
func (p *process) awaitExit(limit time.Duration) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(limit):
	}
}

// kill kills the program, waits until it has ended and closes the proxy to the
// store for good. The process cannot be used again. It serves to clean up;
// faults use signal.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
	p.storeProxy.Close()
}

// pid returns the id of the program, or 0 if it is not running.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// isRunning reports whether the program is running.
func (p *process) isRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil
}
