package tenure

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// PendingClaim is a claim that this process intends to append. From StartedAt on,
// this process makes no promise for the data centre. A claim that was appended
// stays pending until a claim of its epoch is received, because an append whose
// reply is lost can still take effect.
type PendingClaim struct {
	Epoch          unit.Epoch
	StartedAt      clock.Millis
	AppendedAt     clock.Millis // last append; zero before the first
	UnknownAppends int          // appends without a known outcome before the last one
}

// PendingClaims holds the pending claims by data centre. The zero value is empty.
type PendingClaims struct {
	table.Table[unit.DataCentre, PendingClaim]
}

// SelfState is the membership state of this process. It decides whether the
// process may claim.
type SelfState struct {
	member.Identity
	AcknowledgedAt clock.Millis // when a member acknowledged it; zero if none has
	Founder        bool         // every member that joined before it has ended
	LastReadStart  clock.Millis // start of the last complete journal read
}

// MayClaim reports whether the process is a member that may claim. After the
// acknowledgement, an owner may still rely on a confirmation that did not
// include this process, so the process waits until such a confirmation has
// expired.
func (s *SelfState) MayClaim(now clock.Millis, l Limits) bool {
	return s.Founder || s.AcknowledgedAt > 0 && now >= s.AcknowledgedAt.Add(WithClockDrift(l.QuickRight))
}

// ShouldClaim reports whether self should claim the data centre. A claim is due
// if the tenure has no owner, or if the owner has ended, is leaving, has handed
// over or is silent.
//
// The wait, counted from the last claim, is half of [Limits.QuickRight] for every
// live member of the data centre of self whose instance sorts before that of
// self. If the owner is known and neither ended nor leaving, QuickRight is added,
// and the owner must also have been silent for the wait. A process of another
// data centre adds QuickRight once more, counts the wait from its acknowledgement
// if that is later, and claims only if every member of the data centre has been
// silent for the whole wait. After a handover there is no wait.
func ShouldClaim(r *Row, dc unit.DataCentre, members *member.Table, self *SelfState, now clock.Millis, l Limits) bool {
	if r.Instance == self.Instance && r.Epoch > 0 {
		return false
	}
	if r.HandedOver {
		return true
	}
	wait := claimRank(members, self, now, l) * l.QuickRight / 2
	if r.Epoch > 0 {
		if m := members.Get(r.Instance); m != nil && !m.Ended() && !m.Leaving {
			wait += l.QuickRight
			if m.SilentFor(now) < wait {
				return false
			}
		}
	}
	if self.DataCentre == dc {
		return now >= r.RecordedAt.Add(wait)
	}
	wait += l.QuickRight
	for _, m := range members.All() {
		if m.DataCentre == dc && !m.Ended() && !m.Leaving && m.SilentFor(now) < wait {
			return false
		}
	}
	return now >= max(r.RecordedAt, self.AcknowledgedAt).Add(wait)
}

// claimRank returns the number of live members in the data centre of self whose
// instance sorts before that of self. The result is a count; it has the type of
// a duration only to be multiplied with one.
func claimRank(members *member.Table, self *SelfState, now clock.Millis, l Limits) clock.Span {
	n := clock.Span(0)
	for id, m := range members.All() {
		if m.DataCentre == self.DataCentre && id < self.Instance && !m.Ended() && !m.Leaving && m.SilentFor(now) < l.QuickRight {
			n++
		}
	}
	return n
}

// ReadyToAppend reports whether the claim may be appended now. A complete read of
// the journal must have begun after the process stopped promising. If there is an
// owner that has not handed over, the last promise must have expired or the
// owner must have ended.
func (p *PendingClaim) ReadyToAppend(r *Row, members *member.Table, self *SelfState, now clock.Millis, l Limits) bool {
	if !self.MayClaim(now, l) || self.LastReadStart < p.StartedAt {
		return false
	}
	if r.Epoch == 0 || r.HandedOver || now >= p.StartedAt.Add(WithClockDrift(l.QuickRight)) {
		return true
	}
	m := members.Get(r.Instance)
	return m != nil && m.Ended()
}
