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

// bubbleClock counts from start in the virtual time of a synctest bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() clock.Millis { return clock.Millis(time.Since(c.start).Milliseconds()) }

// fixture is a journal with a reader and a writer in a synctest bubble.
type fixture struct {
	t       *testing.T
	journal *standin.Memory
	clock   bubbleClock
	writer  *Writer
	origin  *record.IDSource
	group   group.Group
	mu      sync.Mutex
	batches []*Batch
	bodies  []string // of the records that were read, without duplicates
	seen    record.SeenIDs
}

// advance advances virtual time by s and waits until all goroutines are
// blocked.
func advance(s clock.Span) {
	time.Sleep(s.Duration())
	synctest.Wait()
}

// inBubble runs f in a bubble and then stops the goroutines of the fixture.
func inBubble(t *testing.T, f func(fx *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		c := bubbleClock{time.Now()}
		fx := &fixture{t: t, clock: c, journal: &standin.Memory{Clock: c}, origin: &record.IDSource{Writer: "a"}}
		fx.writer = NewWriter(fx.journal, c)
		fx.group.Go("writer", fx.writer.Run)
		f(fx)
		fx.group.Stop()
		if err := fx.group.Wait(); err != nil {
			t.Fatal(err)
		}
	})
}

// read starts a reader that stores its batches in the fixture.
func (fx *fixture) read() {
	r := &Reader{Journal: fx.journal, Clock: fx.clock, ObserveEnd: fx.writer.ObserveEnd, Deliver: func(_ context.Context, b *Batch) error {
		fx.mu.Lock()
		defer fx.mu.Unlock()
		fx.batches = append(fx.batches, b)
		for _, it := range b.Items {
			if it.Fault == record.NoFault && it.Record.Kind == record.Audit && fx.seen.Add(it.Record.ID) {
				text, err := record.Decode[string](it.Record)
				if err != nil {
					return err
				}
				fx.bodies = append(fx.bodies, text)
			}
		}
		return nil
	}}
	fx.group.Go("reader", r.Run)
}

// results returns the batches and bodies that were read so far.
func (fx *fixture) results() ([]*Batch, []string) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return slices.Clone(fx.batches), slices.Clone(fx.bodies)
}

func (fx *fixture) audit(text string) record.Record {
	r, err := record.Encode(fx.origin, record.Audit, text)
	if err != nil {
		fx.t.Fatal(err)
	}
	return r
}

// submit offers a record to the writer, with a deadline after the given time,
// and returns the channel of its receipt.
func (fx *fixture) submit(text string, in clock.Span) chan Receipt {
	reply := make(chan Receipt, 1)
	s := Submission{Records: []record.Record{fx.audit(text)}, Deadline: fx.clock.Now().Add(in), Reply: reply}
	if err := fx.writer.Offer(s); err != nil {
		fx.t.Fatal(err)
	}
	return reply
}

// Guards against a receipt that contradicts the contents of the journal, and
// against records that are in the journal twice or out of order.
func TestWriterOutcomes(t *testing.T) {
	tests := map[string]struct {
		failures standin.Failures
		after    clock.Span // time until the failures end
		want     verdict.Verdict
		kept     int
	}{
		"no failure":            {standin.Failures{}, 0, verdict.Ran, 1},
		"lost response":         {standin.Failures{LoseAnswers: 1}, 0, verdict.Ran, 1},
		"lost responses":        {standin.Failures{LoseAnswers: 3}, 0, verdict.Ran, 1},
		"short outage":          {standin.Failures{Refuse: true}, 2 * clock.Second, verdict.Ran, 1},
		"long outage":           {standin.Failures{Refuse: true}, 20 * clock.Second, verdict.DidNotRun, 0},
		"no response for long":  {standin.Failures{Silent: true}, 20 * clock.Second, verdict.MayHaveRun, 0},
		"no response, recovers": {standin.Failures{Silent: true}, 3 * clock.Second, verdict.Ran, 1},
		"slower than timeout":   {standin.Failures{Delay: 3 * clock.Second}, 4 * clock.Second, verdict.Ran, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(fx *fixture) {
				is := is.New(t)
				fx.writer.ObserveEnd(0)
				fx.journal.SetFailures(tc.failures)
				reply := fx.submit("x", 10*clock.Second)
				if tc.after > 0 {
					advance(tc.after)
					fx.journal.SetFailures(standin.Failures{})
				}
				r := <-reply
				is.Equal(verdict.Of(r.Err), tc.want)
				advance(clock.Minute)
				is.Equal(fx.journal.Counts().Appends, tc.kept)
			})
		})
	}
}

// Guards against more than 10 appends a second, and against records that are
// lost or reordered under load.
func TestWriterGroups(t *testing.T) {
	inBubble(t, func(fx *fixture) {
		is := is.New(t)
		fx.read()
		var replies []chan Receipt
		for i := range 1000 {
			replies = append(replies, fx.submit(fmt.Sprint(i), clock.Minute))
			advance(5)
			if i == 500 {
				fx.journal.SetFailures(standin.Failures{LoseAnswers: 2})
			}
		}
		for _, reply := range replies {
			is.NoErr((<-reply).Err)
		}
		is.True(fx.journal.Counts().Appends <= 52) // 5 s at 10 a second
		advance(clock.Second)
		_, bodies := fx.results()
		is.Equal(len(bodies), 1000)
		for i, text := range bodies {
			is.Equal(text, fmt.Sprint(i))
		}
	})
}

// Guards against duplicate records if an append without a response takes effect
// after the writer has searched for its records. The writer appends them again
// with the same IDs, and readers must read them once.
func TestWriterDelayedAppend(t *testing.T) {
	inBubble(t, func(fx *fixture) {
		is := is.New(t)
		delaying := &delayingJournal{Memory: fx.journal}
		fx.writer.journal = delaying
		fx.read()
		is.NoErr((<-fx.submit("x", 10*clock.Second)).Err)
		_, err := fx.journal.Append(context.Background(), delaying.delayed)
		is.NoErr(err)
		advance(clock.Second)
		_, bodies := fx.results()
		is.Equal(bodies, []string{"x"})
		is.Equal(fx.journal.Counts().Appends, 2)
	})
}

// delayingJournal fails its first append without a response and stores its data
// in delayed.
type delayingJournal struct {
	*standin.Memory
	delayed []byte
}

func (l *delayingJournal) Append(ctx context.Context, data []byte) (unit.Offset, error) {
	if l.delayed == nil {
		l.delayed = append(l.delayed, data...)
		return 0, errors.New("connection reset")
	}
	return l.Memory.Append(ctx, data)
}

// Guards against a queue that grows without limit or blocks in Offer.
func TestWriterQueueIsBounded(t *testing.T) {
	is := is.New(t)
	fx := &fixture{t: t, origin: &record.IDSource{Writer: "a"}}
	writer := NewWriter(new(standin.Memory), new(clock.Manual))
	var err error
	n := 0
	for ; err == nil; n++ {
		err = writer.Offer(Submission{Records: []record.Record{fx.audit("x")}})
	}
	is.Equal(n, maxQueued+1)
	is.Equal(verdict.Of(err), verdict.DidNotRun)
	writer = NewWriter(new(standin.Memory), new(clock.Manual))
	big := fx.audit(string(make([]byte, 200<<10)))
	for n, err = 0, nil; err == nil; n++ {
		err = writer.Offer(Submission{Records: []record.Record{big}})
	}
	is.True(n*(200<<10) <= maxQueuedBytes+(200<<10))
}

// Guards against a batch whose RequestedAt is after the start of the read, a
// batch that claims to have reached the end during an outage of the journal, a
// reader that doesn't resume after an outage, and a reader that polls too often.
func TestReaderReachesEnd(t *testing.T) {
	inBubble(t, func(fx *fixture) {
		is := is.New(t)
		fx.read()
		advance(10 * clock.Second)
		batches, _ := fx.results()
		last := batches[len(batches)-1]
		is.True(last.ReachedEnd && fx.clock.Now().Sub(last.RequestedAt) <= 2*pollWait)
		fx.journal.SetFailures(standin.Failures{Silent: true})
		advance(30 * clock.Second)
		outageTime := fx.clock.Now()
		batches, _ = fx.results()
		for _, b := range batches {
			is.True(!b.ReachedEnd || b.RequestedAt <= clock.Millis(10_000)) // no read reaches the end during the outage
		}
		fx.journal.SetFailures(standin.Failures{Refuse: true})
		advance(30 * clock.Second)
		fx.journal.SetFailures(standin.Failures{Delay: clock.Second})
		_, err := fx.journal.Append(context.Background(), entryOf(t, fx.audit("x")))
		is.NoErr(err)
		advance(5 * clock.Second)
		batches, bodies := fx.results()
		is.Equal(bodies, []string{"x"})
		last = batches[len(batches)-1]
		is.True(last.ReachedEnd && last.RequestedAt > outageTime)
		is.True(fx.journal.Counts().Reads < 100)
	})
}

func entryOf(t *testing.T, records ...record.Record) []byte {
	var g record.EntryBuilder
	for _, r := range records {
		if ok, err := g.Add(r); !ok {
			t.Fatal(err)
		}
	}
	return g.Entry()
}

// Guards against a recovery that starts after the offset of the newest snapshot,
// ignores a scope without a snapshot, or uses an incomplete snapshot. Also
// guards against a reader that doesn't detect that retention has removed
// entries that it has not read.
func TestReaderRecovers(t *testing.T) {
	common := func(at unit.Offset) snapshot.Contents {
		return snapshot.Contents{Scope: snapshot.Common, At: at, Sections: []snapshot.Section{{Name: "s", Data: []byte{byte(at)}}}}
	}
	tests := map[string]struct {
		at         unit.Offset // offset of the common snapshot after 1500 records
		others     []snapshot.Ref
		incomplete bool // omit the end record
		keep       int  // retention in entries; 0 keeps all
		from       unit.Offset
		found      int
	}{
		"complete":                    {at: 1400, from: 1400, found: 1},
		"incomplete":                  {at: 1400, incomplete: true, from: 0},
		"other scope has no snapshot": {at: 1400, others: []snapshot.Ref{{Scope: snapshot.ScopeOf("kelso"), From: 700}}, from: 700, found: 1},
		"retention removed entries after the snapshot": {at: 1400, keep: 50, from: 1451, found: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(fx *fixture) {
				is := is.New(t)
				ctx := context.Background()
				for i := range 1500 {
					_, err := fx.journal.Append(ctx, entryOf(t, fx.audit(fmt.Sprint(i))))
					is.NoErr(err)
				}
				records, err := snapshot.Encode(fx.origin, common(tc.at), tc.others)
				is.NoErr(err)
				if tc.incomplete {
					records = records[:len(records)-1]
				}
				_, err = fx.journal.Append(ctx, entryOf(t, records...))
				is.NoErr(err)
				fx.journal.SetRetention(standin.Retention{Entries: tc.keep})
				fx.read()
				advance(clock.Second)
				batches, bodies := fx.results()
				is.True(batches[0].Recovered)
				is.Equal(batches[0].From, tc.from)
				is.Equal(len(batches[0].Snapshots), tc.found)
				is.Equal(len(bodies), 1500-int(tc.from))
				fx.journal.SetFailures(standin.Failures{Refuse: true})
				advance(clock.Second)
				batches, _ = fx.results()
				before := len(batches)
				fx.journal.SetFailures(standin.Failures{})
				fx.journal.SetRetention(standin.Retention{Entries: 1})
				for range 3 {
					_, err = fx.journal.Append(ctx, entryOf(t, fx.audit("late")))
					is.NoErr(err)
				}
				advance(5 * clock.Second)
				recovered := false
				batches, _ = fx.results()
				for _, b := range batches[before:] {
					recovered = recovered || b.Recovered && b.From == 1503
				}
				is.True(recovered)
			})
		})
	}
}

var _ journal.Journal = (*delayingJournal)(nil)
