package control

import (
	"context"

	"mimosadock/entry/stream"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/config"
	"mimosadock/schedule/record"
	"mimosadock/schedule/snapshot"
	"mimosadock/schedule/unit"
)

// receiptsSize bounds the receipts that wait for the next tick.
const receiptsSize = 1024

// Handler takes in a record of the journal. It runs in the control goroutine,
// in journal order, once for each record id.
type Handler func(s *State, it record.Item, now clock.Millis)

// Submitter queues records for the journal without waiting.
type Submitter func(stream.Submission) error

// journalState is what the control goroutine knows of the journal.
type journalState struct {
	handlers  [record.Kinds]Handler
	seen      record.Seen
	next      unit.Offset  // all records before it are applied
	readToEnd bool         // once since the start
	confirmed clock.Millis // all that was appended before is applied; valid if readToEnd
	failing   bool         // the last read failed
	gaps      int          // recoveries that missed entries of some scope
	origin    record.Origin
	submitter Submitter
	receipts  chan stream.Receipt
	onReceipt map[record.ID]func(s *State, r stream.Receipt, now clock.Millis)
}

// OnRecord sets the handler of a kind of records. It is called before Run.
func (l *Loop) OnRecord(k record.Kind, h Handler) { l.state.handlers[k] = h }

// SubmitTo sets where records for the journal go. It is called before Run.
func (l *Loop) SubmitTo(f Submitter) { l.state.submitter = f }

// ReadToEnd returns the instant before which everything in the journal is
// applied, and false if the journal wasn't read to its end yet.
func (s *State) ReadToEnd() (clock.Millis, bool) { return s.confirmed, s.readToEnd }

// JournalFailing reports whether the last read of the journal failed.
func (s *State) JournalFailing() bool { return s.failing }

// Submit hands records to the journal. The done function, which may be nil,
// gets the receipt on a later tick. An error has the verdict DidNotRun.
func (s *State) Submit(records []record.Record, deadline clock.Millis, done func(*State, stream.Receipt, clock.Millis)) error {
	if s.submitter == nil {
		return errNoJournal
	}
	sub := stream.Submission{Records: records, Deadline: deadline}
	if done != nil {
		sub.Reply = s.receipts
	}
	if err := s.submitter(sub); err != nil {
		return err
	}
	if done != nil {
		s.onReceipt[records[0].ID] = done
	}
	return nil
}

// ReceiptSystem hands out the receipts that have come since the last tick.
func ReceiptSystem(s *State, now clock.Millis) {
	for {
		select {
		case r := <-s.receipts:
			if done := s.onReceipt[r.First]; done != nil {
				delete(s.onReceipt, r.First)
				done(s, r, now)
			}
		default:
			return
		}
	}
}

// JournalRead takes in a batch of the journal. Use [NewJournalRead].
type JournalRead struct {
	batch    *stream.Batch
	changes  map[record.ID]config.Checked
	restored *config.Restoration
	applied  chan struct{} // closed when the batch is applied
}

// NewJournalRead returns the message for a batch. It decodes and checks the
// services texts, which takes too long for the control goroutine.
func NewJournalRead(b *stream.Batch) JournalRead {
	m := JournalRead{batch: b, applied: make(chan struct{})}
	for _, it := range b.Items {
		if it.Fault != record.Sound || it.Record.Kind != record.Change {
			continue
		}
		if m.changes == nil {
			m.changes = make(map[record.ID]config.Checked)
		}
		c, err := record.Decode[config.Change](it.Record)
		if err != nil {
			m.changes[it.Record.ID] = config.Checked{Change: c, Err: err}
			continue
		}
		m.changes[it.Record.ID] = config.Check(c)
	}
	if b.Recovered {
		m.restored = restoration(b.Snapshots)
	}
	return m
}

// restoration returns the configuration of the common snapshot, or nil if
// there is none that can be used.
func restoration(found []snapshot.Found) *config.Restoration {
	for _, f := range found {
		if f.Scope != snapshot.Common {
			continue
		}
		for _, sec := range f.Sections {
			if sec.Name != configSection {
				continue
			}
			if r, err := config.Open(f.At, sec.Data); err == nil {
				return &r
			}
		}
	}
	return nil
}

// DeliverTo returns a function for a [stream.Reader] that sends its batches to
// the loop and waits until each is applied.
func DeliverTo(l *Loop) func(context.Context, *stream.Batch) error {
	return func(ctx context.Context, b *stream.Batch) error {
		m := NewJournalRead(b)
		if err := l.Send(ctx, m); err != nil {
			return err
		}
		select {
		case <-m.applied:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Apply restores the state if the batch begins a recovery and applies the
// records.
func (m JournalRead) Apply(s *State, now clock.Millis) {
	defer close(m.applied)
	b := m.batch
	if b.Err != nil {
		s.failing = true
		s.readiness.Unreachable()
		return
	}
	s.failing = false
	if b.Recovered {
		s.recover(m)
	}
	for _, f := range b.Snapshots {
		s.schedule.Note(f, now, b.Recovered)
	}
	for i := range b.Items {
		m.applyItem(s, b.Items[i], now)
	}
	s.readMembers(b, now)
	s.next = b.Next
	s.register.Advance(b.Next)
	s.schedule.Grow(b.Bytes, len(m.changes))
	if b.End {
		s.readToEnd, s.confirmed = true, b.Asked
		s.readiness.Read()
	}
	if s.putInForce() || len(m.changes) > 0 {
		s.Urge()
	}
}

func (m JournalRead) applyItem(s *State, it record.Item, now clock.Millis) {
	if it.Fault != record.Sound || !s.seen.Add(it.Record.ID) {
		return
	}
	if it.Record.Kind == record.Change {
		s.applyChange(it, m.changes[it.Record.ID])
	}
	if h := s.handlers[it.Record.Kind]; h != nil {
		h(s, it, now)
	}
}

// recover replaces what came from the journal by the snapshots of the batch.
func (s *State) recover(m JournalRead) {
	b := m.batch
	s.seen = record.Seen{}
	if b.From > s.register.Next() {
		s.register.Detach()
	}
	switch {
	case m.restored != nil && m.restored.At >= b.From:
		s.register.Restore(*m.restored)
	case b.From == 0 || b.End && len(b.Snapshots) == 0:
		s.register.Anchor(b.From)
	}
	for _, f := range b.Snapshots {
		if f.At < b.From {
			s.gaps++
		}
		s.restoreSections(f)
	}
}
