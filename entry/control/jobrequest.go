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

// JobAction is the kind of request about a job.
type JobAction int

// Kinds of requests about a job.
const (
	SubmitJob JobAction = iota // submit
	CancelJob                  // cancel
	ShowJob                    // show
)

// ownerTimeout is the longest wait for the response of another owner. It is
// longer than replyTimeout, the owner's own wait for the journal.
const ownerTimeout = replyTimeout + 2*clock.Second

// JobRequest is a request about a job to the owner of a data centre. It is
// idempotent, because the owner identifies the job by its id.
type JobRequest struct {
	ID     uint64          `cbor:"1,keyasint"` // request id, assigned by the requesting process
	Action JobAction       `cbor:"2,keyasint"`
	Home   unit.DataCentre `cbor:"3,keyasint"`
	Spec   job.Spec        `cbor:"4,keyasint"` // complete for a submission; otherwise only the id is set
}

// JobResponse is the response to a [JobRequest]. If Failed is false, Status is
// valid; otherwise Verdict, Reason and RetryAfter describe the error.
type JobResponse struct {
	ID         uint64          `cbor:"1,keyasint"`
	Status     work.Status     `cbor:"2,keyasint"`
	Failed     bool            `cbor:"3,keyasint,omitempty"`
	Verdict    verdict.Verdict `cbor:"4,keyasint,omitempty"`
	Reason     string          `cbor:"5,keyasint,omitempty"`
	RetryAfter clock.Span      `cbor:"6,keyasint,omitempty"`
}

var (
	_ Deliverer = (*JobRequest)(nil)
	_ Deliverer = (*JobResponse)(nil)
)

// pendingRequest is a request to another owner that has no response yet.
type pendingRequest struct {
	expiresAt clock.Millis
	action    JobAction
	reply     chan<- JobReply
}

// relayedRequest is a request from another process whose result is pending
// here.
type relayedRequest struct {
	from  unit.Instance
	id    uint64
	reply <-chan JobReply
}

// SendJobRequest sends a request about a job to the owner of a data centre, which
// can be this process. Reply must have room for one reply.
type SendJobRequest struct {
	Action JobAction
	Home   unit.DataCentre
	Spec   job.Spec
	Reply  chan<- JobReply
}

// Apply handles the request here or sends it to the owner. It refuses the
// request if the data centre has no owner yet.
func (m SendJobRequest) Apply(s *State, now clock.Millis) {
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
	s.post(r.Instance, &JobRequest{ID: s.lastRequestID, Action: m.Action, Home: m.Home, Spec: m.Spec}, now)
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

// Deliver handles the request here and stores the requester for the response. A
// process that is no longer the owner refuses new submissions and cancellations
// of jobs that have not ended. It handles other requests as the owner does, with
// the state that it has on record.
func (m *JobRequest) Deliver(s *State, from unit.Instance, now clock.Millis) {
	reply := make(chan JobReply, 1)
	s.handleHere(m.Action, m.Home, m.Spec, reply, now)
	s.relayedRequests = append(s.relayedRequests, relayedRequest{from: from, id: m.ID, reply: reply})
}

// Deliver passes the response to the caller of the pending request. An unknown
// request id is ignored.
func (m *JobResponse) Deliver(s *State, _ unit.Instance, _ clock.Millis) {
	pending := s.pendingRequests.Get(m.ID)
	if pending == nil {
		return
	}
	r := JobReply{Status: m.Status}
	if m.Failed {
		r.Err = &verdict.Error{Verdict: m.Verdict, Reason: m.Reason, RetryAfter: m.RetryAfter}
	}
	pending.reply <- r
	s.pendingRequests.Delete(m.ID)
}

// JobRequestSystem sends the results of relayed requests and ends pending
// requests that have timed out. The verdict of a timeout is MayHaveRun, or
// DidNotRun for ShowJob, which has no effect.
func JobRequestSystem(s *State, now clock.Millis) {
	kept := s.relayedRequests[:0]
	for _, relayed := range s.relayedRequests {
		select {
		case r := <-relayed.reply:
			s.post(relayed.from, newJobResponse(relayed.id, r), now)
		default:
			kept = append(kept, relayed)
		}
	}
	clear(s.relayedRequests[len(kept):])
	s.relayedRequests = kept
	s.pendingRequests.DeleteFunc(func(_ uint64, pending *pendingRequest) bool {
		if now < pending.expiresAt {
			return false
		}
		e := &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "the owner of the data centre did not answer"}
		if pending.action == ShowJob {
			e.Verdict = verdict.DidNotRun
		}
		pending.reply <- JobReply{Err: e}
		return true
	})
}

func newJobResponse(id uint64, r JobReply) *JobResponse {
	a := &JobResponse{ID: id, Status: r.Status}
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
