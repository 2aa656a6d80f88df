package control

import (
	"strings"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

// Limits of what is logged and remembered of undecodable entries. Another writer
// decides how many there are and what they hold.
const (
	maxUndecodableRemembered = 1000
	maxUndecodableLines      = 10 // per undecodableLinesInterval
	undecodableLinesInterval = clock.Minute
	maxLoggedKeyBytes        = 64
	maxLoggedReasonBytes     = 200
)

// undecodableEntries holds the entries of the platform's list of executors that
// can't be decoded, so that each is logged and counted when it first appears. The
// zero value is ready to use.
type undecodableEntries struct {
	known      map[unit.Executor]struct{}
	lines      int          // in the current interval
	intervalAt clock.Millis // start of the current interval
}

// update applies changes of the list and returns the undecodable entries that
// were not there before.
func (u *undecodableEntries) update(r *dispatch.Registrations) []dispatch.UndecodableEntry {
	if u.known == nil {
		u.known = make(map[unit.Executor]struct{})
	}
	for i := range r.Entries {
		delete(u.known, r.Entries[i].Executor)
	}
	for _, id := range r.Removed {
		delete(u.known, id)
	}
	former := u.known
	if r.Complete {
		u.known = make(map[unit.Executor]struct{})
	}
	var added []dispatch.UndecodableEntry
	for _, e := range r.Undecodable {
		_, isFormer := former[e.Executor]
		_, isKnown := u.known[e.Executor]
		if !isFormer && !isKnown {
			added = append(added, e)
		}
		if len(u.known) < maxUndecodableRemembered {
			u.known[e.Executor] = struct{}{}
		}
	}
	return added
}

// mayLog reports whether another line is within the limit, and counts it.
func (u *undecodableEntries) mayLog(now clock.Millis) bool {
	if now.Sub(u.intervalAt) >= undecodableLinesInterval {
		u.lines, u.intervalAt = 0, now
	}
	u.lines++
	return u.lines <= maxUndecodableLines
}

// reportUndecodable counts and logs the undecodable entries that have appeared.
func (c *Control) reportUndecodable(r *dispatch.Registrations) {
	for _, e := range c.undecodable.update(r) {
		c.Counters.UndecodableRegistrations.Add(1)
		if c.undecodable.mayLog(c.Clock.Now()) {
			c.EventLog.LogChange("registration can't be decoded",
				"executor", truncate(string(e.Executor), maxLoggedKeyBytes), "reason", truncate(e.Reason, maxLoggedReasonBytes))
		}
	}
}

// truncate returns the first maxBytes bytes of s, without invalid UTF-8.
func truncate(s string, maxBytes int) string {
	return strings.ToValidUTF8(s[:min(len(s), maxBytes)], "")
}
