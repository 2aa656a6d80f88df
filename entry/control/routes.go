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
	slots    unit.Slots // zero while it may get nothing new
	leaving  bool       // it said so itself; the text can't know
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

// RouteSystem rebuilds the routes after a change of the text or of the hosts.
func RouteSystem(s *State, _ clock.Millis) {
	if s.Text == nil || s.routeRevision == s.Revision && !s.hostsChanged {
		return
	}
	s.routeRevision, s.hostsChanged = s.Revision, false
	for _, row := range s.upstreams.All() {
		row.slots = 0
	}
	members := make(map[string][]*route.Upstream)
	for i := range s.Text.UpstreamSets {
		set := &s.Text.UpstreamSets[i]
		for _, e := range s.executors(nil, set) {
			row := s.upstreams.Ensure(e.address)
			if row.upstream == nil {
				row.upstream = &route.Upstream{Address: e.address, DataCentre: e.dc, Slots: new(slot.Counter), Pinned: new(slot.Counter)}
			}
			row.set, row.slots = set.Name, e.slots
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
