package control

import (
	"errors"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/job"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
	"mimosadock/schedule/work"
)

//go:generate go tool stringer -type=JobAction -linecomment

// JobAction is what is asked about a job.
type JobAction int

// The actions on jobs.
const (
	SubmitJob JobAction = iota // submit
	CancelJob                  // cancel
	ShowJob                    // show
)

// ownerTimeout bounds the wait for another owner's answer. It is longer than the
// owner's own wait for the journal.
const ownerTimeout = replyTimeout + 2*clock.Second

// JobAsk asks the owner of a data centre about a job. Repeating it does no
// harm, since a job is known by its id.
type JobAsk struct {
	ID     uint64          `cbor:"1,keyasint"` // of the asking process
	Action JobAction       `cbor:"2,keyasint"`
	Home   unit.DataCentre `cbor:"3,keyasint"`
	Spec   job.Spec        `cbor:"4,keyasint"` // only its id but for a submission
}

// JobAnswer is the answer to a [JobAsk].
type JobAnswer struct {
	ID         uint64          `cbor:"1,keyasint"`
	Status     work.Status     `cbor:"2,keyasint"`
	Failed     bool            `cbor:"3,keyasint,omitempty"`
	Verdict    verdict.Verdict `cbor:"4,keyasint,omitempty"`
	Reason     string          `cbor:"5,keyasint,omitempty"`
	RetryAfter clock.Span      `cbor:"6,keyasint,omitempty"`
}

var (
	_ Body = (*JobAsk)(nil)
	_ Body = (*JobAnswer)(nil)
)

// pendingRequest is a question that waits for another owner.
type pendingRequest struct {
	expiresAt clock.Millis
	action    JobAction
	reply     chan<- JobReply
}

// relayedRequest is a question of another process that waits for the journal here.
type relayedRequest struct {
	from  unit.Instance
	id    uint64
	reply <-chan JobReply
}

// AskOwner asks the owner of a data centre about a job, which may be this
// process. Reply needs room for one answer.
type AskOwner struct {
	Action JobAction
	Home   unit.DataCentre
	Spec   job.Spec
	Reply  chan<- JobReply
}

// Apply asks here or sends the question to the owner.
func (m AskOwner) Apply(s *State, now clock.Millis) {
	r := s.node.Tenures.Get(m.Home)
	if r == nil || r.Epoch == 0 {
		err := verdict.Refuse("data centre %q has no owner yet", m.Home)
		err.RetryAfter = clock.Second
		m.Reply <- JobReply{Err: err}
		return
	}
	if r.Instance == s.Self.Instance {
		s.handleHere(m.Action, m.Home, m.Spec, m.Reply, now)
		return
	}
	s.lastRequestID++
	s.pendingRequests.Put(s.lastRequestID, pendingRequest{expiresAt: now.Add(ownerTimeout), action: m.Action, reply: m.Reply})
	s.post(r.Instance, &JobAsk{ID: s.lastRequestID, Action: m.Action, Home: m.Home, Spec: m.Spec}, now)
}

func (s *State) handleHere(a JobAction, home unit.DataCentre, spec job.Spec, reply chan<- JobReply, now clock.Millis) {
	switch a {
	case SubmitJob:
		Submit{Home: home, Spec: spec, Reply: reply}.Apply(s, now)
	case CancelJob:
		Cancel{Home: home, Job: spec.ID, Reply: reply}.Apply(s, now)
	default:
		GetJob{Home: home, Job: spec.ID, Reply: reply}.Apply(s, now)
	}
}

// Deliver asks here and remembers whom to answer. A process that is not the
// owner any more answers so.
func (m *JobAsk) Deliver(s *State, from unit.Instance, now clock.Millis) {
	reply := make(chan JobReply, 1)
	s.handleHere(m.Action, m.Home, m.Spec, reply, now)
	s.relayedRequests = append(s.relayedRequests, relayedRequest{from: from, id: m.ID, reply: reply})
}

// Deliver hands the answer to who asked.
func (m *JobAnswer) Deliver(s *State, _ unit.Instance, _ clock.Millis) {
	q := s.pendingRequests.Get(m.ID)
	if q == nil {
		return
	}
	r := JobReply{Status: m.Status}
	if m.Failed {
		r.Err = &verdict.Error{Verdict: m.Verdict, Reason: m.Reason, RetryAfter: m.RetryAfter}
	}
	q.reply <- r
	s.pendingRequests.Delete(m.ID)
}

// AskSystem sends the answers that are there and ends the questions that were
// not answered in time. A show has no effect, so its verdict is DidNotRun.
func AskSystem(s *State, now clock.Millis) {
	kept := s.relayedRequests[:0]
	for _, w := range s.relayedRequests {
		select {
		case r := <-w.reply:
			s.post(w.from, jobAnswer(w.id, r), now)
		default:
			kept = append(kept, w)
		}
	}
	clear(s.relayedRequests[len(kept):])
	s.relayedRequests = kept
	s.pendingRequests.DeleteFunc(func(_ uint64, q *pendingRequest) bool {
		if now < q.expiresAt {
			return false
		}
		e := &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "the owner of the data centre did not answer"}
		if q.action == ShowJob {
			e.Verdict = verdict.DidNotRun
		}
		q.reply <- JobReply{Err: e}
		return true
	})
}

func jobAnswer(id uint64, r JobReply) *JobAnswer {
	a := &JobAnswer{ID: id, Status: r.Status}
	if r.Err == nil {
		return a
	}
	a.Failed, a.Verdict, a.Reason = true, verdict.Of(r.Err), r.Err.Error()
	var ve *verdict.Error
	if errors.As(r.Err, &ve) {
		a.Reason, a.RetryAfter = ve.Reason, ve.RetryAfter
	}
	return a
}
