package pool

import (
	"expvar"
	"slices"
	"strings"

	"mimosadock/schedule/unit"
)

var (
	dials   = expvar.NewInt("pool.dials")
	refused = expvar.NewInt("pool.dialsRefused")
	reused  = expvar.NewInt("pool.connectionsReused")
	stale   = expvar.NewInt("pool.connectionsStale")
	silent  = expvar.NewInt("pool.connectionsSilent")
	broken  = expvar.NewInt("pool.answersBroken")
	atLimit = expvar.NewInt("pool.connectionLimit")
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
	states := make([]HostState, 0, len(p.hosts))
	for _, h := range p.hosts {
		h.mu.Lock()
		states = append(states, HostState{h.address, len(h.active) + h.reserved, len(h.free)})
		h.mu.Unlock()
	}
	slices.SortFunc(states, func(a, b HostState) int { return strings.Compare(string(a.Address), string(b.Address)) })
	return states
}
