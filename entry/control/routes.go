package control

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// upstreamRow is one upstream of an upstream set.
type upstreamRow struct {
	set      string
	slots    unit.Slots
	upstream *route.Upstream
}

// routeState holds the tables of the request path.
type routeState struct {
	upstreams     table.Table[unit.Upstream, upstreamRow]
	routeRevision unit.Revision
}

// SetText puts a services text into force. Lower revisions than the one in
// force are ignored.
type SetText struct {
	Revision unit.Revision
	Text     *service.Text
}

// Apply adopts the text if its revision is higher.
func (m SetText) Apply(s *State, _ clock.Millis) {
	if m.Revision <= s.Revision {
		return
	}
	s.Text, s.Revision = m.Text, m.Revision
	s.Urge()
}

// RouteSystem rebuilds the routes after a change of the text.
func RouteSystem(s *State, _ clock.Millis) {
	if s.Text == nil || s.routeRevision == s.Revision {
		return
	}
	s.routeRevision = s.Revision
	members := make(map[string][]*route.Upstream)
	for _, set := range s.Text.UpstreamSets {
		for _, m := range set.Members {
			row := s.upstreams.Ensure(m.Address)
			if row.upstream == nil {
				row.upstream = &route.Upstream{Address: m.Address, DataCentre: m.DataCentre, Slots: new(slot.Counter), Pinned: new(slot.Counter)}
			}
			row.set, row.slots = set.Name, set.Slots
			s.trackSlots(row)
			members[set.Name] = append(members[set.Name], row.upstream)
		}
	}
	view := &route.View{Targets: make(map[unit.Service]*route.Target, len(s.Text.Services))}
	for i := range s.Text.Services {
		svc := &s.Text.Services[i]
		view.Targets[svc.Name] = &route.Target{Service: svc, Upstreams: members[svc.UpstreamSet]}
	}
	s.routes = view
}
