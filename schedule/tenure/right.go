package tenure

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/unit"
)

// Right holds the quick and the slow right of an owner. Each right is valid from
// its From instant, inclusive, until its Until instant, exclusive. No grant of
// slow slots may outlast SlowUntil.
type Right struct {
	QuickFrom, QuickUntil clock.Millis
	SlowFrom, SlowUntil   clock.Millis
}

// Quick reports whether quick slots may be granted at now.
func (r Right) Quick(now clock.Millis) bool { return r.QuickFrom <= now && now < r.QuickUntil }

// Slow reports whether slow slots may be granted at now.
func (r Right) Slow(now clock.Millis) bool { return r.SlowFrom <= now && now < r.SlowUntil }

// ConfirmRead confirms the tenures of self by a journal read that began at
// startedAt and reached the end. All claims that the read found must already be
// in t.
func ConfirmRead(t *Table, self unit.Instance, startedAt clock.Millis) {
	for _, r := range t.All() {
		if r.Instance == self {
			r.ConfirmedAt = max(r.ConfirmedAt, startedAt)
		}
	}
}

// ConfirmPromises confirms the tenures of self by the promises of all members
// whose promise is needed, as of the earliest of them. If no promise is needed,
// the tenure is confirmed as of now. If a needed promise is missing or excludes
// the data centre, the tenure is not confirmed.
func ConfirmPromises(t *Table, members *member.Table, self unit.Instance, l Limits, now clock.Millis) {
	for dc, r := range t.All() {
		if r.Instance != self {
			continue
		}
		earliest := now
		for _, m := range members.All() {
			if !m.PromiseNeeded(dc, l.QuickRight) {
				continue
			}
			if m.Promise.Excludes(dc) {
				earliest = 0
				break
			}
			earliest = min(earliest, m.Promise.From)
		}
		if earliest > 0 {
			r.ConfirmedAt = max(r.ConfirmedAt, earliest)
		}
	}
}

// RightOf returns the rights of the owner of r. start is the result of
// [TakeoverTimes] for r. An unconfirmed tenure has no rights.
func RightOf(r *Row, start StartTimes, l Limits) Right {
	if r.ConfirmedAt == 0 {
		return Right{}
	}
	return Right{
		QuickFrom: start.Quick, QuickUntil: r.ConfirmedAt.Add(l.QuickRight),
		SlowFrom: start.Slow, SlowUntil: r.ConfirmedAt.Add(l.SlowRight),
	}
}
