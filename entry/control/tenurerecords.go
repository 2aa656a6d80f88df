package control

import (
	"expvar"

	"mimosadock/entry/stream"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/record"
	"mimosadock/schedule/snapshot"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// membersSection is the name of the section with members and tenures in the
// common snapshots.
const membersSection = "members"

var unreadableBodies = expvar.NewInt("control.unreadableBodies")

// journalMemberAppender is the [MemberRecordAppender] that submits to the journal.
// Its methods run in the control goroutine.
type journalMemberAppender struct{ state *State }

var _ MemberRecordAppender = journalMemberAppender{}

// HandleMembers registers the handlers and the snapshot section for members and
// tenures, and returns the appender of their records. It must be called before
// Run.
func (l *Loop) HandleMembers() MemberRecordAppender {
	l.OnRecord(record.Join, collectMember(func(c *member.Identity) tenure.JournalRecord { return tenure.JournalRecord{Join: c} }))
	l.OnRecord(record.Goodbye, collectMember(func(g *member.Goodbye) tenure.JournalRecord { return tenure.JournalRecord{Goodbye: g} }))
	l.OnRecord(record.Claim, collectClaim)
	l.AddSection(Section{Name: membersSection, Common: true, Save: saveMembers, Restore: restoreMembers})
	return journalMemberAppender{&l.state}
}

// collectMember returns a handler that stores a record until the end of the
// batch, when the instant of the read is known.
func collectMember[B any](newRecord func(*B) tenure.JournalRecord) Handler {
	return func(s *State, it record.DecodedRecord, _ clock.Millis) {
		body, err := record.Decode[B](it.Record)
		if err != nil {
			unreadableBodies.Add(1)
			return
		}
		r := newRecord(&body)
		r.Offset = it.Offset
		s.memberRecords = append(s.memberRecords, r)
	}
}

// collectClaim stores a claim and fences the jobs of its data centre. The
// fencing must happen between the records before and after the claim.
func collectClaim(s *State, it record.DecodedRecord, now clock.Millis) {
	collectMember(func(c *tenure.Claim) tenure.JournalRecord {
		s.fenceJobs(c)
		return tenure.JournalRecord{Claim: c}
	})(s, it, now)
}

// applyMembers applies the collected records of the batch. If the batch reached
// the end of the journal, it confirms the tenures of this process.
func (s *State) applyMembers(b *stream.Batch, now clock.Millis) {
	if s.connected() {
		s.node.ApplyJournal(s.memberRecords, b.RequestedAt, b.ReachedEnd, now)
	}
	s.memberRecords = s.memberRecords[:0]
}

// Append submits one record to the journal. A join record or a claim that was
// certainly not appended becomes due again.
func (r journalMemberAppender) Append(body any) {
	rec, err := r.encode(body)
	if err == nil {
		deadline := r.state.clock.Now().Add(claimRetryInterval)
		err = r.state.SubmitRecords([]record.Record{rec}, deadline, func(s *State, receipt stream.Receipt, now clock.Millis) {
			if receipt.Err != nil && verdict.Of(receipt.Err) == verdict.DidNotRun {
				NotAppended{body}.Apply(s, now)
			}
		})
	}
	if err != nil {
		NotAppended{body}.Apply(r.state, r.state.clock.Now())
	}
}

func (r journalMemberAppender) encode(body any) (record.Record, error) {
	switch b := body.(type) {
	case member.Identity:
		return record.Encode(&r.state.origin, record.Join, b)
	case member.Goodbye:
		return record.Encode(&r.state.origin, record.Goodbye, b)
	case tenure.Claim:
		return record.Encode(&r.state.origin, record.Claim, b)
	default:
		panic("control: record of an unknown type")
	}
}

// savedMember is a joined member in a snapshot.
type savedMember struct {
	Identity member.Identity `cbor:"1,keyasint"`
	Offset   unit.Offset     `cbor:"2,keyasint"`
}

// savedMembers is the snapshot section of members and tenures. Claims includes
// the claims of former owners whose rights may not have ended, before the
// claims that followed them.
type savedMembers struct {
	Members []savedMember  `cbor:"1,keyasint"`
	Claims  []tenure.Claim `cbor:"2,keyasint"`
}

func saveMembers(s *State, _ snapshot.Scope) ([]byte, error) {
	var saved savedMembers
	for _, m := range s.node.Members.All() {
		if m.Joined && !m.Left {
			saved.Members = append(saved.Members, savedMember{m.Identity, m.JoinOffset})
		}
	}
	if s.node.JoinedAt > 0 {
		saved.Members = append(saved.Members, savedMember{s.node.Self.Identity, s.node.JoinOffset})
	}
	for dc, r := range s.node.Tenures.All() {
		for _, f := range r.FormerOwners {
			saved.Claims = append(saved.Claims, tenure.Claim{DataCentre: dc, Epoch: f.Epoch, Instance: f.Instance})
		}
		if r.Epoch > 0 {
			saved.Claims = append(saved.Claims, r.Claim)
		}
	}
	return record.Marshal(saved)
}

func restoreMembers(s *State, _ snapshot.Scope, _ unit.Offset, data []byte) error {
	saved, err := record.Unmarshal[savedMembers](data)
	if err != nil {
		return err
	}
	for i := range saved.Members {
		m := &saved.Members[i]
		s.memberRecords = append(s.memberRecords, tenure.JournalRecord{Offset: m.Offset, Join: &m.Identity})
	}
	for i := range saved.Claims {
		s.memberRecords = append(s.memberRecords, tenure.JournalRecord{Claim: &saved.Claims[i]})
	}
	return nil
}

// OwnerSystem updates the live owners of the data centres for the snapshots.
func OwnerSystem(s *State, now clock.Millis) {
	s.Owners = s.Owners[:0]
	for dc, r := range s.node.Tenures.All() {
		if r.Epoch == 0 {
			continue
		}
		m := s.node.Members.Get(r.Instance)
		if r.Instance == s.Self.Instance || m != nil && !m.Ended() && m.SilentFor(now) < s.node.Limits.QuickRight {
			s.Owners = append(s.Owners, snapshot.Owner{DataCentre: dc, Instance: r.Instance})
		}
	}
}
