package rig3

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"mimosadock/standin/fleet"
)

// restartDelay is the delay after which the platform starts a process again.
const restartDelay = 2 * time.Second

// process is a scheduler process of the deploy file, which the platform starts again
// when it ends.
type process struct {
	name     string
	host     *fleet.Loopback
	settings string
	root     string // of the repository
	logPath  string
	record   *record

	mu      sync.Mutex
	command *exec.Cmd
	stopped bool
	ownEnds int // ends by itself
	done    chan struct{}
}

const settingsText = `node_name: %[1]q
role: "scheduler"
machine_class: "edge"
serves: ["edge"]
ip: %[2]q
zone: "kelso"
region: "lowlands"
zones: {kelso: "lowlands", hawick: "lowlands", selkirk: "lowlands"}
bind_addresses: {frontend: %[3]q, ready: %[4]q}
port_range: [%[5]d, %[6]d]
seed_nodes: []
bootstrap: true
limits: {cpu_share: 0.4, cpu_cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
ingress: "vip"
heartbeat_ms: 1100
bounds: {seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_skew_ms: 5000, recovery_s: 12, max_hold_ms: %[9]d, stop_timeout_ms: 200, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, remote_factor: 3, checkpoint_interval_s: 1, restore_ms: 600, notice_ms: 4500, migration_s: 1.5, maintenance_s: 2, require_fencing: true, lease_ms: 3000, thaw_ms: 300, pace_ms: 100, interference_ms: 4000}
control_mode: "request"
advice: %[10]q
platform: {address: %[7]q, form: "log", writes_per_s: 600, reads_per_s: 2000, parts: 24, append_ms: 1.0, partition_mb_s: 20.0, read_mb_s: 80.0, record_bytes: 262144, request_bytes: 2097152, keep_s: 20, partition_mb: 200, min_ttl_ms: 1000}
cloud_api: {address: %[8]q, rate_per_s: 60.0, duties: [], duties_per_s: 60.0}
`

// newProcess prepares a process on a loopback address of its own.
func newProcess(name string, host *fleet.Loopback, root, dir, store, machines string, maxHold time.Duration, r *record) (*process, error) {
	p := &process{name: name, host: host, root: root, record: r, settings: filepath.Join(dir, name+".yaml"), logPath: filepath.Join(dir, name+".log")}
	text := fmt.Sprintf(settingsText, name, host.IP(), host.Address(0), host.Address(1), host.Port(2), host.Port(9), store, machines, maxHold.Milliseconds(), "")
	return p, os.WriteFile(p.settings, []byte(text), 0o600)
}

// start starts the process, and again whenever it ends.
func (p *process) start() {
	p.done = make(chan struct{})
	go func() {
		defer close(p.done)
		for {
			p.mu.Lock()
			if p.stopped {
				p.mu.Unlock()
				return
			}
			log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
			if err != nil {
				p.mu.Unlock()
				return
			}
			c := exec.Command("target/scheduler")
			c.Dir, c.Stdout, c.Stderr = p.root, log, log
			c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MIMOSADOCK_CONFIG=" + p.settings}
			c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			err = c.Start()
			p.command = c
			p.mu.Unlock()
			if err != nil {
				p.record.add("node   %s can't be started: %v", p.name, err)
				return
			}
			p.record.add("node   %s starts, process %d", p.name, c.Process.Pid)
			err = c.Wait()
			_ = log.Close() // nothing more is written
			p.mu.Lock()
			if !p.stopped {
				p.ownEnds++
				p.record.add("node   %s ended by itself: %v: %s", p.name, err, p.panicLine())
			}
			p.mu.Unlock()
			time.Sleep(restartDelay)
		}
	}()
}

// panicLine returns the line of the log that tells why the process ended.
func (p *process) panicLine() string {
	b, err := os.ReadFile(p.logPath)
	if err != nil {
		return ""
	}
	i := bytes.LastIndex(b, []byte("panic: "))
	if i < 0 {
		return ""
	}
	line, _, _ := bytes.Cut(b[i:], []byte("\n"))
	return string(line)
}

// kill ends the process for good.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Kill() // it may have ended
	}
}

// await waits until a process that was killed has ended.
func (p *process) await() {
	<-p.done
	p.host.Close()
}

func (p *process) ends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownEnds
}
