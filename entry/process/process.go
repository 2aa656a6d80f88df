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
	"mimosadock/entry/pool"
	"mimosadock/entry/setting"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/group"
	"mimosadock/schedule/unit"
)

// headerTimeout bounds how long a caller may take to send its header.
const headerTimeout = 10 * time.Second

// Process is one entry process. Use [Open].
type Process struct {
	Loop *control.Loop

	settings setting.Settings
	log      *log.Logger
	callers  net.Listener
	operator net.Listener
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
	self := control.Self{
		Instance:   unit.Instance(uuid.NewString()),
		Host:       unit.Host(netip.MustParseAddrPort(s.Listen).Addr().String()),
		DataCentre: unit.DataCentre(s.DataCentre),
	}
	return &Process{
		Loop:     control.New(clock.System{}, self, control.Systems()...),
		settings: s,
		log:      logger,
		callers:  callers,
		operator: operator,
	}, nil
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
	p.group.Stop()
}

func (p *Process) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}
