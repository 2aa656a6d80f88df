package control

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/work"
)

// WorkRightSystem passes the tenures to the boards. It runs after the tenures
// are confirmed and before the boards.
func WorkRightSystem(s *State, now clock.Millis) {
	for dc, r := range s.node.Tenures.All() {
		right := work.Authority{Epoch: r.Epoch, FormerOwnersEndAt: clock.Never}
		if _, tenureRight := s.ownGranter(dc); r.Epoch > 0 && r.Instance == s.Self.Instance && !s.node.Leaving {
			right = workRight(r.Epoch, tenureRight, now)
		}
		s.Board(dc).SetAuthority(now, right)
	}
}

// workRight converts the right of a tenure to a right for work. The slow right
// covers work that is already accepted; the quick right allows accepting more.
// Sole, from which no former owner renews leases, is the start of the slow right.
func workRight(epoch unit.Epoch, r tenure.Right, now clock.Millis) work.Authority {
	w := work.Authority{IsOwner: true, Epoch: epoch, RunUntil: r.SlowUntil, FormerOwnersEndAt: r.SlowFrom}
	if r.QuickFrom <= now {
		w.AcceptUntil = r.QuickUntil
	}
	return w
}
