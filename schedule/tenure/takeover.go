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

// Takeover returns when the owner of r may begin. Rights of former owners and
// what they granted bound it:
//
//   - Quick slots are free once the quick right and the quick grants of the
//     former owner have ended by time, or its death is proven and its grants
//     have ended, or it has given way and every member has reported.
//   - Slow slots are free once every former owner has given way or is proven
//     dead, its short grants have ended, and every joined member has reported
//     its pinned grants or is proven dead; otherwise when the isolation bound
//     has passed.
func Takeover(r *Row, members *member.Table, reports Reports, l Limits, lastRead clock.Millis) Start {
	if len(r.Formers) == 0 {
		return Start{}
	}
	quick := r.Learned.Add(l.Outstanding(l.Confirm + l.Quick))
	f := formersOf(r, members)
	if f.handed {
		return Start{Quick: r.Learned, Slow: r.Learned}
	}
	if f.ended < clock.Never {
		quick = min(quick, max(r.Learned, f.ended.Add(l.Outstanding(l.Quick))))
	}
	if f.given && allReported(members, reports) {
		quick = r.Learned
	}
	return Start{Quick: quick, Slow: min(slowByTime(r, l), slowByReport(members, reports, l, quick, f.ended, lastRead))}
}

// formers is what is known of the former owners of a tenure.
type formers struct {
	ended  clock.Millis // when the last of them had ended; Never if one may live on
	given  bool         // all of them live and know that their tenure is over
	handed bool         // all of them have told what they granted
}

func formersOf(r *Row, members *member.Table) formers {
	all := formers{given: true, handed: true}
	for _, f := range r.Formers {
		m := members.Get(f.Instance)
		all.handed = all.handed && f.Handed
		switch {
		case f.Handed:
			all.ended = max(all.ended, r.Learned)
		case m == nil:
			all.ended, all.given = clock.Never, false
		case m.Settled >= r.Version: // it knows that its tenure is over
			all.ended = max(all.ended, r.Learned)
		case m.Gone:
			all.ended, all.given = max(all.ended, r.Learned), false
		case m.Dead:
			all.ended, all.given = max(all.ended, m.DeadAt), false
		default:
			all.ended, all.given = clock.Never, false
		}
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

func slowByReport(members *member.Table, reports Reports, l Limits, quick, ended, lastRead clock.Millis) clock.Millis {
	if ended == clock.Never || lastRead < ended {
		return clock.Never
	}
	at := quick
	for id, m := range members.All() {
		switch {
		case !m.Joined || m.Gone || reports.Reported(id):
		case m.Dead:
			at = max(at, m.DeadAt.Add(l.Outstanding(l.Quick)))
		default:
			return clock.Never
		}
	}
	return at
}
