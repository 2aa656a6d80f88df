package stream

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/group"
	"mimosadock/schedule/journal"
	"mimosadock/schedule/record"
	"mimosadock/schedule/snapshot"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
	standin "mimosadock/standin/journal"
)

// bubbleClock counts from its start in the virtual time of a synctest bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() clock.Millis { return clock.Millis(time.Since(c.start).Milliseconds()) }

// world is a journal with a reader and a writer in a bubble.
type world struct {
	t       *testing.T
	journal *standin.Memory
	clock   bubbleClock
	writer  *Writer
	origin  *record.Origin
	group   group.Group
	mu      sync.Mutex
	batches []*Batch
	bodies  []string // of the records read, duplicates removed
	seen    record.Seen
}

// pass lets virtual time pass and waits until all goroutines rest.
func pass(s clock.Span) {
	time.Sleep(s.Duration())
	synctest.Wait()
}

// inBubble runs f in a bubble and stops the goroutines behind it.
func inBubble(t *testing.T, f func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		c := bubbleClock{time.Now()}
		w := &world{t: t, clock: c, journal: &standin.Memory{Clock: c}, origin: &record.Origin{Writer: "a"}}
		w.writer = NewWriter(w.journal, c)
		w.group.Go("writer", w.writer.Run)
		f(w)
		w.group.Stop()
		if err := w.group.Wait(); err != nil {
			t.Fatal(err)
		}
	})
}

func (w *world) read() {
	r := &Reader{Journal: w.journal, Clock: w.clock, Saw: w.writer.Saw, Deliver: func(_ context.Context, b *Batch) error {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.batches = append(w.batches, b)
		for _, it := range b.Items {
			if it.Fault == record.Sound && it.Record.Kind == record.Audit && w.seen.Add(it.Record.ID) {
				text, err := record.Decode[string](it.Record)
				if err != nil {
					return err
				}
				w.bodies = append(w.bodies, text)
			}
		}
		return nil
	}}
	w.group.Go("reader", r.Run)
}

// got returns what was read so far.
func (w *world) got() ([]*Batch, []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.batches), slices.Clone(w.bodies)
}

func (w *world) audit(text string) record.Record {
	r, err := record.Encode(w.origin, record.Audit, text)
	if err != nil {
		w.t.Fatal(err)
	}
	return r
}

// submit hands a record to the writer and returns where its receipt comes.
func (w *world) submit(text string, in clock.Span) chan Receipt {
	reply := make(chan Receipt, 1)
	s := Submission{Records: []record.Record{w.audit(text)}, Deadline: w.clock.Now().Add(in), Reply: reply}
	if err := w.writer.Offer(s); err != nil {
		w.t.Fatal(err)
	}
	return reply
}

// Guards against a receipt that says something else than what the journal has,
// and against records that are in the journal twice or in another order.
func TestWriterOutcomes(t *testing.T) {
	tests := map[string]struct {
		failures standin.Failures
		after    clock.Span // until the failures end
		want     verdict.Verdict
		kept     int
	}{
		"no failure":            {standin.Failures{}, 0, verdict.Ran, 1},
		"lost answer":           {standin.Failures{LoseAnswers: 1}, 0, verdict.Ran, 1},
		"lost answers":          {standin.Failures{LoseAnswers: 3}, 0, verdict.Ran, 1},
		"short outage":          {standin.Failures{Refuse: true}, 2 * clock.Second, verdict.Ran, 1},
		"long outage":           {standin.Failures{Refuse: true}, 20 * clock.Second, verdict.DidNotRun, 0},
		"silent for long":       {standin.Failures{Silent: true}, 20 * clock.Second, verdict.MayHaveRun, 0},
		"silent, then answers":  {standin.Failures{Silent: true}, 3 * clock.Second, verdict.Ran, 1},
		"slower than the limit": {standin.Failures{Delay: 3 * clock.Second}, 4 * clock.Second, verdict.Ran, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(w *world) {
				is := is.New(t)
				w.writer.Saw(0)
				w.journal.SetFailures(tc.failures)
				reply := w.submit("x", 10*clock.Second)
				if tc.after > 0 {
					pass(tc.after)
					w.journal.SetFailures(standin.Failures{})
				}
				r := <-reply
				is.Equal(verdict.Of(r.Err), tc.want)
				pass(clock.Minute)
				is.Equal(w.journal.Counts().Appends, tc.kept)
			})
		})
	}
}

// Guards against more than 10 appends a second, and against records that are
// lost or reordered when many come at once.
func TestWriterGroups(t *testing.T) {
	inBubble(t, func(w *world) {
		is := is.New(t)
		w.read()
		var replies []chan Receipt
		for i := range 1000 {
			replies = append(replies, w.submit(fmt.Sprint(i), clock.Minute))
			pass(5)
			if i == 500 {
				w.journal.SetFailures(standin.Failures{LoseAnswers: 2})
			}
		}
		for _, reply := range replies {
			is.NoErr((<-reply).Err)
		}
		is.True(w.journal.Counts().Appends <= 52) // 5 s at 10 a second
		pass(clock.Second)
		_, bodies := w.got()
		is.Equal(len(bodies), 1000)
		for i, text := range bodies {
			is.Equal(text, fmt.Sprint(i))
		}
	})
}

// Guards against a lost append that takes effect after its records were looked
// for: the records are appended again under the same ids and read once.
func TestWriterLateEffect(t *testing.T) {
	inBubble(t, func(w *world) {
		is := is.New(t)
		late := &lateJournal{Memory: w.journal}
		w.writer.journal = late
		w.read()
		is.NoErr((<-w.submit("x", 10*clock.Second)).Err)
		_, err := w.journal.Append(context.Background(), late.held)
		is.NoErr(err)
		pass(clock.Second)
		_, bodies := w.got()
		is.Equal(bodies, []string{"x"})
		is.Equal(w.journal.Counts().Appends, 2)
	})
}

// lateJournal holds back its first append without an answer.
type lateJournal struct {
	*standin.Memory
	held []byte
}

func (l *lateJournal) Append(ctx context.Context, data []byte) (unit.Offset, error) {
	if l.held == nil {
		l.held = append(l.held, data...)
		return 0, errors.New("connection reset")
	}
	return l.Memory.Append(ctx, data)
}

// Guards against a queue that grows without bound or blocks who submits.
func TestWriterQueueIsBounded(t *testing.T) {
	is := is.New(t)
	w := &world{t: t, origin: &record.Origin{Writer: "a"}}
	writer := NewWriter(new(standin.Memory), new(clock.Manual))
	var err error
	n := 0
	for ; err == nil; n++ {
		err = writer.Offer(Submission{Records: []record.Record{w.audit("x")}})
	}
	is.Equal(n, queueLength+1)
	is.Equal(verdict.Of(err), verdict.DidNotRun)
	writer = NewWriter(new(standin.Memory), new(clock.Manual))
	big := w.audit(string(make([]byte, 200<<10)))
	for n, err = 0, nil; err == nil; n++ {
		err = writer.Offer(Submission{Records: []record.Record{big}})
	}
	is.True(n*(200<<10) <= maxQueuedBytes+(200<<10))
}

// Guards against an instant of confirmation that lies after the read began,
// against a confirmation during an outage, and against a reader that doesn't
// come back after one or that reads more often than needed.
func TestReaderConfirms(t *testing.T) {
	inBubble(t, func(w *world) {
		is := is.New(t)
		w.read()
		pass(10 * clock.Second)
		batches, _ := w.got()
		last := batches[len(batches)-1]
		is.True(last.End && w.clock.Now().Sub(last.Asked) <= 2*pollWait)
		w.journal.SetFailures(standin.Failures{Silent: true})
		pass(30 * clock.Second)
		cut := w.clock.Now()
		batches, _ = w.got()
		for _, b := range batches {
			is.True(!b.End || b.Asked <= clock.Millis(10_000)) // nothing confirmed since
		}
		w.journal.SetFailures(standin.Failures{Refuse: true})
		pass(30 * clock.Second)
		w.journal.SetFailures(standin.Failures{Delay: clock.Second})
		_, err := w.journal.Append(context.Background(), groupOf(t, w.audit("x")))
		is.NoErr(err)
		pass(5 * clock.Second)
		batches, bodies := w.got()
		is.Equal(bodies, []string{"x"})
		last = batches[len(batches)-1]
		is.True(last.End && last.Asked > cut)
		is.True(w.journal.Counts().Reads < 100)
	})
}

func groupOf(t *testing.T, records ...record.Record) []byte {
	var g record.Group
	for _, r := range records {
		if ok, err := g.Add(r); !ok {
			t.Fatal(err)
		}
	}
	return g.Entry()
}

// Guards against a recovery that starts behind the newest snapshot, misses a
// scope without one, or takes a half-written snapshot; and against a reader
// that doesn't notice that retention has overtaken it.
func TestReaderRecovers(t *testing.T) {
	common := func(at unit.Offset) snapshot.Contents {
		return snapshot.Contents{Scope: snapshot.Common, At: at, Sections: []snapshot.Section{{Name: "s", Data: []byte{byte(at)}}}}
	}
	tests := map[string]struct {
		at     unit.Offset // of the common snapshot behind 1500 records
		others []snapshot.Ref
		half   bool // leave out the end record
		keep   int  // retention
		from   unit.Offset
		found  int
	}{
		"whole":               {at: 1400, from: 1400, found: 1},
		"half written":        {at: 1400, half: true, from: 0},
		"scope without one":   {at: 1400, others: []snapshot.Ref{{Scope: snapshot.ScopeOf("kelso"), From: 700}}, from: 700, found: 1},
		"tail partly expired": {at: 1400, keep: 50, from: 1451, found: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(w *world) {
				is := is.New(t)
				ctx := context.Background()
				for i := range 1500 {
					_, err := w.journal.Append(ctx, groupOf(t, w.audit(fmt.Sprint(i))))
					is.NoErr(err)
				}
				records, err := snapshot.Encode(w.origin, common(tc.at), tc.others)
				is.NoErr(err)
				if tc.half {
					records = records[:len(records)-1]
				}
				_, err = w.journal.Append(ctx, groupOf(t, records...))
				is.NoErr(err)
				w.journal.SetRetention(standin.Retention{Entries: tc.keep})
				w.read()
				pass(clock.Second)
				batches, bodies := w.got()
				is.True(batches[0].Recovered)
				is.Equal(batches[0].From, tc.from)
				is.Equal(len(batches[0].Snapshots), tc.found)
				is.Equal(len(bodies), 1500-int(tc.from))
				w.journal.SetFailures(standin.Failures{Refuse: true})
				pass(clock.Second)
				batches, _ = w.got()
				before := len(batches)
				w.journal.SetFailures(standin.Failures{})
				w.journal.SetRetention(standin.Retention{Entries: 1})
				for range 3 {
					_, err = w.journal.Append(ctx, groupOf(t, w.audit("late")))
					is.NoErr(err)
				}
				pass(5 * clock.Second)
				recovered := false
				batches, _ = w.got()
				for _, b := range batches[before:] {
					recovered = recovered || b.Recovered && b.From == 1503
				}
				is.True(recovered)
			})
		})
	}
}

var _ journal.Journal = (*lateJournal)(nil)
