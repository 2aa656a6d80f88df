package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mimosadock/schedule/group"
)

// The settings of the programs. The crowds exceed them by far if a program keeps
// all that it receives.
const (
	hostMemory     = 64  // MiB
	maxDescriptors = 600 // 200 of them for files
)

const (
	sampleInterval = 10 * time.Millisecond
	retryInterval  = 100 * time.Millisecond
	settledSamples = 5    // without growth, retryInterval apart
	settledGrowth  = 1024 // KiB between two samples that count as none
	// hangTimeout bounds the wait for an answer after which a program counts as
	// hung.
	hangTimeout = 60 * time.Second
)

// programs is the folder of the executables, which TestMain builds.
var programs string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the programs, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir) //nolint:errcheck // a temporary folder
	programs = dir
	out, err := exec.Command("go", "build", "-o", dir+"/", "mimosadock/scheduler", "mimosadock/entry", "mimosadock/standin", "mimosadock/load").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// program is a running program.
type program struct {
	t       *testing.T
	command *exec.Cmd
	output  bytes.Buffer
	ended   chan struct{}
	group   group.Group
	peak    atomic.Int64 // largest number of open descriptors seen
	unread  int          // largest result of unread seen
}

// start starts a program and ends it at the end of the test.
func start(t *testing.T, env []string, name string, args ...string) *program {
	p := &program{t: t, ended: make(chan struct{}), command: exec.Command(filepath.Join(programs, name), args...)}
	p.command.Env = append(os.Environ(), env...)
	p.command.Stdout, p.command.Stderr = &p.output, &p.output
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	p.group.Go("wait", func(context.Context) error {
		defer close(p.ended)
		_ = p.command.Wait() // an error is expected: a signal ends the program
		return nil
	})
	p.group.Go("descriptors", p.watchDescriptors)
	t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGKILL) // fails if it has ended
		_ = p.group.Wait()                            // returns no error
		if t.Failed() {
			t.Logf("last output of %s:\n%s", name, p.output.Bytes()[max(0, p.output.Len()-2000):])
		}
	})
	return p
}

// watchDescriptors samples the number of open descriptors until the program ends.
func (p *program) watchDescriptors(context.Context) error {
	for {
		select {
		case <-p.ended:
			return nil
		case <-time.After(sampleInterval):
			open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
			if err == nil {
				p.peak.Store(max(p.peak.Load(), int64(len(open))))
			}
		}
	}
}

// memory returns a figure of the program's memory in KiB: VmRSS, which is resident
// now, or VmHWM, its peak. It is 0 if the program has ended.
func (p *program) memory(figure string) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), figure+":")
	n, _ := strconv.Atoi(strings.Fields(rest + " 0")[0])
	return n
}

// unread returns the bytes in KiB that have arrived for the programs of the test and
// wait in the kernel, also on connections that they have not accepted.
func unread(t *testing.T) int {
	sockets, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	sum := 0
	for line := range strings.Lines(string(sockets)) {
		var n int
		var local, remote string
		var state, sent, received uint32
		_, err := fmt.Sscanf(line, "%d: %s %s %x %x:%x", &n, &local, &remote, &state, &sent, &received)
		const listening = 0x0a // then the figure is the number of connections
		if err == nil && state != listening && !strings.HasPrefix(local, "0100007F") {
			sum += int(received)
		}
	}
	return sum >> 10
}

// settle waits until the program has read what the crowd has sent: its memory and
// its number of descriptors have not grown for a while. It gives up after
// hangTimeout.
func (p *program) settle() {
	memory, descriptors, unchanged := 0, int64(0), 0
	for end := time.Now().Add(hangTimeout); unchanged < settledSamples && time.Now().Before(end); unchanged++ {
		time.Sleep(retryInterval)
		p.unread = max(p.unread, unread(p.t))
		if m, d := p.memory("VmHWM"), p.peak.Load(); m > memory+settledGrowth || d > descriptors {
			memory, descriptors, unchanged = m, d, 0
		}
	}
}

// check fails the test if the program has ended or has used more memory or
// descriptors than its settings allow.
func (p *program) check() {
	select {
	case <-p.ended:
		p.t.Error("the program has ended")
		return
	default:
	}
	memory, descriptors := p.memory("VmHWM"), p.peak.Load()
	p.unread = max(p.unread, unread(p.t))
	p.t.Logf("peak memory %.1f MiB and %.1f MiB in the kernel of %d, descriptors %d of %d",
		float64(memory)/1024, float64(p.unread)/1024, hostMemory, descriptors, maxDescriptors)
	if memory+p.unread > hostMemory<<10 {
		p.t.Errorf("peak memory is %d KiB and %d KiB in the kernel, must be at most %d together", memory, p.unread, hostMemory<<10)
	}
	if descriptors > maxDescriptors {
		p.t.Errorf("%d descriptors were open, must be at most %d", descriptors, maxDescriptors)
	}
}

// awaitOK sends a request on new connections until the answer is 200. A refused
// caller retries, so that other answers are no failure.
func (p *program) awaitOK(method, url, body string) {
	p.t.Helper()
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := "no attempt"
	for end := time.Now().Add(hangTimeout); time.Now().Before(end); time.Sleep(retryInterval) {
		req, err := http.NewRequest(method, url, strings.NewReader(body))
		if err != nil {
			p.t.Fatal(err)
		}
		if strings.Contains(url, "/q/") {
			req.Host = "q.example"
		}
		resp, err := client.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		answer, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		last = fmt.Sprintf("%d %s", resp.StatusCode, answer)
	}
	p.t.Errorf("%s %s: no answer with status 200 within %s, last: %s", method, url, hangTimeout, last)
}
