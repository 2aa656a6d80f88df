// Package process assembles a scheduler process from its parts and runs it.
package process

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"mimosadock/platform"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/group"
	"mimosadock/schedule/listener"
	"mimosadock/scheduler/control"
	"mimosadock/scheduler/front"
	"mimosadock/scheduler/peer"
	"mimosadock/scheduler/record"
)

// Settings configure the process itself. The platform's settings come from the
// platform's settings file.
type Settings struct {
	PlatformFile string     // path of the platform's settings file
	Shards       int        // number of shards to propose if the deployment has no layout; 0 derives it from the number of executors
	TTL          clock.Span // time without a join after which the shards of a process may be assigned to others
	Lease        clock.Span // lease of executors
	LogLevel     string     // debug, info, warn or error; all lines are info, so warn and error silence the log
}

// Check returns an error if a setting is invalid. The error contains the flag, its
// value and the allowed values.
func (s *Settings) Check() error {
	if s.PlatformFile == "" {
		return fmt.Errorf("--settings is empty, must be the path of the platform's settings file")
	}
	if s.Shards < 0 || s.Shards > dispatch.MaxShards {
		return fmt.Errorf("--shards is %d, must be 0 to %d", s.Shards, dispatch.MaxShards)
	}
	if s.TTL < clock.Second || s.TTL > 10*clock.Second {
		return fmt.Errorf("--ttl is %d ms, must be 1s to 10s", s.TTL)
	}
	if s.Lease < 2*clock.Second || s.Lease > clock.Minute {
		return fmt.Errorf("--lease is %d ms, must be 2s to 1m", s.Lease)
	}
	if _, err := log.ParseLevel(s.LogLevel); err != nil {
		return fmt.Errorf("--log-level is %q, must be debug, info, warn or error", s.LogLevel)
	}
	return nil
}

const (
	memoryShare          = 0.6                     // share of the memory limit in the platform's settings above which the Go runtime collects garbage more often
	balancerDelay        = 2500 * time.Millisecond // the balancer needs two failed checks, a second apart
	graceMargin          = 700 * time.Millisecond  // reserved at the end of the grace period for the last responses
	settingsPollInterval = time.Second             // between two checks of the settings file
)

// Process is a scheduler process. Use [Open] to create one.
type Process struct {
	settings Settings
	platform *platform.Settings
	eventLog *EventLog
	store    *platform.Store
	control  *control.Control
	front    *front.Front
	peers    *peer.Client
	server   *peer.Server
	clock    clock.System
	vars     *expvar.Map
	guards   guards
}

// Open reads the platform's settings and prepares a process. It returns an error
// if the platform's settings or the log level are invalid.
func Open(s Settings) (*Process, error) {
	p := &Process{settings: s}
	var err error
	if p.platform, err = platform.ReadSettings(s.PlatformFile); err != nil {
		return nil, err
	}
	if m := p.platform.Limits.Memory; m > 0 {
		debug.SetMemoryLimit(int64(float64(m) * memoryShare * (1 << 20)))
	}
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("--log-level: %w", err)
	}
	p.eventLog = NewEventLog(os.Stdout, level)
	p.store = platform.NewStore(p.platform.Store.Address)
	p.build()
	return p, nil
}

// build creates the parts of the process and connects them.
func (p *Process) build() {
	member := control.MemberName(p.address(0), nonce(), p.platform.CPULimit())
	counters, requests := new(control.Counters), new(front.Counters)
	p.control = &control.Control{
		Settings: control.Settings{
			Member: member, Shards: p.settings.Shards, TTL: p.ttl(), Limits: p.limits(), Store: p.storeLimits(),
			MaxJobBytes: p.jobBytes(),
		},
		Store: p.store, Layouts: p.store, Owners: p.store, Executors: platform.NewExecutors(),
		Advisor: platform.NewAdvisor(p.platform.Advisor), Operator: p.store.Operator(),
		Machines: platform.NewMachines(p.platform.MachinesAPI.Address, p.platform.Host), Waves: p.store,
		NewRegistrationFeed: func() control.RegistrationFeed { return p.store.Registrations() },
		Clock:               p.clock, BootClock: clock.SinceBoot, EventLog: p.eventLog, Counters: counters,
	}
	p.peers = new(peer.Client)
	directory := &control.Directory{
		Control: p.control, Owners: p.store, Peers: p.peers, Self: member, Clock: p.clock,
		StoreSilent: p.control.StoreSilent,
	}
	p.control.Router = directory
	p.front = &front.Front{
		Router: directory, Format: platform.Format{}, Config: p.control.Config, Layout: p.control.Layout,
		StoreLimits: p.storeLimits(), Clock: p.clock, EventLog: p.eventLog, Counters: requests,
	}
	p.server = peer.NewServer(p.control)
	p.server.MaxPending = p.host().Callers().Bytes
	p.vars = new(expvar.Map)
	counters.Publish(p.vars)
	requests.Publish(p.vars)
	p.guards = p.newGuards()
}

// storeLimits returns what the store accepts.
func (p *Process) storeLimits() record.Limits {
	return record.Limits{Record: p.platform.Store.RecordBytes, Request: p.platform.Store.RequestBytes}
}

// ttl returns the time without a join after which the store may assign the shards
// of this process to others.
func (p *Process) ttl() clock.Span { return max(p.settings.TTL, p.platform.Store.MinTTL) }

// limits returns the default limits, adjusted to the settings of the process and
// the bounds of the platform.
func (p *Process) limits() dispatch.Limits {
	l, b := dispatch.DefaultLimits, p.platform.Bounds
	l.Lease, l.MaxHold = min(p.settings.Lease, b.MaxHold), b.MaxHold
	l.MemberTTL = p.ttl()
	l.RenewalTimeout = l.MemberTTL
	l.OwnershipTimeout = l.RenewalTimeout + l.Lease // after that, all leases have expired
	l.HoldWait = min(l.HoldWait, l.Lease/4)
	if b.StatusSeconds > 0 {
		l.StatusRetention = clock.Span(b.StatusSeconds * float64(clock.Second))
	}
	if b.Restore > 0 {
		l.CheckpointRestore = b.Restore
	}
	if b.RemoteFactor > 1 {
		l.RemoteFactor = b.RemoteFactor
	}
	if b.Interference > 0 {
		l.MaxOverTarget = b.Interference
	}
	return l
}

// address returns the address of the internal port with the given index in the
// platform's port range.
func (p *Process) address(index int) string {
	return net.JoinHostPort(p.platform.IP, strconv.Itoa(p.platform.Ports[0]+index))
}

// nonce returns 6 random bytes as hexadecimal digits.
func nonce() string {
	b := make([]byte, 6)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// Run serves until the process receives SIGTERM or an interrupt or a part of it
// fails. It returns after the drain.
func (p *Process) Run() error { return p.run(context.Background()) }

// run is [Process.Run], but it also stops when ctx ends.
func (p *Process) run(ctx context.Context) error {
	listeners, err := p.listen()
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP, syscall.SIGUSR1)
	g := group.New(context.Background())
	logs := group.New(context.Background())
	logs.Go("journal", p.eventLog.Run)
	p.eventLog.LogChange("start", "host", p.platform.Host, "dataCentre", p.platform.DataCentre, "member", p.control.Settings.Member,
		"leaseMs", int64(p.control.Settings.Limits.Lease))
	p.control.Init(g)
	g.Go("control", p.control.Run)
	g.Go("probe", p.directory().RunProbes)
	g.Go("settings", p.watchSettings)
	servers := p.serve(g, listeners)
	p.waitForStop(ctx, g, signals)
	p.stop(g, servers)
	p.eventLog.LogChange("stop")
	logs.Stop()
	_ = logs.Wait() // the event log returns no error
	return g.Wait()
}

func (p *Process) directory() *control.Directory { return p.front.Router.(*control.Directory) }

// listeners are the listeners of the process, one for each kind of client.
type listeners struct{ callers, ready, peers, operator net.Listener }

// listen opens all listeners.
func (p *Process) listen() (l listeners, err error) {
	for _, x := range []struct {
		listener *net.Listener
		address  string
		open     func(network, address string) (net.Listener, error)
	}{
		{&l.callers, p.platform.Listen.Callers, listener.Open},
		{&l.ready, p.platform.Listen.Ready, listener.Open},
		{&l.peers, p.address(0), net.Listen},
		{&l.operator, p.address(1), listener.Open},
	} {
		if *x.listener, err = x.open("tcp4", x.address); err != nil {
			return l, fmt.Errorf("listen on %s: %w", x.address, err)
		}
	}
	return l, nil
}

// serve starts all servers and returns the HTTP servers, which the drain shuts
// down.
func (p *Process) serve(g *group.Group, l listeners) []*http.Server {
	ready := http.NewServeMux()
	ready.HandleFunc("GET /-/readyz", p.front.ServeReady)
	operator := http.NewServeMux()
	operator.HandleFunc("GET /metrics", p.serveMetrics)
	operator.HandleFunc("GET /state", p.serveState)
	gs := p.guards
	servers := []*http.Server{
		guardedServer(gs.callers, front.Server(p.front)), guardedServer(gs.ready, front.Server(ready)),
		guardedServer(gs.operator, front.Server(operator)),
	}
	for i, l := range []net.Listener{gs.callers.Listen(l.callers), gs.ready.Listen(l.ready), gs.operator.Listen(l.operator)} {
		g.Go("server", func(context.Context) error { return front.Serve(servers[i], l) })
	}
	g.Go("peers", func(context.Context) error { return p.server.Serve(gs.peers.ListenRaw(l.peers)) })
	return servers
}

func (p *Process) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, p.vars.String()) // a disconnected client needs no metrics
}

func (p *Process) serveState(w http.ResponseWriter, r *http.Request) {
	d, err := p.control.Dump(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d) // a disconnected client needs no state
}

// waitForStop returns when a stop signal arrives, ctx ends or a part of the
// process fails. Until then it handles SIGHUP, which checks the settings file, and
// SIGUSR1, which prints the state.
func (p *Process) waitForStop(ctx context.Context, g *group.Group, signals <-chan os.Signal) {
	for {
		select {
		case s := <-signals:
			switch s {
			case syscall.SIGHUP:
				p.recheckSettings()
			case syscall.SIGUSR1:
				p.printState(g)
			default:
				p.eventLog.LogChange("stopping", "signal", s.String())
				return
			}
		case <-ctx.Done():
			return
		case <-g.Context().Done():
			return
		}
	}
}

// printState writes the state of the control goroutine to standard output as JSON.
func (p *Process) printState(g *group.Group) {
	ctx, cancel := context.WithTimeout(g.Context(), time.Second)
	defer cancel()
	if d, err := p.control.Dump(ctx); err == nil {
		_ = json.NewEncoder(os.Stdout).Encode(d) // there is nowhere to report a failed write
	}
}

// stop drains the process. It releases the shards immediately, serves callers'
// connections until the balancer has detected the drain, and waits for the
// requests in flight until the grace period ends.
func (p *Process) stop(g *group.Group, servers []*http.Server) {
	startedAt := time.Now()
	grace := time.Duration(p.platform.Bounds.GraceSeconds*float64(time.Second)) - graceMargin
	p.front.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), max(grace, time.Second))
	defer cancel()
	p.control.Leave(ctx)
	time.Sleep(min(balancerDelay, max(0, grace-time.Since(startedAt))))
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			p.eventLog.LogChange("requests cut off by the end of the grace", "inFlight", p.front.InFlight())
		}
	}
	p.server.Stop()
	p.peers.Close()
	g.Stop()
}

// watchSettings polls the settings file and checks it after each change, so that
// a change without a signal is detected. It returns when ctx ends.
func (p *Process) watchSettings(ctx context.Context) error {
	var lastModified time.Time
	if info, err := os.Stat(p.settings.PlatformFile); err == nil {
		lastModified = info.ModTime()
	}
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if info, err := os.Stat(p.settings.PlatformFile); err == nil && !info.ModTime().Equal(lastModified) {
				lastModified = info.ModTime()
				p.recheckSettings()
			}
		}
	}
}

// recheckSettings reads the settings file and logs whether it is valid. The
// addresses and limits in use do not change until the next start.
func (p *Process) recheckSettings() {
	if _, err := platform.ReadSettings(p.settings.PlatformFile); err != nil {
		p.eventLog.LogChange("settings refused", "err", err)
		return
	}
	p.eventLog.LogChange("settings read")
}
