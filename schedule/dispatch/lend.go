package dispatch

import (
	"cmp"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// maxVacateTime is how long an executor is kept free of new runs for a loan. A
	// longer run there would keep it idle for others.
	maxVacateTime = 5 * clock.Second
	// vacateRetryDelay is the delay after which an executor is chosen again that
	// could not be vacated within maxVacateTime.
	vacateRetryDelay = 10 * clock.Second
	// minLoanTime is how long a borrowed executor is kept, so that it is there for
	// the tasks for which it was requested.
	minLoanTime = 5 * clock.Second
	// vacatePeriod is how long an executor that is to be lent gets no new runs
	// after the last request for it.
	vacatePeriod = 3 * clock.Second
	// maxLoansPerReply bounds the executors that are lent or vacated for one
	// request.
	maxLoansPerReply = 6
	// maxLenderLoad is the load up to which a shard lends an executor to one that
	// has a waiting task but no higher load.
	maxLenderLoad = 0.97
)

// loanSession identifies the last request of a borrower. Requests that arrive
// after a later one, or from a replaced owner, are refused.
type loanSession struct {
	epoch    unit.Generation
	sequence int64
}

// before reports whether s is of an earlier epoch or request than t.
func (s loanSession) before(t loanSession) bool {
	return s.epoch < t.epoch || s.epoch == t.epoch && s.sequence < t.sequence
}

// setLoanSession sets the last request of a borrower.
func (s *Shard) setLoanSession(borrower unit.Shard, session loanSession) {
	if s.loanSessions == nil {
		s.loanSessions = make(map[unit.Shard]loanSession)
	}
	s.loanSessions[borrower] = session
}

// HandleLoanRequest applies a request of the owner of another shard. The reply may
// be sent once the changes of the next tick are stored. It returns false if a
// later request of the borrower was handled before.
func (s *Shard) HandleLoanRequest(now clock.Millis, request *LoanRequest) (LoanReply, bool) {
	session, last := loanSession{request.BorrowerEpoch, request.Sequence}, s.loanSessions[request.Borrower]
	if !last.before(session) {
		return LoanReply{}, false
	}
	s.setLoanSession(request.Borrower, session)
	// A borrower that names another epoch has not seen a reply of this owner. A
	// former owner of the borrower may have sent the request, and a later one may
	// use the executors that it returns.
	if request.LenderEpoch == s.Epoch {
		for _, r := range request.Returns {
			s.takeBack(request.Borrower, r)
		}
		s.lend(now, request)
	}
	reply := LoanReply{Epoch: s.Epoch}
	reply.Loads, _ = s.serviceLoads(now)
	for _, l := range s.loans.All() {
		if l.Lent && l.Borrower == request.Borrower {
			// The reply to a new owner of the borrower thus follows an append, which fails
			// if this owner was replaced and its list is outdated.
			if l.BorrowerEpoch != request.BorrowerEpoch {
				l.BorrowerEpoch, l.dirty = request.BorrowerEpoch, true
			}
			reply.Loans = append(reply.Loans, l.Loan)
		}
	}
	return reply, true
}

// takeBack ends a loan.
func (s *Shard) takeBack(borrower unit.Shard, r Loan) {
	l := s.loans.Get(r.Executor)
	if l == nil || !l.Lent || l.Borrower != borrower {
		return
	}
	// A repeated return may be older than the loan, so its base may be lower.
	l.Lent, l.TokenBase, l.dirty = false, max(l.TokenBase, r.TokenBase), true
	s.loadsAt = 0
}

// lend lends executors to the borrower of a request. Borrowed executors go back to
// their home shard, which may lend them to the borrower. Those with runs are
// vacated first, for a later request.
func (s *Shard) lend(now clock.Millis, request *LoanRequest) {
	loads, _ := s.serviceLoads(now)
	own := slices.Clone(loads)
	for _, theirs := range request.Loads {
		i := slices.IndexFunc(own, func(l ServiceLoad) bool { return l.Service == theirs.Service })
		if i < 0 {
			continue
		}
		wants := slices.DeleteFunc(slices.Clone(request.Wants), func(w LoanWant) bool { return w.Service != theirs.Service })
		s.lendOfService(now, request, own[i], theirs, wants)
	}
}

// lendOfService lends executors of one service as long as that levels the loads of
// both shards, and for the wants of the borrower.
func (s *Shard) lendOfService(now clock.Millis, request *LoanRequest, own, theirs ServiceLoad, wants []LoanWant) {
	withBatch := own // batch tasks are not levelled, so their share stays here
	withBatch.Demand += s.batchDemandOf(own.Service).need()
	balancing := theirs.share(0) > withBatch.share(0)+minImbalance
	granted := 0
	for _, id := range s.lendable(now, theirs.Service) {
		if granted == maxLoansPerReply {
			return
		}
		if slices.ContainsFunc(request.Returns, func(r Loan) bool { return r.Executor == id }) {
			continue // the borrower would return it again until a reply without it arrives
		}
		e := s.executors.Get(id)
		c := e.Capacity.CPU
		if own.Capacity <= c && s.hasOpenJobs(theirs.Service) {
			return // without executors, the jobs here would request one back
		}
		if !balancing || theirs.share(c) < withBatch.share(-c) {
			w := slices.IndexFunc(wants, func(w LoanWant) bool {
				return w.Count > 0 && w.Size.Fits(e.Capacity) && (w.Needs == "" || e.hasLabel(w.Needs))
			})
			if w < 0 || own.share(-c) > maxLenderLoad {
				continue
			}
			wants[w].Count--
		}
		if s.lendOrVacate(now, id, request) {
			own.Capacity, theirs.Capacity = own.Capacity-c, theirs.Capacity+c
			withBatch.Capacity = own.Capacity
			granted++
		}
	}
	if granted == 0 {
		s.vacateOccupied(now, theirs.Service, wants)
	}
}

// vacateOccupied vacates an executor with perpetual tasks for a starving task, if
// there is one whose perpetual tasks fit on others.
func (s *Shard) vacateOccupied(now clock.Millis, service unit.Service, wants []LoanWant) {
	w := slices.IndexFunc(wants, func(w LoanWant) bool { return w.Starving && w.Count > 0 })
	if w < 0 {
		return
	}
	var chosen *Executor
	for id, e := range s.executors.All() {
		if b := s.borrowed.Get(id); b != nil && now < b.borrowedAt.Add(minLoanTime) {
			continue
		}
		if e.Service != service || !e.registered || !e.serviceable(now) || e.reservedCPU > 0 || now < e.notLentBefore ||
			!wants[w].Size.Fits(e.Capacity) || wants[w].Needs != "" && !e.hasLabel(wants[w].Needs) || !s.fitElsewhere(now, e) {
			continue
		}
		if now < e.vacatingUntil {
			chosen = e
			break
		}
		if chosen == nil || e.perpetual.CPU < chosen.perpetual.CPU {
			chosen = e
		}
	}
	if chosen == nil || !s.vacate(now, chosen) {
		return
	}
	var budgets missBudgets
	for i := range chosen.runs {
		a := &chosen.runs[i]
		if a.step.Perpetual && a.isCurrent() && a.task.State == TaskRunning && a.task.confirmedAt > 0 && budgets.take(a) {
			s.moveRun(a.id, a.task, chosen, "executor is lent")
		}
	}
}

// fitElsewhere reports whether the perpetual tasks on e fit on other executors of
// its service beside the perpetual tasks there.
func (s *Shard) fitElsewhere(now clock.Millis, e *Executor) bool {
	type candidate struct {
		executor *Executor
		free     unit.Resources
	}
	var others []candidate
	for _, other := range s.executors.All() {
		if other != e && other.Service == e.Service && s.accepts(now, other) {
			others = append(others, candidate{other, other.Capacity.Sub(other.perpetual)})
		}
	}
	for i := range e.runs {
		a := &e.runs[i]
		if !a.step.Perpetual {
			continue
		}
		demand := a.step.demand()
		n := slices.IndexFunc(others, func(c candidate) bool {
			return demand.Fits(c.free) && (a.step.Needs == "" || c.executor.hasLabel(a.step.Needs)) &&
				(a.step.MaxPerExecutor == 0 || c.executor.countRuns(stepKey{a.id.Job, a.id.Occurrence, a.id.Step}) < a.step.MaxPerExecutor)
		})
		if n < 0 {
			return false
		}
		others[n].free = others[n].free.Sub(demand)
	}
	return true
}

// hasOpenJobs reports whether there are open jobs whose tasks run on executors of
// a service.
func (s *Shard) hasOpenJobs(service unit.Service) bool {
	for _, j := range s.jobs.All() {
		if !j.State.Ended() && s.queue(j).Service == service {
			return true
		}
	}
	return false
}

// lendable returns the executors of a service that may be lent or given back:
// serviceable ones without perpetual tasks and reservations. Those come first that
// are vacated already, then those with the least processor time in use.
func (s *Shard) lendable(now clock.Millis, service unit.Service) []unit.Executor {
	var candidates []*Executor
	for id, e := range s.executors.All() {
		if b := s.borrowed.Get(id); b != nil && now < b.borrowedAt.Add(minLoanTime) {
			continue
		}
		if e.Service == service && e.registered && e.serviceable(now) && e.perpetual.CPU == 0 && e.reservedCPU == 0 && now >= e.notLentBefore {
			candidates = append(candidates, e)
		}
	}
	slices.SortFunc(candidates, func(a, b *Executor) int {
		if x, y := now < a.vacatingUntil, now < b.vacatingUntil; x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.allocated.CPU+a.bestEffortCPU, b.allocated.CPU+b.bestEffortCPU), cmp.Compare(a.Executor, b.Executor))
	})
	ids := make([]unit.Executor, len(candidates))
	for i, e := range candidates {
		ids[i] = e.Executor
	}
	return ids
}

// lendOrVacate lends an executor that has no runs, no unacknowledged ends and no
// hold in flight, or returns it if it is borrowed. Any other is vacated. It returns
// false if that took too long before.
func (s *Shard) lendOrVacate(now clock.Millis, id unit.Executor, request *LoanRequest) bool {
	e := s.executors.Get(id)
	if len(e.runs) > 0 || e.holdInFlight || e.acknowledgedEndNumber != e.processedEndNumber {
		return s.vacate(now, e)
	}
	s.loadsAt = 0
	if s.borrowed.Get(id) != nil {
		s.giveBack(now, id)
		return true
	}
	s.loans.Put(id, homeLoan{dirty: true, Loan: Loan{
		Executor: id, TokenBase: s.nextTokenBase(id), Lent: true, Borrower: request.Borrower, BorrowerEpoch: request.BorrowerEpoch,
	}})
	s.executors.Delete(id)
	s.report(Event{Kind: "executorLent", Executor: id})
	return true
}

// vacate keeps new runs from an executor and moves those that can continue
// elsewhere from a checkpoint. It returns false and gives up after maxVacateTime.
func (s *Shard) vacate(now clock.Millis, e *Executor) bool {
	if now >= e.vacatingUntil {
		e.vacatingSince = now
	}
	if now >= e.vacatingSince.Add(maxVacateTime) {
		e.vacatingUntil, e.notLentBefore = 0, now.Add(vacateRetryDelay)
		return false
	}
	e.vacatingUntil = now.Add(vacatePeriod)
	for i := range e.runs {
		a := &e.runs[i]
		if a.isCurrent() && a.task.State == TaskRunning && a.task.confirmedAt > 0 && a.step.SavesProgress && !a.step.Gang && a.task.Checkpoint != "" {
			s.moveRun(a.id, a.task, e, "executor is lent")
		}
	}
	return true
}
