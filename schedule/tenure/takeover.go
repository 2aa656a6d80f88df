package tenure

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/unit"
)

// StartTimes are the instants at which a new owner may begin to grant the slots
// of each part.
type StartTimes struct {
	Quick, Slow clock.Millis
}

// HolderReports reports which holders have sent the owner of the epoch a list of
// what they hold.
type HolderReports interface {
	// HasReported reports whether id has dropped the grants of former owners
	// and reported the requests that still run under them.
	HasReported(id unit.Instance) bool
}

// RecordEnds sets EndedAt of the former owners that grant nothing more, as
// proven by a handover, a merged claim, a goodbye record or a proof of death. See
// [member.Row] for the merged version that counts.
func (r *Row) RecordEnds(members *member.Table, now clock.Millis) {
	for i := range r.FormerOwners {
		f := &r.FormerOwners[i]
		m := members.Get(f.Instance)
		switch {
		case f.EndedAt > 0:
		case f.HandedOver:
			f.EndedAt = r.RecordedAt
		case m == nil:
		case m.CompleteMergedVersion >= r.Version:
			f.EndedAt, f.MergedClaim = now, true
		case m.Dead:
			f.EndedAt = m.DeadAt
		case m.Left:
			f.EndedAt = now
		}
	}
}

// TakeoverTimes returns when the owner of r may begin to grant. lastRead is the
// start of the last complete journal read. Without former owners the result is
// zero. If all former owners have handed over, it is the instant of the claim.
// Otherwise the rights and grants of the former owners bound it:
//
//   - Quick slots are free when the quick right and the unpinned grants of the
//     former owners have expired. They are free earlier if all former owners
//     have ended and their unpinned grants have expired, or if all have merged
//     the claim and every member has reported.
//   - Slow slots are free when the slow right of the former owners and the
//     grants under it have expired. They are free earlier if all former owners
//     have ended, their unpinned grants have expired or are reported, and every
//     joined member has reported its pinned grants or is proven dead. The
//     journal must have been read since the end of the former owners, because
//     it lists the members that joined.
func TakeoverTimes(r *Row, members *member.Table, reports HolderReports, l Limits, lastRead clock.Millis) StartTimes {
	if len(r.FormerOwners) == 0 {
		return StartTimes{}
	}
	summary := summarizeFormerOwners(r)
	if summary.allHandedOver {
		return StartTimes{Quick: r.RecordedAt, Slow: r.RecordedAt}
	}
	unpinnedGrantsEnd := summary.endedAt.Add(l.ReleaseDelay(l.MaxGrant)) // an owner that reaches neither the journal nor its peers gives unpinned grants of slow slots until it ends
	if summary.allMergedClaim && allReported(members, reports) {
		unpinnedGrantsEnd = r.RecordedAt
	}
	unpinnedGrantsEnd = max(unpinnedGrantsEnd, r.RecordedAt)
	return StartTimes{
		Quick: min(r.RecordedAt.Add(l.ReleaseDelay(l.QuickRight+l.MaxGrant)), unpinnedGrantsEnd),
		Slow:  min(slowStartByTime(r, l), slowStartByReport(members, reports, l, summary.endedAt, unpinnedGrantsEnd, lastRead)),
	}
}

// formerOwnersSummary is the combined state of all former owners of a tenure.
type formerOwnersSummary struct {
	endedAt        clock.Millis // when the last of them ended; Never if one may still grant
	allMergedClaim bool         // all of them have merged the claim or handed over
	allHandedOver  bool         // all of them have handed over their grants
}

// summarizeFormerOwners returns the summary of r.FormerOwners.
func summarizeFormerOwners(r *Row) formerOwnersSummary {
	summary := formerOwnersSummary{allMergedClaim: true, allHandedOver: true}
	for _, f := range r.FormerOwners {
		summary.allHandedOver = summary.allHandedOver && f.HandedOver
		summary.allMergedClaim = summary.allMergedClaim && (f.MergedClaim || f.HandedOver)
		if f.EndedAt == 0 {
			summary.endedAt = clock.Never
		}
		summary.endedAt = max(summary.endedAt, f.EndedAt)
	}
	return summary
}

// allReported reports whether every member that has not left has reported. It
// is false if a member died before it left, because requests of that member may
// still run until their deadline.
func allReported(members *member.Table, reports HolderReports) bool {
	for id, m := range members.All() {
		if !m.Left && (m.Dead || !reports.HasReported(id)) {
			return false
		}
	}
	return true
}

// slowStartByTime returns the instant at which the slow rights of all former
// owners and the grants under them have expired.
func slowStartByTime(r *Row, l Limits) clock.Millis {
	var at clock.Millis
	for _, f := range r.FormerOwners {
		at = max(at, f.SupersededAt.Add(l.ReleaseDelay(l.SlowRight)))
	}
	return at
}

// slowStartByReport returns the instant from which slow slots are free according
// to the reports of the members. It returns [clock.Never] if a former owner may
// still grant, the journal was not read since the former owners ended, or a
// report is missing.
func slowStartByReport(members *member.Table, reports HolderReports, l Limits, endedAt, unpinnedGrantsEnd, lastRead clock.Millis) clock.Millis {
	if endedAt == clock.Never || lastRead < endedAt {
		return clock.Never
	}
	at := unpinnedGrantsEnd
	for id, m := range members.All() {
		switch {
		case !m.Joined || m.Left || reports.HasReported(id): // only joined members get pinned grants
		case m.Dead:
			at = max(at, m.DeadAt.Add(l.ReleaseDelay(l.MaxGrant)))
		default:
			return clock.Never
		}
	}
	return at
}
