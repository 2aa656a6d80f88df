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

	"mimosadock/entry/control"
	"mimosadock/entry/front"
	"mimosadock/entry/peer"
	"mimosadock/entry/pool"
	"mimosadock/entry/setting"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/group"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
)

// headerTimeout bounds how long a caller may take to send its header.
const headerTimeout = 10 * time.Second

// leaveTime bounds how long a hand-over of the tenures may take.
const leaveTime = 10 * time.Second

// Process is one entry process. Use [Open].
type Process struct {
	Loop *control.Loop

	settings setting.Settings
	log      *log.Logger
	callers  net.Listener
	operator net.Listener
	peers    net.Listener // nil without peers
	keys     *peer.Keys   // nil for plain text
	records  control.Records
	self     control.Self
	group    *group.Group
	servers  []*http.Server
}

// Open binds the addresses of the process. Nothing is served before Run.
func Open(s setting.Settings, logger *log.Logger) (*Process, error) {
	callers, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	operator, err := net.Listen("tcp", s.Operator)
	if err != nil {
		callers.Close()
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	p := &Process{settings: s, log: logger, callers: callers, operator: operator}
	if err := p.openPeers(); err != nil {
		callers.Close()
		operator.Close()
		return nil, err
	}
	p.self = control.Self{
		Instance:   unit.Instance(uuid.NewString()),
		Host:       unit.Host(netip.MustParseAddrPort(s.Listen).Addr().String()),
		DataCentre: unit.DataCentre(s.DataCentre),
		Address:    p.PeerAddress(),
	}
	p.Loop = control.New(clock.System{}, p.self, control.Systems()...)
	return p, nil
}

// openPeers binds the address for peers and reads the keys, if they are set.
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
	p.peers = l
	return nil
}

// Join makes the process a member that appends its records through r. The
// address for peers must be set. It must be called before Run; without it the
// process keeps all slots to itself.
func (p *Process) Join(r control.Records) { p.records = r }

// PeerAddress returns the bound address for peers, or an empty string.
func (p *Process) PeerAddress() string {
	if p.peers == nil {
		return ""
	}
	return p.peers.Addr().String()
}

// connect starts the exchange with other entry processes.
func (p *Process) connect() {
	if p.peers == nil || p.records == nil {
		return
	}
	client := &peer.Client{Self: p.self.Instance, Group: p.group, Clock: clock.System{}, Offer: p.Loop.Offer, Keys: p.keys}
	server := &peer.Server{Self: p.self.Instance, Offer: p.Loop.Offer, Keys: p.keys}
	p.Loop.Connect(client, p.records, tenure.DefaultLimits(), p.settings.Peers)
	p.group.Go("peers", func(ctx context.Context) error { return server.Serve(ctx, p.peers) })
	p.log.Info("serving peers", "address", p.PeerAddress())
}

// CallerAddress returns the bound address for callers.
func (p *Process) CallerAddress() string { return p.callers.Addr().String() }

// OperatorAddress returns the bound address for operators.
func (p *Process) OperatorAddress() string { return p.operator.Addr().String() }

// Run serves until ctx ends, then lets requests in flight finish for the drain
// time of the settings.
func (p *Process) Run(ctx context.Context) error {
	p.group = group.New(context.WithoutCancel(ctx))
	f := &front.Front{View: p.Loop.View, Clock: clock.System{}, Sender: &pool.Pool{}}
	p.connect()
	p.group.Go("control", p.Loop.Run)
	p.serve("callers", p.callers, f.Handler())
	p.serve("operators", p.operator, p.operatorHandler())
	p.log.Info("serving", "callers", p.CallerAddress(), "operators", p.OperatorAddress())
	select {
	case <-ctx.Done():
	case <-p.group.Context().Done():
	}
	p.shutdown()
	return p.group.Wait()
}

func (p *Process) serve(name string, l net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	p.servers = append(p.servers, srv)
	p.group.Go(name, func(context.Context) error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

func (p *Process) shutdown() {
	p.log.Info("draining", "for", p.settings.DrainFor)
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.DrainFor)
	defer cancel()
	for _, srv := range p.servers {
		if srv.Shutdown(ctx) != nil {
			srv.Close()
		}
	}
	p.leave(ctx)
	p.group.Stop()
}

// leave hands the tenures over and says goodbye, after the requests have ended.
func (p *Process) leave(ctx context.Context) {
	if p.peers == nil || p.records == nil {
		return
	}
	done := make(chan struct{})
	if p.Loop.Send(ctx, control.Leave{Done: done}) != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	case <-time.After(leaveTime):
	}
}

func (p *Process) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}
