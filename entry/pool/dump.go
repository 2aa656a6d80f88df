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

// UpstreamState holds the numbers of connections to one upstream in the state
// dump.
type UpstreamState struct {
	Address unit.Upstream `json:"address"`
	Active  int           `json:"active"`
	Idle    int           `json:"idle"`
}

// State returns the numbers of connections to all upstreams, sorted by address.
// Active includes connections that are being dialled.
func (p *Pool) State() []UpstreamState {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := make([]UpstreamState, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		u.mu.Lock()
		states = append(states, UpstreamState{u.address, len(u.active) + u.dialing, len(u.idleConns)})
		u.mu.Unlock()
	}
	slices.SortFunc(states, func(a, b UpstreamState) int { return strings.Compare(string(a.Address), string(b.Address)) })
	return states
}
