// Package rig is a test binary that runs the cases of the review as scripts: it starts the scheduler
// processes of a small site on stand-ins of the platform, the executors and the
// requesters, and checks one rule from what these have seen.
package rig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mimosadock/standin/fleet"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	caseFailed = 2
)

const (
	service    = "weighbook"
	host       = "novo13.example"
	prefix     = "/gono990/"
	schedulers = 7
)

// rig is a running site.
type rig struct {
	trouble   bool
	log       *record
	dir       string
	store     *fleet.Store
	storeAddr string // where the schedulers reach the store
	executors []*executor
	processes []*process
	runs      history
	gangs     gangs

	mu   sync.Mutex
	jobs map[string]*job
	next int
}

// job is a submission that a client sends.
type job struct {
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	Repeat   int    `json:"repeat_count,omitempty"`
	StartAt  int64  `json:"start_at_ms,omitempty"`
	Interval int64  `json:"interval_ms,omitempty"`
	id       string
}

// process is a scheduler process.
type process struct {
	command *exec.Cmd
	front   string
	ready   string
}

// running holds what has to end with the program.
var running *rig

// cannotRun ends the program because the case can't be run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case can't run: "+format+"\n", args...)
	if running != nil {
		running.close()
	}
	os.Exit(caseFailed)
}

// newRig starts the store and the executors. The record goes to recordPath.
func newRig(recordPath string, executors int, maxAttempts int) *rig {
	f, err := os.Create(recordPath)
	if err != nil {
		cannotRun("%v", err)
	}
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", log: &record{file: f, begun: time.Now()}, store: fleet.NewStore(), jobs: make(map[string]*job)}
	running = r
	r.storeAddr = r.limitedStore()
	if r.dir, err = os.MkdirTemp("", "review"); err != nil {
		cannotRun("%v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() { cannotRun("%v", <-signals) }()
	r.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":1,"routes":[{"name":"r-1","host":%q,"path_prefix":%q,"type":"unsafe","timeout_ms":3000,`+
		`"target_latency_ms":1000,"priority":0,"service":%q,"max_attempts":%d,"slack_factor":2.0}],"services":[{"name":%q,"health_path":"/healthz","max_connections":64,`+
		`"protocol":"h1","tls":false,"enforces_capacity":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		host, prefix, service, maxAttempts, service))
	for i := range executors {
		r.executors = append(r.executors, newExecutor(r, fmt.Sprintf("i-%04x", 4096+i), "a", fmt.Sprintf("r1-%d", i/6)))
	}
	r.log.printf("trouble: %t", r.trouble)
	return r
}

const settings = `node_name: "edge-kelso-%[1]d"
role: "scheduler"
machine_class: "edge"
serves: ["edge"]
ip: "127.0.0.1"
zone: "kelso"
region: "lowlands"
zones: {kelso: "lowlands"}
bind_addresses: {frontend: "127.0.0.1:%[2]d", ready: "127.0.0.1:%[3]d"}
port_range: [%[4]d, %[5]d]
seed_nodes: []
bootstrap: true
limits: {cpu_share: 0.4, cpu_cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
ingress: "vip"
heartbeat_ms: 1100
contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
bounds: {seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_skew_ms: 5000, recovery_s: 12, max_hold_ms: %[7]d, stop_timeout_ms: 200, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, remote_factor: 3, checkpoint_interval_s: 1, restore_ms: 600, notice_ms: 4500, migration_s: 1.5, maintenance_s: 2, require_fencing: true, lease_ms: 3000, thaw_ms: 300, pace_ms: 100, interference_ms: 4000}
control_mode: "request"
platform: {address: %[6]q, form: "log", writes_per_s: 600, reads_per_s: 2000, parts: 24, append_ms: 1.0, partition_mb_s: 20.0, read_mb_s: 80.0, record_bytes: 262144, request_bytes: 2097152, keep_s: 20, partition_mb: 200, min_ttl_ms: 1000}
cloud_api: {address: %[8]q, rate_per_s: 60.0, duties: [], duties_per_s: 60.0}
`

// startSchedulers starts the processes as the deploy file says, and waits until
// they are ready.
func (r *rig) startSchedulers(machinesAPI string) {
	if machinesAPI == "" {
		machinesAPI = "127.0.0.1:1" // nobody answers there
	}
	for i := range schedulers {
		port := freePorts(4)
		path := filepath.Join(r.dir, fmt.Sprintf("node-%d.yaml", i))
		text := fmt.Sprintf(settings, i+1, port, port+1, port+2, port+3, r.storeAddr, maxHoldMillis, machinesAPI)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			cannotRun("%v", err)
		}
		out, err := os.Create(filepath.Join(r.dir, fmt.Sprintf("node-%d.log", i)))
		if err != nil {
			cannotRun("%v", err)
		}
		c := exec.Command("target/scheduler")
		c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MIMOSADOCK_CONFIG=" + path}
		c.Stdout, c.Stderr = out, out
		if err := c.Start(); err != nil {
			cannotRun("%v", err)
		}
		r.processes = append(r.processes, &process{c, localAddress(port), localAddress(port + 1)})
	}
	r.await("readiness of the schedulers", 20*time.Second, func() bool {
		for _, p := range r.processes {
			resp, err := http.Get("http://" + p.ready + "/-/readyz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
	time.Sleep(4 * time.Second) // the members of the group settle
	r.log.printf("all schedulers are ready")
}

// await waits for a condition that the case needs.
func (r *rig) await(what string, limit time.Duration, holds func() bool) {
	for end := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			cannotRun("%s: not within %v", what, limit)
		}
	}
}

// close ends all processes that were started.
func (r *rig) close() {
	for _, p := range r.processes {
		_ = p.command.Process.Signal(syscall.SIGKILL)
		_ = p.command.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs are in", r.dir)
	}
	_ = r.log.file.Close()
}

// finish ends the case with a verdict.
func (r *rig) finish(broken []string) {
	for _, b := range broken {
		r.log.printf("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	fmt.Printf("%d jobs, %d runs, rule broken: %t\n", len(r.jobs), len(r.runs.list()), len(broken) > 0)
	r.log.printf("rule broken: %t", len(broken) > 0)
	r.close()
	if len(broken) > 0 {
		os.Exit(ruleBroken)
	}
	os.Exit(ruleHeld)
}

var client = &http.Client{Timeout: 4 * time.Second}

// call sends one request of a requester and returns the status and the body, or
// the status 0 if there was no answer.
func (r *rig) call(p *process, method, id string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+p.front+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("X-Mimosadock-Deadline-Ms", "3000")
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(b))
}

// retry sends a request at one process after another until one of the wanted
// answers comes, at most four times more.
func (r *rig) retry(method, id string, body []byte) (int, string) {
	status, text := 0, ""
	for try := range 5 {
		r.mu.Lock()
		r.next++
		p := r.processes[r.next%len(r.processes)]
		r.mu.Unlock()
		status, text = r.call(p, method, id, body)
		r.log.printf("%s %s: %d %s", method, id, status, text)
		if status == http.StatusOK || status == http.StatusGone || status == http.StatusNotFound {
			break
		}
		time.Sleep(time.Duration(200*(try+1)) * time.Millisecond)
	}
	return status, text
}

// submit sends a job and reports whether it was accepted.
func (r *rig) submit(steps ...step) (*job, bool) {
	return r.submitJob(&job{Spec: "text", Steps: steps})
}

// submitJob is submit for a job with all its fields.
func (r *rig) submitJob(j *job) (*job, bool) {
	r.mu.Lock()
	j.id = fmt.Sprintf("%016x", 0x5c0e7a2100000000+len(r.jobs))
	r.jobs[j.id] = j
	r.mu.Unlock()
	body, err := json.Marshal(j)
	if err != nil {
		cannotRun("%v", err)
	}
	status, _ := r.retry(http.MethodPost, j.id, body)
	return j, status == http.StatusOK
}

// state returns the state of a job that a requester sees, or "" without one.
func (r *rig) state(id string) string {
	_, text := r.retry(http.MethodGet, id, nil)
	var b struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &b)
	return b.State
}

// TestMain runs the case that the arguments name, in place of tests.
func TestMain(*testing.M) {
	if err := runCase(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(caseFailed)
	}
}

// cases are the cases by the name in the arguments.
var cases = map[string]func(recordPath string){
	"twice": runsTwice, "cancelled": runsOnAfterCancel, "gang": gangFailsEarly, "waves": waveNotCarriedOut, "stale": upkeepOnStaleStatus, "large": largeSubmission, "images": manyImages,
}

func runCase(args []string) error {
	if len(args) != 3 || cases[args[1]] == nil {
		return errors.New("usage: rig CASE RECORD")
	}
	cases[args[1]](args[2])
	return nil
}
