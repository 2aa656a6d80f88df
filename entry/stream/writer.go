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
	appends      = expvar.NewInt("stream.appends")
	appendErrors = expvar.NewInt("stream.appendErrors")
	unknown      = expvar.NewInt("stream.appendsUnknown")
	queueFull    = expvar.NewInt("stream.queueFull")
	receiptsLost = expvar.NewInt("stream.receiptsDropped")
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
	journal journal.Journal
	clock   clock.Clock
	queue   chan Submission
	queued  atomic.Int64  // bytes
	saw     atomic.Uint64 // one more than a position of the journal's end, 0 if none is known

	pending []pending
	group   record.Group
	nextAt  clock.Millis // of the next append
	backoff backoff
}

// pending is a record that waits for the journal.
type pending struct {
	record record.Record
	job    *submitted
	maybe  bool // was in an append with unknown outcome
	done   bool
}

// submitted is a submission with the number of its records that are not
// settled.
type submitted struct {
	Submission
	open int
	some bool // the journal has or may have some record of it
}

// NewWriter returns a writer to j.
func NewWriter(j journal.Journal, c clock.Clock) *Writer {
	return &Writer{journal: j, clock: c, queue: make(chan Submission, queueLength)}
}

// Saw tells the writer a position that the journal's end has reached. A later
// append has an offset that is at least as high.
func (w *Writer) Saw(end unit.Offset) {
	for {
		old := w.saw.Load()
		if uint64(end)+1 <= old || w.saw.CompareAndSwap(old, uint64(end)+1) {
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
	if w.queued.Add(size) <= maxQueuedBytes {
		select {
		case w.queue <- s:
			return nil
		default:
		}
	}
	w.queued.Add(-size)
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
				w.take(s)
			case <-ctx.Done():
			}
		}
		if sleep(ctx, w.nextAt.Sub(w.clock.Now())) != nil {
			break
		}
		w.drain()
		w.expire(w.clock.Now())
		w.appendGroup(ctx)
	}
	w.drain()
	w.fail(len(w.pending), verdict.Refuse("process is stopping"))
	w.compact()
	return nil
}

func (w *Writer) drain() {
	for len(w.pending) < queueLength {
		select {
		case s := <-w.queue:
			w.take(s)
		default:
			return
		}
	}
}

func (w *Writer) take(s Submission) {
	job := &submitted{Submission: s, open: len(s.Records)}
	for _, r := range s.Records {
		w.queued.Add(-int64(len(r.Body)))
		w.pending = append(w.pending, pending{record: r, job: job})
	}
	if job.open == 0 {
		reply(job, Receipt{})
	}
}

// expire gives up the records whose deadline has passed.
func (w *Writer) expire(now clock.Millis) {
	for i := range w.pending {
		if p := &w.pending[i]; !p.done && now > p.job.Deadline {
			w.giveUp(p, verdict.Refuse("journal did not take the records in time"))
		}
	}
	w.compact()
}

// fail gives up the first n records with the given error.
func (w *Writer) fail(n int, err *verdict.Error) {
	for i := range w.pending[:n] {
		if !w.pending[i].done {
			w.giveUp(&w.pending[i], err)
		}
	}
}

// giveUp answers the submission of p and drops all of its records.
func (w *Writer) giveUp(p *pending, err *verdict.Error) {
	job, e := p.job, *err
	for i := range w.pending {
		if q := &w.pending[i]; q.job == job && !q.done {
			job.some = job.some || q.maybe
			q.done = true
		}
	}
	if job.some {
		e.Verdict = verdict.MayHaveRun
	}
	reply(job, Receipt{Err: &e})
}

// accepted settles a record that the journal has.
func (w *Writer) accepted(p *pending, offset unit.Offset) {
	p.done = true
	p.job.some = true
	p.job.open--
	if p.job.open == 0 {
		reply(p.job, Receipt{Offset: offset})
	}
}

func reply(job *submitted, r Receipt) {
	if job.Reply == nil {
		return
	}
	if len(job.Records) > 0 {
		r.First = job.Records[0].ID
	}
	select {
	case job.Reply <- r:
	default:
		receiptsLost.Add(1)
	}
}

// compact removes the records that are done.
func (w *Writer) compact() {
	kept := w.pending[:0]
	for _, p := range w.pending {
		if !p.done {
			kept = append(kept, p)
		}
	}
	clear(w.pending[len(kept):])
	w.pending = kept
}

// fill puts the first records into the group and returns how many.
func (w *Writer) fill() int {
	w.group.Reset()
	for i := range w.pending {
		p := &w.pending[i]
		if p.done {
			continue
		}
		ok, err := w.group.Add(p.record)
		if err != nil {
			w.giveUp(p, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "record can't be written", Err: err})
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
	n := w.fill()
	defer w.compact()
	if w.group.Len() == 0 {
		return
	}
	if err := w.locate(ctx); err != nil {
		w.retryLater()
		return
	}
	from := unit.Offset(w.saw.Load() - 1)
	w.nextAt = w.clock.Now().Add(appendInterval)
	appends.Add(1)
	actx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
	defer cancel()
	offset, err := w.journal.Append(actx, w.group.Entry())
	switch {
	case err == nil:
		w.backoff.reset()
		w.acceptFirst(n, offset)
	case errors.Is(err, journal.ErrTooLarge):
		w.fail(n, &verdict.Error{Verdict: verdict.DidNotRun, Reason: "journal refuses the size", Err: err})
	case verdict.Of(err) == verdict.DidNotRun:
		w.retryLater()
	default:
		unknown.Add(1)
		w.settle(ctx, n, from)
	}
}

func (w *Writer) acceptFirst(n int, offset unit.Offset) {
	w.Saw(offset + 1)
	for i := range w.pending[:n] {
		if p := &w.pending[i]; !p.done {
			w.accepted(p, offset)
		}
	}
}

// locate makes sure that a position is known from which an append with
// unknown outcome can be looked for.
func (w *Writer) locate(ctx context.Context) error {
	if w.saw.Load() > 0 {
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
	w.nextAt = w.clock.Now().Add(w.backoff.next())
}
