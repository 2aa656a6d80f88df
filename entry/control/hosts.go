package control

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// checkEvery is the time between two checks of a host that the list lacks.
const checkEvery = clock.Second

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
	s.rehost()
}

// HostLeaving tells that a host is going away, from whichever source.
type HostLeaving struct{ Address string }

// Apply gives the host nothing new from the next run of the systems on, and has
// the other members told.
func (m HostLeaving) Apply(s *State, now clock.Millis) {
	if s.notices.Get(m.Address) != nil {
		return
	}
	s.notices.Put(m.Address, now)
	if !s.hosts.Leave(m.Address) {
		if row := s.upstreams.Get(unit.Upstream(m.Address)); row != nil {
			row.leaving = true
		}
	}
	s.rehost()
}

// Times of a notice that a host is leaving. It is kept longer than it is told,
// so that it does not go round for ever.
const (
	noticeTold = 10 * clock.Second
	noticeKept = clock.Minute
)

// maxNotices bounds the hosts in one heartbeat. When a whole data centre
// leaves, the platform's list tells the rest.
const maxNotices = 16

// toldNotices appends the hosts to dst that members are to be told of.
func (s *State) toldNotices(dst []string, now clock.Millis) []string {
	for address, at := range s.notices.All() {
		if now.Sub(*at) < noticeTold && len(dst) < maxNotices {
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
func (m HostChecked) Apply(s *State, _ clock.Millis) {
	if s.hosts.Settle(m.Address, m.Refused) {
		s.rehost()
	}
}

// rehost makes the routes follow a change of the hosts at once.
func (s *State) rehost() {
	s.hostsChanged = true
	s.Urge()
}

// HostSystem has the hosts checked that the list lacks.
func HostSystem(s *State, now clock.Millis) {
	s.notices.DeleteFunc(func(_ string, at *clock.Millis) bool { return now.Sub(*at) >= noticeKept })
	if s.checker == nil {
		return
	}
	s.checks = s.hosts.Due(s.checks[:0], now, checkEvery)
	for _, address := range s.checks {
		s.checker.Check(address)
	}
}

// executor is one upstream of a set.
type executor struct {
	address unit.Upstream
	dc      unit.DataCentre
	slots   unit.Slots
}

// executors appends the upstreams of a set that may get new work to dst: those
// of the text and those that the platform lists under the name of the set.
func (s *State) executors(dst []executor, set *service.UpstreamSet) []executor {
	for _, m := range set.Members {
		host := s.hosts.Get(string(m.Address))
		row := s.upstreams.Get(m.Address)
		if host != nil && host.Leaving || row != nil && row.leaving {
			continue
		}
		dst = append(dst, executor{m.Address, m.DataCentre, set.Slots})
	}
	for address, h := range s.hosts.All() {
		if h.Role != member.Executor || string(h.Service) != set.Name || h.Leaving || fixed(set, unit.Upstream(address)) {
			continue
		}
		slots := h.Slots
		if slots == 0 {
			slots = set.Slots
		}
		dst = append(dst, executor{unit.Upstream(address), h.DataCentre, slots})
	}
	return dst
}

func fixed(set *service.UpstreamSet, address unit.Upstream) bool {
	for _, m := range set.Members {
		if m.Address == address {
			return true
		}
	}
	return false
}
