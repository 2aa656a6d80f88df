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

// outageRetryAfter is what a refused operator is told to wait.
const outageRetryAfter = 5 * clock.Second

var (
	errNoJournal = verdict.Refuse("process has no journal")
	errNoReceipt = &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "outcome of the append was not reported"}

	// ErrStale is the cause of the error for a change that was made from
	// another revision than the one in force.
	ErrStale = errors.New("control: another change came first")
)

// configState holds the services text and the changes that wait for the
// journal.
type configState struct {
	register          config.Register
	readiness         config.Readiness
	proposals         table.Table[record.ID, proposal]
	reportedRevisions table.Table[unit.Instance, reportedRevision]
	behindSince       clock.Millis // since when the register is behind
	isBehind          bool
}

// reportedRevision is what a member last said it has in force.
type reportedRevision struct {
	revision   unit.Revision
	receivedAt clock.Millis
}

// proposal is a change that was handed to the journal.
type proposal struct {
	deadline clock.Millis
	reply    chan<- ChangeAnswer
}

// ChangeAnswer says what came of a change. If Err is nil, the change is
// accepted and the outcome has its revision. If another change came first, Err
// wraps [ErrStale] and the outcome has the newer version and the difference.
type ChangeAnswer struct {
	Outcome config.Outcome
	Err     error
}

// ProposeChange asks for a change of the services text. Change comes from
// [config.NewChange], so that a faulty text never gets here. Reply must have
// room for one answer.
type ProposeChange struct {
	Change   config.Checked
	Deadline clock.Millis
	Reply    chan<- ChangeAnswer
}

// Apply hands the change to the journal or refuses it.
func (m ProposeChange) Apply(s *State, _ clock.Millis) {
	p := proposal{deadline: m.Deadline, reply: m.Reply}
	if err := s.checkAcceptsChanges(); err != nil {
		p.answer(ChangeAnswer{Err: err})
		return
	}
	if m.Change.Err != nil {
		p.answer(ChangeAnswer{Err: &verdict.Error{Verdict: verdict.DidNotRun, Reason: "text is faulty", Err: m.Change.Err}})
		return
	}
	if v := s.register.InForce(); m.Change.Base != v.Revision {
		p.answer(changeAnswer(config.Outcome{Result: config.Stale, Version: v, Refused: m.Change.Source}))
		return
	}
	r, err := record.Encode(&s.origin, record.Change, m.Change.Change)
	if err == nil {
		err = s.Submit([]record.Record{r}, m.Deadline, handleChangeReceipt)
	}
	if err != nil {
		p.answer(ChangeAnswer{Err: &verdict.Error{Verdict: verdict.DidNotRun, Reason: "change was not handed to the journal", Err: err}})
		return
	}
	s.proposals.Put(r.ID, p)
}

// checkAcceptsChanges returns an error while the outcome of a change could not be
// told.
func (s *State) checkAcceptsChanges() error {
	if !s.readToEnd || s.readFailing {
		e := verdict.Refuse("journal can't be read")
		e.RetryAfter = outageRetryAfter
		return e
	}
	if !s.register.Anchored() {
		return &verdict.Error{Verdict: verdict.DidNotRun, Reason: "configuration of the journal is not known", Err: config.ErrUndecided}
	}
	return nil
}

// handleChangeReceipt answers a proposal that the journal certainly doesn't have.
// Any other is answered when it is read, or at its deadline.
func handleChangeReceipt(s *State, r stream.Receipt, _ clock.Millis) {
	if r.Err == nil || verdict.Of(r.Err) != verdict.DidNotRun {
		return
	}
	if p := s.proposals.Get(r.First); p != nil {
		p.answer(ChangeAnswer{Err: r.Err})
		s.proposals.Delete(r.First)
	}
}

func (p *proposal) answer(a ChangeAnswer) {
	select {
	case p.reply <- a:
	default:
	}
}

// changeAnswer turns an outcome into the answer to its author.
func changeAnswer(o config.Outcome) ChangeAnswer {
	a := ChangeAnswer{Outcome: o}
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

// applyChange applies a change of the journal and answers its author.
func (s *State) applyChange(it record.Item, c config.Checked) {
	o := s.register.Apply(it.Offset, it.Record.ID, c)
	if p := s.proposals.Get(it.Record.ID); p != nil && o.Result != config.Old {
		p.answer(changeAnswer(o))
		s.proposals.Delete(it.Record.ID)
	}
}

// putInForce publishes the version of the register and reports whether it is
// a new one.
func (s *State) putInForce() bool {
	v := s.register.InForce()
	if v.Revision <= s.Revision {
		return false
	}
	s.Revision, s.Text = v.Revision, v.Text
	return true
}

// AdoptVersion takes in the version of a peer. It comes from
// [config.CheckVersion].
type AdoptVersion struct {
	Version config.Version
	History []config.Past
}

// Apply puts the version into force if its revision is higher.
func (m AdoptVersion) Apply(s *State, _ clock.Millis) {
	s.register.Adopt(m.Version, m.History)
	if s.putInForce() {
		s.RequestStep()
	}
}

// RevisionReported takes in the revision that a member has in force.
type RevisionReported struct {
	Instance   unit.Instance
	DataCentre unit.DataCentre
	Revision   unit.Revision
}

// Apply notes the revision for the readiness of the process.
func (m RevisionReported) Apply(s *State, now clock.Millis) {
	s.readiness.Heard(m.Revision, m.DataCentre == s.Self.DataCentre)
	s.reportedRevisions.Put(m.Instance, reportedRevision{m.Revision, now})
}

// Bringing the configuration back.
const (
	republishDelay = 5 * clock.Second // ten heartbeats
	maxReportAge   = 2 * clock.Second // of a live owner
)

// mayRepublishConfig reports whether this process may write a fresh snapshot of the
// version in force, because the journal has lost the configuration: it has
// seen no other for a while, and every live owner has told that it has no
// higher revision.
func (s *State) mayRepublishConfig(now clock.Millis) bool {
	if !s.isBehind || now.Sub(s.behindSince) < republishDelay {
		return false
	}
	for _, o := range s.Owners {
		if o.Instance == s.Self.Instance {
			continue
		}
		h := s.reportedRevisions.Get(o.Instance)
		if h == nil || now.Sub(h.receivedAt) > maxReportAge || h.revision > s.Revision {
			return false
		}
	}
	return true
}

// updateBehind keeps since when the register is behind at the journal's end.
func (s *State) updateBehind(now clock.Millis) {
	behind := s.readToEnd && now.Sub(s.appliedBefore) <= maxReportAge && s.register.Behind()
	if behind && !s.isBehind {
		s.behindSince = now
	}
	s.isBehind = behind
}

// ConfigSystem answers the proposals whose deadline has passed and forgets
// members that are no longer heard.
func ConfigSystem(s *State, now clock.Millis) {
	s.updateBehind(now)
	s.reportedRevisions.DeleteFunc(func(_ unit.Instance, h *reportedRevision) bool { return now.Sub(h.receivedAt) > maxReportAge })
	s.proposals.DeleteFunc(func(_ record.ID, p *proposal) bool {
		if now <= p.deadline {
			return false
		}
		p.answer(ChangeAnswer{Err: &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "change was not read back in time"}})
		return true
	})
}

// SetText puts a services text into force without a journal, for tests and
// trials of single parts. Lower revisions than the one in force are ignored.
type SetText struct {
	Revision unit.Revision
	Text     *service.Text
}

// Apply adopts the text if its revision is higher.
func (m SetText) Apply(s *State, _ clock.Millis) {
	s.readiness.Read()
	s.register.Adopt(config.Version{Revision: m.Revision, Hash: config.HashOf(nil), Text: m.Text}, nil)
	if s.putInForce() {
		s.RequestStep()
	}
}

// configSection names the section of the configuration in the common
// snapshots.
const configSection = "configuration"

func saveConfig(s *State, _ snapshot.Scope) ([]byte, error) {
	saved, err := s.register.Save()
	if err != nil {
		return nil, err
	}
	return record.Marshal(saved)
}
