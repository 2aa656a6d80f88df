package intake

import (
	"cmp"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	minRetry = 5 * clock.Millisecond // between two searches for connections to close
	// rankPeriod is how long the order of the connections to close is used.
	rankPeriod = 100 * clock.Millisecond
	// maxExtensions bounds the waits for a client that sends so often that some of its
	// bytes are always unread.
	maxExtensions = 4
)

// candidates are the connections that may be closed for new ones.
type candidates struct {
	ids      []ID // the first one is closed first
	rankedAt clock.Millis
	nextAt   clock.Millis // when the next connection becomes overdue; at the latest rankedAt + rankPeriod
}

// overdue returns for how much longer than allowed under a shortage the process has
// waited for a client. It is not positive if the client is in time or the process
// does not wait for it.
func (t *Table) overdue(c *connection, now clock.Millis) clock.Span {
	if !c.isAwaited() {
		return 0
	}
	allowed := t.Limits.ShortGrace
	if t.Limits.ShortRate > 0 {
		allowed += clock.Span(c.credit * unit.Bytes(clock.Second) / t.Limits.ShortRate)
	}
	return now.Sub(c.awaitedSince) - allowed
}

// extend lets the wait for a client begin again if the process has bytes of it to
// read, and reports whether it did.
func (t *Table) extend(id ID, c *connection, now clock.Millis) bool {
	if t.HasUnread == nil || c.isWriting || c.phase == PhaseClosing || c.extensions >= maxExtensions || !t.HasUnread(id) {
		return false
	}
	c.extensions++
	c.await(now, 0)
	return true
}

// displace returns the connection to close for a new one, or 0 if all clients are in
// time.
func (t *Table) displace(now clock.Millis) ID {
	k := &t.candidates
	if len(k.ids) == 0 && now >= k.nextAt || now.Sub(k.rankedAt) >= rankPeriod {
		t.rank(now)
	}
	for len(k.ids) > 0 {
		id := k.ids[0]
		k.ids = k.ids[1:]
		c := t.connections.Get(id)
		if c != nil && t.overdue(c, now) > 0 && !t.extend(id, c, now) {
			return id
		}
	}
	return 0
}

// rank orders the overdue connections: first those between two requests, whose
// clients lose nothing, then the others, each by the time that they are overdue.
func (t *Table) rank(now clock.Millis) {
	type candidate struct {
		id      ID
		isBusy  bool
		overdue clock.Span
	}
	var all []candidate
	next := rankPeriod
	for id, c := range t.connections.All() {
		if !c.isAwaited() {
			continue
		}
		late := t.overdue(c, now)
		if late > 0 {
			all = append(all, candidate{id, !c.isBetweenRequests(), late})
		} else {
			next = min(next, 1-late)
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		if a.isBusy != b.isBusy {
			if b.isBusy {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.overdue, a.overdue), cmp.Compare(a.id, b.id))
	})
	k := &t.candidates
	k.ids, k.rankedAt, k.nextAt = k.ids[:0], now, now.Add(next)
	for _, c := range all {
		k.ids = append(k.ids, c.id)
	}
}
