package journal

import (
	"context"
	"sync"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/journal"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

var _ journal.Follower = (*Memory)(nil)

// storedEntry is an entry with the time of its append.
type storedEntry struct {
	data       []byte
	appendedAt clock.Millis
}

// Memory is a journal in memory. The zero value is an empty journal that keeps
// all entries and is ready to use. Memory is safe for concurrent use.
type Memory struct {
	Clock clock.Clock // for retention by age; nil is the system clock

	mu        sync.Mutex
	first     unit.Offset
	entries   []storedEntry
	appended  chan struct{} // closed by the next append; nil if nothing waits for it
	retention Retention
	failures  Failures
	counts    Counts
}

// Counts holds the totals of the calls to a journal.
type Counts struct {
	Appends   int        `json:"appends"` // appends that took effect
	Bytes     unit.Bytes `json:"bytes"`   // data of these appends
	Reads     int        `json:"reads"`
	ReadBytes unit.Bytes `json:"readBytes"`
}

// Append appends data as one entry and returns its offset. Larger data than
// [journal.MaxEntryBytes] is refused with [journal.ErrTooLarge].
func (m *Memory) Append(ctx context.Context, data []byte) (unit.Offset, error) {
	if unit.Bytes(len(data)) > journal.MaxEntryBytes {
		return 0, &verdict.Error{Verdict: verdict.DidNotRun, Reason: "entry is too large", Err: journal.ErrTooLarge}
	}
	f := m.Failures()
	if err := f.beforeCall(ctx); err != nil {
		return 0, err
	}
	m.mu.Lock()
	offset := m.appendEntry(data)
	lost := m.failures.consumeLostAnswer()
	m.mu.Unlock()
	if err := f.afterCall(ctx, lost); err != nil {
		return 0, err
	}
	return offset, nil
}

func (m *Memory) appendEntry(data []byte) unit.Offset {
	offset := m.first + unit.Offset(len(m.entries))
	m.entries = append(m.entries, storedEntry{data: append([]byte(nil), data...), appendedAt: m.now()})
	m.counts.Appends++
	m.counts.Bytes += unit.Bytes(len(data))
	if m.appended != nil {
		close(m.appended)
		m.appended = nil
	}
	m.expire()
	return offset
}

// Read returns up to limit entries from the offset on, and none at the end. It
// returns [journal.ErrExpired] if retention has removed the offset.
func (m *Memory) Read(ctx context.Context, from unit.Offset, limit int) ([]journal.Entry, error) {
	page, err := m.Follow(ctx, from, limit, 0)
	return page.Entries, err
}

// Follow reads like Read. At the end of the journal it waits for the next entry,
// at most for the given span. A failure that is set during the wait takes effect
// when the wait ends.
func (m *Memory) Follow(ctx context.Context, from unit.Offset, limit int, wait clock.Span) (journal.Page, error) {
	f := m.Failures()
	if err := f.beforeCall(ctx); err != nil {
		return journal.Page{}, err
	}
	m.waitForEntry(ctx, from, wait)
	f = m.Failures()
	if err := f.beforeCall(ctx); err != nil {
		return journal.Page{}, err
	}
	page, err := m.page(from, limit)
	if err != nil {
		return journal.Page{}, err
	}
	if err := f.afterCall(ctx, false); err != nil {
		return journal.Page{}, err
	}
	return page, nil
}

// waitForEntry returns when there is an entry at from, when the wait is over or
// when ctx ends.
func (m *Memory) waitForEntry(ctx context.Context, from unit.Offset, wait clock.Span) {
	if wait <= 0 {
		return
	}
	m.mu.Lock()
	if from != m.nextOffset() {
		m.mu.Unlock()
		return
	}
	if m.appended == nil {
		m.appended = make(chan struct{})
	}
	appended := m.appended
	m.mu.Unlock()
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-appended:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (m *Memory) page(from unit.Offset, limit int) (journal.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	m.counts.Reads++
	if from < m.first {
		return journal.Page{}, journal.ErrExpired
	}
	page := journal.Page{Next: m.nextOffset()}
	for o := from; o < page.Next && len(page.Entries) < limit; o++ {
		data := m.entries[o-m.first].data
		m.counts.ReadBytes += unit.Bytes(len(data))
		page.Entries = append(page.Entries, journal.Entry{Offset: o, Data: data})
	}
	return page, nil
}

// Bounds returns the first offset that can be read and the next offset that will
// be written.
func (m *Memory) Bounds(ctx context.Context) (journal.Bounds, error) {
	f := m.Failures()
	if err := f.beforeCall(ctx); err != nil {
		return journal.Bounds{}, err
	}
	m.mu.Lock()
	m.expire()
	b := journal.Bounds{First: m.first, Next: m.nextOffset()}
	m.mu.Unlock()
	if err := f.afterCall(ctx, false); err != nil {
		return journal.Bounds{}, err
	}
	return b, nil
}

// Counts returns the totals so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

func (m *Memory) nextOffset() unit.Offset { return m.first + unit.Offset(len(m.entries)) }

func (m *Memory) now() clock.Millis {
	if m.Clock == nil {
		return clock.System{}.Now()
	}
	return m.Clock.Now()
}
