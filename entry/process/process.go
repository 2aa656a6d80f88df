package process

import (
	"context"
	"encoding/json"
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

const (
	// headerTimeout bounds how long a caller may take to send its header.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long a caller's connection is kept without a
	// request.
	idleTimeout = 2 * time.Minute
)

// Process is one entry process. Use [Open].
type Process struct {
	Loop *control.Loop

	settings setting.Settings
	log      *log.Logger
	callers  net.Listener
	operator net.Listener
	journal  *journalStream // nil without a journal
	group    *group.Group
	front    *front.Front
	pool     *pool.Pool
	server   *http.Server // for callers
	admin    *http.Server // for operators
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
	systems := []control.System{control.ReceiptSystem, control.ConfigSystem}
	systems = append(systems, control.RouteSystems()...)
	systems = append(systems, control.SnapshotSystem)
	loop := control.New(clock.System{}, self, systems...)
	upstreams := new(pool.Pool)
	p := &Process{
		Loop:     loop,
		settings: s,
		log:      logger,
		callers:  callers,
		operator: operator,
		pool:     upstreams,
		front:    &front.Front{View: loop.View, Clock: clock.System{}, Sender: upstreams, Report: loop.Offer},
	}
	p.openJournal()
	return p, nil
}

// CallerAddress returns the bound address for callers.
func (p *Process) CallerAddress() string { return p.callers.Addr().String() }

// OperatorAddress returns the bound address for operators.
func (p *Process) OperatorAddress() string { return p.operator.Addr().String() }

// Run serves until ctx ends, then drains the process. See [Process.drain]. The
// end of kill cuts the drain short.
func (p *Process) Run(ctx, kill context.Context) error {
	p.group = group.New(context.WithoutCancel(ctx))
	p.group.Go("control", p.Loop.Run)
	p.journal.run(p.group)
	p.group.Go("queues", p.front.Run)
	p.group.Go("connections", p.pool.Run)
	p.server = &http.Server{Handler: p.front.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	front.Configure(p.server)
	p.admin = &http.Server{Handler: p.operatorHandler(), ReadHeaderTimeout: headerTimeout}
	p.serve("callers", p.server, front.Listener(p.callers))
	p.serve("operators", p.admin, p.operator)
	p.log.Info("serving", "callers", p.CallerAddress(), "operators", p.OperatorAddress())
	select {
	case <-ctx.Done():
	case <-p.group.Context().Done():
	}
	p.drain(kill)
	return p.group.Wait()
}

func (p *Process) serve(name string, srv *http.Server, l net.Listener) {
	p.group.Go(name, func(context.Context) error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

func (p *Process) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, r *http.Request) {
		s, err := p.State(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s)
	})
	return mux
}
