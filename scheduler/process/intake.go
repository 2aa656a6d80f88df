package process

import (
	"expvar"
	"net/http"
	"time"

	"mimosadock/schedule/intake"
	"mimosadock/schedule/listener"
	"mimosadock/schedule/unit"
)

// responseTimeout bounds one write to a client. Responses fit into the buffers of a
// connection unless the client reads nothing.
const responseTimeout = 10 * time.Second

// Share and upper bound of the memory for open jobs. The bound keeps a successor on
// a smaller host able to hold the jobs.
const (
	jobMemoryShare            = 4 // of the memory of the host
	maxJobBytes    unit.Bytes = 64 << 20
)

// guards keep the clients of each listener within limits.
type guards struct{ callers, ready, peers, operator *listener.Guard }

// host returns the limits of the host in the platform's settings.
func (p *Process) host() intake.Host {
	return intake.Host{Memory: p.platform.Limits.Memory, Descriptors: p.platform.Limits.Descriptors}
}

// jobBytes returns the bound on the memory of open jobs.
func (p *Process) jobBytes() unit.Bytes {
	m := p.platform.Limits.Memory
	if m <= 0 {
		m = intake.DefaultMemory
	}
	return min(unit.Bytes(m)<<20/jobMemoryShare, maxJobBytes)
}

// newGuards returns the guards and publishes their counters.
func (p *Process) newGuards() guards {
	h, clients := p.host(), new(expvar.Map)
	guard := func(name string, l intake.Limits) *listener.Guard {
		g := &listener.Guard{Limits: l, Clock: p.clock, WriteTimeout: responseTimeout}
		g.Report = func(s intake.Stats) {
			p.eventLog.LogChange("clients refused", "listener", name, "connections", s.Connections, "bytes", int64(s.Bytes),
				"waited", s.Waited, "refused", s.Refused, "displaced", s.Displaced, "refusedRequests", s.RefusedRequests, "stalled", s.Stalled, "slow", s.Slow)
		}
		clients.Set(name, expvar.Func(func() any { return g.Stats() }))
		return g
	}
	gs := guards{
		callers: guard("callers", h.Callers()), ready: guard("ready", h.Operators()),
		peers: guard("peers", h.Peers()), operator: guard("operator", h.Operators()),
	}
	p.vars.Set("clients", clients)
	return gs
}

// guardedServer returns an HTTP server whose clients a guard keeps within limits.
func guardedServer(g *listener.Guard, s *http.Server) *http.Server {
	g.Configure(s)
	return s
}
