// Package process puts the parts of a scheduler process together.
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
	"mimosadock/scheduler/control"
	"mimosadock/scheduler/front"
	"mimosadock/scheduler/peer"
)

// Settings are the settings of the process itself; those of the platform come
// from its settings file.
type Settings struct {
	Platform string     // path of the platform's settings file
	Shards   int        // to propose where the deployment has no layout yet; 0 for as many as its executors ask for
	TTL      clock.Span // after which a silent process loses its shards
	Lease    clock.Span // of executors
	LogLevel string
}

// Check returns an error that names the flag, its value and what is allowed.
func (s *Settings) Check() error {
	if s.Platform == "" {
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
	memoryShare          = 0.6                     // of the host's memory, where the runtime collects harder
	balancerDelay        = 2500 * time.Millisecond // the balancer needs two looks, a second apart
	graceMargin          = 700 * time.Millisecond  // left of the grace for the last answers
	settingsPollInterval = time.Second             // between two looks at the settings file
)

// Process is a scheduler process. Use [Open].
type Process struct {
	settings Settings
	platform *platform.Settings
	journal  *Journal
	store    *platform.Store
	control  *control.Control
	front    *front.Front
	peers    *peer.Client
	server   *peer.Server
	clock    clock.System
	vars     *expvar.Map
}

// Open reads the platform's settings and prepares a process.
func Open(s Settings) (*Process, error) {
	p := &Process{settings: s}
	var err error
	if p.platform, err = platform.ReadSettings(s.Platform); err != nil {
		return nil, err
	}
	if m := p.platform.Limits.Memory; m > 0 {
		debug.SetMemoryLimit(int64(float64(m) * memoryShare * (1 << 20)))
	}
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("--log-level: %w", err)
	}
	p.journal = NewJournal(os.Stdout, level)
	p.store = platform.NewStore(p.platform.Store.Address)
	p.build()
	return p, nil
}

func (p *Process) build() {
	member := control.MemberName(p.address(0), nonce(), p.platform.Processor())
	counters, requests := new(control.Counters), new(front.Counters)
	p.control = &control.Control{
		Settings: control.Settings{
			Member: member, Shards: p.settings.Shards, TTL: max(p.settings.TTL, p.platform.Store.MinTTL), Limits: p.limits(),
		},
		Store: p.store, Layouts: p.store, Owners: p.store, Executors: platform.NewExecutors(),
		Advisor: platform.NewAdvisor(p.platform.Advisor), Operator: p.store.Operator(),
		Machines: platform.NewMachines(p.platform.Cloud.Address, p.platform.Host), Waves: p.store,
		Registrations: func() control.RegistrationFeed { return p.store.Registrations() },
		Clock:         p.clock, Boot: clock.Boot, Journal: p.journal, Counters: counters,
	}
	p.peers = new(peer.Client)
	directory := &control.Directory{
		Control: p.control, Owners: p.store, Peers: p.peers, Self: member, Clock: p.clock,
	}
	p.control.Shards = directory
	p.front = &front.Front{
		Router: directory, Format: platform.Format{}, Config: p.control.Config, Layout: p.control.Layout,
		Clock: p.clock, Journal: p.journal, Counters: requests,
	}
	p.server = peer.NewServer(p.control)
	p.vars = new(expvar.Map)
	counters.Publish(p.vars)
	requests.Publish(p.vars)
}

func (p *Process) limits() dispatch.Limits {
	l, b := dispatch.DefaultLimits, p.platform.Bounds
	l.Lease = min(p.settings.Lease, b.MaxHold)
	l.HoldWait = min(l.HoldWait, l.Lease/4)
	if b.StatusFor > 0 {
		l.StatusFor = clock.Span(b.StatusFor * float64(clock.Second))
	}
	if b.Restore > 0 {
		l.Restore = b.Restore
	}
	if b.Interference > 0 {
		l.Interference = b.Interference
	}
	return l
}

// address returns the address of the system's own port with the given index.
func (p *Process) address(port int) string {
	return net.JoinHostPort(p.platform.IP, strconv.Itoa(p.platform.Ports[0]+port))
}

func nonce() string {
	b := make([]byte, 6)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// Run serves until a signal to stop and returns after the drain.
func (p *Process) Run() error { return p.run(context.Background()) }

// run serves until a signal to stop or the end of ctx.
func (p *Process) run(ctx context.Context) error {
	listeners, err := p.listen()
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP, syscall.SIGUSR1)
	g := group.New(context.Background())
	logs := group.New(context.Background())
	logs.Go("journal", p.journal.Run)
	p.journal.Change("start", "host", p.platform.Host, "dataCentre", p.platform.DataCentre, "member", p.control.Settings.Member,
		"leaseMs", int64(p.control.Settings.Limits.Lease))
	p.control.Init(g)
	g.Go("control", p.control.Run)
	g.Go("probe", p.directory().RunProbes)
	g.Go("settings", p.watchSettings)
	servers := p.serve(g, listeners)
	p.waitForStop(ctx, g, signals)
	p.stop(g, servers)
	p.journal.Change("stop")
	logs.Stop()
	_ = logs.Wait() // the journal returns no error
	return g.Wait()
}

func (p *Process) directory() *control.Directory { return p.front.Router.(*control.Directory) }

type listeners struct{ callers, ready, peers, operator net.Listener }

func (p *Process) listen() (l listeners, err error) {
	for _, x := range []struct {
		to      *net.Listener
		address string
	}{{&l.callers, p.platform.Listen.Callers}, {&l.ready, p.platform.Listen.Ready}, {&l.peers, p.address(0)}, {&l.operator, p.address(1)}} {
		if *x.to, err = net.Listen("tcp4", x.address); err != nil {
			return l, fmt.Errorf("listen on %s: %w", x.address, err)
		}
	}
	return l, nil
}

// serve starts the servers and returns those that callers use.
func (p *Process) serve(g *group.Group, l listeners) []*http.Server {
	ready := http.NewServeMux()
	ready.HandleFunc("GET /-/readyz", p.front.ServeReady)
	operator := http.NewServeMux()
	operator.HandleFunc("GET /metrics", p.serveMetrics)
	operator.HandleFunc("GET /state", p.serveState)
	servers := []*http.Server{front.Server(p.front), front.Server(ready), front.Server(operator)}
	for i, at := range []net.Listener{l.callers, l.ready, l.operator} {
		g.Go("server", func(context.Context) error { return front.Serve(servers[i], at) })
	}
	g.Go("peers", func(context.Context) error { return p.server.Serve(l.peers) })
	return servers
}

func (p *Process) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, p.vars.String()) // a reader that has left needs no metrics
}

func (p *Process) serveState(w http.ResponseWriter, r *http.Request) {
	d, err := p.control.Dump(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d) // a reader that has left needs no dump
}

// waitForStop returns when the process is told to stop or a part of it has failed.
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
				p.journal.Change("stopping", "signal", s.String())
				return
			}
		case <-ctx.Done():
			return
		case <-g.Context().Done():
			return
		}
	}
}

func (p *Process) printState(g *group.Group) {
	ctx, cancel := context.WithTimeout(g.Context(), time.Second)
	defer cancel()
	if d, err := p.control.Dump(ctx); err == nil {
		_ = json.NewEncoder(os.Stdout).Encode(d) // standard output has no reader to tell
	}
}

// stop drains: the shards go to other processes at once, callers' connections
// are served until the balancer has noticed, and requests in flight end.
func (p *Process) stop(g *group.Group, servers []*http.Server) {
	began := time.Now()
	grace := time.Duration(p.platform.Bounds.Grace*float64(time.Second)) - graceMargin
	p.front.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), max(grace, time.Second))
	defer cancel()
	p.control.Leave(ctx)
	time.Sleep(min(balancerDelay, max(0, grace-time.Since(began))))
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			p.journal.Change("requests cut off by the end of the grace", "inFlight", p.front.InFlight())
		}
	}
	p.server.Stop()
	p.peers.Close()
	g.Stop()
}

// watchSettings takes changes of the settings file that come without a signal.
func (p *Process) watchSettings(ctx context.Context) error {
	var last time.Time
	if st, err := os.Stat(p.settings.Platform); err == nil {
		last = st.ModTime()
	}
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			if st, err := os.Stat(p.settings.Platform); err == nil && !st.ModTime().Equal(last) {
				last = st.ModTime()
				p.recheckSettings()
			}
		}
	}
}

// recheckSettings checks the settings file. Addresses and limits hold until the next
// start; a file that can't be used changes nothing.
func (p *Process) recheckSettings() {
	if _, err := platform.ReadSettings(p.settings.Platform); err != nil {
		p.journal.Change("settings refused", "err", err)
		return
	}
	p.journal.Change("settings read")
}
