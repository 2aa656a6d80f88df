package member

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
)

// HostRow is the state of one host of the platform's list.
type HostRow struct {
	Listing
	Leaving          bool         // the host gets no new work; reported by the list or another source
	leavingOrMissing bool         // the list has shown the host as leaving or as missing since it was last live
	MissingSince     clock.Millis // when the host was first missing from the list; zero if it is listed
	CheckedAt        clock.Millis // last check of a missing host; zero if there was none
}

// Hosts holds the listed hosts by address. The zero value is empty.
type Hosts struct {
	table.Table[string, HostRow]
	EmptyLists int // number of empty lists that were ignored
}

// ApplyList applies the platform's list as of now. An empty list changes no
// host, because the last known set is better than none. A leaving host is
// marked at once. A missing host stays until a check finds that it refuses
// connections.
func (t *Hosts) ApplyList(list []Listing, now clock.Millis) {
	if len(list) == 0 {
		t.EmptyLists++
		return
	}
	seen := make(map[string]bool, len(list))
	for _, l := range list {
		seen[l.Address] = true
		r := t.Ensure(l.Address)
		r.Listing, r.MissingSince, r.CheckedAt = l, 0, 0
		if l.State == StateLeaving {
			r.Leaving, r.leavingOrMissing = true, true
		} else if r.leavingOrMissing { // the list has shown the host as leaving or missing before, so a live entry means that it was started again
			r.Leaving, r.leavingOrMissing = false, false
		}
	}
	for address, r := range t.All() {
		if !seen[address] && r.MissingSince == 0 {
			r.MissingSince, r.leavingOrMissing = max(now, 1), true
		}
	}
}

// MarkLeaving marks a host as leaving on the report of a source other than the
// list. A list that lags behind does not clear the mark. MarkLeaving reports
// whether the host is in the table.
func (t *Hosts) MarkLeaving(address string) bool {
	r := t.Get(address)
	if r != nil {
		r.Leaving = true
	}
	return r != nil
}

// DueChecks appends to dst the addresses of the missing hosts that are due for
// a check. Each host is due at most once per interval.
func (t *Hosts) DueChecks(dst []string, now clock.Millis, interval clock.Span) []string {
	for address, r := range t.All() {
		if r.MissingSince > 0 && (r.CheckedAt == 0 || now.Sub(r.CheckedAt) >= interval) {
			r.CheckedAt = max(now, 1)
			dst = append(dst, address)
		}
	}
	return dst
}

// ApplyCheck applies the outcome of a check. A missing host that refuses
// connections is removed. A host that responds or times out is kept. ApplyCheck
// reports whether the host was removed.
func (t *Hosts) ApplyCheck(address string, refused bool) bool {
	r := t.Get(address)
	return r != nil && r.MissingSince > 0 && refused && t.Delete(address)
}
