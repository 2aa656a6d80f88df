package control

import (
	"cmp"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/route"
	"mimosadock/schedule/unit"
)

// Dump is a copy of the control state at one instant, for operators.
type Dump struct {
	Self      Self            `json:"self"`
	NowMs     clock.Millis    `json:"nowMs"`
	Revision  unit.Revision   `json:"revision"`
	Draining  bool            `json:"draining"`
	Upstreams []UpstreamState `json:"upstreams"`
	Services  []ServiceState  `json:"services"`
}

// UpstreamState is the state of one upstream in a [Dump].
type UpstreamState struct {
	Address       unit.Upstream   `json:"address"`
	DataCentre    unit.DataCentre `json:"dataCentre"`
	Set           string          `json:"set"`
	Phase         route.Phase     `json:"phase"`
	Leaving       bool            `json:"leaving"`
	Slots         unit.Slots      `json:"slots"`
	InFlight      unit.Slots      `json:"inFlight"`
	Free          unit.Slots      `json:"free"`
	PinnedFree    unit.Slots      `json:"pinnedFree"`
	Limit         unit.Slots      `json:"limit"`
	EstimatedLoad int64           `json:"busyness"`
	Slowness      route.Slowness  `json:"slowness"`
	Failures      int             `json:"failures"`
	Ejections     int             `json:"ejections"`
}

// ServiceState holds the latency percentiles of one service in a [Dump].
type ServiceState struct {
	Name  unit.Service  `json:"name"`
	P50Us route.Latency `json:"p50Us"`
	P95Us route.Latency `json:"p95Us"`
	P99Us route.Latency `json:"p99Us"`
}

// GetDump requests a [Dump]. Reply must have room for one value; otherwise the
// dump is dropped.
type GetDump struct{ Reply chan<- *Dump }

// Apply sends the dump, sorted by address and by name.
func (m GetDump) Apply(s *State, now clock.Millis) {
	d := &Dump{Self: s.Self, NowMs: now, Revision: s.Revision, Draining: s.Draining}
	for a, row := range s.upstreams.All() {
		u := row.upstream
		d.Upstreams = append(d.Upstreams, UpstreamState{
			Address: a, DataCentre: u.DataCentre, Set: row.set, Phase: row.health.Phase, Leaving: row.leaving,
			Slots: row.slots, InFlight: u.InFlight(), Free: u.Slots.Free(), PinnedFree: u.Pinned.Free(), Limit: u.Limit(),
			EstimatedLoad: u.EstimatedInFlight(), Slowness: row.health.Slowness, Failures: row.health.Failures, Ejections: row.health.Ejections,
		})
	}
	for name, samples := range s.services.All() {
		st := samples.Stats
		d.Services = append(d.Services, ServiceState{name, st.P50(), st.P95(), st.P99()})
	}
	slices.SortFunc(d.Upstreams, func(a, b UpstreamState) int { return cmp.Compare(a.Address, b.Address) })
	slices.SortFunc(d.Services, func(a, b ServiceState) int { return cmp.Compare(a.Name, b.Name) })
	select {
	case m.Reply <- d:
	default:
	}
}

// SetDraining marks the process as draining, which makes it unready.
type SetDraining struct{}

// Apply sets the mark and requests a tick, so that the next view shows it.
func (SetDraining) Apply(s *State, _ clock.Millis) {
	s.Draining = true
	s.RequestTick()
}
