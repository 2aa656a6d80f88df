package control

import (
	"cmp"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// checkInterval is the time between two checks of a host that the list lacks.
const checkInterval = clock.Second

// Checker finds out whether something listens at an address, without waiting.
// The outcome comes as [HostChecked].
type Checker interface {
	Check(address string)
}

// SetChecker sets the checker of hosts that the platform's list lacks. It must
// be called before Run; without it such hosts are kept.
func (l *Loop) SetChecker(c Checker) { l.state.checker = c }

// HostList is the platform's list of hosts as it was read.
type HostList struct{ Listings []member.Listing }

// Apply updates the hosts. An empty list leaves them as they are.
func (m HostList) Apply(s *State, now clock.Millis) {
	s.hosts.Update(m.Listings, now)
	SetWorkers(m).Apply(s, now)
	s.routeHosts(now)
}

// HostLeaving tells that a host is going away, from whichever source.
type HostLeaving struct{ Address string }

// Apply gives the host nothing new from the next run of the systems on, and has
// the other members told.
func (m HostLeaving) Apply(s *State, now clock.Millis) {
	if s.leaveNotices.Get(m.Address) != nil {
		return
	}
	s.leaveNotices.Put(m.Address, now)
	s.hosts.Leave(m.Address)
	SetLeaving{Upstream: unit.Upstream(m.Address), Leaving: true}.Apply(s, now)
}

// Times of a notice that a host is leaving. It is kept longer than it is told,
// so that it does not go round for ever.
const (
	noticeSendTime  = 10 * clock.Second
	noticeRetention = clock.Minute
)

// maxNotices bounds the hosts in one heartbeat. When a whole data centre
// leaves, the platform's list tells the rest.
const maxNotices = 16

// appendNotices appends the hosts to dst that members are to be told of.
func (s *State) appendNotices(dst []string, now clock.Millis) []string {
	for address, at := range s.leaveNotices.All() {
		if now.Sub(*at) < noticeSendTime && len(dst) < maxNotices {
			dst = append(dst, address)
		}
	}
	return dst
}

// HostChecked is the outcome of a check of a host that the list lacks.
type HostChecked struct {
	Address string
	Refused bool
}

// Apply removes a host that refused the connection.
func (m HostChecked) Apply(s *State, now clock.Millis) {
	if s.hosts.Settle(m.Address, m.Refused) {
		s.routeHosts(now)
	}
}

// HostSystem has the hosts checked that the list lacks.
func HostSystem(s *State, now clock.Millis) {
	s.leaveNotices.DeleteFunc(func(_ string, at *clock.Millis) bool { return now.Sub(*at) >= noticeRetention })
	if s.checker == nil {
		return
	}
	s.dueChecks = s.hosts.Due(s.dueChecks[:0], now, checkInterval)
	for _, address := range s.dueChecks {
		s.checker.Check(address)
	}
}

// routeHosts hands the listed executors to the request path.
func (s *State) routeHosts(now clock.Millis) {
	bySet := make(map[string][]service.Member)
	for set := range s.listedMembers.All() {
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
		if old := s.listedMembers.Get(set); old == nil || !slices.Equal(*old, members) {
			SetMembers{Set: set, Members: members}.Apply(s, now)
		}
	}
}

// Hosts returns a copy of the table of hosts.
func (s *State) Hosts() []member.HostRow {
	rows := make([]member.HostRow, 0, s.hosts.Len())
	for _, r := range s.hosts.All() {
		rows = append(rows, *r)
	}
	return rows
}
