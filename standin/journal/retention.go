package journal

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Retention limits the entries that a journal keeps, by number and by age. A
// limit of zero means no limit.
type Retention struct {
	Entries int        `json:"entries"`
	Age     clock.Span `json:"ageMs"`
}

// SetRetention replaces the retention. Entries beyond its limits are removed at
// once.
func (m *Memory) SetRetention(r Retention) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retention = r
	m.expire()
}

// expire removes the entries beyond the limits of the retention.
func (m *Memory) expire() {
	n := 0
	if m.retention.Entries > 0 {
		n = max(0, len(m.entries)-m.retention.Entries)
	}
	if m.retention.Age > 0 {
		now := m.now()
		for n < len(m.entries) && now.Sub(m.entries[n].appendedAt) > m.retention.Age {
			n++
		}
	}
	clear(m.entries[:n])
	m.entries = m.entries[n:]
	m.first += unit.Offset(n)
}
