package control

import (
	"mimosadock/entry/stream"
	"mimosadock/schedule/audit"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/record"
)

// auditState holds the most recent audit entries.
type auditState struct {
	audits []audit.Entry // oldest first
}

// maxAudits is the largest number of audit entries that a process keeps.
const maxAudits = 200

// RecordAudit appends an audit entry to the journal. Reply receives nil once
// the entry is in the journal, or an error with its verdict. It must have room
// for one value.
type RecordAudit struct {
	Entry    audit.Entry
	Deadline clock.Millis
	Reply    chan<- error
}

// Apply submits the entry to the journal.
func (m RecordAudit) Apply(s *State, _ clock.Millis) {
	r, err := record.Encode(&s.origin, record.Audit, m.Entry)
	if err == nil {
		err = s.SubmitRecords([]record.Record{r}, m.Deadline, func(_ *State, receipt stream.Receipt, _ clock.Millis) { m.Reply <- receipt.Err })
	}
	if err != nil {
		m.Reply <- err
	}
}

// HandleAudits registers the handler for audit entries of the journal. The
// handler keeps the most recent entries and marks the host of a drain entry as
// leaving. HandleAudits must be called before Run.
func (l *Loop) HandleAudits() {
	l.OnRecord(record.Audit, func(s *State, it record.DecodedRecord, now clock.Millis) {
		e, err := record.Decode[audit.Entry](it.Record)
		if err != nil {
			unreadableBodies.Add(1)
			return
		}
		s.audits = append(s.audits[max(0, len(s.audits)+1-maxAudits):], e)
		if e.Action == audit.Drain {
			HostLeaving{Address: e.Target}.Apply(s, now)
		}
	})
}
