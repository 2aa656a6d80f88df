package pool

import (
	"expvar"
	"slices"
	"strings"

	"mimosadock/schedule/unit"
)

var (
	dialCount            = expvar.NewInt("pool.dials")
	dialFailureCount     = expvar.NewInt("pool.dialsRefused")
	reusedCount          = expvar.NewInt("pool.connectionsReused")
	staleCount           = expvar.NewInt("pool.connectionsStale")
	stalledCount         = expvar.NewInt("pool.connectionsSilent")
	brokenResponseCount  = expvar.NewInt("pool.answersBroken")
	connectionLimitCount = expvar.NewInt("pool.connectionLimit")
)

// HostState is the connections to one upstream, for the state dump.
type HostState struct {
	Address unit.Upstream `json:"address"`
	Active  int           `json:"active"`
	Idle    int           `json:"idle"`
}

// State returns the connections to all upstreams, ordered by address.
func (p *Pool) State() []HostState {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := make([]HostState, 0, len(p.upstreams))
	for _, h := range p.upstreams {
		h.mu.Lock()
		states = append(states, HostState{h.address, len(h.active) + h.dialing, len(h.idleConns)})
		h.mu.Unlock()
	}
	slices.SortFunc(states, func(a, b HostState) int { return strings.Compare(string(a.Address), string(b.Address)) })
	return states
}
