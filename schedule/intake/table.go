package intake

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// ID identifies a connection of a table, from 1.
type ID uint64

// connection is a row of the table.
type connection struct {
	phase      Phase
	startedAt  clock.Millis // of the phase
	progressAt clock.Millis // last time that bytes arrived, or the start of the phase
	received   unit.Bytes   // in the phase
	held       unit.Bytes   // reserved for the request
	evicted    bool         // the table has told to close it or to refuse its request

	awaitedSince clock.Millis // start of the wait for the client; see [Table.overdue]
	credit       unit.Bytes   // bytes for which the client may take time at ShortRate
	isWriting    bool         // the process waits for the client to read
	hasAnswer    bool         // a request was answered, and the next one has not begun
	extensions   int          // waits that began again since the process was behind
}

func (c *connection) enter(p Phase, now clock.Millis) {
	c.phase, c.startedAt, c.progressAt, c.received = p, now, now, 0
}

// await starts the wait for a client that may take time for a number of bytes.
func (c *connection) await(now clock.Millis, credit unit.Bytes) {
	c.awaitedSince, c.credit = now, credit
}

// isAwaited reports whether the process waits for the client. A request that is to
// be refused waits for its handler.
func (c *connection) isAwaited() bool {
	isRefused := c.evicted && c.phase.receiving()
	return c.isWriting || c.phase != PhaseServing && !isRefused
}

// isBetweenRequests reports whether the last request was answered and no other one
// has begun.
func (c *connection) isBetweenRequests() bool {
	return c.phase == PhaseClosing || c.phase == PhaseIdle && c.hasAnswer
}

// Stats are the state and the counters of a table.
type Stats struct {
	Connections     int        `json:"connections"`     // open
	Bytes           unit.Bytes `json:"bytes"`           // reserved
	Waited          int64      `json:"waited"`          // connections that waited for a place
	Refused         int64      `json:"refused"`         // connections refused because of their number
	Displaced       int64      `json:"displaced"`       // connections closed for others
	RefusedRequests int64      `json:"refusedRequests"` // requests refused because of their bytes
	Stalled         int64      `json:"stalled"`         // requests refused to make room for others
	Slow            int64      `json:"slow"`            // requests refused because the client sent too slowly
}

// Refusals returns the sum of the counters of refused requests and connections.
func (s Stats) Refusals() int64 {
	return s.Refused + s.Displaced + s.RefusedRequests + s.Stalled + s.Slow
}

// Table has the connections of a listener. Set Limits before use. It is not safe
// for concurrent use.
type Table struct {
	Limits Limits
	// HasUnread reports whether bytes of a client have arrived that the process has
	// not read, so that the process is behind and not the client; may be nil.
	HasUnread func(ID) bool

	connections table.Table[ID, connection]
	lastID      ID
	held        unit.Bytes
	blockedAt   clock.Millis // since when there is no place for a connection, 0 if there was one
	fullAt      clock.Millis // when there was last no place for a connection, 0 if never
	candidates  candidates
	tickedAt    clock.Millis // last tick, or start of the first body after it; 0 if no client has to send
	stats       Stats
}

// Stats returns the state and the counters.
func (t *Table) Stats() Stats {
	s := t.stats
	s.Connections, s.Bytes = t.connections.Len(), t.held
	return s
}

// Open adds a connection. If there are too many, displaced is the one to close for
// it, or 0. If none can be closed, ok is false; see [Table.RetryIn].
func (t *Table) Open(now clock.Millis) (id, displaced ID, ok bool) {
	if t.connections.Len() >= t.Limits.Connections {
		displaced = t.displace(now)
		if displaced == 0 {
			t.fullAt = max(1, now)
			if t.blockedAt == 0 {
				t.blockedAt = t.fullAt
				t.stats.Waited++
			}
			return 0, 0, false
		}
		t.stats.Displaced++
		t.Close(displaced)
	}
	t.blockedAt = 0
	t.lastID++
	c := t.connections.Ensure(t.lastID)
	c.enter(PhaseIdle, now)
	c.await(now, 0)
	return t.lastID, displaced, true
}

// RetryIn returns the time after which a connection for which there was no place
// should be opened again. It is 0 if the connection is refused, because no place
// has become free for MaxWait.
func (t *Table) RetryIn(now clock.Millis) clock.Span {
	left := t.Limits.MaxWait - now.Sub(t.blockedAt)
	if left <= 0 {
		t.stats.Refused++
		return 0
	}
	return min(left, max(minRetry, t.candidates.nextAt.Sub(now)))
}

// crowdedPeriod is how long after a connection found no place others are closed with
// their next response. A refused caller retries within it.
const crowdedPeriod = 2 * clock.Second

// IsCrowded reports whether a connection found no place lately, so that one whose
// request is answered now should be closed after the response. A client whose requests
// follow one another without a pause would otherwise keep its place for good.
func (t *Table) IsCrowded(now clock.Millis) bool {
	return t.fullAt > 0 && now.Sub(t.fullAt) < crowdedPeriod
}

// Close removes a connection and frees what it has reserved.
func (t *Table) Close(id ID) {
	if c := t.connections.Get(id); c != nil {
		t.release(c)
		t.connections.Delete(id)
	}
}

// fieldBytes is the memory of a field of a header beside its text. A field may have
// as few as three bytes.
const fieldBytes = 160

// Receive notes that bytes with a number of lines have arrived. The memory of a
// header is reserved. If ok is false, the connection must be closed. The requests of
// stalled must be refused.
func (t *Table) Receive(id ID, n unit.Bytes, lines int, now clock.Millis) (stalled []ID, ok bool) {
	c := t.connections.Get(id)
	if c == nil || c.evicted {
		return nil, false
	}
	if c.phase == PhaseIdle {
		if c.hasAnswer {
			c.await(now, 0)
		}
		c.enter(PhaseHeader, now)
		c.hasAnswer, c.extensions = false, 0
	}
	c.progressAt = now
	c.received += n
	if c.phase != PhaseHeader {
		return nil, true
	}
	c.credit += n
	return t.Reserve(id, n+unit.Bytes(lines)*fieldBytes, now)
}

// ReceiveBody notes bytes of a body without its encoding.
func (t *Table) ReceiveBody(id ID, n unit.Bytes) {
	if c := t.connections.Get(id); c != nil {
		c.credit += n
	}
}

// BeginWrite notes the start of a write of n bytes to the client.
func (t *Table) BeginWrite(id ID, n unit.Bytes, now clock.Millis) {
	if c := t.connections.Get(id); c != nil {
		c.isWriting = true
		c.await(now, n)
	}
}

// EndWrite notes the end of a write. A client that still has to send has its time
// from then on.
func (t *Table) EndWrite(id ID, now clock.Millis) {
	if c := t.connections.Get(id); c != nil {
		c.isWriting = false
		c.await(now, 0)
	}
}

// Touch notes progress on a connection without requests, which stays idle.
func (t *Table) Touch(id ID, now clock.Millis) {
	if c := t.connections.Get(id); c != nil {
		c.progressAt = now
		c.await(now, 0)
	}
}

// Reserve reserves bytes for the request of a connection. If ok is false, there is
// no room, and the request must be refused. The requests of stalled, which have
// given up their bytes, must be refused in any case.
func (t *Table) Reserve(id ID, n unit.Bytes, now clock.Millis) (stalled []ID, ok bool) {
	c := t.connections.Get(id)
	if c == nil || c.evicted {
		return nil, false
	}
	for !t.fits(c, n) {
		victim, id := t.mostStalled(c, now)
		if victim == nil {
			t.stats.RefusedRequests++
			return stalled, false
		}
		t.evict(victim)
		t.stats.Stalled++
		stalled = append(stalled, id)
	}
	c.held += n
	t.held += n
	return stalled, true
}

// Release frees n of the bytes that are reserved for the request of a connection.
func (t *Table) Release(id ID, n unit.Bytes) {
	if c := t.connections.Get(id); c != nil {
		n = min(n, c.held)
		c.held -= n
		t.held -= n
	}
}

// Enter notes the phase of a connection. PhaseIdle ends the request and frees what
// is reserved for it.
func (t *Table) Enter(id ID, p Phase, now clock.Millis) {
	c := t.connections.Get(id)
	if c == nil || c.phase == p {
		return
	}
	c.enter(p, now)
	if p == PhaseIdle || p == PhaseClosing {
		t.release(c)
		c.hasAnswer = true
		c.await(now, 0)
	}
	if p == PhaseBody && t.tickedAt == 0 {
		t.tickedAt = now
	}
}

// TickInterval is the time between two calls of [Table.Tick] while a client has to
// send.
const TickInterval = 500 * clock.Millisecond

// Tick returns the connections whose clients send too slowly, whose requests must
// be refused, and whether it is to be called again. Time in which the process did
// not run counts for no client.
func (t *Table) Tick(now clock.Millis) (slow []ID, again bool) {
	late := clock.Span(0)
	if t.tickedAt > 0 {
		late = max(0, now.Sub(t.tickedAt)-2*TickInterval)
	}
	for id, c := range t.connections.All() {
		if !c.phase.receiving() || c.evicted {
			continue
		}
		c.startedAt, c.progressAt = min(now, c.startedAt.Add(late)), min(now, c.progressAt.Add(late))
		if t.isSlow(c, now) {
			t.evict(c)
			t.stats.Slow++
			slow = append(slow, id)
			continue
		}
		again = true
	}
	t.tickedAt = 0
	if again {
		t.tickedAt = now
	}
	return slow, again
}

// isSlow reports whether the client has paused for too long or sends at less than
// the minimum rate.
func (t *Table) isSlow(c *connection, now clock.Millis) bool {
	l := &t.Limits
	if l.MaxPause > 0 && now.Sub(c.progressAt) > l.MaxPause {
		return true
	}
	due := now.Sub(c.startedAt) - l.Grace
	return l.Grace > 0 && due > 0 && c.received < l.MinRate*unit.Bytes(due)/unit.Bytes(clock.Second)
}

// fits reports whether n more bytes for a connection are within the budget.
func (t *Table) fits(c *connection, n unit.Bytes) bool {
	limit := t.Limits.Bytes
	if c.held+n > t.Limits.Small {
		limit -= t.Limits.SmallBytes
	}
	return t.held+n <= limit
}

// mostStalled returns the connection whose request has held the most bytes for the
// longest time beyond what a shortage allows, or nil if there is none.
func (t *Table) mostStalled(except *connection, now clock.Millis) (victim *connection, id ID) {
	for {
		most := int64(0)
		victim = nil
		for k, c := range t.connections.All() {
			if c == except || c.evicted || !c.phase.receiving() {
				continue
			}
			if stalled := int64(t.overdue(c, now)) * int64(c.held); stalled > most {
				most, victim, id = stalled, c, k
			}
		}
		if victim == nil || !t.extend(id, victim, now) {
			return victim, id
		}
	}
}

// evict frees what a connection has reserved before it is closed.
func (t *Table) evict(c *connection) {
	c.evicted = true
	t.release(c)
}

func (t *Table) release(c *connection) {
	t.held -= c.held
	c.held = 0
}
