package process

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"mimosadock/entry/admin"
	"mimosadock/entry/control"
	"mimosadock/entry/front"
	"mimosadock/entry/peer"
	"mimosadock/entry/platform"
	"mimosadock/entry/pool"
	"mimosadock/entry/setting"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/group"
	"mimosadock/schedule/listener"
	"mimosadock/schedule/service"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
)

const (
	// headerTimeout bounds how long a client may take to send a request's
	// header.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long a caller's connection stays open without a
	// request.
	idleTimeout = 2 * time.Minute
)

// leaveTimeout bounds the hand-over of the tenures.
const leaveTimeout = 10 * time.Second

// Process is one entry process. Use [Open], then [Process.Run].
type Process struct {
	Loop *control.Loop // control goroutine of the process

	settings         setting.Settings
	log              *log.Logger
	callerListener   net.Listener
	operatorListener net.Listener
	journal          *journalStream // nil without a journal
	peerListener     net.Listener   // nil without peers
	keys             *peer.Keys     // nil for connections without TLS
	self             control.Self
	jobRunner        *control.JobRunner // nil without a journal
	group            *group.Group
	front            *front.Front
	pool             *pool.Pool
	callerServer     *http.Server // for callers
	operatorServer   *http.Server // for operators
	guards           guards
}

// Open binds the addresses of the process and connects its packages. The process
// serves no requests before Run.
func Open(s setting.Settings, logger *log.Logger) (*Process, error) {
	callerListener, err := listener.Open("tcp", s.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	operatorListener, err := listener.Open("tcp", s.Operator)
	if err != nil {
		callerListener.Close()
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	p := &Process{settings: s, log: logger, callerListener: callerListener, operatorListener: operatorListener}
	if err := p.openPeers(); err != nil {
		callerListener.Close()
		operatorListener.Close()
		return nil, err
	}
	p.guards = p.newGuards()
	p.self = control.Self{
		Instance:   unit.Instance(uuid.NewString()),
		Host:       unit.Host(netip.MustParseAddrPort(s.Listen).Addr().String()),
		DataCentre: unit.DataCentre(s.DataCentre),
		Address:    p.PeerAddress(),
	}
	systems := []control.System{control.ReceiptSystem, control.ConfigSystem}
	systems = append(systems, control.Systems()...)
	if s.Journal != "" {
		p.jobRunner = &control.JobRunner{Agent: new(platform.Workers), Clock: clock.System{}}
		systems = append(systems, control.AuthoritySystem, p.jobRunner.WorkSystem, control.JobRequestSystem)
	}
	systems = append(systems, control.OwnerSystem, control.SnapshotSystem)
	p.Loop = control.New(clock.System{}, p.self, systems...)
	p.pool = new(pool.Pool)
	p.front = &front.Front{View: p.Loop.View, Clock: clock.System{}, Sender: p.pool, Report: p.Loop.Offer, Pinner: control.GrantPinner{Loop: p.Loop}}
	p.Loop.SetQueuedRequests(func(set slot.UpstreamSet) unit.Slots { return p.front.Waiting(string(set)) })
	p.Loop.SetHostChecker(hostChecker{p})
	p.Loop.SetTextParser(p.parseText)
	p.Loop.HandleAudits()
	p.openJournal()
	return p, nil
}

// openPeers reads the keys for peers and binds the address for peers. Both are
// optional settings.
func (p *Process) openPeers() error {
	s := &p.settings
	if s.PeerListen == "" {
		return nil
	}
	if s.PeerCert != "" {
		p.keys = &peer.Keys{Cert: s.PeerCert, Key: s.PeerKey, CA: s.PeerCA}
		if err := p.keys.Load(); err != nil {
			return fmt.Errorf("read the keys for peers: %w", err)
		}
	}
	l, err := net.Listen("tcp", s.PeerListen)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	p.peerListener = l
	return nil
}

// PeerAddress returns the bound address for peers, or an empty string if there
// is none.
func (p *Process) PeerAddress() string {
	if p.peerListener == nil {
		return ""
	}
	return p.peerListener.Addr().String()
}

// startPeers makes this process a member and starts the client and the server
// for messages between entry processes. It does nothing without an address for
// peers or without a journal.
func (p *Process) startPeers() {
	if p.peerListener == nil || p.journal == nil {
		return
	}
	client := &peer.Client{Self: p.self.Instance, Group: p.group, Clock: clock.System{}, Offer: p.Loop.Offer, Keys: p.keys}
	guarded := p.guards.peers.ListenRaw(p.peerListener)
	server := &peer.Server{Self: p.self.Instance, Offer: p.Loop.Offer, Keys: p.keys}
	p.Loop.Connect(client, p.Loop.HandleMembers(), tenure.DefaultLimits(), p.settings.Peers)
	p.group.Go("peers", func(ctx context.Context) error { return server.Serve(ctx, guarded) })
	p.log.Info("serving peers", "address", p.PeerAddress())
}

// CallerAddress returns the bound address for callers.
func (p *Process) CallerAddress() string { return p.callerListener.Addr().String() }

// OperatorAddress returns the bound address for operators.
func (p *Process) OperatorAddress() string { return p.operatorListener.Addr().String() }

// Run serves until ctx ends or a goroutine of the process fails, then drains the
// process; see [Process.drain]. Cancelling kill skips the waits of the drain. Run
// returns the error of the goroutine that failed.
func (p *Process) Run(ctx, kill context.Context) error {
	p.group = group.New(context.WithoutCancel(ctx))
	p.startPeers()
	if p.jobRunner != nil {
		p.jobRunner.Group, p.jobRunner.Records, p.jobRunner.Send = p.group, p.Loop.HandleJobs(), p.Loop.Send
	}
	p.group.Go("control", p.Loop.Run)
	p.journal.run(p.group)
	if p.settings.HostList != "" {
		lister := platform.NewHosts(p.settings.HostList)
		p.group.Go("hosts", func(ctx context.Context) error { return p.watchHosts(ctx, lister) })
	}
	p.group.Go("queues", p.front.Run)
	p.group.Go("connections", p.pool.Run)
	p.callerServer = &http.Server{Handler: p.front.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	front.Configure(p.callerServer)
	p.operatorServer = &http.Server{Handler: p.operatorHandler(), ReadHeaderTimeout: headerTimeout}
	p.guards.callers.Configure(p.callerServer)
	p.guards.operators.Configure(p.operatorServer)
	p.serve("callers", p.callerServer, front.Listener(p.guards.callers.Listen(p.callerListener)))
	p.serve("operators", p.operatorServer, p.guards.operators.Listen(p.operatorListener))
	p.log.Info("serving", "callers", p.CallerAddress(), "operators", p.OperatorAddress())
	select {
	case <-ctx.Done():
	case <-p.group.Context().Done():
	}
	p.drain(kill)
	return p.group.Wait()
}

// serve starts a goroutine that serves l with srv until srv is shut down.
func (p *Process) serve(name string, srv *http.Server, l net.Listener) {
	p.group.Go(name, func(context.Context) error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

// leave hands over the tenures and appends the goodbye record, which removes the
// process from the members. It is called after the requests in flight have
// ended. It returns when the hand-over is complete, when ctx ends or after
// leaveTimeout.
func (p *Process) leave(ctx context.Context) {
	if p.peerListener == nil || p.journal == nil {
		return
	}
	done := make(chan struct{})
	if p.Loop.Send(ctx, control.Leave{Done: done}) != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	case <-time.After(leaveTimeout):
	}
}

// operatorHandler returns the handler of the operator address: counters and the
// administration interface.
func (p *Process) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	api := &admin.Server{Backend: &backend{p}, Clock: clock.System{}, Bootstrap: service.TokenHash(p.settings.OperatorTokenHash)}
	mux.Handle("/v1/", api.Handler())
	return mux
}
