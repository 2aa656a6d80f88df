package tenure

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/unit"
)

// Right is what an owner may do. It may grant the slots of a part from the
// instant From on and until the instant Until, and no grant of slow slots may
// outlast SlowUntil.
type Right struct {
	QuickFrom, QuickUntil clock.Millis
	SlowFrom, SlowUntil   clock.Millis
}

// Quick reports whether quick slots may be granted.
func (r Right) Quick(now clock.Millis) bool { return r.QuickFrom <= now && now < r.QuickUntil }

// Slow reports whether slow slots may be granted.
func (r Right) Slow(now clock.Millis) bool { return r.SlowFrom <= now && now < r.SlowUntil }

// ConfirmRead confirms the tenures of self by a journal read that began at
// asked and reached the end. All claims that it found must have been learned.
func ConfirmRead(t *Table, self unit.Instance, startedAt clock.Millis) {
	for _, r := range t.All() {
		if r.Instance == self {
			r.Confirmed = max(r.Confirmed, startedAt)
		}
	}
}

// ConfirmPromises confirms the tenures of self by the promises of all members
// that are needed. A tenure without any needed member is confirmed at now.
func ConfirmPromises(t *Table, members *member.Table, self unit.Instance, l Limits, now clock.Millis) {
	for dc, r := range t.All() {
		if r.Instance != self {
			continue
		}
		earliest := now
		for _, m := range members.All() {
			if !m.PromiseNeeded(dc, l.Confirm) {
				continue
			}
			if m.Promise.Excludes(dc) {
				earliest = 0
				break
			}
			earliest = min(earliest, m.Promise.From)
		}
		if earliest > 0 {
			r.Confirmed = max(r.Confirmed, earliest)
		}
	}
}

// RightOf returns the rights of the owner of r. The starts come from
// [Takeover]; an unconfirmed tenure has none.
func RightOf(r *Row, start StartTimes, l Limits) Right {
	if r.Confirmed == 0 {
		return Right{}
	}
	return Right{
		QuickFrom: start.Quick, QuickUntil: r.Confirmed.Add(l.Confirm),
		SlowFrom: start.Slow, SlowUntil: r.Confirmed.Add(l.Isolated),
	}
}
