package tenure

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/unit"
)

// Start is when a new owner may begin to grant the slots of each part.
type Start struct {
	Quick, Slow clock.Millis
}

// Reports tells which holders have reported what they hold to the owner of the
// epoch.
type Reports interface {
	// Reported reports whether id has dropped the grants of former owners
	// and told what still runs under them.
	Reported(id unit.Instance) bool
}

// NoteEnds notes which former owners are known to grant nothing more.
func (r *Row) NoteEnds(members *member.Table, now clock.Millis) {
	for i := range r.Formers {
		f := &r.Formers[i]
		m := members.Get(f.Instance)
		switch {
		case f.Ended > 0:
		case f.Handed:
			f.Ended = r.Learned
		case m == nil:
		case m.Settled >= r.Version:
			f.Ended, f.GaveWay = now, true
		case m.Dead:
			f.Ended = m.DeadAt
		case m.Gone:
			f.Ended = now
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
func Takeover(r *Row, members *member.Table, reports Reports, l Limits, lastRead clock.Millis) Start {
	if len(r.Formers) == 0 {
		return Start{}
	}
	f := formersOf(r)
	if f.handed {
		return Start{Quick: r.Learned, Slow: r.Learned}
	}
	lapsed := f.ended.Add(l.Outstanding(l.Quick)) // of short grants, which an isolated owner gives until it ends
	if f.given && allReported(members, reports) {
		lapsed = r.Learned
	}
	lapsed = max(lapsed, r.Learned)
	return Start{
		Quick: min(r.Learned.Add(l.Outstanding(l.Confirm+l.Quick)), lapsed),
		Slow:  min(slowByTime(r, l), slowByReport(members, reports, l, f.ended, lapsed, lastRead)),
	}
}

// formers is what is known of the former owners of a tenure.
type formers struct {
	ended  clock.Millis // when the last of them had ended; Never if one may go on
	given  bool         // all of them have given way
	handed bool         // all of them have told what they granted
}

func formersOf(r *Row) formers {
	all := formers{given: true, handed: true}
	for _, f := range r.Formers {
		all.handed = all.handed && f.Handed
		all.given = all.given && (f.GaveWay || f.Handed)
		if f.Ended == 0 {
			all.ended = clock.Never
		}
		all.ended = max(all.ended, f.Ended)
	}
	return all
}

// allReported reports whether every member has reported. A member that died
// without a goodbye may have left requests that end only by time.
func allReported(members *member.Table, reports Reports) bool {
	for id, m := range members.All() {
		if !m.Gone && (m.Dead || !reports.Reported(id)) {
			return false
		}
	}
	return true
}

func slowByTime(r *Row, l Limits) clock.Millis {
	var at clock.Millis
	for _, f := range r.Formers {
		at = max(at, f.Since.Add(l.Outstanding(l.Isolated)))
	}
	return at
}

func slowByReport(members *member.Table, reports Reports, l Limits, ended, lapsed, lastRead clock.Millis) clock.Millis {
	if ended == clock.Never || lastRead < ended {
		return clock.Never
	}
	at := lapsed
	for id, m := range members.All() {
		switch {
		case !m.Joined || m.Gone || reports.Reported(id): // only joined members get pinned grants
		case m.Dead:
			at = max(at, m.DeadAt.Add(l.Outstanding(l.Quick)))
		default:
			return clock.Never
		}
	}
	return at
}
