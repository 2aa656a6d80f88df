package stream

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/record"
	"mimosadock/schedule/snapshot"
	"mimosadock/schedule/unit"
)

// Batch is what one read of the journal gave.
type Batch struct {
	// Recovered is set on the first batch after a start or after entries
	// were missed. Snapshots then holds the newest of each scope, and every
	// state has to be restored from them before Items are applied.
	Recovered bool
	// Snapshots are the ones that were completed, with their contents.
	Snapshots []snapshot.Found
	From      unit.Offset // first offset that was read
	Next      unit.Offset // offset to be read next
	Items     []record.Item
	Bytes     unit.Bytes // of the entries
	// End is set if the read reached the end of the journal: all that was
	// appended before the instant Asked is in this batch or an earlier one.
	End   bool
	Asked clock.Millis
	// Err is set if the journal couldn't be read; the batch is empty then.
	Err error
}
