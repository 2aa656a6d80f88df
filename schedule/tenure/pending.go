package tenure

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// PendingClaim is an intended claim. From Since on this process promises nothing
// for the data centre. An appended one stays until a claim of its epoch is
// known, since an append whose answer is lost can still take effect.
type PendingClaim struct {
	Epoch     unit.Epoch
	StartedAt clock.Millis
	Appended  clock.Millis // last append; zero before the first
	Unsure    int          // appends without a known outcome before that one
}

// PendingClaims holds the pending claims by data centre. The zero value is empty.
type PendingClaims struct {
	table.Table[unit.DataCentre, PendingClaim]
}

// SelfState is what a process must know of itself to claim.
type SelfState struct {
	member.Identity
	AcknowledgedAt clock.Millis // when a member acknowledged it; zero if none has
	Founder        bool         // no member of the journal is left, as proven
	LastRead       clock.Millis // start of the last complete journal read
}

// MayClaim reports whether the process is a full member that may claim. After the
// acknowledgement it waits until no confirmation without its promise is valid.
func (s *SelfState) MayClaim(now clock.Millis, l Limits) bool {
	return s.Founder || s.AcknowledgedAt > 0 && now >= s.AcknowledgedAt.Add(Allow(l.Confirm))
}

// ShouldClaim reports whether self should claim the data centre: its tenure has no
// owner or the owner is silent. Members of the data centre come first, each
// after the ones that sort before it; other processes claim after the data
// centre has had no live member either for the confirm time more.
func ShouldClaim(r *Row, dc unit.DataCentre, members *member.Table, self *SelfState, now clock.Millis, l Limits) bool {
	if r.Instance == self.Instance && r.Epoch > 0 {
		return false
	}
	if r.Handed {
		return true
	}
	wait := claimRank(members, self, now, l) * l.Confirm / 2
	if r.Epoch > 0 {
		if m := members.Get(r.Instance); m != nil && !m.Ended() && !m.Leaving {
			wait += l.Confirm
			if m.Silent(now) < wait {
				return false
			}
		}
	}
	if self.DataCentre == dc {
		return now >= r.RecordedAt.Add(wait)
	}
	wait += l.Confirm
	for _, m := range members.All() {
		if m.DataCentre == dc && !m.Ended() && !m.Leaving && m.Silent(now) < wait {
			return false
		}
	}
	return now >= max(r.RecordedAt, self.AcknowledgedAt).Add(wait)
}

// claimRank counts the live members of the data centre of self that sort before it.
func claimRank(members *member.Table, self *SelfState, now clock.Millis, l Limits) clock.Span {
	n := clock.Span(0)
	for id, m := range members.All() {
		if m.DataCentre == self.DataCentre && id < self.Instance && !m.Ended() && !m.Leaving && m.Silent(now) < l.Confirm {
			n++
		}
	}
	return n
}

// ReadyToAppend reports whether the claim of b may be appended now: the journal was
// read to its end after the last promise was withheld, and that promise has
// ended or the owner that counted on it is known to have.
func (p *PendingClaim) ReadyToAppend(r *Row, members *member.Table, self *SelfState, now clock.Millis, l Limits) bool {
	if !self.MayClaim(now, l) || self.LastRead < p.StartedAt {
		return false
	}
	if r.Epoch == 0 || r.Handed || now >= p.StartedAt.Add(Allow(l.Confirm)) {
		return true
	}
	m := members.Get(r.Instance)
	return m != nil && m.Ended()
}
