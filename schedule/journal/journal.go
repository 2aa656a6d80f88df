package journal

import (
	"context"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// MaxEntryBytes bounds the size of one entry.
const MaxEntryBytes unit.Bytes = 256 << 10

// Entry is one appended entry with its position.
type Entry struct {
	Offset unit.Offset
	Data   []byte
}

// Bounds are the positions that can be read: First is the oldest entry that is
// still kept, Next the position of the next append. They are equal when the
// journal is empty.
type Bounds struct {
	First unit.Offset
	Next  unit.Offset
}

// Journal is an append-only sequence of entries with limited retention.
type Journal interface {
	// Append adds data as one entry and returns its offset. Errors carry a
	// verdict: DidNotRun if the entry is certainly not in the journal,
	// MayHaveRun if it may be.
	Append(ctx context.Context, data []byte) (unit.Offset, error)
	// Read returns up to limit entries from offset on, fewer or none at the
	// end. Reading before Bounds.First is an error that wraps ErrExpired.
	Read(ctx context.Context, from unit.Offset, limit int) ([]Entry, error)
	// Bounds returns the readable positions.
	Bounds(ctx context.Context) (Bounds, error)
}

// Page is the answer to one read of a [Follower].
type Page struct {
	Entries []Entry
	End     unit.Offset // position of the next append when the answer was made
}

// Follower is a journal whose end can be waited at.
type Follower interface {
	Journal
	// Follow reads like Read. If from is at the end it waits for an entry,
	// at most for the given span, and then returns none.
	Follow(ctx context.Context, from unit.Offset, limit int, wait clock.Span) (Page, error)
}
