package journal

import (
	"context"
	"sync"

	"mimosadock/schedule/journal"
	"mimosadock/schedule/unit"
)

var _ journal.Journal = (*Memory)(nil)

// Memory is a journal in memory. The zero value is empty and ready to use.
type Memory struct {
	mu      sync.Mutex
	first   unit.Offset
	entries [][]byte
}

// Append adds data as one entry.
func (m *Memory) Append(_ context.Context, data []byte) (unit.Offset, error) {
	if unit.Bytes(len(data)) > journal.MaxEntryBytes {
		return 0, journal.ErrTooLarge
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries = append(m.entries, append([]byte(nil), data...))
	return m.first + unit.Offset(len(m.entries)-1), nil
}

// Read returns up to limit entries from offset on.
func (m *Memory) Read(_ context.Context, from unit.Offset, limit int) ([]journal.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if from < m.first {
		return nil, journal.ErrExpired
	}
	var out []journal.Entry
	for i := int(from - m.first); i < len(m.entries) && len(out) < limit; i++ {
		out = append(out, journal.Entry{Offset: m.first + unit.Offset(i), Data: m.entries[i]})
	}
	return out, nil
}

// Bounds returns the readable positions.
func (m *Memory) Bounds(context.Context) (journal.Bounds, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return journal.Bounds{First: m.first, Next: m.first + unit.Offset(len(m.entries))}, nil
}
