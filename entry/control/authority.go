package control

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/work"
)

// AuthoritySystem passes the tenures to the boards. It runs after the tenures
// are confirmed and before the boards.
func AuthoritySystem(s *State, now clock.Millis) {
	for dc, r := range s.node.Tenures.All() {
		authority := work.Authority{Epoch: r.Epoch, FormerOwnersEndAt: clock.Never}
		if _, tenureRight := s.ownGranter(dc); r.Epoch > 0 && r.Instance == s.Self.Instance && !s.node.Leaving {
			authority = workAuthority(r.Epoch, tenureRight, now)
		}
		s.Board(dc).SetAuthority(now, authority)
	}
}

// workAuthority converts the right of a tenure to the authority over the work
// of its data centre. The slow right covers work that is already accepted; the
// quick right allows accepting more. FormerOwnersEndAt, from which no former
// owner renews leases, is the start of the slow right.
func workAuthority(epoch unit.Epoch, r tenure.Right, now clock.Millis) work.Authority {
	authority := work.Authority{IsOwner: true, Epoch: epoch, RunUntil: r.SlowUntil, FormerOwnersEndAt: r.SlowFrom}
	if r.QuickFrom <= now {
		authority.AcceptUntil = r.QuickUntil
	}
	return authority
}
