package stream

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"sync/atomic"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/journal"
	"mimosadock/schedule/record"
	"mimosadock/schedule/snapshot"
	"mimosadock/schedule/unit"
)

// Limits and timeouts of reads.
const (
	pageEntries  = 512                      // maximum number of entries of one read
	pollWait     = 500 * clock.Millisecond  // wait of a read at the end of the journal; a quarter of tenure.Limits.QuickRight
	pollInterval = 100 * clock.Millisecond  // minimum interval between reads that reach the end
	readTimeout  = 1500 * clock.Millisecond // in addition to the wait at the end
)

var (
	readErrors      = expvar.NewInt("stream.readErrors")
	recoveries      = expvar.NewInt("stream.recoveries")
	unusableRecords = expvar.NewMap("stream.records")
)

// errTruncated reports that the journal ends before an offset that was already
// read.
var errTruncated = errors.New("stream: journal ends before the read position")

// Reader follows the journal. It first delivers the newest snapshots, then the
// entries after them in order. All fields but ObserveEnd must be set.
type Reader struct {
	Journal journal.Follower
	Clock   clock.Clock
	// Deliver receives the batches in order. It may block. An error ends Run.
	Deliver func(context.Context, *Batch) error
	// ObserveEnd receives each observed end of the journal. It may be nil.
	ObserveEnd func(unit.Offset)

	assembler         snapshot.Assembler
	next              unit.Offset
	backoff           backoff
	recoveryRequested atomic.Bool
}

// Recover makes the reader start again from the newest snapshots. It is safe
// for concurrent use.
func (r *Reader) Recover() { r.recoveryRequested.Store(true) }

// Run reads until ctx ends. It delivers errors of the journal and retries after
// a backoff. It returns the error of Deliver.
func (r *Reader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		r.recoveryRequested.Store(false)
		err := r.recoverSnapshots(ctx)
		for err == nil && !r.recoveryRequested.Load() {
			err = r.follow(ctx)
		}
		if err == nil {
			continue
		}
		if err := r.deliverFailure(ctx, err); err != nil && ctx.Err() == nil {
			return err
		}
	}
	return nil
}

// deliverError marks an error that ends Run, such as an error of Deliver.
type deliverError struct{ error }

// deliverFailure delivers an error of the journal and waits for the backoff. It
// returns a deliverError unwrapped instead.
func (r *Reader) deliverFailure(ctx context.Context, err error) error {
	var fatal deliverError
	if errors.As(err, &fatal) {
		return fatal.error
	}
	readErrors.Add(1)
	if err := r.Deliver(ctx, &Batch{From: r.next, Next: r.next, Err: err}); err != nil {
		return err
	}
	return sleep(ctx, r.backoff.next())
}

// follow reads one page and delivers it. An error of the journal is delivered,
// and the next call retries. The exception is journal.ErrExpired, which is
// returned, because entries were missed.
func (r *Reader) follow(ctx context.Context) error {
	requestedAt := r.Clock.Now()
	page, err := r.readPage(ctx, r.next, pageEntries, pollWait)
	switch {
	case errors.Is(err, journal.ErrExpired):
		return err
	case err != nil:
		if err := r.deliverFailure(ctx, err); err != nil {
			return deliverError{err}
		}
		return nil
	}
	r.backoff.reset()
	b := &Batch{From: r.next, RequestedAt: requestedAt}
	if err := r.deliverPage(ctx, b, page); err != nil {
		return err
	}
	if b.ReachedEnd {
		if err := sleep(ctx, pollInterval-r.Clock.Now().Sub(requestedAt)); err != nil {
			return deliverError{err}
		}
	}
	return nil
}

// deliverPage fills b from the page and delivers it.
func (r *Reader) deliverPage(ctx context.Context, b *Batch, page journal.Page) error {
	for _, e := range page.Entries {
		b.Items = record.DecodeEntry(b.Items, e)
		b.Bytes += unit.Bytes(len(e.Data))
		r.next = e.Offset + 1
	}
	b.Next = r.next
	b.ReachedEnd = b.Next == page.Next
	for _, it := range b.Items {
		if it.Fault != record.NoFault {
			unusableRecords.Add(it.Fault.String(), 1)
		} else if f, ok := r.assembler.Add(it); ok {
			b.Snapshots = append(b.Snapshots, f)
		}
	}
	if err := r.Deliver(ctx, b); err != nil {
		return deliverError{err}
	}
	return nil
}

// readPage reads a page with a timeout. It returns errTruncated if the journal
// ends before from.
func (r *Reader) readPage(ctx context.Context, from unit.Offset, limit int, wait clock.Span) (journal.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + readTimeout).Duration())
	defer cancel()
	page, err := r.Journal.Follow(ctx, from, limit, wait)
	if err != nil {
		return page, err
	}
	if page.Next < from {
		return page, errTruncated
	}
	if r.ObserveEnd != nil {
		r.ObserveEnd(page.Next)
	}
	return page, nil
}

// recoverSnapshots finds the newest snapshots, delivers them and sets the read
// position to the first record that at least one of them doesn't cover.
func (r *Reader) recoverSnapshots(ctx context.Context) error {
	recoveries.Add(1)
	requestedAt := r.Clock.Now()
	boundsCtx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	bounds, err := r.Journal.Bounds(boundsCtx)
	if err != nil {
		return err
	}
	newest, err := r.scanSnapshots(ctx, bounds)
	if err != nil {
		return err
	}
	r.next = bounds.First
	if start, ok := newest.ReplayStart(); ok {
		r.next = max(start, bounds.First)
	}
	b := &Batch{Recovered: true, RequestedAt: requestedAt}
	for _, s := range newest.All() {
		b.Snapshots = append(b.Snapshots, *s)
	}
	b.From, b.Next = r.next, r.next
	b.ReachedEnd = b.Next == bounds.Next
	r.assembler = snapshot.Assembler{}
	r.backoff.reset()
	if err := r.Deliver(ctx, b); err != nil {
		return deliverError{err}
	}
	return nil
}

// scanSnapshots reads backwards from the end of the journal until it has found
// the newest snapshot of each scope.
func (r *Reader) scanSnapshots(ctx context.Context, bounds journal.Bounds) (*snapshot.NewestByScope, error) {
	var newest snapshot.NewestByScope
	var assembler snapshot.Assembler
	for high := bounds.Next; high > bounds.First; {
		if floor, ok := newest.SearchFloor(); ok && floor >= high {
			break
		}
		low := bounds.First
		if high-low > pageEntries {
			low = high - pageEntries
		}
		err := r.scanRange(ctx, low, high, &assembler, &newest)
		if errors.Is(err, journal.ErrExpired) {
			break // retention has removed all older entries
		}
		if err != nil {
			return nil, err
		}
		high = low
	}
	return &newest, nil
}

// scanRange reads the entries from low up to high and adds the snapshots that
// they complete to newest.
func (r *Reader) scanRange(ctx context.Context, low, high unit.Offset, a *snapshot.Assembler, newest *snapshot.NewestByScope) error {
	var items []record.DecodedRecord
	for next := low; next < high; {
		page, err := r.readPage(ctx, next, int(high-next), 0)
		if err != nil {
			return err
		}
		if len(page.Entries) == 0 {
			return fmt.Errorf("%w: %d of %d", errTruncated, next, high)
		}
		for _, e := range page.Entries {
			next = e.Offset + 1
			kinds, ok := record.KindsOf(e)
			if !ok || !kinds.Has(record.SnapshotPart) && !kinds.Has(record.SnapshotEnd) {
				continue
			}
			items = record.DecodeEntry(items[:0], e)
			for _, it := range items {
				if s, ok := a.Add(it); ok {
					newest.Offer(s)
				}
			}
		}
	}
	return nil
}
