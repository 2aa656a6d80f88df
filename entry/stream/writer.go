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

// Writing.
const (
	appendInterval = 100 * clock.Millisecond // at most 10 appends a second
	appendTimeout  = 2 * clock.Second
	queueLength    = 1024
	maxQueuedBytes = 32 << 20
)

var (
	appends         = expvar.NewInt("stream.appends")
	appendErrors    = expvar.NewInt("stream.appendErrors")
	unknownAppends  = expvar.NewInt("stream.appendsUnknown")
	queueFull       = expvar.NewInt("stream.queueFull")
	receiptsDropped = expvar.NewInt("stream.receiptsDropped")
)

// Submission asks for records to be appended in order. They may end up in
// several entries.
type Submission struct {
	Records  []record.Record
	Deadline clock.Millis // no attempt begins after it
	// Reply takes one receipt. It must have room for it; a receipt that
	// finds none is dropped. A nil Reply takes none.
	Reply chan<- Receipt
}

// Receipt is what came of a submission. If Err is nil, the journal has all the
// records and Offset is that of the last. Otherwise the verdict of Err is
// DidNotRun if the journal has none of them and will not, and MayHaveRun if
// that is not known.
type Receipt struct {
	First  record.ID // of the first record of the submission
	Offset unit.Offset
	Err    error
}

// Writer appends records in groups. Use [NewWriter].
type Writer struct {
	journal         journal.Journal
	clock           clock.Clock
	queue           chan Submission
	queuedBytes     atomic.Int64  // bytes
	knownEndPlusOne atomic.Uint64 // one more than a position of the journal's end, 0 if none is known

	pending      []pendingRecord
	group        record.Group
	nextAppendAt clock.Millis // of the next append
	backoff      backoff
}

// pendingRecord is a record that waits for the journal.
type pendingRecord struct {
	record        record.Record
	submission    *submissionState
	mayBeAppended bool // was in an append with unknown outcome
	settled       bool
}

// submissionState is a submission with the number of its records that are not
// settled.
type submissionState struct {
	Submission
	unsettled      int
	mayHaveRecords bool // the journal has or may have some record of it
}

// NewWriter returns a writer to j.
func NewWriter(j journal.Journal, c clock.Clock) *Writer {
	return &Writer{journal: j, clock: c, queue: make(chan Submission, queueLength)}
}

// Saw tells the writer a position that the journal's end has reached. A later
// append has an offset that is at least as high.
func (w *Writer) Saw(end unit.Offset) {
	for {
		old := w.knownEndPlusOne.Load()
		if uint64(end)+1 <= old || w.knownEndPlusOne.CompareAndSwap(old, uint64(end)+1) {
			return
		}
	}
}

// Offer queues s without waiting. The error has the verdict DidNotRun.
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

// Run appends until ctx ends. What is then left is refused, or unknown if it
// was in an append with unknown outcome.
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
		w.appendGroup(ctx)
	}
	w.drainQueue()
	w.failFirst(len(w.pending), verdict.Refuse("process is stopping"))
	w.compact()
	return nil
}

func (w *Writer) drainQueue() {
	for len(w.pending) < queueLength {
		select {
		case s := <-w.queue:
			w.addSubmission(s)
		default:
			return
		}
	}
}

func (w *Writer) addSubmission(s Submission) {
	state := &submissionState{Submission: s, unsettled: len(s.Records)}
	for _, r := range s.Records {
		w.queuedBytes.Add(-int64(len(r.Body)))
		w.pending = append(w.pending, pendingRecord{record: r, submission: state})
	}
	if state.unsettled == 0 {
		sendReceipt(state, Receipt{})
	}
}

// expireOverdue gives up the records whose deadline has passed.
func (w *Writer) expireOverdue(now clock.Millis) {
	for i := range w.pending {
		if p := &w.pending[i]; !p.settled && now > p.submission.Deadline {
			w.failSubmission(p, verdict.Refuse("journal did not take the records in time"))
		}
	}
	w.compact()
}

// failFirst gives up the first n records with the given error.
func (w *Writer) failFirst(n int, err *verdict.Error) {
	for i := range w.pending[:n] {
		if !w.pending[i].settled {
			w.failSubmission(&w.pending[i], err)
		}
	}
}

// failSubmission answers the submission of p and drops all of its records.
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

// recordAppended settles a record that the journal has.
func (w *Writer) recordAppended(p *pendingRecord, offset unit.Offset) {
	p.settled = true
	p.submission.mayHaveRecords = true
	p.submission.unsettled--
	if p.submission.unsettled == 0 {
		sendReceipt(p.submission, Receipt{Offset: offset})
	}
}

func sendReceipt(state *submissionState, r Receipt) {
	if state.Reply == nil {
		return
	}
	if len(state.Records) > 0 {
		r.First = state.Records[0].ID
	}
	select {
	case state.Reply <- r:
	default:
		receiptsDropped.Add(1)
	}
}

// compact removes the records that are done.
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

// fillGroup puts the first records into the group and returns how many.
func (w *Writer) fillGroup() int {
	w.group.Reset()
	for i := range w.pending {
		p := &w.pending[i]
		if p.settled {
			continue
		}
		ok, err := w.group.Add(p.record)
		if err != nil {
			w.failSubmission(p, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "record can't be written", Err: err})
			continue
		}
		if !ok {
			return i
		}
	}
	return len(w.pending)
}

// appendGroup appends the first records as one entry.
func (w *Writer) appendGroup(ctx context.Context) {
	n := w.fillGroup()
	defer w.compact()
	if w.group.Len() == 0 {
		return
	}
	if err := w.initKnownEnd(ctx); err != nil {
		w.retryLater()
		return
	}
	from := unit.Offset(w.knownEndPlusOne.Load() - 1)
	w.nextAppendAt = w.clock.Now().Add(appendInterval)
	appends.Add(1)
	actx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
	defer cancel()
	offset, err := w.journal.Append(actx, w.group.Entry())
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

func (w *Writer) recordFirstAppended(n int, offset unit.Offset) {
	w.Saw(offset + 1)
	for i := range w.pending[:n] {
		if p := &w.pending[i]; !p.settled {
			w.recordAppended(p, offset)
		}
	}
}

// initKnownEnd makes sure that a position is known from which an append with
// unknown outcome can be looked for.
func (w *Writer) initKnownEnd(ctx context.Context) error {
	if w.knownEndPlusOne.Load() > 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	b, err := w.journal.Bounds(ctx)
	if err == nil {
		w.Saw(b.Next)
	}
	return err
}

func (w *Writer) retryLater() {
	appendErrors.Add(1)
	w.nextAppendAt = w.clock.Now().Add(w.backoff.next())
}
