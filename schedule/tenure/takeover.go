package tenure

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/unit"
)

// StartTimes is when a new owner may begin to grant the slots of each part.
type StartTimes struct {
	Quick, Slow clock.Millis
}

// Reports tells which holders have reported what they hold to the owner of the
// epoch.
type Reports interface {
	// HasReported reports whether id has dropped the grants of former owners
	// and told what still runs under them.
	HasReported(id unit.Instance) bool
}

// NoteEnds notes which former owners are known to grant nothing more.
func (r *Row) NoteEnds(members *member.Table, now clock.Millis) {
	for i := range r.Formers {
		f := &r.Formers[i]
		m := members.Get(f.Instance)
		switch {
		case f.EndedAt > 0:
		case f.Handed:
			f.EndedAt = r.RecordedAt
		case m == nil:
		case m.MergedComplete >= r.Version:
			f.EndedAt, f.MergedClaim = now, true
		case m.Dead:
			f.EndedAt = m.DeadAt
		case m.Gone:
			f.EndedAt = now
		}
	}
}

// Takeover returns when the owner of r may begin. Rights of former owners and
// what they granted bound it:
//
//   - Quick slots are free once the quick right and the quick grants of the
//     former owner have ended by time, or it is known to grant nothing more and
//     its grants have ended, or it has given way and every member has reported.
//   - Slow slots are free once every former owner is known to grant nothing
//     more, its short grants have ended or are reported, and every joined member
//     has reported its pinned grants or is proven dead; otherwise when the
//     isolation bound has passed.
func Takeover(r *Row, members *member.Table, reports Reports, l Limits, lastRead clock.Millis) StartTimes {
	if len(r.Formers) == 0 {
		return StartTimes{}
	}
	summary := summarizeFormerOwners(r)
	if summary.allHandedOver {
		return StartTimes{Quick: r.RecordedAt, Slow: r.RecordedAt}
	}
	shortGrantsEnd := summary.endedAt.Add(l.Outstanding(l.Quick)) // of short grants, which an isolated owner gives until it ends
	if summary.allMergedClaim && allReported(members, reports) {
		shortGrantsEnd = r.RecordedAt
	}
	shortGrantsEnd = max(shortGrantsEnd, r.RecordedAt)
	return StartTimes{
		Quick: min(r.RecordedAt.Add(l.Outstanding(l.Confirm+l.Quick)), shortGrantsEnd),
		Slow:  min(slowStartByTime(r, l), slowStartByReport(members, reports, l, summary.endedAt, shortGrantsEnd, lastRead)),
	}
}

// formerOwnersSummary is what is known of the former owners of a tenure.
type formerOwnersSummary struct {
	endedAt        clock.Millis // when the last of them had ended; Never if one may go on
	allMergedClaim bool         // all of them have given way
	allHandedOver  bool         // all of them have told what they granted
}

func summarizeFormerOwners(r *Row) formerOwnersSummary {
	summary := formerOwnersSummary{allMergedClaim: true, allHandedOver: true}
	for _, f := range r.Formers {
		summary.allHandedOver = summary.allHandedOver && f.Handed
		summary.allMergedClaim = summary.allMergedClaim && (f.MergedClaim || f.Handed)
		if f.EndedAt == 0 {
			summary.endedAt = clock.Never
		}
		summary.endedAt = max(summary.endedAt, f.EndedAt)
	}
	return summary
}

// allReported reports whether every member has reported. A member that died
// without a goodbye may have left requests that end only by time.
func allReported(members *member.Table, reports Reports) bool {
	for id, m := range members.All() {
		if !m.Gone && (m.Dead || !reports.HasReported(id)) {
			return false
		}
	}
	return true
}

func slowStartByTime(r *Row, l Limits) clock.Millis {
	var at clock.Millis
	for _, f := range r.Formers {
		at = max(at, f.SupersededAt.Add(l.Outstanding(l.Isolated)))
	}
	return at
}

func slowStartByReport(members *member.Table, reports Reports, l Limits, endedAt, shortGrantsEnd, lastRead clock.Millis) clock.Millis {
	if endedAt == clock.Never || lastRead < endedAt {
		return clock.Never
	}
	at := shortGrantsEnd
	for id, m := range members.All() {
		switch {
		case !m.Joined || m.Gone || reports.HasReported(id): // only joined members get pinned grants
		case m.Dead:
			at = max(at, m.DeadAt.Add(l.Outstanding(l.Quick)))
		default:
			return clock.Never
		}
	}
	return at
}
