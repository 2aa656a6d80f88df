package member

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
)

// HostRow is one host of the platform's list.
type HostRow struct {
	Listing
	Leaving      bool         // no new work, from whichever source that came
	leftList     bool         // the list has shown the host as leaving or not at all since
	MissingSince clock.Millis // since when the list lacks it; zero if it does not
	CheckedAt    clock.Millis // last check of a missing host; zero if there was none
}

// Hosts holds the listed hosts by address. The zero value is empty.
type Hosts struct {
	table.Table[string, HostRow]
	EmptyLists int // lists that were empty and left aside
}

// Update applies the platform's list as of now. An empty list changes nothing,
// since the last known set is better than none. A host that the list marks as
// leaving is obeyed at once; one that is missing stays until a check fails.
func (t *Hosts) Update(list []Listing, now clock.Millis) {
	if len(list) == 0 {
		t.EmptyLists++
		return
	}
	seen := make(map[string]bool, len(list))
	for _, l := range list {
		seen[l.Address] = true
		r := t.Ensure(l.Address)
		r.Listing, r.MissingSince, r.CheckedAt = l, 0, 0
		if l.State == Leaving {
			r.Leaving, r.leftList = true, true
		} else if r.leftList { // the list had caught up, so this is a new start
			r.Leaving, r.leftList = false, false
		}
	}
	for address, r := range t.All() {
		if !seen[address] && r.MissingSince == 0 {
			r.MissingSince, r.leftList = max(now, 1), true
		}
	}
}

// Leave marks a host as leaving, as told by a source other than the list. A
// list that lags behind does not undo it. It reports whether the host is known.
func (t *Hosts) Leave(address string) bool {
	r := t.Get(address)
	if r != nil {
		r.Leaving = true
	}
	return r != nil
}

// Due appends the missing hosts that are to be checked to dst, at most one
// check per host and interval.
func (t *Hosts) Due(dst []string, now clock.Millis, interval clock.Span) []string {
	for address, r := range t.All() {
		if r.MissingSince > 0 && (r.CheckedAt == 0 || now.Sub(r.CheckedAt) >= interval) {
			r.CheckedAt = max(now, 1)
			dst = append(dst, address)
		}
	}
	return dst
}

// Settle applies the outcome of a check. A missing host that refuses
// connections is removed; one that answers or is silent is kept. It reports
// whether the host was removed.
func (t *Hosts) Settle(address string, refused bool) bool {
	r := t.Get(address)
	return r != nil && r.MissingSince > 0 && refused && t.Delete(address)
}
