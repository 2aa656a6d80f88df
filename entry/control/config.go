package control

import (
	"errors"

	"mimosadock/entry/stream"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/config"
	"mimosadock/schedule/record"
	"mimosadock/schedule/service"
	"mimosadock/schedule/snapshot"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// outageRetryAfter is the retry delay sent to an operator whose change is
// refused because the journal can't be read.
const outageRetryAfter = 5 * clock.Second

var (
	errNoJournal = verdict.Refuse("process has no journal")
	errNoReceipt = &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "outcome of the append was not reported"}

	// ErrStale is the cause of the error for a change whose base revision is
	// not the revision in force.
	ErrStale = errors.New("control: another change came first")
)

// configState holds the services text and the proposals whose outcome is
// pending.
type configState struct {
	register          config.Register // configuration in force, and its versions and position in the journal
	readiness         config.Readiness
	proposals         table.Table[record.ID, proposal]
	reportedRevisions table.Table[unit.Instance, reportedRevision]
	behindSince       clock.Millis // start of the current period in which the register is behind; valid if isBehind
	isBehind          bool         // the journal lacks the configuration in force; see [config.Register.Behind]
}

// reportedRevision is the revision that a member last reported as in force,
// with the time of the report.
type reportedRevision struct {
	revision   unit.Revision
	receivedAt clock.Millis
}

// proposal is a change that was submitted to the journal and has no outcome
// yet.
type proposal struct {
	deadline clock.Millis
	reply    chan<- ChangeReply
}

// ChangeReply is the outcome of a proposed change. If Err is nil, the change
// is accepted and Outcome holds its revision. If another change was accepted
// first, Err wraps [ErrStale] and Outcome holds the newer version and the
// difference.
type ChangeReply struct {
	Outcome config.Outcome
	Err     error
}

// ProposeChange requests a change of the services text. Change must come from
// [config.NewChange], which rejects faulty texts. Reply must have room for one
// reply.
type ProposeChange struct {
	Change   config.CheckedChange
	Deadline clock.Millis
	Reply    chan<- ChangeReply
}

// Apply submits the change to the journal or refuses it.
func (m ProposeChange) Apply(s *State, _ clock.Millis) {
	p := proposal{deadline: m.Deadline, reply: m.Reply}
	if err := s.checkAcceptsChanges(); err != nil {
		p.sendReply(ChangeReply{Err: err})
		return
	}
	if m.Change.Err != nil {
		p.sendReply(ChangeReply{Err: &verdict.Error{Verdict: verdict.DidNotRun, Reason: "text is faulty", Err: m.Change.Err}})
		return
	}
	if v := s.register.InForce(); m.Change.Base != v.Revision {
		p.sendReply(newChangeReply(config.Outcome{Result: config.Stale, Version: v, Refused: m.Change.Source}))
		return
	}
	r, err := record.Encode(&s.origin, record.Change, m.Change.Change)
	if err == nil {
		err = s.SubmitRecords([]record.Record{r}, m.Deadline, handleChangeReceipt)
	}
	if err != nil {
		p.sendReply(ChangeReply{Err: &verdict.Error{Verdict: verdict.DidNotRun, Reason: "change was not handed to the journal", Err: err}})
		return
	}
	s.proposals.Put(r.ID, p)
}

// checkAcceptsChanges returns an error while this process can't determine the
// outcome of a change.
func (s *State) checkAcceptsChanges() error {
	if !s.readToEnd || s.readFailing {
		e := verdict.Refuse("journal can't be read")
		e.RetryAfter = outageRetryAfter
		return e
	}
	if !s.register.IsAttached() {
		return &verdict.Error{Verdict: verdict.DidNotRun, Reason: "configuration of the journal is not known", Err: config.ErrUndecided}
	}
	return nil
}

// handleChangeReceipt replies to a proposal whose change is known not to be in
// the journal. Any other proposal gets its reply when its change is read, or at
// its deadline.
func handleChangeReceipt(s *State, r stream.Receipt, _ clock.Millis) {
	if r.Err == nil || verdict.Of(r.Err) != verdict.DidNotRun {
		return
	}
	if p := s.proposals.Get(r.FirstRecord); p != nil {
		p.sendReply(ChangeReply{Err: r.Err})
		s.proposals.Delete(r.FirstRecord)
	}
}

func (p *proposal) sendReply(a ChangeReply) {
	select {
	case p.reply <- a:
	default:
	}
}

// newChangeReply converts an outcome to the reply for the author of the change.
func newChangeReply(o config.Outcome) ChangeReply {
	a := ChangeReply{Outcome: o}
	switch o.Result {
	case config.Accepted:
	case config.Stale:
		a.Err = &verdict.Error{Verdict: verdict.DidNotRun, Reason: "change was made from another revision", Err: ErrStale}
	case config.Faulty:
		a.Err = &verdict.Error{Verdict: verdict.DidNotRun, Reason: "text is faulty", Err: o.Err}
	default:
		a.Err = &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "outcome of the change is not known", Err: o.Err}
	}
	return a
}

// applyChange applies a change read from the journal and replies to its author
// if the author waits at this process.
func (s *State) applyChange(it record.DecodedRecord, c config.CheckedChange) {
	o := s.register.Apply(it.Offset, it.Record.ID, c)
	if p := s.proposals.Get(it.Record.ID); p != nil && o.Result != config.AlreadyApplied {
		p.sendReply(newChangeReply(o))
		s.proposals.Delete(it.Record.ID)
	}
}

// copyInForce copies the register's version in force to the state. It reports
// whether the version is new.
func (s *State) copyInForce() bool {
	v := s.register.InForce()
	if v.Revision <= s.Revision {
		return false
	}
	s.Revision, s.Text = v.Revision, v.Text
	return true
}

// AdoptVersion is the message with the configuration of a peer. The version
// must come from [config.CheckVersion].
type AdoptVersion struct {
	Version config.Version
	History []config.HistoryEntry
}

// Apply puts the version into force if its revision is higher than the current
// one.
func (m AdoptVersion) Apply(s *State, _ clock.Millis) {
	s.register.Adopt(m.Version, m.History)
	if s.copyInForce() {
		s.RequestTick()
	}
}

// RevisionReported is the message with the revision that a member has in force.
type RevisionReported struct {
	Instance   unit.Instance
	DataCentre unit.DataCentre
	Revision   unit.Revision
}

// Apply updates the readiness of the process and stores the revision.
func (m RevisionReported) Apply(s *State, now clock.Millis) {
	s.readiness.RecordRevision(m.Revision, m.DataCentre == s.Self.DataCentre)
	s.reportedRevisions.Put(m.Instance, reportedRevision{m.Revision, now})
}

// Times for republishing a configuration that the journal has lost.
const (
	republishDelay = 5 * clock.Second // time for which the register must be behind: ten heartbeats
	maxReportAge   = 2 * clock.Second // age above which the reported revision of an owner doesn't count
)

// mayRepublishConfig reports whether this process may write a fresh snapshot of
// the version in force because the journal has lost the configuration. The
// register must have been behind for republishDelay, and every other live owner
// must have reported within maxReportAge that it has no higher revision.
func (s *State) mayRepublishConfig(now clock.Millis) bool {
	if !s.isBehind || now.Sub(s.behindSince) < republishDelay {
		return false
	}
	for _, o := range s.Owners {
		if o.Instance == s.Self.Instance {
			continue
		}
		reported := s.reportedRevisions.Get(o.Instance)
		if reported == nil || now.Sub(reported.receivedAt) > maxReportAge || reported.revision > s.Revision {
			return false
		}
	}
	return true
}

// updateBehind updates isBehind and behindSince. The register only counts as
// behind if a recent read reached the end of the journal.
func (s *State) updateBehind(now clock.Millis) {
	behind := s.readToEnd && now.Sub(s.appliedBefore) <= maxReportAge && s.register.Behind()
	if behind && !s.isBehind {
		s.behindSince = now
	}
	s.isBehind = behind
}

// ConfigSystem replies to the proposals whose deadline has passed and deletes
// the revisions of members that no longer report.
func ConfigSystem(s *State, now clock.Millis) {
	s.updateBehind(now)
	s.reportedRevisions.DeleteFunc(func(_ unit.Instance, reported *reportedRevision) bool {
		return now.Sub(reported.receivedAt) > maxReportAge
	})
	s.proposals.DeleteFunc(func(_ record.ID, p *proposal) bool {
		if now <= p.deadline {
			return false
		}
		p.sendReply(ChangeReply{Err: &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "change was not read back in time"}})
		return true
	})
}

// SetText puts a services text into force without a journal, for tests and for
// components run without one. A revision that is not higher than the one in
// force is ignored.
type SetText struct {
	Revision unit.Revision
	Text     *service.Text
}

// Apply puts the text into force if its revision is higher.
func (m SetText) Apply(s *State, _ clock.Millis) {
	s.readiness.SetJournalRead()
	s.register.Adopt(config.Version{Revision: m.Revision, Hash: config.HashOf(nil), Text: m.Text}, nil)
	if s.copyInForce() {
		s.RequestTick()
	}
}

// configSection is the name of the configuration's section in the common
// snapshots.
const configSection = "configuration"

func saveConfig(s *State, _ snapshot.Scope) ([]byte, error) {
	saved, err := s.register.Save()
	if err != nil {
		return nil, err
	}
	return record.Marshal(saved)
}
