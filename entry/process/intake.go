package process

import (
	"expvar"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/intake"
	"mimosadock/schedule/listener"
	"mimosadock/schedule/unit"
)

// operatorWriteTimeout bounds one write to an operator's client. The front bounds
// those to callers itself.
const operatorWriteTimeout = 30 * time.Second

// clients has the counters of the guards by listener. If a program runs several
// processes, they are those of the last one.
var clients = expvar.NewMap("clients")

// guards keep the clients of each listener within limits.
type guards struct{ callers, operators, peers *listener.Guard }

// newGuards returns the guards and publishes their counters.
func (p *Process) newGuards() guards {
	h := intake.Host{Memory: unit.MiB(p.settings.Memory), Descriptors: p.settings.Descriptors}
	guard := func(name string, l intake.Limits, writeTimeout time.Duration) *listener.Guard {
		g := &listener.Guard{Limits: l, Clock: clock.System{}, WriteTimeout: writeTimeout}
		g.Report = func(s intake.Stats) {
			p.log.Warn("clients refused", "listener", name, "connections", s.Connections, "bytes", int64(s.Bytes),
				"waited", s.Waited, "refused", s.Refused, "displaced", s.Displaced, "refusedRequests", s.RefusedRequests, "stalled", s.Stalled, "slow", s.Slow)
		}
		clients.Set(name, expvar.Func(func() any { return g.Stats() }))
		return g
	}
	return guards{
		callers: guard("callers", h.Callers(), 0), operators: guard("operators", h.Operators(), operatorWriteTimeout),
		peers: guard("peers", h.Peers(), 0),
	}
}
