package stream

import (
	"context"
	"errors"
	"expvar"
	"sync/atomic"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/journal"
	"mimosadock/schedule/record"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// Limits and timeouts of appends.
const (
	appendInterval = 100 * clock.Millisecond // at most 10 appends a second
	appendTimeout  = 2 * clock.Second
	maxQueued      = 1024     // maximum number of queued submissions; drainQueue also stops at this number of pending records
	maxQueuedBytes = 32 << 20 // of the records of queued submissions
)

var (
	appends         = expvar.NewInt("stream.appends")
	appendErrors    = expvar.NewInt("stream.appendErrors")
	unknownAppends  = expvar.NewInt("stream.appendsUnknown")
	queueFull       = expvar.NewInt("stream.queueFull")
	receiptsDropped = expvar.NewInt("stream.receiptsDropped")
)

// Submission is a request to append records in order. They may be split over
// several entries.
type Submission struct {
	Records  []record.Record
	Deadline clock.Millis // no append starts after it
	// Reply receives one receipt. It must be buffered, because a receipt is
	// dropped if the channel is full. If Reply is nil, no receipt is sent.
	Reply chan<- Receipt
}

// Receipt is the outcome of a submission. If Err is nil, the journal has all
// records, and Offset is the offset of the entry with the last one. Otherwise
// the verdict of Err is DidNotRun if the journal has none of the records and
// will not have any, else MayHaveRun.
type Receipt struct {
	FirstRecord record.ID // ID of the first record of the submission
	Offset      unit.Offset
	Err         error
}

// Writer appends records, several in one entry. [NewWriter] creates it. Offer
// and ObserveEnd are safe for concurrent use.
type Writer struct {
	journal         journal.Journal
	clock           clock.Clock
	queue           chan Submission
	queuedBytes     atomic.Int64  // total size of the records in queue
	knownEndPlusOne atomic.Uint64 // known end of the journal plus 1; zero if no end is known

	pending      []pendingRecord
	entry        record.EntryBuilder
	nextAppendAt clock.Millis // earliest time of the next append
	backoff      backoff
}

// pendingRecord is a record that is not appended yet, or settled and not
// removed yet.
type pendingRecord struct {
	record        record.Record
	submission    *submissionState
	mayBeAppended bool // was part of an append with unknown outcome
	settled       bool // appended, or its submission has failed
}

// submissionState is a submission and the progress of its records.
type submissionState struct {
	Submission
	notAppended    int  // number of records that are not appended yet
	mayHaveRecords bool // the journal has or may have at least one of the records
}

// NewWriter returns a writer that appends to j.
func NewWriter(j journal.Journal, c clock.Clock) *Writer {
	return &Writer{journal: j, clock: c, queue: make(chan Submission, maxQueued)}
}

// ObserveEnd records an end of the journal that was observed. The offset of a
// later append is end or higher. A lower end than the known one has no effect.
func (w *Writer) ObserveEnd(end unit.Offset) {
	for {
		old := w.knownEndPlusOne.Load()
		if uint64(end)+1 <= old || w.knownEndPlusOne.CompareAndSwap(old, uint64(end)+1) {
			return
		}
	}
}

// Offer adds s to the queue without blocking. It returns an error with the
// verdict DidNotRun if a record is invalid or the queue is full.
func (w *Writer) Offer(s Submission) error {
	size := int64(0)
	for i := range s.Records {
		r := &s.Records[i]
		if err := r.Check(); err != nil {
			return &verdict.Error{Verdict: verdict.DidNotRun, Reason: "record can't be written", Err: err}
		}
		size += int64(len(r.Body))
	}
	if w.queuedBytes.Add(size) <= maxQueuedBytes {
		select {
		case w.queue <- s:
			return nil
		default:
		}
	}
	w.queuedBytes.Add(-size)
	queueFull.Add(1)
	return verdict.Refuse("queue to the journal is full")
}

// Run appends records until ctx ends. Submissions that are left then fail with
// DidNotRun, or with MayHaveRun if the journal has or may have one of their
// records.
func (w *Writer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if len(w.pending) == 0 {
			select {
			case s := <-w.queue:
				w.addSubmission(s)
			case <-ctx.Done():
			}
		}
		if sleep(ctx, w.nextAppendAt.Sub(w.clock.Now())) != nil {
			break
		}
		w.drainQueue()
		w.expireOverdue(w.clock.Now())
		w.appendEntry(ctx)
	}
	w.drainQueue()
	w.failFirst(len(w.pending), verdict.Refuse("process is stopping"))
	w.compact()
	return nil
}

// drainQueue moves submissions from the queue to the pending records until the
// queue is empty or maxQueued records are pending.
func (w *Writer) drainQueue() {
	for len(w.pending) < maxQueued {
		select {
		case s := <-w.queue:
			w.addSubmission(s)
		default:
			return
		}
	}
}

// addSubmission adds the records of s to the pending records.
func (w *Writer) addSubmission(s Submission) {
	state := &submissionState{Submission: s, notAppended: len(s.Records)}
	for _, r := range s.Records {
		w.queuedBytes.Add(-int64(len(r.Body)))
		w.pending = append(w.pending, pendingRecord{record: r, submission: state})
	}
	if state.notAppended == 0 {
		sendReceipt(state, Receipt{})
	}
}

// expireOverdue fails the submissions whose deadline has passed.
func (w *Writer) expireOverdue(now clock.Millis) {
	for i := range w.pending {
		if p := &w.pending[i]; !p.settled && now > p.submission.Deadline {
			w.failSubmission(p, verdict.Refuse("journal did not take the records in time"))
		}
	}
	w.compact()
}

// failFirst fails the submissions of the first n records with the given error.
func (w *Writer) failFirst(n int, err *verdict.Error) {
	for i := range w.pending[:n] {
		if !w.pending[i].settled {
			w.failSubmission(&w.pending[i], err)
		}
	}
}

// failSubmission settles all records of the submission of p and sends its
// receipt. The verdict of err becomes MayHaveRun if the journal has or may have
// one of the records.
func (w *Writer) failSubmission(p *pendingRecord, err *verdict.Error) {
	state, receiptErr := p.submission, *err
	for i := range w.pending {
		if q := &w.pending[i]; q.submission == state && !q.settled {
			state.mayHaveRecords = state.mayHaveRecords || q.mayBeAppended
			q.settled = true
		}
	}
	if state.mayHaveRecords {
		receiptErr.Verdict = verdict.MayHaveRun
	}
	sendReceipt(state, Receipt{Err: &receiptErr})
}

// recordAppended settles a record that the journal has. It sends the receipt if
// it was the last record of its submission.
func (w *Writer) recordAppended(p *pendingRecord, offset unit.Offset) {
	p.settled = true
	p.submission.mayHaveRecords = true
	p.submission.notAppended--
	if p.submission.notAppended == 0 {
		sendReceipt(p.submission, Receipt{Offset: offset})
	}
}

// sendReceipt sends the receipt of a submission without blocking.
func sendReceipt(state *submissionState, r Receipt) {
	if state.Reply == nil {
		return
	}
	if len(state.Records) > 0 {
		r.FirstRecord = state.Records[0].ID
	}
	select {
	case state.Reply <- r:
	default:
		receiptsDropped.Add(1)
	}
}

// compact removes the settled records from the pending ones.
func (w *Writer) compact() {
	kept := w.pending[:0]
	for _, p := range w.pending {
		if !p.settled {
			kept = append(kept, p)
		}
	}
	clear(w.pending[len(kept):])
	w.pending = kept
}

// fillEntry fills the entry with the first pending records. It returns the
// number of pending records that it processed.
func (w *Writer) fillEntry() int {
	w.entry.Reset()
	for i := range w.pending {
		p := &w.pending[i]
		if p.settled {
			continue
		}
		ok, err := w.entry.Add(p.record)
		if err != nil {
			// Earlier records of the submission may already be in the entry.
			w.failSubmission(p, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "record can't be written", Err: err})
			continue
		}
		if !ok {
			return i
		}
	}
	return len(w.pending)
}

// appendEntry appends the first pending records as one entry and handles the
// outcome.
func (w *Writer) appendEntry(ctx context.Context) {
	n := w.fillEntry()
	defer w.compact()
	if w.entry.Len() == 0 {
		return
	}
	if err := w.initKnownEnd(ctx); err != nil {
		w.retryLater()
		return
	}
	from := unit.Offset(w.knownEndPlusOne.Load() - 1)
	w.nextAppendAt = w.clock.Now().Add(appendInterval)
	appends.Add(1)
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
	defer cancel()
	offset, err := w.journal.Append(appendCtx, w.entry.Entry())
	switch {
	case err == nil:
		w.backoff.reset()
		w.recordFirstAppended(n, offset)
	case errors.Is(err, journal.ErrTooLarge):
		w.failFirst(n, &verdict.Error{Verdict: verdict.DidNotRun, Reason: "journal refuses the size", Err: err})
	case verdict.Of(err) == verdict.DidNotRun:
		w.retryLater()
	default:
		unknownAppends.Add(1)
		w.settle(ctx, n, from)
	}
}

// recordFirstAppended settles the first n records after they were appended at
// offset.
func (w *Writer) recordFirstAppended(n int, offset unit.Offset) {
	w.ObserveEnd(offset + 1)
	for i := range w.pending[:n] {
		if p := &w.pending[i]; !p.settled {
			w.recordAppended(p, offset)
		}
	}
}

// initKnownEnd ensures that an end of the journal is known. After an append
// with unknown outcome, settle reads from it.
func (w *Writer) initKnownEnd(ctx context.Context) error {
	if w.knownEndPlusOne.Load() > 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	b, err := w.journal.Bounds(ctx)
	if err == nil {
		w.ObserveEnd(b.Next)
	}
	return err
}

// retryLater counts an append error and schedules the next append after the
// backoff.
func (w *Writer) retryLater() {
	appendErrors.Add(1)
	w.nextAppendAt = w.clock.Now().Add(w.backoff.next())
}
