package stream

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/record"
	"mimosadock/schedule/snapshot"
	"mimosadock/schedule/unit"
)

// Batch is the result of one read of the journal.
type Batch struct {
	// Recovered is set in the first batch after a start or after entries were
	// missed. Snapshots then holds the newest snapshot of each scope, and all
	// state must be restored from them before any items are applied.
	Recovered bool
	// Snapshots holds the snapshots that this batch completed, with their
	// contents.
	Snapshots []snapshot.Snapshot
	From      unit.Offset // first offset of the batch
	Next      unit.Offset // offset of the next read
	Items     []record.DecodedRecord
	Bytes     unit.Bytes // total size of the entries
	// ReachedEnd is set if the read reached the end of the journal. All entries
	// that were appended before RequestedAt are then in this batch or an
	// earlier one.
	ReachedEnd  bool
	RequestedAt clock.Millis // instant before the read began
	// Err is set if the journal couldn't be read. The batch is then empty.
	Err error
}
