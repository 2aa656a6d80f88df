package control

import (
	"cmp"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// hostCheckInterval is the time between two checks of a host that is missing
// from the platform's list.
const hostCheckInterval = clock.Second

// HostChecker tests without blocking whether a process listens at an address.
// The result arrives as [HostChecked].
type HostChecker interface {
	Check(address string)
}

// SetHostChecker sets the checker for hosts that are missing from the
// platform's list. Without a checker such hosts are kept. SetHostChecker must be
// called before Run.
func (l *Loop) SetHostChecker(c HostChecker) { l.state.checker = c }

// HostList is the message with the platform's list of hosts.
type HostList struct{ Listings []member.Listing }

// Apply updates the hosts, the boards and the routes. An empty list leaves the
// hosts unchanged.
func (m HostList) Apply(s *State, now clock.Millis) {
	s.hosts.ApplyList(m.Listings, now)
	SetWorkers(m).Apply(s, now)
	s.routeHosts(now)
}

// HostLeaving reports that a host is going away. The report can come from any
// source, such as an audit entry or a heartbeat.
type HostLeaving struct{ Address string }

// Apply stops new work for the host from the next tick on and queues a notice
// for the other members. Further reports of the same host are ignored while the
// notice is kept.
func (m HostLeaving) Apply(s *State, now clock.Millis) {
	if s.leaveNotices.Get(m.Address) != nil {
		return
	}
	s.leaveNotices.Put(m.Address, now)
	s.hosts.MarkLeaving(m.Address)
	SetLeaving{Upstream: unit.Upstream(m.Address), Leaving: true}.Apply(s, now)
}

// Times of a notice that a host is leaving. The notice is kept longer than it
// is sent. Otherwise a peer's copy would start it again and it would circulate
// forever.
const (
	noticeSendTime  = 10 * clock.Second
	noticeRetention = clock.Minute
)

// maxNotices is the largest number of hosts in one heartbeat. If more hosts leave
// at once, such as those of a whole data centre, only the platform's list reports
// the others.
const maxNotices = 16

// appendNotices appends the leaving hosts that the next heartbeat reports to
// dst.
func (s *State) appendNotices(dst []string, now clock.Millis) []string {
	for address, at := range s.leaveNotices.All() {
		if now.Sub(*at) < noticeSendTime && len(dst) < maxNotices {
			dst = append(dst, address)
		}
	}
	return dst
}

// HostChecked is the result of a check by [HostChecker]. Refused means that the
// connection was refused.
type HostChecked struct {
	Address string
	Refused bool
}

// Apply removes the host if it refused the connection.
func (m HostChecked) Apply(s *State, now clock.Millis) {
	if s.hosts.ApplyCheck(m.Address, m.Refused) {
		s.routeHosts(now)
	}
}

// HostSystem deletes old notices and starts the checks of hosts that are
// missing from the platform's list.
func HostSystem(s *State, now clock.Millis) {
	s.leaveNotices.DeleteFunc(func(_ string, at *clock.Millis) bool { return now.Sub(*at) >= noticeRetention })
	if s.checker == nil {
		return
	}
	s.dueChecks = s.hosts.DueChecks(s.dueChecks[:0], now, hostCheckInterval)
	for _, address := range s.dueChecks {
		s.checker.Check(address)
	}
}

// routeHosts updates the upstream sets and leaving marks from the listed
// executors.
func (s *State) routeHosts(now clock.Millis) {
	bySet := make(map[string][]service.Member)
	for set := range s.listedUpstreams.All() {
		bySet[set] = nil
	}
	for address, r := range s.hosts.All() {
		if r.Role != member.RoleExecutor {
			continue
		}
		set := string(r.Service)
		bySet[set] = append(bySet[set], service.Member{Address: unit.Upstream(address), DataCentre: r.DataCentre})
		SetLeaving{Upstream: unit.Upstream(address), Leaving: r.Leaving}.Apply(s, now)
	}
	for set, members := range bySet {
		slices.SortFunc(members, func(a, b service.Member) int { return cmp.Compare(a.Address, b.Address) })
		if old := s.listedUpstreams.Get(set); old == nil || !slices.Equal(*old, members) {
			SetListedUpstreams{Set: set, Upstreams: members}.Apply(s, now)
		}
	}
}

// Hosts returns a copy of the rows of the host table, in no particular order.
func (s *State) Hosts() []member.HostRow {
	rows := make([]member.HostRow, 0, s.hosts.Len())
	for _, r := range s.hosts.All() {
		rows = append(rows, *r)
	}
	return rows
}
