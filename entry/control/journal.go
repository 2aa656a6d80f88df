package control

import (
	"context"

	"mimosadock/entry/stream"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/config"
	"mimosadock/schedule/record"
	"mimosadock/schedule/snapshot"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// maxReceipts is the capacity of the channel of receipts that wait for the next
// tick.
const maxReceipts = 1024

// Handler applies a record of the journal. It runs in the control goroutine, in
// journal order, once for each record id.
type Handler func(s *State, it record.DecodedRecord, now clock.Millis)

// Submitter queues records for the journal without blocking.
type Submitter func(stream.Submission) error

// journalState holds the control goroutine's position in the journal and its
// pending submissions.
type journalState struct {
	handlers           [record.KindCount]Handler
	seen               record.SeenIDs
	next               unit.Offset  // offset before which all records are applied
	readToEnd          bool         // whether a read has reached the end since the start
	appliedBefore      clock.Millis // every record appended before this instant is applied; valid if readToEnd
	readFailing        bool         // whether the last read failed
	recoveryGaps       int          // number of recovered snapshots with missing entries after them
	origin             record.IDSource
	submitter          Submitter
	receipts           chan stream.Receipt
	pendingSubmissions table.Table[record.ID, pendingSubmission] // by the id of the first record
	recoverReader      func()                                    // makes the reader start a new recovery; may be nil
}

// ReceiptFunc handles the receipt of a submission.
type ReceiptFunc func(s *State, r stream.Receipt, now clock.Millis)

// pendingSubmission is a submission to the journal that has no receipt yet.
type pendingSubmission struct {
	deadline clock.Millis
	done     ReceiptFunc
}

// receiptGrace is the time after its deadline during which a submission still
// waits for a receipt. After that its outcome counts as unknown. Determining
// the outcome of an append takes a few reads.
const receiptGrace = 30 * clock.Second

// OnRecord sets the handler for a kind of record. It must be called before Run.
func (l *Loop) OnRecord(k record.Kind, h Handler) { l.state.handlers[k] = h }

// SetSubmitter sets the function that queues records for the journal. It must
// be called before Run.
func (l *Loop) SetSubmitter(f Submitter) { l.state.submitter = f }

// SetRecover sets the function that makes the reader start a new recovery.
// It must be called before Run.
func (l *Loop) SetRecover(f func()) { l.state.recoverReader = f }

// AppliedBefore returns an instant; every record that was appended before it is
// applied. It returns false if no read has reached the end of the journal yet.
func (s *State) AppliedBefore() (clock.Millis, bool) { return s.appliedBefore, s.readToEnd }

// JournalFailing reports whether the last read of the journal failed.
func (s *State) JournalFailing() bool { return s.readFailing }

// SubmitRecords submits records to the journal. The done function receives the
// receipt on a later tick; it may be nil. A returned error has the verdict
// DidNotRun.
func (s *State) SubmitRecords(records []record.Record, deadline clock.Millis, done ReceiptFunc) error {
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
		s.pendingSubmissions.Put(records[0].ID, pendingSubmission{deadline, done})
	}
	return nil
}

// ReceiptSystem handles the receipts that arrived since the last tick. It ends
// submissions whose receipt is overdue, because a full channel drops receipts.
func ReceiptSystem(s *State, now clock.Millis) {
	var expired []record.ID
	for id, sub := range s.pendingSubmissions.All() {
		if now > sub.deadline.Add(receiptGrace) {
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		s.handleReceipt(stream.Receipt{FirstRecord: id, Err: errNoReceipt}, now)
	}
	for {
		select {
		case r := <-s.receipts:
			s.handleReceipt(r, now)
		default:
			return
		}
	}
}

func (s *State) handleReceipt(r stream.Receipt, now clock.Millis) {
	sub := s.pendingSubmissions.Get(r.FirstRecord)
	if sub == nil {
		return
	}
	done := sub.done
	s.pendingSubmissions.Delete(r.FirstRecord)
	done(s, r, now)
}

// JournalRead is the message with a batch of the journal. Use [NewJournalRead].
type JournalRead struct {
	batch         *stream.Batch
	changes       map[record.ID]config.CheckedChange
	commonConfigs map[record.ID]config.Restoration // by the id of the record that completes the snapshot
	applied       chan struct{}                    // closed when the batch is applied
}

// NewJournalRead returns the message for a batch. It decodes and checks the
// services texts, because this takes too long for the control goroutine.
func NewJournalRead(b *stream.Batch) JournalRead {
	m := JournalRead{batch: b, applied: make(chan struct{})}
	for _, it := range b.Items {
		if it.Fault != record.NoFault || it.Record.Kind != record.Change {
			continue
		}
		if m.changes == nil {
			m.changes = make(map[record.ID]config.CheckedChange)
		}
		c, err := record.Decode[config.Change](it.Record)
		if err != nil {
			m.changes[it.Record.ID] = config.CheckedChange{Change: c, Err: err}
			continue
		}
		m.changes[it.Record.ID] = config.Check(c)
	}
	m.commonConfigs = configRestorations(b.Snapshots)
	return m
}

// configRestorations returns the usable configurations of the common snapshots,
// by the id of the record that completes the snapshot.
func configRestorations(snapshots []snapshot.Snapshot) map[record.ID]config.Restoration {
	var configs map[record.ID]config.Restoration
	for _, f := range snapshots {
		if f.Scope != snapshot.Common {
			continue
		}
		for _, sec := range f.Sections {
			if sec.Name != configSection {
				continue
			}
			if r, err := config.DecodeSaved(f.At, sec.Data); err == nil {
				if configs == nil {
					configs = make(map[record.ID]config.Restoration)
				}
				configs[f.ID] = r
			}
		}
	}
	return configs
}

// DeliverTo returns a function for a [stream.Reader] that sends batches to the
// loop and waits until each one is applied.
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

// Apply applies the records of the batch. If the batch begins a recovery, Apply
// first restores the state from the snapshots.
func (m JournalRead) Apply(s *State, now clock.Millis) {
	defer close(m.applied)
	b := m.batch
	if b.Err != nil {
		s.readFailing = true
		s.readiness.SetJournalUnreachable()
		return
	}
	s.readFailing = false
	if b.Recovered {
		s.recover(m)
	}
	for _, f := range b.Snapshots {
		s.snapshotSchedule.RecordSnapshot(f, now, b.Recovered)
	}
	for i := range b.Items {
		m.applyItem(s, b.Items[i], now)
	}
	s.applyMembers(b, now)
	s.next = b.Next
	s.register.Advance(b.Next)
	s.snapshotSchedule.RecordEntries(b.Bytes, len(m.changes))
	if b.ReachedEnd {
		s.readToEnd, s.appliedBefore = true, b.RequestedAt
		s.updateReadiness()
	}
	if s.copyInForce() || len(m.changes) > 0 {
		s.RequestTick()
	}
}

// updateReadiness updates the readiness after a read that reached the end of
// the journal. A journal that has lost the configuration counts as unreachable.
func (s *State) updateReadiness() {
	if s.register.IsAttached() {
		s.readiness.SetJournalRead()
	} else {
		s.readiness.SetJournalUnreachable()
	}
}

func (m JournalRead) applyItem(s *State, it record.DecodedRecord, now clock.Millis) {
	if it.Fault != record.NoFault || !s.seen.Add(it.Record.ID) {
		return
	}
	if it.Record.Kind == record.Change {
		s.applyChange(it, m.changes[it.Record.ID])
	}
	if r, ok := m.commonConfigs[it.Record.ID]; ok && s.register.ApplySnapshot(it.Offset, r) && s.recoverReader != nil {
		s.recoverReader()
	}
	if h := s.handlers[it.Record.Kind]; h != nil {
		h(s, it, now)
	}
}

// recover replaces the state that came from the journal by the snapshots of the
// batch.
func (s *State) recover(m JournalRead) {
	b := m.batch
	s.seen = record.SeenIDs{}
	if b.From > s.register.Next() {
		// Changes before b.From are missing, so the register no longer follows the journal.
		s.register.Detach()
	}
	for _, r := range m.commonConfigs {
		if r.At >= b.From {
			s.register.Restore(r)
		}
	}
	if b.From == 0 {
		s.register.Attach(0)
	}
	for _, f := range b.Snapshots {
		if f.At < b.From {
			s.recoveryGaps++
		}
		s.restoreSections(f)
	}
}
