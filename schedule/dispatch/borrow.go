package dispatch

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// loanInterval is the interval between two requests to a lender while the
	// shard needs executors.
	loanInterval = 400 * clock.Millisecond
	// loanPollInterval is the interval between two requests to a lender while the
	// shard needs none. Its load is sent with each, so that it can be compared.
	loanPollInterval = 2 * clock.Second
)

// borrowedExecutor is a row of the table of executors borrowed from other shards.
type borrowedExecutor struct {
	lender     unit.Shard
	tokenBase  unit.Token
	borrowedAt clock.Millis
}

// lender is the state of the requests to the owner of another shard.
type lender struct {
	epoch    unit.Generation // of the last reply, 0 if there was none
	sequence int64           // of the last request
	inFlight bool            // the last request has no reply yet
	nextAt   clock.Millis
	returns  []Loan // executors that this shard no longer uses, until a reply confirms it
}

// requestLoans sends a request to the owners of the other shards: at short
// intervals while tasks wait or a lender has a lower load, and at long ones
// otherwise.
func (s *Shard) requestLoans(now clock.Millis) {
	if s.Shards < 2 {
		return
	}
	if s.lenders == nil {
		s.lenders = make(map[unit.Shard]*lender)
	}
	var loads []ServiceLoad
	var wants []LoanWant
	for n := range s.Shards {
		id := unit.Shard(n)
		if id == s.ID {
			continue
		}
		l := s.lenders[id]
		if l == nil {
			l = new(lender)
			s.lenders[id] = l
		}
		if l.inFlight || now < l.nextAt {
			continue
		}
		if loads == nil {
			s.returnUnused(now)
			loads, wants = s.serviceLoads(now)
		}
		l.inFlight = true
		l.sequence++
		s.pendingOrders = append(s.pendingOrders, Order{Loan: &LoanRequest{
			Lender: id, Borrower: s.ID, BorrowerEpoch: s.Epoch, LenderEpoch: l.epoch, Sequence: l.sequence,
			Returns: slices.Clone(l.returns), Loads: loads, Wants: wants,
		}})
	}
}

// returnUnused gives up borrowed executors that have no row: their entries were
// removed, and no run is assigned to them.
func (s *Shard) returnUnused(now clock.Millis) {
	var unused []unit.Executor
	for id, b := range s.borrowed.All() {
		if s.executors.Get(id) == nil && now >= b.borrowedAt.Add(reregistrationGrace) {
			unused = append(unused, id)
		}
	}
	for _, id := range unused {
		s.giveBack(now, id)
	}
}

// giveBack ends the use of a borrowed executor without runs. The next request to
// its lender returns it.
func (s *Shard) giveBack(now clock.Millis, id unit.Executor) {
	b := s.borrowed.Get(id)
	l := s.lenders[b.lender]
	l.returns = append(l.returns, Loan{Executor: id, TokenBase: s.nextTokenBase(id)})
	l.nextAt = now
	s.report(Event{Kind: "executorReturned", Executor: id})
	s.borrowed.Delete(id)
	s.executors.Delete(id)
	s.loadsAt = 0
}

// HandleLoanReply applies the reply to a request of [Shard.Tick]. reply is nil if
// the request was refused or its outcome is unknown.
func (s *Shard) HandleLoanReply(now clock.Millis, request *LoanRequest, reply *LoanReply) {
	l := s.lenders[request.Lender]
	if l == nil || l.sequence != request.Sequence {
		return
	}
	l.inFlight, l.nextAt = false, now.Add(loanInterval)
	if reply == nil || reply.Epoch < l.epoch {
		return
	}
	l.epoch = reply.Epoch
	lent := make(map[unit.Executor]bool, len(reply.Loans))
	for _, loan := range reply.Loans {
		lent[loan.Executor] = true
		if s.borrowed.Get(loan.Executor) != nil || slices.ContainsFunc(l.returns, func(r Loan) bool { return r.Executor == loan.Executor }) {
			continue
		}
		s.borrowed.Put(loan.Executor, borrowedExecutor{request.Lender, loan.TokenBase, now})
		s.gained = append(s.gained, loan.Executor)
		s.report(Event{Kind: "executorBorrowed", Executor: loan.Executor})
	}
	l.returns = slices.DeleteFunc(l.returns, func(r Loan) bool { return !lent[r.Executor] })
	if len(l.returns) > 0 {
		l.nextAt = now
	} else if loads, wants := s.serviceLoads(now); len(wants) == 0 && !exceeds(loads, reply.Loads) {
		l.nextAt = now.Add(loanPollInterval)
	}
}
