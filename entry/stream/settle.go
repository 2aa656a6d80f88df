package stream

import (
	"context"
	"errors"

	"mimosadock/schedule/journal"
	"mimosadock/schedule/record"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// settle determines which of the first n records were written by an append with
// unknown outcome. It reads the journal from the end that was known before the
// append. Records that it doesn't find stay pending and are appended again with
// the same IDs. If the first append takes effect later, readers drop the second
// record with the same ID.
func (w *Writer) settle(ctx context.Context, n int, from unit.Offset) {
	for i := range w.pending[:n] {
		w.pending[i].mayBeAppended = true
	}
	for ctx.Err() == nil {
		end, err := w.findRecords(ctx, n, from)
		from = end
		if err == nil {
			w.ObserveEnd(end)
			w.backoff.reset()
			return
		}
		if errors.Is(err, journal.ErrExpired) {
			w.failFirst(n, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "journal no longer has the entries in question", Err: err})
			return
		}
		appendErrors.Add(1)
		if sleep(ctx, w.backoff.next()) != nil {
			return
		}
		if w.expireFirst(n) == 0 {
			return
		}
	}
}

// expireFirst fails those of the first n records whose deadline has passed and
// returns the number of records that are not settled.
func (w *Writer) expireFirst(n int) int {
	now, remaining := w.clock.Now(), 0
	for i := range w.pending[:n] {
		p := &w.pending[i]
		if !p.settled && now > p.submission.Deadline {
			w.failSubmission(p, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "journal can't be read"})
		}
		if !p.settled {
			remaining++
		}
	}
	return remaining
}

// findRecords reads from the given offset to the end of the journal and settles
// those of the first n records that it finds. It stops early when all are
// found. It returns the offset of the next read.
func (w *Writer) findRecords(ctx context.Context, n int, from unit.Offset) (unit.Offset, error) {
	missing := make(map[record.ID]*pendingRecord, n)
	for i := range w.pending[:n] {
		if p := &w.pending[i]; !p.settled {
			missing[p.record.ID] = p
		}
	}
	var items []record.DecodedRecord
	for {
		page, err := w.readEntries(ctx, from)
		if err != nil || len(page) == 0 {
			return from, err
		}
		for _, e := range page {
			items = record.DecodeEntry(items[:0], e)
			for _, it := range items {
				if p := missing[it.Record.ID]; p != nil && it.Fault == record.NoFault {
					delete(missing, it.Record.ID)
					w.recordAppended(p, e.Offset)
				}
			}
			from = e.Offset + 1
		}
		if len(missing) == 0 {
			return from, nil
		}
	}
}

// readEntries reads a page of entries with a timeout.
func (w *Writer) readEntries(ctx context.Context, from unit.Offset) ([]journal.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	return w.journal.Read(ctx, from, pageEntries)
}
