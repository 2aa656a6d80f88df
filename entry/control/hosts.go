package control

import (
	"cmp"
	"expvar"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// checkEvery is the time between two checks of a host that the list lacks.
const checkEvery = clock.Second

var listFailures = expvar.NewInt("control.hostListFailures")

// HostsListed is what the platform's list of hosts had, or that it failed.
type HostsListed struct {
	Rows []member.Listing
	Err  error
}

// Apply updates the table of hosts and the upstreams that come from it. A
// failed or empty list leaves the last known set in place.
func (m HostsListed) Apply(s *State, now clock.Millis) {
	if m.Err != nil {
		listFailures.Add(1)
		return
	}
	s.hosts.Update(m.Rows, now)
	SetWorkers{m.Rows}.Apply(s, now)
	s.routeHosts(now)
}

// HostChecked is the outcome of a check of a host that the list lacks.
type HostChecked struct {
	Address string
	Refused bool // the host refused the connection
}

// Apply removes the host if it refused.
func (m HostChecked) Apply(s *State, now clock.Millis) {
	if s.hosts.Settle(m.Address, m.Refused) {
		s.routeHosts(now)
	}
}

// DrainHost marks a host as leaving on an operator's word.
type DrainHost struct{ Address string }

// Apply marks the host, which may be a fixed upstream of the text.
func (m DrainHost) Apply(s *State, now clock.Millis) {
	s.hosts.Leave(m.Address)
	SetLeaving{Upstream: unit.Upstream(m.Address), Leaving: true}.Apply(s, now)
	s.routeHosts(now)
}

// DueChecks returns the hosts that are to be checked now.
func (s *State) DueChecks(now clock.Millis) []string { return s.hosts.Due(nil, now, checkEvery) }

// Hosts returns a copy of the table of hosts.
func (s *State) Hosts() []member.HostRow {
	rows := make([]member.HostRow, 0, s.hosts.Len())
	for _, r := range s.hosts.All() {
		rows = append(rows, *r)
	}
	return rows
}

// routeHosts hands the listed executors to the request path.
func (s *State) routeHosts(now clock.Millis) {
	bySet := make(map[string][]service.Member)
	for set := range s.listed.All() {
		bySet[set] = nil
	}
	for address, r := range s.hosts.All() {
		if r.Role != member.Executor {
			continue
		}
		set := string(r.Service)
		bySet[set] = append(bySet[set], service.Member{Address: unit.Upstream(address), DataCentre: r.DataCentre})
		SetLeaving{Upstream: unit.Upstream(address), Leaving: r.Leaving}.Apply(s, now)
	}
	for set, members := range bySet {
		slices.SortFunc(members, func(a, b service.Member) int { return cmp.Compare(a.Address, b.Address) })
		if old := s.listed.Get(set); old == nil || !slices.Equal(*old, members) {
			SetMembers{Set: set, Members: members}.Apply(s, now)
		}
	}
}
