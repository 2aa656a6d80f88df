package journal

import (
	"context"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// MaxEntryBytes is the maximum size of one entry.
const MaxEntryBytes unit.Bytes = 256 << 10

// Entry is an entry of the journal with its offset.
type Entry struct {
	Offset unit.Offset
	Data   []byte
}

// Bounds is the range of readable offsets. First is the offset of the oldest
// retained entry, and Next is the offset of the next append. They are equal if
// the journal is empty.
type Bounds struct {
	First unit.Offset
	Next  unit.Offset
}

// Journal is an append-only sequence of entries with limited retention.
type Journal interface {
	// Append appends data as one entry and returns its offset. Errors carry a
	// verdict: DidNotRun if the entry is not in the journal, MayHaveRun if it
	// may be.
	Append(ctx context.Context, data []byte) (unit.Offset, error)
	// Read returns up to limit entries from offset from on. It returns fewer or
	// none at the end of the journal. If from is before Bounds.First, it returns
	// an error that wraps ErrExpired.
	Read(ctx context.Context, from unit.Offset, limit int) ([]Entry, error)
	// Bounds returns the range of readable offsets.
	Bounds(ctx context.Context) (Bounds, error)
}

// Page is the result of [Follower.Follow].
type Page struct {
	Entries []Entry
	Next    unit.Offset // the journal's Bounds.Next at the time of the read
}

// Follower is a journal that supports reads that wait for new entries.
type Follower interface {
	Journal
	// Follow reads entries like Read. If from is at the end of the journal, it
	// waits for an entry. After the span wait it returns no entries.
	Follow(ctx context.Context, from unit.Offset, limit int, wait clock.Span) (Page, error)
}
