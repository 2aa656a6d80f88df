package stream

import (
	"context"
	"errors"

	"mimosadock/schedule/journal"
	"mimosadock/schedule/record"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// settle finds out which of the first n records an append with unknown outcome
// put into the journal. It reads from the last end that was known before the
// append up to the end. Records that it doesn't find stay pending and are
// appended again with the same ids: should the lost append take effect later
// still, readers drop the second record of an id.
func (w *Writer) settle(ctx context.Context, n int, from unit.Offset) {
	for i := range w.pending[:n] {
		w.pending[i].mayBeAppended = true
	}
	for ctx.Err() == nil {
		end, err := w.findRecords(ctx, n, from)
		from = end
		if err == nil {
			w.Saw(end)
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

// expireFirst gives up those of the first n records whose deadline has passed and
// returns how many are left.
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

// findRecords reads from the offset to the end and accepts those of the first n
// records that it meets. It returns the position that it reached.
func (w *Writer) findRecords(ctx context.Context, n int, from unit.Offset) (unit.Offset, error) {
	missing := make(map[record.ID]*pendingRecord, n)
	for i := range w.pending[:n] {
		if p := &w.pending[i]; !p.settled {
			missing[p.record.ID] = p
		}
	}
	var items []record.Item
	for {
		page, err := w.readEntries(ctx, from)
		if err != nil || len(page) == 0 {
			return from, err
		}
		for _, e := range page {
			items = record.DecodeEntry(items[:0], e)
			for _, it := range items {
				if p := missing[it.Record.ID]; p != nil && it.Fault == record.Sound {
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

func (w *Writer) readEntries(ctx context.Context, from unit.Offset) ([]journal.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	return w.journal.Read(ctx, from, pageEntries)
}
