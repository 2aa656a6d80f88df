package control

import (
	"context"
	"errors"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/group"
	"mimosadock/schedule/job"
	"mimosadock/schedule/member"
	"mimosadock/schedule/placement"
	"mimosadock/schedule/service"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
	"mimosadock/schedule/work"
	"mimosadock/schedule/worker"
)

// Timeouts and intervals of batch and standing work.
const (
	callTimeout  = 2 * time.Second   // limit of one call to a worker
	replyTimeout = 10 * clock.Second // limit of the wait until an outcome is in the journal
	viewInterval = 1 * clock.Second  // time between two summaries
)

// WrittenFunc handles the outcome of an append. It runs in the control
// goroutine.
type WrittenFunc func(s *State, v verdict.Verdict, now clock.Millis)

// JobRecordAppender appends job records to the journal. It runs in the control
// goroutine. It calls written once, when the outcome is determined or the append
// has timed out.
type JobRecordAppender interface {
	Append(s *State, r job.Record, written WrittenFunc)
}

// JobRunner runs the batch and standing work of the boards. All fields must be
// set.
type JobRunner struct {
	Agent   worker.Agent
	Records JobRecordAppender
	Group   *group.Group // runs the calls to workers
	Clock   clock.Clock
	Send    func(context.Context, Message) error // sends to the control goroutine
}

// workState holds the boards of batch and standing work, one for each data
// centre, and the pending requests about jobs.
type workState struct {
	boards          table.Table[unit.DataCentre, *work.Board]
	jobWaits        []jobWait
	workRevision    unit.Revision // revision of the text that the boards have
	workViews       map[unit.DataCentre]*work.View
	lastWorkView    clock.Millis
	jobRecords      []job.Record        // buffer, reused for each board
	batches         []work.CommandBatch // buffer, reused for each board
	lastRequestID   uint64              // id of the last request to another owner
	pendingRequests table.Table[uint64, pendingRequest]
	relayedRequests []relayedRequest
}

// JobReply is the reply to a request about a job.
type JobReply struct {
	Status work.Status
	Err    error
}

// jobWait is a caller that waits until the journal holds the state of a job.
type jobWait struct {
	home      unit.DataCentre
	job       unit.Job
	expiresAt clock.Millis
	reply     chan<- JobReply
}

// Board returns the board of a data centre, which holds its jobs and workers. It
// adds one if there is none.
func (s *State) Board(dc unit.DataCentre) *work.Board {
	if b := s.boards.Get(dc); b != nil {
		return *b
	}
	b := &work.Board{Home: dc, Policies: placement.Default(), IsDown: s.dependencyDown}
	if s.Text != nil {
		b.SetText(s.Text)
	}
	return *s.boards.Put(dc, b)
}

// dependencyDown reports whether a dependency is unavailable. A service is
// unavailable if none of its upstreams receives requests. A kind that is not
// batch is unavailable if none of its tasks runs. For an unknown name it
// returns false.
func (s *State) dependencyDown(name string) bool {
	if s.Text == nil {
		return false
	}
	if svc := s.Text.Service(unit.Service(name)); svc != nil && s.routes != nil {
		t := s.routes.Targets[svc.Name]
		return t == nil || len(t.Upstreams) == 0
	}
	kind := s.Text.Kind(unit.Kind(name))
	if kind == nil || kind.Class == service.Batch {
		return false
	}
	for _, b := range s.boards.All() {
		if (*b).HasAttempts(kind.Name) {
			return false
		}
	}
	return true
}

// ApplyJob applies a job record that was read from the journal.
func (s *State) ApplyJob(r job.Record, now clock.Millis) {
	b := s.Board(r.RecordHeader().Home)
	m, ok := r.(job.Moved)
	if !ok {
		b.Jobs.Apply(r)
		return
	}
	if to := s.Board(m.To); job.Move(&b.Jobs, &to.Jobs, m) {
		to.HandleArrival(now, m.Job)
	}
}

// Submit submits a job to a data centre. Reply must have room for one reply,
// which is sent once the journal holds the job.
type Submit struct {
	Home  unit.DataCentre
	Spec  job.Spec
	Reply chan<- JobReply
}

// Apply submits the job.
func (m Submit) Apply(s *State, now clock.Millis) {
	_, err := s.Board(m.Home).Submit(now, m.Spec)
	s.replyWhenDurable(jobWait{m.Home, m.Spec.ID, now.Add(replyTimeout), m.Reply}, err)
}

// Cancel cancels a job. Reply must have room for one reply, which is sent once
// the journal holds the outcome. The outcome can differ from cancelled.
type Cancel struct {
	Home  unit.DataCentre
	Job   unit.Job
	Reply chan<- JobReply
}

// Apply cancels the job. It doesn't request a tick, so that a burst of
// cancellations doesn't delay the start of other work.
func (m Cancel) Apply(s *State, now clock.Millis) {
	_, err := s.Board(m.Home).Cancel(now, m.Job)
	s.replyWhenDurable(jobWait{m.Home, m.Job, now.Add(replyTimeout), m.Reply}, err)
}

// replyWhenDurable replies at once if err is set. Otherwise it replies when the
// journal holds the state of the job.
func (s *State) replyWhenDurable(w jobWait, err error) {
	if err != nil {
		w.reply <- JobReply{Err: err}
		return
	}
	s.jobWaits = append(s.jobWaits, w)
}

// GetJob requests the state of a job. Reply must have room for one reply.
type GetJob struct {
	Home  unit.DataCentre
	Job   unit.Job
	Reply chan<- JobReply
}

// Apply sends the status, or a refusal if the job is unknown.
func (m GetJob) Apply(s *State, _ clock.Millis) {
	st, ok := s.Board(m.Home).Status(m.Job)
	if !ok {
		m.Reply <- JobReply{Err: verdict.Refuse("unknown job %q", m.Job)}
		return
	}
	m.Reply <- JobReply{Status: st}
}

// SetWorkers passes the listed workers to the boards. [HostList] applies it;
// tests send it alone.
type SetWorkers struct{ Listings []member.Listing }

// Apply passes the list to the boards. It first adds a board for each data
// centre with a listed worker.
func (m SetWorkers) Apply(s *State, _ clock.Millis) {
	for _, l := range m.Listings {
		if l.Role == member.RoleWorker {
			s.Board(l.DataCentre)
		}
	}
	for _, b := range s.boards.All() {
		(*b).SetWorkers(m.Listings)
	}
}

// SetAuthority sets the authority of this process over the work of a data
// centre. Only tests send it; in a process [AuthoritySystem] sets the authority.
type SetAuthority struct {
	DataCentre unit.DataCentre
	Authority  work.Authority
}

// Apply passes the authority to the board.
func (m SetAuthority) Apply(s *State, now clock.Millis) {
	s.Board(m.DataCentre).SetAuthority(now, m.Authority)
}

// handleWritten handles the outcome of writing a record. A move takes effect
// when it is written.
func (s *State) handleWritten(r job.Record, v verdict.Verdict, now clock.Millis) {
	if _, ok := r.(job.Moved); ok && v == verdict.Ran {
		s.ApplyJob(r, now)
	}
	s.Board(r.RecordHeader().Home).HandleWriteResult(now, r, v)
}

// batchDone is the message with the results of a batch of calls.
type batchDone struct {
	home   unit.DataCentre
	result work.CommandBatchResult
}

// Apply passes the results to the board.
func (m batchDone) Apply(s *State, now clock.Millis) {
	s.Board(m.home).HandleCommandBatchResult(now, m.result)
}

// WorkSystem runs the boards, appends their records, starts their calls and
// replies to waiting callers.
func (w *JobRunner) WorkSystem(s *State, now clock.Millis) {
	if s.Text != nil && s.workRevision != s.Revision {
		s.workRevision = s.Revision
		for _, b := range s.boards.All() {
			(*b).SetText(s.Text)
		}
	}
	for _, b := range s.boards.All() {
		(*b).Tick(now)
		w.appendRecords(s, *b)
		w.startCalls(s, *b, now)
	}
	s.replyToWaits(now)
	s.updateWorkViews(now)
}

func (w *JobRunner) appendRecords(s *State, b *work.Board) {
	s.jobRecords = b.TakeRecords(s.jobRecords[:0])
	for _, r := range s.jobRecords {
		w.Records.Append(s, r, func(s *State, v verdict.Verdict, now clock.Millis) { s.handleWritten(r, v, now) })
	}
}

func (w *JobRunner) startCalls(s *State, b *work.Board, now clock.Millis) {
	s.batches = b.DueCommandBatches(now, s.batches[:0])
	home := b.Home
	for _, batch := range s.batches {
		w.Group.Go("worker calls", func(ctx context.Context) error {
			_ = w.Send(ctx, batchDone{home, w.runBatch(ctx, batch)})
			return nil
		})
	}
}

var errRightEnded = verdict.Refuse("the right to command the worker has ended")

// runBatch makes the calls of a batch in order. It checks the right before each
// call, because the process may have been paused during the previous call.
func (w *JobRunner) runBatch(ctx context.Context, b work.CommandBatch) work.CommandBatchResult {
	result := work.CommandBatchResult{Batch: b, Errs: make([]error, len(b.Commands))}
	unreachable := false
	for i, c := range b.Commands {
		switch {
		case w.Clock.Now() >= b.ValidUntil:
			result.Errs[i] = errRightEnded
		case unreachable:
			result.Errs[i] = verdict.Refuse("an earlier call of the batch had no answer")
		default:
			rep, err := w.call(ctx, b, c)
			result.Errs[i] = err
			unreachable = verdict.Of(err) == verdict.MayHaveRun
			if rep != nil {
				result.Report = rep
			}
		}
	}
	return result
}

func (w *JobRunner) call(ctx context.Context, b work.CommandBatch, c work.Command) (*worker.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return work.Execute(ctx, w.Agent, b, c)
}

// replyToWaits replies to the callers whose outcome is in the journal, and
// those whose wait has timed out.
func (s *State) replyToWaits(now clock.Millis) {
	kept := s.jobWaits[:0]
	for _, w := range s.jobWaits {
		b := s.Board(w.home)
		_, known, durable := b.Outcome(w.job)
		switch {
		case !known:
			err := verdict.Refuse("the journal did not take the job")
			err.RetryAfter = clock.Second
			w.reply <- JobReply{Err: err}
		case durable:
			st, _ := b.Status(w.job)
			w.reply <- JobReply{Status: st}
		case now >= w.expiresAt:
			w.reply <- JobReply{Err: &verdict.Error{
				Verdict: verdict.MayHaveRun, Reason: "the journal has not confirmed it yet", Err: errNotDurable,
			}}
		default:
			kept = append(kept, w)
		}
	}
	clear(s.jobWaits[len(kept):])
	s.jobWaits = kept
}

var errNotDurable = errors.New("outcome is not in the journal yet")

func (s *State) updateWorkViews(now clock.Millis) {
	if s.workViews != nil && now.Sub(s.lastWorkView) < viewInterval {
		return
	}
	s.lastWorkView = now
	views := make(map[unit.DataCentre]*work.View, s.boards.Len())
	for dc, b := range s.boards.All() {
		views[dc] = (*b).View(now)
	}
	s.workViews = views
}
